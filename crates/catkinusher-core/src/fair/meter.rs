//! An exponentially weighted rate meter.

use std::time::Duration;

use crate::time::Time;

/// A rate per second, averaged with exponentially decaying weights.
#[derive(Debug, Clone, Copy)]
pub struct Meter {
    window: Duration,
    rate: f64,
    updated_at: Time,
}

impl Meter {
    /// Creates a meter with this averaging window.
    #[must_use]
    pub const fn new(window: Duration, now: Time) -> Self {
        Self {
            window,
            rate: 0.0,
            updated_at: now,
        }
    }

    /// Adds an amount that arrived at `now`.
    pub fn add(&mut self, amount: f64, now: Time) {
        self.rate = self.at(now) + amount / self.window.as_secs_f64();
        self.updated_at = now;
    }

    /// The rate per second at `now`.
    #[must_use]
    pub fn at(&self, now: Time) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64() / self.window.as_secs_f64();
        self.rate * (-elapsed).exp()
    }
}
