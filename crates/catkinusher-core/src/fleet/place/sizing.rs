//! How many engines do which kind of work.

use std::time::Duration;

use super::{Candidate, Policy};
use crate::engine::EngineProfile;
use crate::time::Time;

/// The part of the engines that long prompts keep, however many short ones there are.
const LONG_PART: usize = 8;

/// The part of the engines for long prompts that may write.
const WRITER_PART: usize = 3;

/// A count of engines that rises at once and falls after a while.
#[derive(Debug, Clone, Copy, Default)]
struct Count {
    count: usize,
    since: Time,
}

impl Count {
    fn update(&mut self, wanted: usize, hold: Duration, now: Time) -> usize {
        if wanted >= self.count || now.since(self.since) >= hold {
            self.count = wanted;
            self.since = now;
        }
        self.count
    }
}

/// How the engines of one service are split.
///
/// All nodes work it out from the same loads, so their splits differ by an
/// engine or so, and only for the time that a report takes.
#[derive(Debug, Clone, Copy, Default)]
pub(in crate::fleet) struct Sizing {
    shorts: Count,
    writers: Count,
}

impl Sizing {
    /// How many engines, from the front of the order, are for short prompts.
    pub(super) fn shorts(
        &mut self,
        engines: &[Candidate<'_>],
        rates: &EngineProfile,
        policy: &Policy,
        now: Time,
    ) -> usize {
        let count = engines.len();
        let under: u32 = engines.iter().map(|one| one.load.short_requests).sum();
        let each = f64::from(rates.slots) * policy.fill_ratio;
        let wanted = (f64::from(under + 1) / each.max(1.0)).ceil() as usize;
        let most = count.saturating_sub((count / LONG_PART).max(1)).max(1);
        self.shorts
            .update(wanted.clamp(1, most), policy.shrink_delay, now)
            .min(count.saturating_sub(1))
    }

    /// How many engines, from the front of those for long prompts, write their answers.
    pub(super) fn writers(
        &mut self,
        behind: &[Candidate<'_>],
        policy: &Policy,
        now: Time,
    ) -> usize {
        let under: u32 = behind.iter().map(|one| one.load.long_requests).sum();
        let most = (behind.len() / WRITER_PART).max(1);
        let wanted = (under + 1).div_ceil(policy.answers_per_writer.max(1)) as usize;
        let wanted = wanted.clamp(1, most);
        self.writers
            .update(wanted, policy.shrink_delay, now)
            .min(most)
    }
}
