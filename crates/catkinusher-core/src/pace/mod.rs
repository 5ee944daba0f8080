//! Prefill and decode speed of an engine under load.
//!
//! Derived from the declared rates and corrected by observed durations.

use std::time::Duration;

use crate::inventory::EngineLimits;
use crate::units::{Rate, Tokens};

/// Weight of one observation in the moving average, for a prefill much longer than a step.
const GAIN: f64 = 0.1;

/// Bounds of the correction factor by which the base rate is multiplied.
const CORRECTION_BOUNDS: (f64, f64) = (0.1, 2.0);

/// The estimated speed of one engine.
#[derive(Debug, Clone)]
pub struct Pace {
    /// Prefill rate in prompt tokens per second, from the declared rates. With chunked
    /// prefill, the time to generate one token is included in each step.
    base_rate: f64,
    step_time: Duration,
    token_time: Duration,
    correction: f64,
}

impl Pace {
    /// The pace given by the declared rates.
    #[must_use]
    pub fn new(limits: &EngineLimits) -> Self {
        let token_time = limits.decode.time_for(1);
        // Each prefill step also generates one token for every stream.
        let (base_rate, step_time) = match limits.chunk {
            Some(chunk) => {
                let step_time = limits.prefill.time_for(chunk.get()) + token_time;
                (
                    chunk.get() as f64 / step_time.as_secs_f64().max(1e-9),
                    step_time,
                )
            }
            None => (limits.prefill.get(), token_time),
        };
        Self {
            base_rate,
            step_time,
            token_time,
            correction: 1.0,
        }
    }

    /// Prefill rate in prompt tokens per second.
    #[must_use]
    pub fn rate(&self) -> Rate {
        Rate::per_second(self.base_rate * self.correction)
    }

    /// Predicted duration of a prefill of this many tokens.
    #[must_use]
    pub fn prefill_time(&self, work: Tokens) -> Duration {
        self.rate().time_for(work.get())
    }

    /// Predicted duration of generating this many tokens after the first one.
    #[must_use]
    pub fn decode_time(&self, output: Tokens) -> Duration {
        // Each token may have to wait for a full prefill step.
        let step_time = self.step_time.div_f64(self.correction.min(1.0));
        step_time.saturating_mul(u32::try_from(output.get()).unwrap_or(u32::MAX))
    }

    /// Duration of one step without prefill.
    #[must_use]
    pub const fn token_time(&self) -> Duration {
        self.token_time
    }

    /// Duration of one step with a full prefill chunk.
    #[must_use]
    pub const fn step_time(&self) -> Duration {
        self.step_time
    }

    /// Records that a prefill predicted to take `expected` took `actual`.
    ///
    /// Returns how many times slower than the declared rates the prefill was.
    pub fn observe(&mut self, expected: Duration, actual: Duration) -> f64 {
        let expected = expected.as_secs_f64();
        let actual = actual.as_secs_f64();
        // The first token always takes one step, which says nothing about the prefill rate.
        let floor = self.token_time.as_secs_f64().max(1e-6);
        let ratio = ((expected + floor) / (actual + floor)).clamp(0.2, 5.0);
        let target = self.correction * ratio;
        // A prefill that was expected to be short says little about the rate.
        let weight = expected / (expected + self.step_time.as_secs_f64().max(1e-6));
        let next = self.correction + (target - self.correction) * GAIN * weight;
        let slowness = 1.0 / (self.correction * ratio);
        self.correction = next.clamp(CORRECTION_BOUNDS.0, CORRECTION_BOUNDS.1);
        slowness
    }

    /// Discards all observations, for example after an engine restart.
    pub fn reset(&mut self) {
        self.correction = 1.0;
    }
}
