//! What requests under way cost an upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::Tokens;

/// A request under way, as its node names it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Work(u64);

impl Work {
    pub(super) const fn new(number: u64) -> Self {
        Self(number)
    }

    pub(super) const fn get(self) -> u64 {
        self.0
    }
}

/// What one request costs one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// Whether it is a long prompt.
    pub long: bool,
    /// How long the upstream reads.
    pub reading: Duration,
    /// The tokens that it holds until its end.
    pub held: Tokens,
}

/// What requests under way cost an upstream in sum.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests of short prompts.
    pub shorts: u32,
    /// Requests of long prompts.
    pub longs: u32,
    /// How long it still reads, in milliseconds.
    pub unread: u64,
    /// The tokens held.
    pub held: u64,
}

impl Load {
    /// Requests under way.
    #[must_use]
    pub const fn answers(&self) -> u32 {
        self.shorts + self.longs
    }

    /// Whether nothing is under way.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.shorts == 0 && self.longs == 0 && self.unread == 0
    }

    pub(super) const fn merge(&mut self, other: &Self) {
        self.shorts += other.shorts;
        self.longs += other.longs;
        self.unread += other.unread;
        self.held += other.held;
    }

    pub(super) const fn add(&mut self, cost: &Cost) {
        if cost.long {
            self.longs += 1;
        } else {
            self.shorts += 1;
        }
        self.unread += cost.reading.as_millis() as u64;
        self.held += cost.held.get();
    }

    pub(super) const fn on_read(&mut self, cost: &Cost) {
        let read = cost.reading.as_millis() as u64;
        self.unread = self.unread.saturating_sub(read);
    }

    pub(super) const fn remove(&mut self, cost: &Cost) {
        if cost.long {
            self.longs = self.longs.saturating_sub(1);
        } else {
            self.shorts = self.shorts.saturating_sub(1);
        }
        self.held = self.held.saturating_sub(cost.held.get());
    }
}
