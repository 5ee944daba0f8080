//! Choices of a node that places for itself while others do the same.
//!
//! There are no pools: their sizes follow from the known load, so all nodes would put a burst on the
//! same few engines. Each node spreads its requests over all upstreams instead.

use std::time::Duration;

use rand::Rng;

use super::long::LongPlacement;
use super::{
    Basis, Candidate, Demand, Overload, Placement, Policy, over_limit, prepare, short_placement,
};
use crate::engine::EngineProfile;
use crate::fleet::spread::{Offer, Spread};
use crate::units::Tokens;

/// What an answer on an engine adds to the load that a long prompt finds there, in milliseconds of prefill.
const ANSWER_WEIGHT_MS: f64 = 60.0;

/// The penalty of an engine that fails all requests, in milliseconds of prefill.
const FAILURE_WEIGHT_MS: f64 = 500.0;

/// The index of this node's choice among the candidates that may answer.
pub(super) fn pick<F>(candidates: &[Candidate<'_>], spread: &Spread, offer: F) -> Option<usize>
where
    F: Fn(&Candidate<'_>) -> Offer,
{
    let may_answer = |index: &usize| candidates[*index].may_answer();
    let open: Vec<usize> = (0..candidates.len()).filter(may_answer).collect();
    let picked = spread.pick(open.iter().map(|index| offer(&candidates[*index])))?;
    Some(open[picked])
}

/// The number of requests that an upstream has free slots for.
pub(super) fn free_slots(candidate: &Candidate<'_>, slots: u32) -> u32 {
    slots.saturating_sub(candidate.load.active_requests())
}

/// The inputs of the placement of one prompt.
pub(super) struct AlonePlacement<'a> {
    pub(super) spread: Spread,
    pub(super) profile: &'a EngineProfile,
    pub(super) demand: &'a Demand,
    pub(super) policy: &'a Policy,
}

impl AlonePlacement<'_> {
    /// Places a prompt on one of the engines.
    pub(super) fn place<R>(
        &self,
        engines: &mut [Candidate<'_>],
        rng: &mut R,
    ) -> Result<Placement, Overload>
    where
        R: Rng,
    {
        prepare(engines, self.profile, self.demand, self.policy)?;
        let prefill_time = self.profile.prefill_time(self.demand.prompt);
        if prefill_time < self.policy.long_threshold {
            return self.place_short(engines, prefill_time);
        }
        // The chosen engine is the only writer; the helpers follow it in the order.
        if let Some(primary) = self.pick_long(engines, prefill_time) {
            engines.rotate_left(primary);
        }
        let long = LongPlacement {
            engines,
            writers: 1,
            profile: self.profile,
            demand: self.demand,
            policy: self.policy,
            prefill_time,
        };
        long.place(rng)
    }

    fn place_short(
        &self,
        engines: &[Candidate<'_>],
        prefill_time: Duration,
    ) -> Result<Placement, Overload> {
        // Limits are kept for long prompts, as far as other engines have room.
        let unlimited = engines
            .iter()
            .filter(|candidate| !candidate.entry.limit.is_set())
            .count();
        let preferred = &engines[..unlimited];
        let group = if preferred
            .iter()
            .any(|candidate| free_slots(candidate, self.profile.slots) > 0)
        {
            preferred
        } else {
            engines
        };
        let slot = 1.0 / f64::from(self.profile.slots.max(1));
        let threshold_ms = self.policy.long_threshold.as_secs_f64() * 1e3;
        let offer = |candidate: &Candidate<'_>| {
            let load = &candidate.load;
            let answers = f64::from(load.active_requests()) * slot;
            let prefill = load.pending_prefill_ms as f64 / threshold_ms;
            Offer {
                load: answers + prefill + candidate.penalty(),
                step: slot + prefill_time.as_secs_f64() * 1e3 / threshold_ms,
                room: f64::from(free_slots(candidate, self.profile.slots)),
            }
        };
        let picked = pick(group, &self.spread, offer);
        let best = picked.ok_or_else(|| over_limit(engines))?;
        short_placement(
            &group[best],
            Basis {
                choices: engines.len(),
                shorts: engines.len(),
                ..Basis::default()
            },
            self.profile,
            self.demand,
            self.policy,
            prefill_time,
        )
    }

    fn pick_long(&self, engines: &[Candidate<'_>], prefill_time: Duration) -> Option<usize> {
        let max_parts = if self.profile.joint_prefill {
            self.policy.max_helpers as u32 + 1
        } else {
            1
        };
        let parts = prefill_time.as_secs_f64() / self.policy.part_target.as_secs_f64();
        let part_time = prefill_time / (parts.ceil() as u32).clamp(1, max_parts);
        let needed = (self.demand.prompt + self.demand.answer).get() / u64::from(max_parts);
        let room = |candidate: &Candidate<'_>| {
            let held = Tokens::new(candidate.load.held_tokens.saturating_add(needed));
            let fits = held <= self.profile.kv_capacity;
            if fits {
                free_slots(candidate, self.profile.slots)
            } else {
                0
            }
        };
        let offer = |candidate: &Candidate<'_>| Offer {
            load: candidate.load.pending_prefill_ms as f64
                + f64::from(candidate.load.active_requests()) * ANSWER_WEIGHT_MS
                + candidate.failure_rate * FAILURE_WEIGHT_MS,
            step: part_time.as_secs_f64() * 1e3 + ANSWER_WEIGHT_MS,
            room: f64::from(room(candidate)),
        };
        pick(engines, &self.spread, offer)
    }
}
