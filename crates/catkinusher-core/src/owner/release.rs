//! How permits end, and what the owner learns from it.

use std::time::Duration;

use super::{Limits, Outcome, Owner, Report};
use crate::cache::CacheEvent;
use crate::id::{Incarnation, RequestId};
use crate::ledger::Reservation;
use crate::time::Time;
use crate::units::Tokens;

impl Owner {
    /// Records that the first token of a request arrived, so that its prefill is done.
    ///
    /// A holder that cannot report this in time includes it in its [`Report`].
    pub fn on_first_token(&mut self, request: &RequestId, now: Time) {
        self.advance(now);
        if let Some(granted) = self.granted.get(request) {
            let took = now.since(granted.since);
            self.record_first_token(request, took);
        }
    }

    /// Returns a permit.
    pub fn release(&mut self, request: &RequestId, report: &Report, now: Time) {
        self.advance(now);
        if let Some(incarnation) = report.incarnation
            && incarnation > self.incarnation
        {
            if !matches!(report.outcome, Outcome::Failed | Outcome::Crashed) {
                self.exclude_from_crash(request);
            }
            self.on_restart(incarnation, now);
        }
        let known = self.granted.contains_key(request);
        if let Some(took) = report.time_to_first_token.filter(|_| known) {
            self.record_first_token(request, took);
        }
        let granted = self.granted.get(request).cloned();
        if self.remove_request(request).is_none() {
            return;
        }
        match report.outcome {
            Outcome::Done => {
                self.suspect_since = self.suspect_since.filter(|since| {
                    granted
                        .as_ref()
                        .is_some_and(|granted| granted.since < *since)
                });
                let counts = granted.filter(|granted| granted.since >= self.ramp.since());
                if let Some(granted) = counts {
                    self.cached_prefixes.on_run(&granted.prefix);
                    let slowness = granted.slowness.unwrap_or(1.0);
                    self.on_success(slowness, report.time_to_first_token, now);
                }
            }
            Outcome::Refused => self.on_overload(now),
            Outcome::Failed => {
                self.suspect_since.get_or_insert(now);
                self.record_broken(granted.and_then(|granted| granted.options.fingerprint), now);
            }
            Outcome::Crashed => {
                self.suspect_since.get_or_insert(now);
                if let Some(fingerprint) = granted.and_then(|granted| granted.options.fingerprint) {
                    self.record_broken(Some(fingerprint), now);
                    self.record_crash(now);
                }
            }
            Outcome::Unreached => {
                self.suspect_since.get_or_insert(now);
            }
            Outcome::Cancelled => {}
        }
    }

    /// Cancels a queued request or an unused permit.
    pub fn cancel(&mut self, request: &RequestId, now: Time) {
        self.advance(now);
        if self.dequeue(request).is_none() {
            self.remove_request(request);
        }
    }

    /// Applies an event of the engine's prefix cache.
    pub fn on_cache(&mut self, event: CacheEvent) {
        self.cached_prefixes.on_event(event);
    }

    /// Removes all state of a granted request and frees its memory.
    pub(super) fn remove_request(&mut self, request: &RequestId) -> Option<Reservation> {
        self.backlog.remove(request);
        let granted = self.granted.remove(request);
        self.isolated_request
            .take_if(|isolated| isolated == request);
        let lease = self.ledger.release(request)?;
        if let Some(granted) = granted {
            if granted.class.is_bulky() {
                self.bulk_memory = self.bulk_memory.saturating_sub(lease.memory);
            } else if granted.excess {
                self.excess_memory = self.excess_memory.saturating_sub(lease.memory);
            }
        }
        Some(lease)
    }

    /// Resets the state for a restarted upstream, which is cold and has lost its requests.
    pub(super) fn on_restart(&mut self, incarnation: Incarnation, now: Time) {
        let first = self.incarnation == Incarnation::default();
        self.incarnation = incarnation;
        if first {
            return;
        }
        self.record_crash(now);
        self.isolated_request = None;
        self.ledger.clear();
        self.backlog.clear();
        self.granted.clear();
        self.external.clear();
        self.bulk_memory = Tokens::ZERO;
        self.excess_memory = Tokens::ZERO;
        self.cached_prefixes.clear();
        self.ramp.restart(now);
        if let Some(pace) = &mut self.pace {
            pace.reset();
        }
    }

    fn record_first_token(&mut self, request: &RequestId, took: Duration) {
        let was_pending = self.backlog.remove(request);
        let Some(granted) = self.granted.get_mut(request) else {
            return;
        };
        let urgent = self.grants_by_priority[..usize::from(granted.priority)]
            .iter()
            .sum::<u64>();
        // A request that others overtook says nothing about the engine's speed.
        if !was_pending || urgent != granted.urgent_grants {
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
            self.cached_prefixes.clear();
        }
    }

    /// Lowers the limits after the upstream refused work within them, as it is colder than assumed.
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
