//! How long a node may act on what it last read from the store.
//!
//! A key that was taken away must stop working everywhere within a bound, also
//! at a node that cannot read the store. So a node keeps serving keyed
//! requests only while a read that *began* recently has confirmed what it
//! believes: the moment of an answer proves nothing, as it may have been on its
//! way for long. Moments come from a clock that counts suspension.

use std::time::Duration;

use crate::time::Time;

/// When a belief was last confirmed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed: Option<Time>,
}

impl Freshness {
    /// Takes in that a read which began at `began` has confirmed the belief.
    pub fn on_confirmed(&mut self, began: Time) {
        self.confirmed = self.confirmed.max(Some(began));
    }

    /// How long ago the confirming read began, or nothing if there was none.
    #[must_use]
    pub fn age(&self, now: Time) -> Option<Duration> {
        self.confirmed.map(|at| now.since(at))
    }

    /// Whether the belief was confirmed within `limit`.
    #[must_use]
    pub fn within(&self, limit: Duration, now: Time) -> bool {
        self.age(now).is_some_and(|age| age < limit)
    }
}

/// Whether the store was away until the answer that has just come.
///
/// Entries may lapse while the store is away, and what has lapsed is missing
/// from the first answer after it. What is removed later has left, even if the
/// store was away a moment ago.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct StoreOutage {
    failures: u32,
}

impl StoreOutage {
    /// Takes in that a call failed, and tells how many have failed in a row.
    pub const fn on_failure(&mut self) -> u32 {
        self.failures += 1;
        self.failures
    }

    /// Whether the next answer is the first after a failure.
    #[must_use]
    pub const fn is_ongoing(&self) -> bool {
        self.failures > 0
    }

    /// Takes in an answer, and tells how many calls had failed before it.
    pub const fn on_answer(&mut self) -> u32 {
        std::mem::replace(&mut self.failures, 0)
    }
}
