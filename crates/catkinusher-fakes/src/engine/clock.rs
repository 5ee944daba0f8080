//! The engine's time, which may run faster than ours and stands still in a freeze.

use std::time::Duration;

use catkinusher_core::time::Time;
use tokio::time::Instant;

#[derive(Debug, Clone)]
pub(super) struct Clock {
    origin: Instant,
    speed: f64,
    frozen: Option<Instant>,
    /// How long it stood still before.
    stood: Duration,
}

impl Clock {
    pub(super) fn new(speed: f64) -> Self {
        Self {
            origin: Instant::now(),
            speed,
            frozen: None,
            stood: Duration::ZERO,
        }
    }

    pub(super) fn now(&self) -> Time {
        let at = self.frozen.unwrap_or_else(Instant::now);
        let gone = (at - self.origin).saturating_sub(self.stood);
        Time::ZERO + gone.mul_f64(self.speed)
    }

    /// When it will be `time`, if the clock runs on.
    pub(super) fn instant(&self, time: Time) -> Instant {
        let gone = time.since(Time::ZERO).div_f64(self.speed);
        self.origin + self.stood + gone + Duration::from_micros(1)
    }

    /// A span of the engine's time in ours.
    pub(super) fn real(&self, span: Duration) -> Duration {
        span.div_f64(self.speed)
    }

    pub(super) fn is_frozen(&self) -> bool {
        self.frozen.is_some()
    }

    pub(super) fn freeze(&mut self, freeze: bool) {
        match (self.frozen, freeze) {
            (None, true) => self.frozen = Some(Instant::now()),
            (Some(since), false) => {
                self.stood += since.elapsed();
                self.frozen = None;
            }
            _ => {}
        }
    }
}
