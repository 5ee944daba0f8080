//! Slow start: the stream limit of an upstream while it warms up.
//!
//! The limit starts at the number of streams that a cold upstream can serve,
//! grows by an equal amount with each success, and is reset when the upstream
//! turns out to be cold. The upstream's owner keeps it, so it does not depend
//! on how many nodes use the upstream.

use std::time::Duration;

use crate::time::Time;

/// Slowdown relative to the predicted duration above which an answer suggests a cold upstream.
pub const SLOW_FACTOR: f64 = 3.0;

/// Number of consecutive slow answers after which the upstream is considered cold.
pub const SLOW_ANSWER_LIMIT: u32 = 3;

/// Number of successes after which a cold upstream reaches its full limit.
pub const WARM_SUCCESSES: u32 = 32;

/// The warm-up state of one upstream.
#[derive(Debug, Clone)]
pub struct Ramp {
    cold: u32,
    full: u32,
    successes: u32,
    consecutive_slow: u32,
    cold_since: Time,
}

impl Ramp {
    /// Creates the state of a cold upstream that serves `cold` streams now and `full` once warm.
    #[must_use]
    pub fn new(cold: u32, full: u32, now: Time) -> Self {
        Self {
            cold: cold.min(full),
            full,
            successes: 0,
            consecutive_slow: 0,
            cold_since: now,
        }
    }

    /// The number of streams that the upstream may serve now.
    #[must_use]
    pub const fn stream_limit(&self) -> u32 {
        let growth = (self.full - self.cold) as u64 * self.successes as u64;
        self.cold + (growth / WARM_SUCCESSES as u64) as u32
    }

    /// Whether the upstream is still warming up.
    #[must_use]
    pub const fn is_cold(&self) -> bool {
        self.successes < WARM_SUCCESSES
    }

    /// When the upstream was last found cold.
    #[must_use]
    pub const fn since(&self) -> Time {
        self.cold_since
    }

    /// Records a success that took `slowdown` times the predicted duration.
    ///
    /// Returns whether the upstream turned out to be cold.
    pub fn on_success(&mut self, slowdown: f64, now: Time) -> bool {
        // Slow answers are expected during warm-up.
        if slowdown > SLOW_FACTOR && !self.is_cold() {
            return self.on_slow(now);
        }
        self.consecutive_slow = 0;
        self.successes = WARM_SUCCESSES.min(self.successes + 1);
        false
    }

    /// Resets the limit to that of a cold upstream.
    pub fn restart(&mut self, now: Time) {
        self.successes = 0;
        self.consecutive_slow = 0;
        self.cold_since = now;
    }

    /// Marks the upstream as warm.
    pub const fn mark_warm(&mut self) {
        self.successes = WARM_SUCCESSES;
    }

    /// Time since the upstream was last found cold.
    #[must_use]
    pub fn age(&self, now: Time) -> Duration {
        now.since(self.cold_since)
    }

    fn on_slow(&mut self, now: Time) -> bool {
        self.consecutive_slow += 1;
        if self.consecutive_slow < SLOW_ANSWER_LIMIT {
            return false;
        }
        self.restart(now);
        true
    }
}
