//! Size of the upstream pool for bulky prompts, which follows the traffic mix with hysteresis.
//!
//! Bulky prompts are those for which [`LengthClass::is_bulky`] holds.
//!
//! Each node derives the size from the requests that it receives itself. The
//! load balancer distributes callers evenly, so nodes arrive at nearly the same
//! size without coordination. See
//! [docs/design/decisions.md](../../../../docs/design/decisions.md).

use std::time::Duration;

use crate::class::LengthClass;
use crate::time::Time;
use crate::units::Tokens;

/// Averaging window for the traffic mix.
pub const MIX_WINDOW: Duration = Duration::from_secs(30);

/// Minimum fraction of upstreams reserved for short and medium prompts.
pub const MIN_SHORT_FRACTION: f64 = 0.25;

/// Minimum difference between target and current pool size for a change, as a fraction of all
/// upstreams.
pub const DEADBAND: f64 = 0.05;

/// Minimum time between two changes of the pool size.
pub const MIN_CHANGE_INTERVAL: Duration = Duration::from_secs(10);

/// The traffic mix as one node sees it, and the pool size derived from it.
#[derive(Debug, Clone)]
pub struct PoolSplit {
    /// Decayed prefill work of bulky prompts.
    bulk: f64,
    /// Decayed prefill work of all other prompts.
    other: f64,
    decayed_at: Time,
    bulk_count: usize,
    total: usize,
    changed_at: Option<Time>,
}

impl PoolSplit {
    /// Creates a split without any recorded requests.
    #[must_use]
    pub const fn new(now: Time) -> Self {
        Self {
            bulk: 0.0,
            other: 0.0,
            decayed_at: now,
            bulk_count: 0,
            total: 0,
            changed_at: None,
        }
    }

    /// Records a request and its prefill work.
    pub fn on_request(&mut self, class: LengthClass, work: Tokens, now: Time) {
        self.decay(now);
        let sum = if class.is_bulky() {
            &mut self.bulk
        } else {
            &mut self.other
        };
        *sum += work.get() as f64;
    }

    /// The fraction of the prefill work that comes from bulky prompts.
    #[must_use]
    pub fn bulk_share(&self) -> f64 {
        let total = self.bulk + self.other;
        if total > 0.0 { self.bulk / total } else { 0.0 }
    }

    /// The number of upstreams, out of `total` open ones, that accept bulky prompts.
    pub fn bulk_upstreams(&mut self, total: usize, now: Time) -> usize {
        self.decay(now);
        let target = self.target(total);
        let recent = self
            .changed_at
            .is_some_and(|changed_at| now.since(changed_at) < MIN_CHANGE_INTERVAL);
        let near = target.abs_diff(self.bulk_count) as f64 <= total as f64 * DEADBAND;
        let missing = target > 0 && self.bulk_count == 0;
        if total != self.total || missing || (!near && !recent) {
            self.bulk_count = target;
            self.total = total;
            self.changed_at = Some(now);
        }
        self.bulk_count
    }

    fn target(&self, total: usize) -> usize {
        if self.bulk < 1.0 {
            return 0;
        }
        let most = (total as f64 * (1.0 - MIN_SHORT_FRACTION)).floor() as usize;
        let target = (total as f64 * self.bulk_share()).round() as usize;
        target.clamp(1.min(most), most.max(1.min(total)))
    }

    fn decay(&mut self, now: Time) {
        let elapsed = now.since(self.decayed_at).as_secs_f64() / MIX_WINDOW.as_secs_f64();
        self.decayed_at = self.decayed_at.max(now);
        let factor = (-elapsed).exp();
        self.bulk *= factor;
        self.other *= factor;
    }
}
