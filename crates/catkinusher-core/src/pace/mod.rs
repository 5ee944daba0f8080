//! How fast an engine prefills beside its streams, from its rates and from what is seen.

use std::time::Duration;

use crate::inventory::EngineLimits;
use crate::units::{Rate, Tokens};

/// The weight of one observation.
const GAIN: f64 = 0.1;

/// The least and greatest correction of the rates that operators declare.
const BOUNDS: (f64, f64) = (0.1, 2.0);

/// The effective speed of one engine.
#[derive(Debug, Clone)]
pub struct Pace {
    model: f64,
    step: Duration,
    token: Duration,
    factor: f64,
}

impl Pace {
    /// The pace that the declared rates promise.
    #[must_use]
    pub fn new(limits: &EngineLimits) -> Self {
        let token = limits.decode.time_for(1);
        // Each step of prefill carries one token of every stream, too.
        let (model, step) = match limits.chunk {
            Some(chunk) => {
                let step = limits.prefill.time_for(chunk.get()) + token;
                (chunk.get() as f64 / step.as_secs_f64().max(1e-9), step)
            }
            None => (limits.prefill.get(), token),
        };
        Self {
            model,
            step,
            token,
            factor: 1.0,
        }
    }

    /// Prompt tokens a second.
    #[must_use]
    pub fn rate(&self) -> Rate {
        Rate::per_second(self.model * self.factor)
    }

    /// How long a prefill of this many tokens takes.
    #[must_use]
    pub fn prefill_time(&self, work: Tokens) -> Duration {
        self.rate().time_for(work.get())
    }

    /// How long it takes to generate this many tokens after the first.
    #[must_use]
    pub fn decode_time(&self, output: Tokens) -> Duration {
        // A token may have to wait for a whole step of prefill.
        let step = self.step.div_f64(self.factor.min(1.0));
        step.saturating_mul(u32::try_from(output.get()).unwrap_or(u32::MAX))
    }

    /// The time of one step without prefill.
    #[must_use]
    pub const fn token_time(&self) -> Duration {
        self.token
    }

    /// The time of one step with a full piece of prefill.
    #[must_use]
    pub const fn step_time(&self) -> Duration {
        self.step
    }

    /// Notes that a prefill predicted to take `expected` took `actual`.
    ///
    /// Answers how many times slower than the declared rates that was.
    pub fn observe(&mut self, expected: Duration, actual: Duration) -> f64 {
        let expected = expected.as_secs_f64();
        let actual = actual.as_secs_f64();
        // A first token takes a step in any case, which says nothing about prefill.
        let floor = self.token.as_secs_f64().max(1e-6);
        let ratio = ((expected + floor) / (actual + floor)).clamp(0.2, 5.0);
        let aim = self.factor * ratio;
        // Where little was to be prefilled, little is learned of its speed.
        let weight = expected / (expected + self.step.as_secs_f64().max(1e-6));
        let next = self.factor + (aim - self.factor) * GAIN * weight;
        let slowness = 1.0 / (self.factor * ratio);
        self.factor = next.clamp(BOUNDS.0, BOUNDS.1);
        slowness
    }

    /// Forgets what was seen, as after a restart.
    pub fn reset(&mut self) {
        self.factor = 1.0;
    }
}
