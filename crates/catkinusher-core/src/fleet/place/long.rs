//! Placing a long prompt on engines that read, answered by one that writes.
//!
//! An engine that reads holds up the answers that it writes. So the answers of
//! long prompts gather on few engines, and the others read for them. Engines
//! read the newest part first, so a prompt that meets newer ones on one of its
//! engines only waits there for all. The more engines each prompt takes, the
//! more alike their orders are. A prompt whose part would hold up a writer for
//! too long answers from a reader.

use std::time::Duration;

use rand::{Rng, RngExt};

use super::{Basis, Candidate, Demand, Overload, Placement, Policy};
use crate::engine::EngineProfile;
use crate::fleet::{Cost, WorkKind};
use crate::units::Tokens;

/// What a short answer weighs that a long prompt beside it would hold up, in milliseconds of reading.
const CROWD_WEIGHT: f64 = 60.0;

/// What an answer of a long prompt weighs, in milliseconds of reading.
const ANSWER_WEIGHT: f64 = 60.0;

/// What answers of long prompts weigh against an engine that is to read, in milliseconds of reading.
const WRITES_WEIGHT: f64 = 300.0;

/// What an engine that fails all requests is behind by, in milliseconds of reading.
const FAILING_WEIGHT: f64 = 500.0;

/// A part shorter than this share of another is let go first.
const SHORTER: f64 = 0.8;

/// The multiple of its reading time that a prompt should have left to be on time.
const MARGIN: f64 = 1.2;

/// The reading, in milliseconds, that an engine has still to do when it counts as idle: about a pass.
const IDLE: u64 = 60;

/// What a late prompt leaves of its caller's patience beyond twice its reading time.
const LAST_CALL: Duration = Duration::from_millis(1500);

/// When a prompt that waits looks again, less than half a pass.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// The tokens above which a prompt's memory is spread over the engines that read it.
///
/// One long prompt after the other would fill the engines that answer, and
/// each step there costs the whole context that it holds.
const SPREAD_LEAST: Tokens = Tokens::new(120_000);

/// The tokens of a prompt whose memory is spread that one engine should hold.
const SHARE_TARGET: u64 = 75_000;

/// The tokens of an engine's memory that such a prompt leaves to others: blocks, and short answers that come.
const MEMORY_RESERVE: u64 = 40_000;

/// When engines have room for a long prompt again, about the length of its reading and its answer.
const RETRY_LONG: Duration = Duration::from_secs(4);

/// One decision on a long prompt.
pub(super) struct Long<'a> {
    /// The engines for long prompts, those that write first.
    pub(super) engines: &'a [Candidate<'a>],
    /// How many of them write.
    pub(super) writers: usize,
    pub(super) rates: &'a EngineProfile,
    pub(super) demand: &'a Demand,
    pub(super) policy: &'a Policy,
    /// How long one engine alone would read.
    pub(super) reading: Duration,
}

impl Long<'_> {
    /// Chooses the engines, unless the prompt should wait.
    pub(super) fn place<R>(&self, rng: &mut R) -> Result<Placement, Overload>
    where
        R: Rng,
    {
        if self.reading > self.policy.prefill_limit {
            return Err(Overload::Full(RETRY_LONG));
        }
        let (writing, readers) = self.engines.split_at(self.writers);
        let most = if self.rates.joint_prefill {
            self.policy.max_helpers.min(readers.len())
        } else {
            0
        };
        let own = self.reading > self.policy.writer_part_limit * (most as u32 + 1);
        let groups = if own {
            [readers, writing]
        } else {
            [writing, readers]
        };
        let first = groups
            .into_iter()
            .find_map(|group| self.first(group, most, rng))
            .ok_or(Overload::Full(RETRY_LONG))?;
        let helpers = self.helpers(readers, first, most);
        let part = self.reading / (helpers.len() as u32 + 1);
        let half = Tokens::new(self.demand.answer.get() / 2);
        let needs = part + self.rates.decode_time(half);
        if needs > self.demand.time_left {
            return Err(Overload::Late(needs));
        }
        let engines = || helpers.iter().copied().chain([first]);
        if self.waits(part, engines()) {
            return Err(Overload::Queued(LOOK_AGAIN));
        }
        if part > self.policy.part_limit * 2 {
            return Err(Overload::Full(RETRY_LONG));
        }
        let (kept, shared) = self.share_memory(first, &helpers)?;
        let wait = engines()
            .map(|one| one.load.pending_prefill_ms)
            .max()
            .unwrap_or_default();
        let cost = |share, held| Cost {
            kind: share,
            prefill_time: part,
            held_tokens: held,
        };
        Ok(Placement {
            primary: first.id.clone(),
            cost: cost(WorkKind::Long, kept),
            helpers: helpers
                .iter()
                .zip(shared)
                .map(|(one, held)| (one.id.clone(), cost(WorkKind::Part, held)))
                .collect(),
            basis: Basis {
                choices: self.engines.len(),
                shorts: 0,
                writers: self.writers,
                load: first.load,
                wait: Duration::from_millis(wait),
            },
        })
    }

    fn whole(&self) -> Tokens {
        self.demand.prompt + self.demand.answer
    }

    /// Over how many engines its memory should be spread, of `most` that read it.
    fn spread(&self, most: usize) -> u64 {
        if self.whole() <= SPREAD_LEAST {
            return 1;
        }
        let wanted = self.whole().get().div_ceil(SHARE_TARGET);
        wanted.min(most as u64 + 1)
    }

    fn free(&self, one: &Candidate<'_>) -> u64 {
        self.rates
            .kv_capacity
            .get()
            .saturating_sub(one.load.held_tokens)
    }

    /// The tokens that the engine which answers holds, and those that each helper sets aside.
    fn share_memory(
        &self,
        first: &Candidate<'_>,
        helpers: &[&Candidate<'_>],
    ) -> Result<(Tokens, Vec<Tokens>), Overload> {
        let spread = self.spread(helpers.len());
        let share = self.whole().get().div_ceil(spread);
        let mut kept = self.whole().get();
        let mut shares = vec![Tokens::ZERO; helpers.len()];
        let mut emptiest: Vec<usize> = (0..helpers.len()).collect();
        emptiest.sort_by_key(|place| helpers[*place].load.held_tokens);
        for place in emptiest {
            let room = self.free(helpers[place]).saturating_sub(MEMORY_RESERVE);
            if kept <= share || room < share {
                break;
            }
            shares[place] = Tokens::new(share);
            kept -= share;
        }
        if kept > self.free(first) {
            return Err(Overload::Full(RETRY_LONG));
        }
        Ok((Tokens::new(kept), shares))
    }

    fn score(one: &Candidate<'_>) -> f64 {
        one.load.pending_prefill_ms as f64
            + f64::from(one.load.long_requests) * ANSWER_WEIGHT
            + f64::from(one.load.short_requests) * CROWD_WEIGHT
            + one.failing * FAILING_WEIGHT
    }

    /// The engine of a group that answers, if one has room.
    fn first<'a, R>(
        &self,
        group: &'a [Candidate<'a>],
        most: usize,
        rng: &mut R,
    ) -> Option<&'a Candidate<'a>>
    where
        R: Rng,
    {
        let kept = self.whole().get().div_ceil(self.spread(most));
        let fits = |one: &&Candidate<'_>| {
            kept <= self.free(one) && one.load.active_requests() < self.rates.slots
        };
        group
            .iter()
            .filter(fits)
            .map(|one| (Self::score(one) + rng.random_range(0.0..1.0), one))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, one)| one)
    }

    /// The engines that read parts, those without answers first.
    fn helpers<'a>(
        &self,
        readers: &'a [Candidate<'a>],
        first: &Candidate<'_>,
        most: usize,
    ) -> Vec<&'a Candidate<'a>> {
        let calm = |one: &Candidate<'_>| one.load.short_requests == 0;
        let score = |one: &Candidate<'_>| {
            Self::score(one) + f64::from(one.load.long_requests.min(1)) * WRITES_WEIGHT
        };
        let mut others: Vec<&Candidate<'_>> =
            readers.iter().filter(|one| one.id != first.id).collect();
        others.sort_by(|a, b| {
            let calmer = calm(b).cmp(&calm(a));
            calmer.then(score(a).total_cmp(&score(b)))
        });
        let parts = self.reading.as_secs_f64() / self.policy.part_target.as_secs_f64();
        let wanted = (parts.ceil() as usize).max(2) - 1;
        let free = others.iter().filter(|one| calm(one)).count().max(1);
        others.truncate(wanted.min(most).min(free));
        others
    }

    /// Whether the prompt should wait for what these engines read now.
    ///
    /// As the newest part goes first, a prompt that waits until no shorter one
    /// is being read makes that the order of the shortest first. One that is
    /// late in any case goes when the engines have nothing else to read, or
    /// when its caller is about to leave.
    fn waits<'a, I>(&self, part: Duration, mut engines: I) -> bool
    where
        I: Iterator<Item = &'a Candidate<'a>>,
    {
        let demand = self.demand;
        if demand.waited + part * 2 + LAST_CALL >= demand.patience {
            return false;
        }
        // Every engine that reads such a part makes all others there wait for it.
        if part > self.policy.part_limit {
            return true;
        }
        let shorter = part.as_millis() as f64 * SHORTER;
        if demand.age + part.mul_f64(MARGIN) <= demand.objective {
            engines.any(|one| {
                one.load.min_pending_prefill_ms > 0
                    && (one.load.min_pending_prefill_ms as f64) < shorter
            })
        } else {
            engines.any(|one| one.load.pending_prefill_ms > IDLE)
        }
    }
}
