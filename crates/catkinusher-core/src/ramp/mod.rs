//! How many streams an upstream bears while it warms up.
//!
//! The level starts at what a cold upstream bears, grows in equal parts
//! with each success, and starts again when the upstream turns out
//! cold. It is kept by the upstream's owner, so it does not depend on how
//! many nodes want the upstream.

use std::time::Duration;

use crate::time::Time;

/// How many times slower than its model an answer is when its upstream may be cold.
pub const SLOW_FACTOR: f64 = 3.0;

/// How many slow answers in a row mean that the upstream is cold.
pub const SLOW_RUN: u32 = 3;

/// How many successes bring a cold upstream to its full level.
pub const WARM_SUCCESSES: u32 = 32;

/// The level of one upstream.
#[derive(Debug, Clone)]
pub struct Ramp {
    cold: u32,
    full: u32,
    successes: u32,
    slow: u32,
    since: Time,
}

impl Ramp {
    /// A cold upstream that bears `cold` streams now and `full` once warm.
    #[must_use]
    pub fn new(cold: u32, full: u32, now: Time) -> Self {
        Self {
            cold: cold.min(full),
            full,
            successes: 0,
            slow: 0,
            since: now,
        }
    }

    /// The streams that it bears now.
    #[must_use]
    pub const fn stream_limit(&self) -> u32 {
        let growth = (self.full - self.cold) as u64 * self.successes as u64;
        self.cold + (growth / WARM_SUCCESSES as u64) as u32
    }

    /// Whether it is still warming up.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.successes < WARM_SUCCESSES
    }

    /// When it was last found cold.
    #[must_use]
    pub const fn since(&self) -> Time {
        self.since
    }

    /// Notes a success that took `pace` times what the model says.
    ///
    /// Returns whether the upstream turned out cold.
    pub fn on_success(&mut self, pace: f64, now: Time) -> bool {
        // While it warms up it is slow as a matter of course.
        if pace > SLOW_FACTOR && !self.is_cold() {
            return self.on_slow(now);
        }
        self.slow = 0;
        self.successes = WARM_SUCCESSES.min(self.successes + 1);
        false
    }

    /// Starts again from what a cold upstream bears.
    pub fn restart(&mut self, now: Time) {
        self.successes = 0;
        self.slow = 0;
        self.since = now;
    }

    /// Takes the upstream for warm.
    pub const fn mark_warm(&mut self) {
        self.successes = WARM_SUCCESSES;
    }

    /// How long it has been warming up.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.since)
    }

    fn on_slow(&mut self, now: Time) -> bool {
        self.slow += 1;
        if self.slow < SLOW_RUN {
            return false;
        }
        self.restart(now);
        true
    }
}
