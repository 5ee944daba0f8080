//! Placement of requests on upstreams.
//!
//! Short and long prompts are kept on different engines as far as the load
//! allows. Prefill of a long prompt stalls the decoding of every answer on the
//! same engine, so one long prompt in a batch makes all short ones beside it
//! late. All nodes sort the engines in the same order: short prompts fill it
//! from the front, and long prompts are prefilled by the engines behind
//! those, several engines per prompt.

mod alone;
mod choice;
mod long;
mod sizing;
mod types;
mod work;

use std::time::Duration;

use rand::Rng;

pub use self::choice::{Ranked, Score, Term};
pub(super) use self::sizing::PoolSizes;
pub use self::types::{Authority, Basis, Demand, Overload, Placement, Policy};

use self::alone::AlonePlacement;
use self::choice::{Choice, Terms, choose};
use self::long::LongPlacement;
use self::work::WorkPlacement;
use super::spread::{Offer, Spread};
use super::{Cell, Cost, Entry, Fleet, Load, WorkKind};
use crate::directory::Service;
use crate::engine::EngineProfile;
use crate::id::UpstreamId;
use crate::rendezvous::Salt;
use crate::time::Time;
use crate::units::Tokens;

const SALT: Salt = Salt::new(0x666c_6565_7421);

/// The penalty of an upstream in another data centre, as a fraction of its slots.
const REMOTE_PENALTY: f64 = 0.03;

/// Scores that differ by less than this count as equal.
const TIE_WIDTH: f64 = 0.02;

/// The penalty per unit of failure rate, as a fraction of an upstream's slots.
const FAILURE_WEIGHT: f64 = 1.0;

/// The penalty of an engine without a free slot, as a fraction of its slots; it exceeds all other penalties.
const FULL_PENALTY: f64 = 2.0;

/// The retry delay when a plain service is full: the time of a few calls.
const RETRY_AFTER_PLAIN: Duration = Duration::from_millis(150);

/// The retry delay when no slot is free for a short prompt, from the length of usual answers.
const RETRY_AFTER_SHORT: Duration = Duration::from_millis(800);

/// The position of an upstream in the order that all nodes share.
pub(super) fn rank(id: &UpstreamId) -> u64 {
    SALT.score("order", id.as_str())
}

/// An upstream's id in load reports; four bytes, as reports are sent often.
pub(super) const fn short_id(rank: u64) -> u32 {
    (rank >> 32) as u32
}

struct Candidate<'a> {
    id: &'a UpstreamId,
    entry: &'a Entry,
    load: Load,
    slots: u32,
    local: bool,
    failure_rate: f64,
    /// The time until the limit that it names allows another request, or `None` if it allows this node none.
    limit_wait: Option<Duration>,
}

impl Candidate<'_> {
    /// The penalty for failures and distance, as a fraction of its slots.
    fn penalty(&self) -> f64 {
        let distance = if self.local { 0.0 } else { REMOTE_PENALTY };
        FAILURE_WEIGHT * self.failure_rate + distance
    }

    /// Whether the limit that it names allows it to answer another request now.
    fn may_answer(&self) -> bool {
        self.limit_wait == Some(Duration::ZERO)
    }
}

impl Fleet {
    /// Chooses the upstream for a request, and the helpers for a long prompt.
    ///
    /// # Errors
    ///
    /// Returns an [`Overload`] if no upstream can serve it in time.
    pub fn place<R>(
        &mut self,
        service: &Service,
        demand: &Demand,
        policy: &Policy,
        now: Time,
        rng: &mut R,
    ) -> Result<Placement, Overload>
    where
        R: Rng,
    {
        self.expire_peers(now);
        let cell = Cell {
            service: service.name.clone(),
            data_centre: demand.within.clone(),
        };
        let mut pool_sizes = self.pool_sizes.remove(&cell).unwrap_or_default();
        let spread = self.spread(&service.name, demand, now);
        let placed = match &service.engine {
            None => self.place_plain(service, demand, policy, spread, now, rng),
            Some(profile) => {
                let mut candidates = self.candidates(service, demand, now);
                if let Some(spread) = spread.filter(Spread::is_uncertain) {
                    let placement = AlonePlacement {
                        spread,
                        profile,
                        demand,
                        policy,
                    };
                    placement.place(&mut candidates, rng)
                } else {
                    place_prompt(
                        candidates,
                        profile,
                        demand,
                        policy,
                        &mut pool_sizes,
                        now,
                        rng,
                    )
                }
            }
        };
        self.pool_sizes.insert(cell, pool_sizes);
        if placed.is_ok() && demand.authority == Authority::Own {
            let sends = self.sends.entry(service.name.clone()).or_default();
            sends.on_send(now);
        }
        placed.map(|mut placement| {
            placement.basis.age = self.reported_at.map(|at| now.since(at));
            placement
        })
    }

    fn candidates(&self, service: &Service, demand: &Demand, now: Time) -> Vec<Candidate<'_>> {
        let is_within = |entry: &Entry| {
            demand
                .within
                .as_ref()
                .is_none_or(|within| entry.upstream.data_centre == *within)
        };
        let usable: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.upstream.service == service.name && is_within(entry))
            .filter(|(_, entry)| self.is_open(entry))
            // An upstream that turns this node away may serve the others.
            .filter(|(_, entry)| demand.authority == Authority::Shared || now >= entry.rests_until)
            .filter(|(_, entry)| {
                self.has_cold_capacity(entry, service.cold_rate, demand.authority, now)
            })
            .collect();
        let nodes = self.node_count(now);
        let untried = |id: &UpstreamId| !demand.avoid.contains(id);
        let healthy = |entry: &Entry| entry.health.is_healthy(now);
        // Upstreams that back off, fail often or have failed this request are used only if there are no others.
        let best = usable
            .iter()
            .map(|(id, entry)| (untried(id), healthy(entry)))
            .max()
            .unwrap_or_default();
        let (ids, entries): (Vec<_>, Vec<_>) = usable
            .into_iter()
            .filter(|(id, entry)| (untried(id), healthy(entry)) == best)
            .unzip();
        let loads = self.known_loads(&entries, demand.authority, now);
        ids.into_iter()
            .zip(entries)
            .zip(loads)
            .map(|((id, entry), (load, slots))| Candidate {
                id,
                entry,
                load,
                slots,
                local: entry.upstream.data_centre == self.home,
                failure_rate: entry.health.failure_rate(now),
                limit_wait: entry.limit.wait(demand.authority, nodes, now),
            })
            .collect()
    }

    fn place_plain<R>(
        &self,
        service: &Service,
        demand: &Demand,
        policy: &Policy,
        spread: Option<Spread>,
        now: Time,
        rng: &mut R,
    ) -> Result<Placement, Overload>
    where
        R: Rng,
    {
        let candidates = self.candidates(service, demand, now);
        let terms = |candidate: &Candidate<'_>| {
            let slots = f64::from(candidate.slots.max(1));
            let utilization = f64::from(candidate.load.active_requests()) / slots;
            Terms([
                ("utilization", utilization),
                ("penalty", candidate.penalty()),
            ])
        };
        let offer = |candidate: &Candidate<'_>| Offer {
            load: terms(candidate).total(),
            step: 1.0 / f64::from(candidate.slots.max(1)),
            room: f64::from(alone::free_slots(candidate, candidate.slots)),
        };
        let choice = match &spread {
            None => pick_lowest(&candidates, terms, demand.trace, rng),
            Some(spread) => alone::pick(&candidates, spread, offer)
                .map(|index| Choice::only(&candidates[index], terms(&candidates[index]))),
        };
        let choice = choice.ok_or_else(|| over_limit(&candidates))?;
        let best = choice.best;
        let slots = best.slots;
        if best.load.active_requests() >= slots + policy.max_queued.max(slots) {
            return Err(Overload::Full(RETRY_AFTER_PLAIN));
        }
        Ok(Placement {
            primary: best.id.clone(),
            cost: Cost::default(),
            helpers: Vec::new(),
            basis: Basis {
                choices: candidates.len(),
                load: best.load,
                score: choice.score,
                next: choice.next(),
                ranking: choice.ranking,
                ..Basis::default()
            },
        })
    }
}

/// Places a prompt on engines for short or long prompts, by its estimated prefill time.
fn place_prompt<R>(
    mut engines: Vec<Candidate<'_>>,
    profile: &EngineProfile,
    demand: &Demand,
    policy: &Policy,
    pool_sizes: &mut PoolSizes,
    now: Time,
    rng: &mut R,
) -> Result<Placement, Overload>
where
    R: Rng,
{
    prepare(&mut engines, profile, demand, policy)?;
    // A smaller service has too few engines to keep some for short prompts that arrive later.
    if demand.within.is_some() {
        let placement = WorkPlacement {
            profile,
            demand,
            policy,
            now,
        };
        return placement.place(&mut engines, pool_sizes, rng);
    }
    let prefill_time = profile.prefill_time(demand.prompt);
    let shorts = pool_sizes.short_engines(&engines, profile, policy, now);
    if prefill_time < policy.long_threshold {
        return place_short(&engines, shorts, profile, demand, policy, prefill_time, rng);
    }
    let long_engines = &engines[shorts..];
    let long = LongPlacement {
        engines: long_engines,
        writers: pool_sizes.writers(long_engines, policy, now),
        profile,
        demand,
        policy,
        prefill_time,
    };
    let mut placed = long.place(rng)?;
    placed.basis.shorts = shorts;
    Ok(placed)
}

/// Sorts the engines into the order that all nodes share, unless none of them can answer the prompt in time.
fn prepare(
    engines: &mut [Candidate<'_>],
    profile: &EngineProfile,
    demand: &Demand,
    policy: &Policy,
) -> Result<(), Overload> {
    if engines.is_empty() {
        return Err(Overload::None);
    }
    if demand.prompt + demand.answer > profile.kv_capacity && !profile.joint_prefill {
        return Err(Overload::TooLong);
    }
    // The length of the answer is not known in advance; half of the maximum is close to the mean.
    let decode_time = profile.decode_time(Tokens::new(demand.answer.get() / 2));
    let max_engines = if profile.joint_prefill {
        policy.max_helpers as u32 + 1
    } else {
        1
    };
    let needed = profile.prefill_time(demand.prompt) / max_engines + decode_time;
    if needed > demand.time_left {
        return Err(Overload::Late(needed));
    }
    // Engines that name a limit come last: a limit counts requests, so it is kept for long prompts
    // and for what the other engines cannot answer.
    engines.sort_by_key(|candidate| (candidate.entry.limit.is_set(), candidate.entry.rank));
    Ok(())
}

/// Places a short prompt on the engines for short prompts, or on any engine if those are full.
fn place_short<R>(
    engines: &[Candidate<'_>],
    shorts: usize,
    profile: &EngineProfile,
    demand: &Demand,
    policy: &Policy,
    prefill_time: Duration,
    rng: &mut R,
) -> Result<Placement, Overload>
where
    R: Rng,
{
    let slots = f64::from(profile.slots.max(1));
    let threshold_ms = policy.long_threshold.as_millis() as f64;
    let terms = |candidate: &Candidate<'_>| {
        let utilization = f64::from(candidate.load.active_requests()) / slots;
        let full_penalty = if utilization < 1.0 { 0.0 } else { FULL_PENALTY };
        let prefill = candidate.load.pending_prefill_ms as f64 / threshold_ms;
        Terms([
            ("utilization", utilization),
            ("full", full_penalty),
            ("prefill", prefill),
            ("penalty", candidate.penalty()),
        ])
    };
    let short_engines = &engines[..shorts.clamp(1, engines.len())];
    let has_slot = |choice: &Choice<'_, '_>| choice.best.load.active_requests() < profile.slots;
    let choice = pick_lowest(short_engines, terms, demand.trace, rng)
        .filter(has_slot)
        // An engine for long prompts is better than waiting for a slot.
        .or_else(|| pick_lowest(engines, terms, demand.trace, rng))
        .ok_or_else(|| over_limit(engines))?;
    let basis = choice.basis(engines.len(), shorts);
    short_placement(choice.best, basis, profile, demand, policy, prefill_time)
}

/// The placement of a short prompt on the engine `best`, which was chosen for the reasons in `basis`.
fn short_placement(
    best: &Candidate<'_>,
    basis: Basis,
    profile: &EngineProfile,
    demand: &Demand,
    policy: &Policy,
    prefill_time: Duration,
) -> Result<Placement, Overload> {
    if best.load.active_requests() >= profile.slots + policy.max_queued {
        return Err(Overload::Full(RETRY_AFTER_SHORT));
    }
    Ok(Placement {
        primary: best.id.clone(),
        cost: Cost {
            kind: WorkKind::Short,
            prefill_time,
            held_tokens: demand.prompt + demand.answer,
        },
        helpers: Vec::new(),
        basis: Basis {
            load: best.load,
            wait: Duration::from_millis(best.load.pending_prefill_ms),
            ..basis
        },
    })
}

/// The refusal when no candidate may answer because of the limits that they name.
fn over_limit(candidates: &[Candidate<'_>]) -> Overload {
    let waits = candidates
        .iter()
        .filter_map(|candidate| candidate.limit_wait);
    waits.min().map_or(Overload::None, |wait| {
        Overload::Full(wait.max(RETRY_AFTER_PLAIN))
    })
}

/// The candidate with the lowest score among those that may answer; ties are broken at random.
fn pick_lowest<'a, 'b, F, R, const N: usize>(
    candidates: &'b [Candidate<'a>],
    terms: F,
    trace: bool,
    rng: &mut R,
) -> Option<Choice<'a, 'b>>
where
    F: Fn(&Candidate<'a>) -> Terms<N>,
    R: Rng,
{
    let able = candidates
        .iter()
        .filter(|candidate| candidate.may_answer())
        .map(|candidate| (candidate, terms(candidate)));
    choose(able, TIE_WIDTH, trace, rng)
}
