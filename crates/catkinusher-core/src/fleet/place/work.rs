//! Placement by work: pools sized by the prefill that arrives, and engines chosen by what a prompt does there.
//!
//! Load: short and long prompts at a cell with an engine or more for each part of a long prompt. There the
//! number of running requests says little: a few short answers fill a small pool, in which every
//! prefill stalls all of them, while other engines idle
//! (see [docs/design/hard-load.md](../../../../../docs/design/hard-load.md)).

use std::time::Duration;

use rand::Rng;

use super::choice::{Terms, choose};
use super::long::LongPlacement;
use super::sizing::PoolSizes;
use super::{Basis, Candidate, Demand, Overload, Placement, Policy, RETRY_AFTER_SHORT, over_limit};
use crate::engine::EngineProfile;
use crate::fleet::{Cost, WorkKind};
use crate::id::UpstreamId;
use crate::time::Time;
use crate::units::Tokens;

/// The penalty of an answer that a prompt would stall for too long, in milliseconds of delay.
const STALL_WEIGHT_MS: f64 = 100.0;

/// The fraction of the longest tolerated pause up to which a stall is harmless; reports are a few milliseconds old.
const SAFE_STALL: f64 = 0.8;

/// The penalty of an engine without a free slot or memory; it exceeds all others.
const FULL_PENALTY_MS: f64 = 10_000.0;

/// The penalty of an engine that fails all requests, in milliseconds: the time of another attempt.
const FAILURE_PENALTY_MS: f64 = 500.0;

/// Expected delays that differ by less than this count as equal.
const TIE_WIDTH_MS: f64 = 4.0;

/// The pending prefill from which a prompt that is late already waits for those that are not: about a pass.
const BACKLOG_MS: u64 = 60;

/// The fraction of its patience for which a prompt that is late already waits at most.
const LATE_WAIT: f64 = 0.2;

/// The interval at which it tries again, less than half a pass.
const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// The most parts of a prompt that is answered in the pool for short ones; a longer one takes too much KV cache there.
const MAX_SHORT_PARTS: u32 = 4;

/// The inputs of the placement of one prompt.
pub(super) struct WorkPlacement<'a> {
    pub(super) profile: &'a EngineProfile,
    pub(super) demand: &'a Demand,
    pub(super) policy: &'a Policy,
    pub(super) now: Time,
}

impl WorkPlacement<'_> {
    /// Places a prompt; the engines are in the order that all nodes share.
    pub(super) fn place<R>(
        &self,
        engines: &mut [Candidate<'_>],
        pool_sizes: &mut PoolSizes,
        rng: &mut R,
    ) -> Result<Placement, Overload>
    where
        R: Rng,
    {
        let (policy, now) = (self.policy, self.now);
        let prefill_time = self.profile.prefill_time(self.demand.prompt);
        let shorts = pool_sizes.short_engines_by_work(engines, self.profile, policy, now);
        let writers = pool_sizes.writers(&engines[shorts..], policy, now);
        // The writers are the last engines of the order, so that an engine which leaves the pool
        // for short prompts only reads while short answers still run there.
        engines[shorts..].rotate_right(writers);
        let long = LongPlacement {
            engines: &engines[shorts..],
            writers,
            profile: self.profile,
            demand: self.demand,
            policy,
            prefill_time,
        };
        let is_short = prefill_time < policy.long_threshold;
        let mut placed = if is_short {
            self.place_short(engines, shorts, prefill_time, Vec::new(), rng)
        } else if self.needs_short_pauses(prefill_time) {
            let part_time = policy.long_threshold;
            let parts = prefill_time.as_secs_f64() / part_time.as_secs_f64();
            let helpers = long.helpers(parts.ceil() as usize - 1);
            let part_time = prefill_time / (helpers.len() as u32 + 1);
            let cost = Cost {
                kind: WorkKind::Part,
                prefill_time: part_time,
                ..Cost::default()
            };
            let helpers = helpers.into_iter().map(|id| (id, cost)).collect();
            self.place_short(engines, shorts, part_time, helpers, rng)
        } else {
            long.place(rng)
        }?;
        pool_sizes.on_work(is_short, prefill_time, now);
        placed.basis.shorts = shorts;
        placed.basis.writers = writers;
        Ok(placed)
    }

    /// Whether the answer must not run beside the prefill of long prompts, and can run beside short answers.
    fn needs_short_pauses(&self, prefill_time: Duration) -> bool {
        let stall = self.policy.part_target + self.profile.pass_time(1, self.demand.prompt);
        self.profile.joint_prefill
            && prefill_time <= self.policy.long_threshold * MAX_SHORT_PARTS
            && self.demand.pause.is_some_and(|pause| pause < stall)
    }

    /// Places a prompt whose part at the engine that answers takes `prefill_time`.
    fn place_short<R>(
        &self,
        engines: &[Candidate<'_>],
        shorts: usize,
        prefill_time: Duration,
        helpers: Vec<(UpstreamId, Cost)>,
        rng: &mut R,
    ) -> Result<Placement, Overload>
    where
        R: Rng,
    {
        let is_helper =
            |candidate: &Candidate<'_>| helpers.iter().any(|(id, _)| id == candidate.id);
        let able = engines
            .iter()
            .enumerate()
            .filter(|(_, candidate)| candidate.may_answer() && !is_helper(candidate))
            .map(|(index, candidate)| {
                let is_outside = index >= shorts.max(1);
                (candidate, self.terms(candidate, prefill_time, is_outside))
            });
        let choice = choose(able, TIE_WIDTH_MS, self.demand.trace, rng)
            .ok_or_else(|| over_limit(engines))?;
        let best = choice.best;
        if best.load.active_requests() >= self.profile.slots + self.policy.max_queued {
            return Err(Overload::Full(RETRY_AFTER_SHORT));
        }
        if self.should_give_way(best) {
            return Err(Overload::Queued(RETRY_INTERVAL));
        }
        Ok(Placement {
            primary: best.id.clone(),
            cost: Cost {
                kind: WorkKind::Short,
                prefill_time,
                held_tokens: self.demand.prompt + self.demand.answer,
            },
            helpers,
            basis: Basis {
                choices: engines.len(),
                load: best.load,
                wait: Duration::from_millis(best.load.pending_prefill_ms),
                score: choice.score,
                next: choice.next(),
                ranking: choice.ranking,
                ..Basis::default()
            },
        })
    }

    /// The expected time until the first event, and what the prompt costs others, in milliseconds.
    fn terms(
        &self,
        candidate: &Candidate<'_>,
        prefill_time: Duration,
        is_outside: bool,
    ) -> Terms<7> {
        let load = &candidate.load;
        let answers = load.active_requests();
        let held = Tokens::new(load.held_tokens);
        let pass_ms = millis(self.profile.pass_time(answers, held));
        let own_pass_ms = millis(
            self.profile
                .pass_time(answers + 1, held + self.demand.prompt),
        );
        // A prompt that arrives in a pass waits for its end, half of it in the mean.
        let running_ms = if answers > 0 { pass_ms / 2.0 } else { 0.0 };
        let prefill_ms = load.pending_prefill_ms as f64 + millis(prefill_time);
        let stall_ms = pass_ms + prefill_ms;
        let stalled = f64::from(load.short_requests) * self.excess(stall_ms);
        let needed = held + self.demand.prompt + self.demand.answer;
        let is_full = answers >= self.profile.slots || needed > self.profile.kv_capacity;
        // An engine with a short answer is lost as a helper for long prompts, which costs them about a part.
        let outside_ms = millis(self.policy.part_target);
        let penalty = |applies, penalty_ms| if applies { penalty_ms } else { 0.0 };
        Terms([
            ("running", running_ms),
            ("prefill", prefill_ms),
            ("pass", own_pass_ms),
            ("stalls", stalled * STALL_WEIGHT_MS),
            ("full", penalty(is_full, FULL_PENALTY_MS)),
            ("failures", candidate.failure_rate * FAILURE_PENALTY_MS),
            ("outside", penalty(is_outside, outside_ms)),
        ])
    }

    /// How likely a stall is longer than the callers of short prompts tolerate, between 0 and 1.
    fn excess(&self, stall_ms: f64) -> f64 {
        let limit_ms = millis(self.policy.long_threshold) * 2.0;
        let safe_ms = limit_ms * SAFE_STALL;
        ((stall_ms - safe_ms) / (limit_ms - safe_ms)).clamp(0.0, 1.0)
    }

    /// Whether a prompt that cannot be on time any more waits, so that others go first.
    ///
    /// Load: all callers repeat their requests at once after a loss of many nodes.
    fn should_give_way(&self, best: &Candidate<'_>) -> bool {
        let demand = self.demand;
        demand.age >= demand.objective
            && best.load.pending_prefill_ms > BACKLOG_MS
            && demand.waited < demand.patience.mul_f64(LATE_WAIT)
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
