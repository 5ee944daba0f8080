//! The number of engines assigned to each kind of work.

use std::time::Duration;

use super::{Candidate, Policy};
use crate::engine::EngineProfile;
use crate::time::Time;

/// One in this many engines is reserved for long prompts, whatever the number of short ones.
const LONG_POOL_DIVISOR: usize = 8;

/// At most one in this many engines for long prompts answers them.
const WRITER_POOL_DIVISOR: usize = 3;

/// A number of engines that rises immediately and falls only after a delay.
#[derive(Debug, Clone, Copy, Default)]
struct DelayedCount {
    count: usize,
    needed_at: Time,
}

impl DelayedCount {
    fn update(&mut self, wanted: usize, shrink_delay: Duration, now: Time) -> usize {
        if wanted >= self.count || now.since(self.needed_at) >= shrink_delay {
            self.count = wanted;
            self.needed_at = now;
        }
        self.count
    }
}

/// The sizes of the engine pools of one service.
///
/// All nodes compute them from the same loads, so they differ between nodes by
/// about one engine, and only until the next load report arrives.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::fleet) struct PoolSizes {
    shorts: DelayedCount,
    writers: DelayedCount,
}

impl PoolSizes {
    /// The number of engines for short prompts, from the front of the order.
    pub(super) fn short_engines(
        &mut self,
        engines: &[Candidate<'_>],
        profile: &EngineProfile,
        policy: &Policy,
        now: Time,
    ) -> usize {
        let count = engines.len();
        let active: u32 = engines
            .iter()
            .map(|candidate| candidate.load.short_requests)
            .sum();
        let per_engine = f64::from(profile.slots) * policy.fill_ratio;
        let wanted = (f64::from(active + 1) / per_engine.max(1.0)).ceil() as usize;
        let max = count
            .saturating_sub((count / LONG_POOL_DIVISOR).max(1))
            .max(1);
        self.shorts
            .update(wanted.clamp(1, max), policy.shrink_delay, now)
            .min(count.saturating_sub(1))
    }

    /// The number of engines that answer long prompts, from the front of those for long prompts.
    pub(super) fn writers(
        &mut self,
        long_engines: &[Candidate<'_>],
        policy: &Policy,
        now: Time,
    ) -> usize {
        let active: u32 = long_engines
            .iter()
            .map(|candidate| candidate.load.long_requests)
            .sum();
        let max = (long_engines.len() / WRITER_POOL_DIVISOR).max(1);
        let wanted = (active + 1).div_ceil(policy.answers_per_writer.max(1)) as usize;
        let wanted = wanted.clamp(1, max);
        self.writers
            .update(wanted, policy.shrink_delay, now)
            .min(max)
    }
}
