//! What ends a permit, and what is learnt from it.

use std::time::Duration;

use super::{Limits, Outcome, Owner, Report};
use crate::cache::CacheEvent;
use crate::id::{Incarnation, RequestId};
use crate::ledger::Reservation;
use crate::time::Time;
use crate::units::Tokens;

impl Owner {
    /// Notes that the first token of a request came, so its prefill is over.
    ///
    /// A holder that cannot say so in time says it with its [`Report`].
    pub fn on_first_token(&mut self, request: &RequestId, now: Time) {
        self.advance(now);
        if let Some(granted) = self.granted.get(request) {
            let took = now.since(granted.since);
            self.on_first(request, took);
        }
    }

    /// Gives a permit back.
    pub fn release(&mut self, request: &RequestId, report: &Report, now: Time) {
        self.advance(now);
        if let Some(incarnation) = report.incarnation
            && incarnation > self.incarnation
        {
            if !matches!(report.outcome, Outcome::Failed | Outcome::Crashed) {
                self.acquit(request);
            }
            self.new_life(incarnation, now);
        }
        let known = self.granted.contains_key(request);
        if let Some(took) = report.time_to_first_token.filter(|_| known) {
            self.on_first(request, took);
        }
        let granted = self.granted.get(request).cloned();
        if self.forget(request).is_none() {
            return;
        }
        match report.outcome {
            Outcome::Done => {
                self.suspect = self.suspect.filter(|since| {
                    granted
                        .as_ref()
                        .is_some_and(|granted| granted.since < *since)
                });
                let counts = granted.filter(|granted| granted.since >= self.ramp.since());
                if let Some(granted) = counts {
                    self.known.on_run(&granted.prefix);
                    let slowness = granted.slowness.unwrap_or(1.0);
                    self.on_success(slowness, report.time_to_first_token, now);
                }
            }
            Outcome::Refused => self.on_overload(now),
            Outcome::Failed => {
                self.suspect.get_or_insert(now);
                self.note_broken(granted.and_then(|granted| granted.terms.fingerprint), now);
            }
            Outcome::Crashed => {
                self.suspect.get_or_insert(now);
                if let Some(print) = granted.and_then(|granted| granted.terms.fingerprint) {
                    self.note_broken(Some(print), now);
                    self.note_crash(now);
                }
            }
            Outcome::Unreached => {
                self.suspect.get_or_insert(now);
            }
            Outcome::Cancelled => {}
        }
    }

    /// Takes back an ask that waits, or a permit that was not used.
    pub fn cancel(&mut self, request: &RequestId, now: Time) {
        self.advance(now);
        if self.dequeue(request).is_none() {
            self.forget(request);
        }
    }

    /// Notes an event of the engine's prefix cache.
    pub fn on_cache(&mut self, event: CacheEvent) {
        self.known.on_event(event);
    }

    /// Frees all that stands here for a request.
    pub(super) fn forget(&mut self, request: &RequestId) -> Option<Reservation> {
        self.backlog.remove(request);
        let granted = self.granted.remove(request);
        self.lone.take_if(|lone| lone == request);
        let lease = self.ledger.release(request)?;
        if let Some(granted) = granted {
            if granted.class.is_bulky() {
                self.bulk = self.bulk.saturating_sub(lease.memory);
            } else if granted.excess {
                self.lent = self.lent.saturating_sub(lease.memory);
            }
        }
        Some(lease)
    }

    /// The upstream started again: what it held is gone, and it is cold.
    pub(super) fn new_life(&mut self, incarnation: Incarnation, now: Time) {
        let first = self.incarnation == Incarnation::default();
        self.incarnation = incarnation;
        if first {
            return;
        }
        self.note_crash(now);
        self.lone = None;
        self.ledger.clear();
        self.backlog.clear();
        self.granted.clear();
        self.strangers.clear();
        self.bulk = Tokens::ZERO;
        self.lent = Tokens::ZERO;
        self.known.clear();
        self.ramp.restart(now);
        if let Some(pace) = &mut self.pace {
            pace.reset();
        }
    }

    fn on_first(&mut self, request: &RequestId, took: Duration) {
        let was_open = self.backlog.remove(request);
        let Some(granted) = self.granted.get_mut(request) else {
            return;
        };
        let urgent = self.grants[..usize::from(granted.priority)]
            .iter()
            .sum::<u64>();
        // One that was overtaken says nothing about the engine's speed.
        if !was_open || urgent != granted.urgent {
            return;
        }
        if let Some(pace) = &mut self.pace {
            granted.slowness = Some(pace.observe(granted.expected, took));
        }
    }

    fn on_success(&mut self, slowness: f64, took: Option<Duration>, now: Time) {
        if let (Some(adaptive), Some(took)) = (&mut self.adaptive, took) {
            adaptive.on_answer(took, self.ledger.streams() + 1);
        }
        if self.ramp.on_success(slowness, now) {
            self.known.clear();
        }
    }

    /// The upstream refused work that should have fitted: it is colder than it was taken for.
    fn on_overload(&mut self, now: Time) {
        match self.limits {
            Limits::Engine(_) => self.ramp.restart(now),
            Limits::Plain(_) => {
                if let Some(adaptive) = &mut self.adaptive {
                    adaptive.on_overload();
                }
            }
        }
    }
}
