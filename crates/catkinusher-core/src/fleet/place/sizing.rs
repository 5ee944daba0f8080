//! The number of engines assigned to each kind of work.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Candidate, Policy};
use crate::engine::EngineProfile;
use crate::time::Time;

/// One in this many engines is reserved for long prompts, whatever the number of short ones.
const LONG_POOL_DIVISOR: usize = 8;

/// At most one in this many engines for long prompts answers them.
const WRITER_POOL_DIVISOR: usize = 3;

/// The fraction of their slots that short answers fill in a cell.
///
/// The placing node's own grants count at once, so no room is left for what other nodes place.
const CELL_FILL_RATIO: f64 = 0.95;

/// One in this many engines stays for long prompts if the short answers do not fill it, as long ones may arrive
/// after a pause and need many engines at once.
const IDLE_POOL_DIVISOR: usize = 2;

/// The time over which the arriving work is averaged; one long prompt in it must not change the sizes by much.
const WORK_WINDOW: Duration = Duration::from_secs(2);

/// The least time for which work has arrived when the pools are sized by it.
const LEAST_WINDOW: Duration = Duration::from_millis(500);

/// The mean work that arrives, in engines that it keeps busy.
///
/// Older arrivals weigh exponentially less.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct WorkRate {
    sum: f64,
    updated_at: Time,
}

impl WorkRate {
    fn decayed(&self, now: Time) -> f64 {
        let age = now.since(self.updated_at).as_secs_f64() / WORK_WINDOW.as_secs_f64();
        self.sum * (-age).exp()
    }

    fn add(&mut self, work: Duration, now: Time) {
        self.sum = self.decayed(now) + work.as_secs_f64() / WORK_WINDOW.as_secs_f64();
        self.updated_at = now;
    }
}

/// A number of engines that rises immediately and falls only after a delay.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
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
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(in crate::fleet) struct PoolSizes {
    shorts: DelayedCount,
    writers: DelayedCount,
    short_work: WorkRate,
    long_work: WorkRate,
    /// When the first work arrived, or the first after a pause.
    began_at: Option<Time>,
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
        let wanted = occupied_by_shorts(engines, profile, policy.fill_ratio);
        self.resize_shorts(wanted, engines.len(), policy, now)
    }

    /// The same, sized by the work that arrives.
    ///
    /// Each pool gets the engines that its work keeps busy, and the others are divided by the square
    /// roots of the works, which minimises the mean delay (square-root capacity assignment).
    pub(super) fn short_engines_by_work(
        &mut self,
        engines: &[Candidate<'_>],
        profile: &EngineProfile,
        policy: &Policy,
        now: Time,
    ) -> usize {
        let occupied = occupied_by_shorts(engines, profile, CELL_FILL_RATIO);
        let wanted = occupied.max(self.wanted_by_work(engines.len(), now));
        self.resize_shorts(wanted, engines.len(), policy, now)
    }

    fn wanted_by_work(&self, count: usize, now: Time) -> usize {
        let max = count - count / IDLE_POOL_DIVISOR;
        // Load: all callers repeat at once at a node that has just taken over, and knows no mix.
        let known_for = self.began_at.map_or(Duration::ZERO, |at| now.since(at));
        if known_for < LEAST_WINDOW || self.has_paused(now) {
            return max;
        }
        // The weight of the time before the first work is missing from the means.
        let weight = 1.0 - (-known_for.as_secs_f64() / WORK_WINDOW.as_secs_f64()).exp();
        let short = self.short_work.decayed(now) / weight;
        let long = self.long_work.decayed(now) / weight;
        let idle = (count as f64 - short - long).max(0.0);
        let (short_root, long_root) = (short.sqrt(), long.sqrt());
        let share = short_root / (short_root + long_root).max(f64::MIN_POSITIVE);
        ((short + idle * share).round() as usize).min(max)
    }

    /// Records the prefill work of a prompt that was placed.
    pub(super) fn on_work(&mut self, is_short: bool, prefill_time: Duration, now: Time) {
        if self.began_at.is_none() || self.has_paused(now) {
            self.began_at = Some(now);
        }
        let rate = if is_short {
            &mut self.short_work
        } else {
            &mut self.long_work
        };
        rate.add(prefill_time, now);
    }

    /// Whether no work has arrived for so long that the means say nothing about the mix.
    fn has_paused(&self, now: Time) -> bool {
        let last_at = self.short_work.updated_at.max(self.long_work.updated_at);
        now.since(last_at) >= WORK_WINDOW * 2
    }

    fn resize_shorts(&mut self, wanted: usize, count: usize, policy: &Policy, now: Time) -> usize {
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

/// The number of engines that the running short answers fill.
fn occupied_by_shorts(
    engines: &[Candidate<'_>],
    profile: &EngineProfile,
    fill_ratio: f64,
) -> usize {
    let active: u32 = engines
        .iter()
        .map(|candidate| candidate.load.short_requests)
        .sum();
    let per_engine = f64::from(profile.slots) * fill_ratio;
    (f64::from(active + 1) / per_engine.max(1.0)).ceil() as usize
}
