//! An adaptive concurrency limit for plain upstreams.
//!
//! The limit follows AIMD: it increases additively while it is in use and
//! latency stays close to the recent minimum, and decreases multiplicatively
//! on overload or when latency rises well above the minimum. The platform's
//! configured concurrency is the upper bound.

use std::time::Duration;

/// Factor by which the limit is multiplied on each decrease.
pub const BACKOFF: f64 = 0.75;

/// Ratio of mean to minimum latency above which the limit decreases.
pub const LATENCY_TOLERANCE: f64 = 2.0;

/// Relative increase of the recorded minimum latency per answer, so that an old minimum expires.
const MIN_LATENCY_DRIFT: f64 = 0.001;

/// The adaptive concurrency limit of one upstream.
#[derive(Debug, Clone)]
pub struct AdaptiveLimit {
    limit: f64,
    cap: f64,
    min_latency: Option<f64>,
    mean_latency: f64,
    /// Answers to wait for before the next decrease.
    cooldown: u32,
}

impl AdaptiveLimit {
    /// Creates a limit that starts at half of `cap` and never exceeds it.
    #[must_use]
    pub fn new(cap: u32) -> Self {
        let cap = f64::from(cap.max(1));
        Self {
            limit: (cap / 2.0).max(1.0),
            cap,
            min_latency: None,
            mean_latency: 0.0,
            cooldown: 0,
        }
    }

    /// Maximum number of open calls.
    #[must_use]
    pub fn get(&self) -> u32 {
        self.limit as u32
    }

    /// Moving average of the latency.
    #[must_use]
    pub fn mean_latency(&self) -> Duration {
        Duration::from_secs_f64(self.mean_latency)
    }

    /// Records an answer with latency `took` that arrived while `open` calls were open.
    pub fn on_answer(&mut self, took: Duration, open: u32) {
        let took = took.as_secs_f64().max(1e-6);
        let min_latency = self.min_latency.map_or(took, |latency| latency.min(took));
        self.min_latency = Some(min_latency + min_latency * MIN_LATENCY_DRIFT);
        self.mean_latency = if self.mean_latency > 0.0 {
            self.mean_latency.mul_add(0.9, took * 0.1)
        } else {
            took
        };
        self.cooldown = self.cooldown.saturating_sub(1);
        if self.mean_latency > min_latency * LATENCY_TOLERANCE {
            self.decrease();
        } else if f64::from(open) * 2.0 >= self.limit {
            self.limit = (self.limit + 1.0 / self.limit).min(self.cap);
        }
    }

    /// Records that the upstream refused a call or failed under load.
    pub fn on_overload(&mut self) {
        self.decrease();
    }

    /// Decreases the limit, at most once per round of answers.
    fn decrease(&mut self) {
        if self.cooldown > 0 {
            return;
        }
        self.limit = (self.limit * BACKOFF).max(1.0);
        self.cooldown = self.get();
    }
}
