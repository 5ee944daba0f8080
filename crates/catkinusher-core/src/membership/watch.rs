//! The failure detector: the monitored members and the probes of silent ones.

use std::collections::BTreeMap;
use std::time::Duration;

use super::chen::ArrivalEstimator;
use crate::id::VmId;
use crate::time::Time;

/// The most pings that a node relays for others at a time.
const RELAY_LIMIT: usize = 64;

/// A probe that awaits its answer.
#[derive(Debug, Clone)]
struct Probe {
    number: u32,
    until: Time,
}

#[derive(Debug, Clone)]
struct Monitored {
    estimator: ArrivalEstimator,
    probe: Option<Probe>,
}

/// A ping sent on behalf of another member.
#[derive(Debug, Clone)]
struct Relay {
    requester: VmId,
    number: u32,
    until: Time,
}

/// The next step for a silent member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Action {
    /// Probe it with this number, directly and through other members.
    Probe(VmId, u32),
    /// Suspect it, since no probe was answered.
    Suspect(VmId),
}

/// Monitors a set of members for missed heartbeats.
#[derive(Debug, Clone, Default)]
pub(super) struct FailureDetector {
    monitored: BTreeMap<VmId, Monitored>,
    relays: BTreeMap<u32, Relay>,
    last_number: u32,
}

impl FailureDetector {
    /// Replaces the set of monitored members; those in both sets keep their estimators.
    pub fn set_monitored<I>(&mut self, monitored: I, period: Duration, margin: Duration, now: Time)
    where
        I: IntoIterator<Item = VmId>,
    {
        let mut previous = std::mem::take(&mut self.monitored);
        for vm in monitored {
            let member = previous.remove(&vm).unwrap_or_else(|| Monitored {
                estimator: ArrivalEstimator::new(period, margin, now),
                probe: None,
            });
            self.monitored.insert(vm, member);
        }
    }

    pub fn on_heartbeat(&mut self, vm: &VmId, seq: u64, now: Time) {
        if let Some(member) = self.monitored.get_mut(vm) {
            member.estimator.on_heartbeat(seq, now);
            member.probe = None;
        }
    }

    /// Resets the estimator of a member that has restarted.
    pub fn on_restart(&mut self, vm: &VmId, now: Time) {
        if let Some(member) = self.monitored.get_mut(vm) {
            member.estimator.restart(now);
            member.probe = None;
        }
    }

    /// Handles an ack; if it answers a relayed ping, returns the requester and its number.
    pub fn on_ack(&mut self, number: u32, now: Time) -> Option<(VmId, u32)> {
        let probed = self
            .monitored
            .values_mut()
            .find(|member| member.probe.as_ref().is_some_and(|p| p.number == number));
        if let Some(member) = probed {
            member.estimator.restart(now);
            member.probe = None;
            return None;
        }
        self.relays
            .remove(&number)
            .map(|relay| (relay.requester, relay.number))
    }

    /// Registers a relayed ping and returns its number, unless too many are in flight.
    pub fn start_relay(&mut self, requester: &VmId, number: u32, until: Time) -> Option<u32> {
        if self.relays.len() >= RELAY_LIMIT {
            return None;
        }
        let own = self.next_number();
        let relay = Relay {
            requester: requester.clone(),
            number,
            until,
        };
        self.relays.insert(own, relay);
        Some(own)
    }

    /// Allocates the number of a ping.
    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Returns the members to probe or to suspect at `now`, and drops expired relays.
    pub fn poll(&mut self, wait: Duration, now: Time) -> Vec<Action> {
        self.relays.retain(|_, relay| relay.until > now);
        let mut actions = Vec::new();
        let mut last_number = self.last_number;
        for (vm, member) in &mut self.monitored {
            match &member.probe {
                None if member.estimator.deadline() <= now => {
                    last_number = last_number.wrapping_add(1);
                    let until = now + wait;
                    member.probe = Some(Probe {
                        number: last_number,
                        until,
                    });
                    actions.push(Action::Probe(vm.clone(), last_number));
                }
                Some(probe) if probe.until <= now => {
                    member.probe = None;
                    member.estimator.restart(now);
                    actions.push(Action::Suspect(vm.clone()));
                }
                _ => {}
            }
        }
        self.last_number = last_number;
        actions
    }

    /// Postpones all deadlines to `until` and cancels all probes, after a pause of this node.
    pub fn extend(&mut self, until: Time) {
        for member in self.monitored.values_mut() {
            member.estimator.extend(until);
            member.probe = None;
        }
    }

    /// The next deadline of a heartbeat or a probe.
    pub fn next_deadline(&self) -> Time {
        self.monitored
            .values()
            .map(|member| match &member.probe {
                Some(probe) => probe.until,
                None => member.estimator.deadline(),
            })
            .min()
            .unwrap_or(Time::NEVER)
    }
}
