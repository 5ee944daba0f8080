//! Placement of a long prompt: several engines prefill it, one of them answers.
//!
//! Prefill stalls the answers that an engine decodes. The answers to long
//! prompts are therefore concentrated on a few engines, the *writers*, and the
//! other engines, the *readers*, prefill parts of the prompts for them.
//!
//! Engines process the newest part first. A prompt is thus delayed as soon as
//! one of its engines gets newer parts, since it needs all of its parts. The
//! more engines each prompt uses, the more similar the orders of work on them
//! are. A prompt whose part would stall a writer for too long is answered by a
//! reader.

use std::time::Duration;

use rand::Rng;

use super::choice::{Choice, Terms, choose};
use super::{Basis, Candidate, Demand, Overload, Placement, Policy};
use crate::engine::EngineProfile;
use crate::fleet::{Cost, WorkKind};
use crate::id::UpstreamId;
use crate::units::Tokens;

/// The penalty per short answer that the prefill would stall, in milliseconds of prefill.
const SHORT_ANSWER_WEIGHT: f64 = 60.0;

/// The penalty per answer to a long prompt on the engine, in milliseconds of prefill.
const LONG_ANSWER_WEIGHT: f64 = 60.0;

/// The penalty of a possible helper that decodes any answers to long prompts, in milliseconds of prefill.
const BUSY_HELPER_WEIGHT: f64 = 300.0;

/// The penalty of an engine that fails all requests, in milliseconds of prefill.
const FAILURE_WEIGHT: f64 = 500.0;

/// Scores that differ by less than this count as equal, in milliseconds of prefill.
const TIE_WIDTH_MS: f64 = 1.0;

/// A part that is shorter than this fraction of another goes first.
const SHORTER_RATIO: f64 = 0.8;

/// The multiple of a part's prefill time that must fit before the objective for the prompt to count as on time.
const ON_TIME_MARGIN: f64 = 1.2;

/// The pending prefill, in milliseconds, up to which an engine counts as idle: about one pass.
const IDLE_PREFILL_MS: u64 = 60;

/// How long before its caller gives up a waiting prompt is placed, in addition to twice the prefill time of a part.
const PATIENCE_RESERVE: Duration = Duration::from_millis(1500);

/// The interval at which a waiting prompt tries again, less than half a pass.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The number of tokens above which the KV cache of a request is spread over the engines that prefill it.
///
/// Otherwise long prompts would fill the writers one after the other, and the
/// cost of a decode step grows with the whole context that the engine holds.
const SPREAD_THRESHOLD: Tokens = Tokens::new(120_000);

/// The tokens that one engine should hold of a request whose KV cache is spread.
const SPREAD_TARGET_TOKENS: u64 = 75_000;

/// The tokens of a helper's KV cache that a spread request leaves free, for block rounding and for new short answers.
const KV_RESERVE_TOKENS: u64 = 40_000;

/// The retry delay when no engine has capacity for a long prompt: about the time of its prefill and answer.
const RETRY_AFTER_LONG: Duration = Duration::from_secs(4);

/// The inputs of the placement of one long prompt.
pub(super) struct LongPlacement<'a> {
    /// The engines for long prompts, the writers first.
    pub(super) engines: &'a [Candidate<'a>],
    /// The number of writers among the engines.
    pub(super) writers: usize,
    pub(super) profile: &'a EngineProfile,
    pub(super) demand: &'a Demand,
    pub(super) policy: &'a Policy,
    /// The prefill time of the whole prompt on a single engine.
    pub(super) prefill_time: Duration,
}

impl LongPlacement<'_> {
    /// Chooses the engines, or tells that the prompt should wait or cannot be placed.
    pub(super) fn place<R>(&self, rng: &mut R) -> Result<Placement, Overload>
    where
        R: Rng,
    {
        if self.prefill_time > self.policy.prefill_limit {
            return Err(Overload::Full(RETRY_AFTER_LONG));
        }
        let (writers, readers) = self.engines.split_at(self.writers);
        let max_helpers = if self.profile.joint_prefill {
            self.policy.max_helpers.min(readers.len())
        } else {
            0
        };
        let prefer_readers =
            self.prefill_time > self.policy.writer_part_limit * (max_helpers as u32 + 1);
        let groups = if prefer_readers {
            [readers, writers]
        } else {
            [writers, readers]
        };
        let choice = groups
            .into_iter()
            .find_map(|group| self.choose_primary(group, max_helpers, rng))
            .ok_or_else(|| self.no_primary(max_helpers))?;
        let primary = choice.best;
        let helpers = self.choose_helpers(readers, primary, max_helpers);
        let part_time = self.prefill_time / (helpers.len() as u32 + 1);
        // As in `place_prompt`, half of the maximum stands for the unknown length of the answer.
        let expected_answer = Tokens::new(self.demand.answer.get() / 2);
        let needed = part_time + self.profile.decode_time(expected_answer);
        if needed > self.demand.time_left {
            return Err(Overload::Late(needed));
        }
        let engines = || helpers.iter().copied().chain([primary]);
        if self.should_wait(part_time, engines()) {
            return Err(Overload::Queued(RETRY_INTERVAL));
        }
        if part_time > self.policy.part_limit * 2 {
            return Err(Overload::Full(RETRY_AFTER_LONG));
        }
        let (primary_tokens, helper_tokens) = self.split_memory(primary, &helpers)?;
        let wait = engines()
            .map(|candidate| candidate.load.pending_prefill_ms)
            .max()
            .unwrap_or_default();
        let cost = |kind, held_tokens| Cost {
            kind,
            prefill_time: part_time,
            held_tokens,
        };
        Ok(Placement {
            primary: primary.id.clone(),
            cost: cost(WorkKind::Long, primary_tokens),
            helpers: helpers
                .iter()
                .zip(helper_tokens)
                .map(|(candidate, held_tokens)| {
                    (candidate.id.clone(), cost(WorkKind::Part, held_tokens))
                })
                .collect(),
            basis: Basis {
                choices: self.engines.len(),
                writers: self.writers,
                load: primary.load,
                wait: Duration::from_millis(wait),
                score: choice.score,
                next: choice.next(),
                ranking: choice.ranking,
                ..Basis::default()
            },
        })
    }

    /// The engines that prefill parts of a prompt which an engine outside these answers, at most `count`.
    pub(super) fn helpers(&self, count: usize) -> Vec<UpstreamId> {
        let (_, readers) = self.engines.split_at(self.writers);
        let count = count.min(self.policy.max_helpers);
        let mut readers = Self::by_disturbance(readers.iter().collect());
        readers.retain(|candidate| candidate.load.short_requests == 0);
        readers.truncate(count);
        readers
            .iter()
            .map(|candidate| candidate.id.clone())
            .collect()
    }

    fn total_tokens(&self) -> Tokens {
        self.demand.prompt + self.demand.answer
    }

    /// The number of engines over which to spread the KV cache, if `helpers` engines help the primary.
    fn spread(&self, helpers: usize) -> u64 {
        if self.total_tokens() <= SPREAD_THRESHOLD {
            return 1;
        }
        let wanted = self.total_tokens().get().div_ceil(SPREAD_TARGET_TOKENS);
        wanted.min(helpers as u64 + 1)
    }

    fn free_tokens(&self, candidate: &Candidate<'_>) -> u64 {
        self.profile
            .kv_capacity
            .get()
            .saturating_sub(candidate.load.held_tokens)
    }

    /// The KV-cache tokens that the primary holds, and those that each helper holds for it.
    fn split_memory(
        &self,
        primary: &Candidate<'_>,
        helpers: &[&Candidate<'_>],
    ) -> Result<(Tokens, Vec<Tokens>), Overload> {
        let spread = self.spread(helpers.len());
        let target = self.total_tokens().get().div_ceil(spread);
        let mut kept = self.total_tokens().get();
        let mut shares = vec![Tokens::ZERO; helpers.len()];
        let mut emptiest: Vec<usize> = (0..helpers.len()).collect();
        emptiest.sort_by_key(|index| helpers[*index].load.held_tokens);
        for index in emptiest {
            let room = self
                .free_tokens(helpers[index])
                .saturating_sub(KV_RESERVE_TOKENS);
            if kept <= target || room < target {
                break;
            }
            shares[index] = Tokens::new(target);
            kept -= target;
        }
        if kept > self.free_tokens(primary) {
            return Err(Overload::Full(RETRY_AFTER_LONG));
        }
        Ok((Tokens::new(kept), shares))
    }

    /// The expected delay and disturbance on an engine, in milliseconds of prefill; lower is better.
    fn terms(candidate: &Candidate<'_>) -> Terms<4> {
        let load = &candidate.load;
        let count = f64::from;
        Terms([
            ("prefill", load.pending_prefill_ms as f64),
            ("long", count(load.long_requests) * LONG_ANSWER_WEIGHT),
            ("short", count(load.short_requests) * SHORT_ANSWER_WEIGHT),
            ("failures", candidate.failure_rate * FAILURE_WEIGHT),
        ])
    }

    /// Whether an engine has a slot and memory to answer.
    fn fits(&self, candidate: &Candidate<'_>, max_helpers: usize) -> bool {
        let kept = self.total_tokens().get().div_ceil(self.spread(max_helpers));
        kept <= self.free_tokens(candidate) && candidate.load.active_requests() < self.profile.slots
    }

    /// The wait or refusal if no engine can answer now.
    ///
    /// A prompt waits if the limit that an engine names will allow it in time.
    fn no_primary(&self, max_helpers: usize) -> Overload {
        let waits = self
            .engines
            .iter()
            .filter(|candidate| self.fits(candidate, max_helpers))
            .filter_map(|candidate| candidate.limit_wait);
        let part_time = self.prefill_time / (max_helpers as u32 + 1);
        let is_in_time = |wait: Duration| {
            self.demand.waited + wait + part_time * 2 + PATIENCE_RESERVE < self.demand.patience
        };
        if waits.min().is_some_and(is_in_time) {
            Overload::Queued(RETRY_INTERVAL)
        } else {
            Overload::Full(RETRY_AFTER_LONG)
        }
    }

    /// The engine of `group` that answers, if one has capacity.
    fn choose_primary<'a, R>(
        &self,
        group: &'a [Candidate<'a>],
        max_helpers: usize,
        rng: &mut R,
    ) -> Option<Choice<'a, 'a>>
    where
        R: Rng,
    {
        let able = group
            .iter()
            .filter(|candidate| candidate.may_answer() && self.fits(candidate, max_helpers))
            .map(|candidate| (candidate, Self::terms(candidate)));
        choose(able, TIE_WIDTH_MS, self.demand.trace, rng)
    }

    /// The engines that prefill parts, those without short answers first.
    fn choose_helpers<'a>(
        &self,
        readers: &'a [Candidate<'a>],
        primary: &Candidate<'_>,
        max_helpers: usize,
    ) -> Vec<&'a Candidate<'a>> {
        let no_shorts = |candidate: &Candidate<'_>| candidate.load.short_requests == 0;
        let others = readers
            .iter()
            .filter(|candidate| candidate.id != primary.id);
        let mut others = Self::by_disturbance(others.collect());
        let parts = self.prefill_time.as_secs_f64() / self.policy.part_target.as_secs_f64();
        let wanted = (parts.ceil() as usize).max(2) - 1;
        let undisturbed = others
            .iter()
            .filter(|candidate| no_shorts(candidate))
            .count()
            .max(1);
        others.truncate(wanted.min(max_helpers).min(undisturbed));
        others
    }

    /// Sorts possible helpers by what a part disturbs there, those without short answers first.
    fn by_disturbance<'a>(mut engines: Vec<&'a Candidate<'a>>) -> Vec<&'a Candidate<'a>> {
        let score = |candidate: &Candidate<'_>| {
            Self::terms(candidate).total()
                + f64::from(candidate.load.long_requests.min(1)) * BUSY_HELPER_WEIGHT
        };
        engines.sort_by(|a, b| {
            let has_shorts = |candidate: &Candidate<'_>| candidate.load.short_requests > 0;
            let shorts_last = has_shorts(a).cmp(&has_shorts(b));
            shorts_last.then(score(a).total_cmp(&score(b)))
        });
        engines
    }

    /// Whether the prompt should wait for prefill work on these engines.
    ///
    /// Engines process the newest part first. Making a prompt wait until no
    /// shorter one is in prefill there turns that into shortest-first order. A
    /// prompt that would be late in any case is placed once the engines have no
    /// other prefill work, or when its caller is about to give up.
    fn should_wait<'a, I>(&self, part_time: Duration, mut engines: I) -> bool
    where
        I: Iterator<Item = &'a Candidate<'a>>,
    {
        let demand = self.demand;
        if demand.waited + part_time * 2 + PATIENCE_RESERVE >= demand.patience {
            return false;
        }
        // A part this long delays all other prompts on its engine.
        if part_time > self.policy.part_limit {
            return true;
        }
        let shorter_ms = part_time.as_millis() as f64 * SHORTER_RATIO;
        if demand.age + part_time.mul_f64(ON_TIME_MARGIN) <= demand.objective {
            engines.any(|candidate| {
                candidate.load.min_pending_prefill_ms > 0
                    && (candidate.load.min_pending_prefill_ms as f64) < shorter_ms
            })
        } else {
            engines.any(|candidate| candidate.load.pending_prefill_ms > IDLE_PREFILL_MS)
        }
    }
}
