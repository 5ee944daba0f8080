//! A concurrency limit that follows what a plain upstream takes.
//!
//! Additive increase while the limit is in use and answers come as fast as
//! the best seen lately; multiplicative decrease on an overload or when
//! answers take much longer. The platform's figure caps it.

use std::time::Duration;

/// The share of the limit that an overload leaves.
pub const BACKOFF: f64 = 0.75;

/// How many times the least time an answer may take before the limit falls.
pub const TOLERANCE: f64 = 2.0;

/// How fast the least time is forgotten, per answer.
const DRIFT: f64 = 0.001;

/// The adaptive limit of one upstream.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    limit: f64,
    cap: f64,
    least: Option<f64>,
    mean: f64,
    hold: u32,
}

impl AdaptiveLimit {
    /// A limit that starts at half of `cap` and never passes it.
    #[must_use]
    pub fn new(cap: u32) -> Self {
        let cap = f64::from(cap.max(1));
        Self {
            limit: (cap / 2.0).max(1.0),
            cap,
            least: None,
            mean: 0.0,
            hold: 0,
        }
    }

    /// The calls to have open at most.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// How long an answer takes of late.
    #[must_use]
    pub fn mean_latency(&self) -> Duration {
        Duration::from_secs_f64(self.mean)
    }

    /// Notes an answer after `took`, with `open` calls open when it came.
    pub fn on_answer(&mut self, took: Duration, open: u32) {
        let took = took.as_secs_f64().max(1e-6);
        let least = self.least.map_or(took, |least| least.min(took));
        self.least = Some(least + least * DRIFT);
        self.mean = if self.mean > 0.0 {
            self.mean.mul_add(0.9, took * 0.1)
        } else {
            took
        };
        self.hold = self.hold.saturating_sub(1);
        if self.mean > least * TOLERANCE {
            self.fall();
        } else if f64::from(open) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.cap);
        }
    }

    /// Notes that the upstream refused or failed under load.
    pub fn on_overload(&mut self) {
        self.fall();
    }

    /// Falls at most once for each round of answers.
    fn fall(&mut self) {
        if self.hold > 0 {
            return;
        }
        self.limit = (self.limit * BACKOFF).max(1.0);
        self.hold = self.get();
    }
}
