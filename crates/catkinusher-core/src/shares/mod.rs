//! How many upstreams take long prompts, following the mix with hysteresis.
//!
//! Every node works this out from the requests that it sees itself; since the
//! balancer spreads callers evenly, nodes come to nearly the same count
//! without a word. See [docs/design/decisions.md](../../../../docs/design/decisions.md).

use std::time::Duration;

use crate::class::LengthClass;
use crate::time::Time;
use crate::units::Tokens;

/// The time over which the mix is averaged.
pub const WINDOW: Duration = Duration::from_secs(30);

/// The share of upstreams that long prompts never take.
pub const SHORT_FLOOR: f64 = 0.25;

/// How far the aim must be from the present count to move it, as a share of all.
pub const DEADBAND: f64 = 0.05;

/// The least time between two moves.
pub const HOLD: Duration = Duration::from_secs(10);

/// The mix as one node sees it, and the split that follows from it.
#[derive(Debug, Clone)]
pub struct PoolSplit {
    bulk: f64,
    rest: f64,
    clock: Time,
    count: usize,
    total: usize,
    moved: Option<Time>,
}

impl PoolSplit {
    /// Nothing seen yet.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            bulk: 0.0,
            rest: 0.0,
            clock: now,
            count: 0,
            total: 0,
            moved: None,
        }
    }

    /// Notes a request and the prefill that it brings.
    pub fn on_request(&mut self, class: LengthClass, work: Tokens, now: Time) {
        self.decay(now);
        let part = if class.is_bulky() {
            &mut self.bulk
        } else {
            &mut self.rest
        };
        *part += work.get() as f64;
    }

    /// The share of the work that long prompts bring.
    #[must_use]
    pub fn bulk_share(&self) -> f64 {
        let all = self.bulk + self.rest;
        if all > 0.0 { self.bulk / all } else { 0.0 }
    }

    /// How many of `total` open upstreams take long prompts now.
    pub fn bulk_upstreams(&mut self, total: usize, now: Time) -> usize {
        self.decay(now);
        let aim = self.aim(total);
        let settled = self.moved.is_some_and(|moved| now.since(moved) < HOLD);
        let near = aim.abs_diff(self.count) as f64 <= total as f64 * DEADBAND;
        let lost = aim > 0 && self.count == 0;
        if total != self.total || lost || (!near && !settled) {
            self.count = aim;
            self.total = total;
            self.moved = Some(now);
        }
        self.count
    }

    fn aim(&self, total: usize) -> usize {
        if self.bulk < 1.0 {
            return 0;
        }
        let most = (total as f64 * (1.0 - SHORT_FLOOR)).floor() as usize;
        let aim = (total as f64 * self.bulk_share()).round() as usize;
        aim.clamp(1.min(most), most.max(1.min(total)))
    }

    fn decay(&mut self, now: Time) {
        let gone = now.since(self.clock).as_secs_f64() / WINDOW.as_secs_f64();
        self.clock = self.clock.max(now);
        let left = (-gone).exp();
        self.bulk *= left;
        self.rest *= left;
    }
}
