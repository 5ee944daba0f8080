//! How long a node may act on state that it read from the store.
//!
//! A revoked key must stop working on all nodes within a bound, including those
//! that cannot read the store. A node therefore serves keyed requests only
//! while a read that *began* recently has confirmed its state. The time at which
//! the response arrived proves nothing, as it may have been delayed. All times
//! must come from a clock that advances while the machine is suspended.

use std::time::Duration;

use crate::time::Time;

/// When the state was last confirmed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed: Option<Time>,
}

impl Freshness {
    /// Records that a read which began at `began` has confirmed the state.
    pub fn on_confirmed(&mut self, began: Time) {
        self.confirmed = self.confirmed.max(Some(began));
    }

    /// The time since the confirming read began, or `None` if there was none.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Whether the state was confirmed less than `limit` ago.
    #[must_use]
    pub fn within(&self, limit: Duration, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

/// Tracks whether a response of the store is the first after an outage.
///
/// Entries may expire during an outage of the store, and are then missing from
/// the first response after it. Entries that are removed later belong to
/// upstreams that left on purpose, however recent the outage.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreOutage {
    failures: u32,
}

impl StoreOutage {
    /// Records a failed call, and returns the number of consecutive failures.
    pub const fn on_failure(&mut self) -> u32 {
        self.failures += 1;
        self.failures
    }

    /// Whether the next response is the first after a failure.
    #[must_use]
    pub const fn is_ongoing(&self) -> bool {
        self.failures > 0
    }

    /// Records a response, and returns the number of calls that had failed before it.
    pub const fn on_answer(&mut self) -> u32 {
        std::mem::replace(&mut self.failures, 0)
    }
}
