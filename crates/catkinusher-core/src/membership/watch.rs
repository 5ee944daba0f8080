//! Whom this node watches, and the probes of those that fell silent.

use std::collections::BTreeMap;
use std::time::Duration;

use super::chen::ArrivalEstimator;
use crate::id::VmId;
use crate::time::Time;

/// The most pings that a node passes on for others at a time.
const RELAY_LIMIT: usize = 64;

/// A probe under way.
#[derive(Debug, Clone)]
struct Probe {
    number: u32,
    until: Time,
}

#[derive(Debug, Clone)]
struct Subject {
    chen: ArrivalEstimator,
    probe: Option<Probe>,
}

/// A ping sent for another member.
#[derive(Debug, Clone)]
struct Relay {
    asker: VmId,
    number: u32,
    until: Time,
}

/// What a silent member calls for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Verdict {
    /// Probe it under this number, also through others.
    Probe(VmId, u32),
    /// Nothing answered: suspect it.
    Suspect(VmId),
}

/// Whom this node watches.
#[derive(Debug, Clone, Default)]
pub(super) struct Watch {
    subjects: BTreeMap<VmId, Subject>,
    relays: BTreeMap<u32, Relay>,
    numbers: u32,
}

impl Watch {
    /// Watches exactly these from now on; the rhythm of those kept is kept.
    pub fn set<I>(&mut self, subjects: I, period: Duration, margin: Duration, now: Time)
    where
        I: IntoIterator<Item = VmId>,
    {
        let mut old = std::mem::take(&mut self.subjects);
        for vm in subjects {
            let subject = old.remove(&vm).unwrap_or_else(|| Subject {
                chen: ArrivalEstimator::new(period, margin, now),
                probe: None,
            });
            self.subjects.insert(vm, subject);
        }
    }

    pub fn on_heartbeat(&mut self, vm: &VmId, seq: u64, now: Time) {
        if let Some(subject) = self.subjects.get_mut(vm) {
            subject.chen.on_heartbeat(seq, now);
            subject.probe = None;
        }
    }

    /// Forgets the rhythm of a member whose process is new.
    pub fn on_restart(&mut self, vm: &VmId, now: Time) {
        if let Some(subject) = self.subjects.get_mut(vm) {
            subject.chen.restart(now);
            subject.probe = None;
        }
    }

    /// Takes in an answer; the relay that it belongs to is given back.
    pub fn on_ack(&mut self, number: u32, now: Time) -> Option<(VmId, u32)> {
        let probed = self
            .subjects
            .values_mut()
            .find(|subject| subject.probe.as_ref().is_some_and(|p| p.number == number));
        if let Some(subject) = probed {
            subject.chen.restart(now);
            subject.probe = None;
            return None;
        }
        self.relays
            .remove(&number)
            .map(|relay| (relay.asker, relay.number))
    }

    /// Notes a ping for another member and gives its number, unless too many are under way.
    pub fn relay(&mut self, asker: &VmId, number: u32, until: Time) -> Option<u32> {
        if self.relays.len() >= RELAY_LIMIT {
            return None;
        }
        let own = self.number();
        let relay = Relay {
            asker: asker.clone(),
            number,
            until,
        };
        self.relays.insert(own, relay);
        Some(own)
    }

    /// The next number of a ping.
    pub fn number(&mut self) -> u32 {
        self.numbers = self.numbers.wrapping_add(1);
        self.numbers
    }

    /// Judges all that fell silent by `now`.
    pub fn judge(&mut self, wait: Duration, now: Time) -> Vec<Verdict> {
        self.relays.retain(|_, relay| relay.until > now);
        let mut verdicts = Vec::new();
        let mut numbers = self.numbers;
        for (vm, subject) in &mut self.subjects {
            match &subject.probe {
                None if subject.chen.deadline() <= now => {
                    numbers = numbers.wrapping_add(1);
                    let until = now + wait;
                    subject.probe = Some(Probe {
                        number: numbers,
                        until,
                    });
                    verdicts.push(Verdict::Probe(vm.clone(), numbers));
                }
                Some(probe) if probe.until <= now => {
                    subject.probe = None;
                    subject.chen.restart(now);
                    verdicts.push(Verdict::Suspect(vm.clone()));
                }
                _ => {}
            }
        }
        self.numbers = numbers;
        verdicts
    }

    /// Gives everyone until `until`, after a pause of this node itself.
    pub fn extend(&mut self, until: Time) {
        for subject in self.subjects.values_mut() {
            subject.chen.extend(until);
            subject.probe = None;
        }
    }

    /// When the next silence or unanswered probe is to be judged.
    pub fn next(&self) -> Time {
        self.subjects
            .values()
            .map(|subject| match &subject.probe {
                Some(probe) => probe.until,
                None => subject.chen.deadline(),
            })
            .min()
            .unwrap_or(Time::NEVER)
    }
}
