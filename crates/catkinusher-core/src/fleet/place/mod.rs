//! Where a request goes.
//!
//! Short and long prompts are kept on different engines as far as the load
//! allows. An engine that reads a long prompt holds up every answer that it
//! writes, so one long prompt in a batch makes all short ones beside it late.
//! Engines stand in one order that all nodes share: short prompts fill it from
//! the front, long ones are read by the engines behind, several together.

mod long;
mod sizing;
mod types;

use std::time::Duration;

use rand::{Rng, RngExt};

pub(super) use self::sizing::Sizing;
pub use self::types::{Basis, Demand, Overload, Placement, Policy};

use self::long::Long;
use super::{Cost, Entry, Fleet, Load, WorkKind};
use crate::directory::Service;
use crate::engine::EngineProfile;
use crate::id::{ServiceId, UpstreamId};
use crate::rendezvous::Salt;
use crate::time::Time;
use crate::units::{Rate, Tokens};

const SALT: Salt = Salt::new(0x666c_6565_7421);

/// What an upstream of the same data centre is ahead by, as a share of its places.
const NEAR_GAIN: f64 = 0.03;

/// Scores this near to each other count as equal.
const TIE: f64 = 0.02;

/// What a share of failures weighs, as a multiple of that share of an upstream's places.
const FAILING_WEIGHT: f64 = 1.0;

/// What a wait for a place weighs, as a share of an engine's places: more than any other handicap.
const FULL_WEIGHT: f64 = 2.0;

/// When a place of a plain service is free again, a few calls later.
const RETRY_PLAIN: Duration = Duration::from_millis(150);

/// When a place for a short prompt is free again, by the length of usual answers.
const RETRY_SHORT: Duration = Duration::from_millis(800);

/// The place of an upstream in the order that all nodes share.
pub(super) fn rank(id: &UpstreamId) -> u64 {
    SALT.score("order", id.as_str())
}

/// A name of an upstream that is short enough to be told often.
pub(super) const fn short(rank: u64) -> u32 {
    (rank >> 32) as u32
}

struct Candidate<'a> {
    id: &'a UpstreamId,
    entry: &'a Entry,
    load: Load,
    near: bool,
    /// The share of requests that it fails.
    failing: f64,
}

impl Candidate<'_> {
    /// What counts against it besides its load, as a share of its places.
    fn handicap(&self) -> f64 {
        let far = if self.near { 0.0 } else { NEAR_GAIN };
        FAILING_WEIGHT * self.failing + far
    }
}

impl Fleet {
    /// Chooses the upstream of a request, and the helpers of a long one.
    ///
    /// # Errors
    ///
    /// An [`Overload`] if no upstream can serve it in time.
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
        let mut sizing = self.sizing.remove(&service.name).unwrap_or_default();
        let placed = match &service.engine {
            None => self.place_plain(service, demand, policy, now, rng),
            Some(rates) => {
                let candidates =
                    self.candidates(&service.name, service.cold_rate, &demand.avoid, now);
                place_prompt(candidates, rates, demand, policy, &mut sizing, now, rng)
            }
        };
        self.sizing.insert(service.name.clone(), sizing);
        placed
    }

    fn candidates(
        &self,
        service: &ServiceId,
        cold: Option<Rate>,
        avoid: &[UpstreamId],
        now: Time,
    ) -> Vec<Candidate<'_>> {
        let usable: Vec<_> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.upstream.service == *service && self.open(entry))
            .filter(|(_, entry)| self.bears(entry, cold, now))
            .collect();
        let fresh = |id: &UpstreamId| !avoid.contains(id);
        let sound = |entry: &Entry| entry.health.is_sound(now);
        // Upstreams that rest, fail or have failed this request come only when all do.
        let best = usable
            .iter()
            .map(|(id, entry)| (fresh(id), sound(entry)))
            .max()
            .unwrap_or_default();
        usable
            .into_iter()
            .filter(|(id, entry)| (fresh(id), sound(entry)) == best)
            .map(|(id, entry)| Candidate {
                id,
                entry,
                load: self.load(entry, now),
                near: entry.upstream.data_centre == self.home,
                failing: entry.health.failing(now),
            })
            .collect()
    }

    fn place_plain<R>(
        &self,
        service: &Service,
        demand: &Demand,
        policy: &Policy,
        now: Time,
        rng: &mut R,
    ) -> Result<Placement, Overload>
    where
        R: Rng,
    {
        let candidates = self.candidates(&service.name, service.cold_rate, &demand.avoid, now);
        let score = |one: &Candidate<'_>| {
            let places = f64::from(one.entry.upstream.slots.max(1));
            let busy = f64::from(one.load.active_requests()) / places;
            busy + one.handicap()
        };
        let best = pick(&candidates, score, rng).ok_or(Overload::None)?;
        let places = best.entry.upstream.slots;
        if best.load.active_requests() >= places + policy.max_queued.max(places) {
            return Err(Overload::Full(RETRY_PLAIN));
        }
        Ok(Placement {
            primary: best.id.clone(),
            cost: Cost::default(),
            helpers: Vec::new(),
            basis: Basis {
                choices: candidates.len(),
                load: best.load,
                ..Basis::default()
            },
        })
    }
}

/// Places a prompt by its length.
fn place_prompt<R>(
    mut engines: Vec<Candidate<'_>>,
    rates: &EngineProfile,
    demand: &Demand,
    policy: &Policy,
    sizing: &mut Sizing,
    now: Time,
    rng: &mut R,
) -> Result<Placement, Overload>
where
    R: Rng,
{
    if engines.is_empty() {
        return Err(Overload::None);
    }
    if demand.prompt + demand.answer > rates.kv_capacity && !rates.joint_prefill {
        return Err(Overload::TooLong);
    }
    // The answer's length is not known before; the half of the most is near to the mean.
    let writing = rates.decode_time(Tokens::new(demand.answer.get() / 2));
    let most = if rates.joint_prefill {
        policy.max_helpers as u32 + 1
    } else {
        1
    };
    let needs = rates.prefill_time(demand.prompt) / most + writing;
    if needs > demand.time_left {
        return Err(Overload::Late(needs));
    }
    engines.sort_by_key(|one| one.entry.rank);
    let reading = rates.prefill_time(demand.prompt);
    let shorts = sizing.shorts(&engines, rates, policy, now);
    if reading < policy.long_threshold {
        return place_short(&engines, shorts, rates, demand, policy, reading, rng);
    }
    let behind = &engines[shorts..];
    let long = Long {
        engines: behind,
        writers: sizing.writers(behind, policy, now),
        rates,
        demand,
        policy,
        reading,
    };
    long.place(rng)
}

/// Places a short prompt on the engines at the front, on any if those are full.
fn place_short<R>(
    engines: &[Candidate<'_>],
    shorts: usize,
    rates: &EngineProfile,
    demand: &Demand,
    policy: &Policy,
    reading: Duration,
    rng: &mut R,
) -> Result<Placement, Overload>
where
    R: Rng,
{
    let slots = f64::from(rates.slots.max(1));
    let limit = policy.long_threshold.as_millis() as f64;
    let score = |one: &Candidate<'_>| {
        let busy = f64::from(one.load.active_requests()) / slots;
        let full = if busy < 1.0 { 0.0 } else { FULL_WEIGHT };
        let reading = one.load.pending_prefill_ms as f64 / limit;
        busy + full + reading + one.handicap()
    };
    let front = &engines[..shorts.clamp(1, engines.len())];
    let mut best = pick(front, score, rng).ok_or(Overload::None)?;
    if best.load.active_requests() >= rates.slots {
        // The engines behind are better than a wait for a place.
        best = pick(engines, score, rng).ok_or(Overload::None)?;
    }
    if best.load.active_requests() >= rates.slots + policy.max_queued {
        return Err(Overload::Full(RETRY_SHORT));
    }
    Ok(Placement {
        primary: best.id.clone(),
        cost: Cost {
            kind: WorkKind::Short,
            prefill_time: reading,
            held_tokens: demand.prompt + demand.answer,
        },
        helpers: Vec::new(),
        basis: Basis {
            choices: engines.len(),
            shorts,
            load: best.load,
            wait: Duration::from_millis(best.load.pending_prefill_ms),
            ..Basis::default()
        },
    })
}

/// The candidate with the lowest score; equal ones are drawn.
fn pick<'a, 'b, F, R>(
    candidates: &'b [Candidate<'a>],
    score: F,
    rng: &mut R,
) -> Option<&'b Candidate<'a>>
where
    F: Fn(&Candidate<'a>) -> f64,
    R: Rng,
{
    candidates
        .iter()
        .map(|one| (score(one) + rng.random_range(0.0..TIE), one))
        .min_by(|a, b| a.0.total_cmp(&b.0))
        .map(|(_, one)| one)
}
