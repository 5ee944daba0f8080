//! Where a request goes.
//!
//! Short and long prompts are kept on different engines as far as the load
//! allows. An engine that reads a long prompt holds up every answer that it
//! writes, so one long prompt in a batch makes all short ones beside it late.
//! Engines stand in one order that all nodes share: short prompts fill it from
//! the front, long ones are read by the engines behind, several together.

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use super::{Cost, Entry, Fleet, Load, Share};
use crate::directory::Service;
use crate::engine::Rates;
use crate::id::{ServiceId, UpstreamId};
use crate::rendezvous::Salt;
use crate::time::Time;
use crate::units::{Rate, Tokens};

const SALT: Salt = Salt::new(0x666c_6565_7421);

/// The bounds of placing.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Policy {
    /// The reading time above which a prompt counts as long.
    pub long: Duration,
    /// The share of an engine's places that short prompts fill before the next engine is opened.
    pub fill: f64,
    /// The reading time that each engine should get of a long prompt.
    pub part: Duration,
    /// The longest part that may hold up an engine that writes.
    pub burden: Duration,
    /// The most engines that read one prompt together.
    pub helpers: usize,
    /// The answers of long prompts that one engine writes together.
    pub together: u32,
    /// Requests beyond the places of an upstream that may wait there.
    pub waiting: u32,
    /// How long the number of engines for short prompts stays after less is needed.
    pub hold: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            // Half of what a short stream bears between two events.
            long: Duration::from_millis(150),
            // Leaves room for what other nodes place at the same moment.
            fill: 0.65,
            // About a pass, below which a part gains nothing.
            part: Duration::from_millis(50),
            // With a pass it stays within the pauses of most answers.
            burden: Duration::from_millis(300),
            // The most that an engine takes on its list.
            helpers: 16,
            // Their context fills an engine's memory and slows its steps.
            together: 4,
            // A few requests wait for less than a pass.
            waiting: 2,
            // About the length of an answer.
            hold: Duration::from_secs(2),
        }
    }
}

/// What a request needs of its upstream.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    /// The length of its prompt, if it is for a model.
    pub prompt: Tokens,
    /// The most tokens that its answer may have.
    pub answer: Tokens,
    /// The time within which its first event is on time.
    pub objective: Duration,
    /// How long ago the caller first asked, as far as can be told.
    pub spent: Duration,
    /// How long the caller waits for the first sign of this attempt.
    pub patience: Duration,
    /// How long this attempt has waited already.
    pub waited: Duration,
    /// The upstreams that have failed it already.
    pub avoid: Vec<UpstreamId>,
}

/// Where a request goes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The upstream that gets the request and answers.
    pub first: UpstreamId,
    /// What it costs that upstream.
    pub cost: Cost,
    /// Engines that read parts of the prompt, and what that costs each.
    pub helpers: Vec<(UpstreamId, Cost)>,
    /// What it was chosen by.
    pub basis: Basis,
}

/// What a placement was chosen by, for logs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Basis {
    /// The upstreams that could have been chosen.
    pub choices: usize,
    /// Those of them that are for short prompts.
    pub shorts: usize,
    /// Those of them that answer long prompts.
    pub writers: usize,
    /// What the chosen one was believed to have under way.
    pub load: Load,
    /// The longest time that any of its engines is still to read.
    pub wait: Duration,
}

/// Why a request finds no upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Overload {
    /// None is listed that serves.
    None,
    /// All are full; room is expected after this time.
    Full(Duration),
    /// Shorter prompts are being read; ask again after this time.
    Behind(Duration),
    /// No engine's memory holds the prompt.
    TooLong,
}

/// How many engines do one kind of work, kept for a while.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Sizing {
    count: usize,
    since: Time,
}

impl Sizing {
    fn update(&mut self, wanted: usize, hold: Duration, now: Time) -> usize {
        if wanted >= self.count || now.since(self.since) >= hold {
            self.count = wanted;
            self.since = now;
        }
        self.count
    }
}

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
            Some(rates) => self.place_prompt(service, rates, demand, policy, &mut sizing, now, rng),
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
        let sound = |entry: &Entry| !entry.health.rests(now);
        // Upstreams that rest or have failed this request come only when all do.
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
        let candidates = self.candidates(&service.name, service.cold, &demand.avoid, now);
        let score = |one: &Candidate<'_>| {
            let places = f64::from(one.entry.upstream.slots.max(1));
            let busy = f64::from(one.load.answers()) / places;
            // A share of failures weighs like twice that share of its places.
            let far = if one.near { 0.0 } else { NEAR_GAIN };
            busy + 2.0 * one.entry.health.failing() + far
        };
        let best = pick(&candidates, score, rng).ok_or(Overload::None)?;
        let places = best.entry.upstream.slots;
        if best.load.answers() >= places + policy.waiting.max(places) {
            return Err(Overload::Full(RETRY_PLAIN));
        }
        Ok(Placement {
            first: best.id.clone(),
            cost: Cost::default(),
            helpers: Vec::new(),
            basis: Basis {
                choices: candidates.len(),
                load: best.load,
                ..Basis::default()
            },
        })
    }

    #[expect(clippy::too_many_arguments, reason = "one decision over all that is known")]
    fn place_prompt<R>(
        &self,
        service: &Service,
        rates: &Rates,
        demand: &Demand,
        policy: &Policy,
        sizing: &mut (Sizing, Sizing),
        now: Time,
        rng: &mut R,
    ) -> Result<Placement, Overload>
    where
        R: Rng,
    {
        let mut candidates = self.candidates(&service.name, service.cold, &demand.avoid, now);
        if candidates.is_empty() {
            return Err(Overload::None);
        }
        candidates.sort_by_key(|one| one.entry.rank);
        let whole = demand.prompt + demand.answer;
        if whole > rates.memory {
            return Err(Overload::TooLong);
        }
        let reading = rates.reading(demand.prompt);
        let shorts = shorts(&candidates, rates, policy, &mut sizing.0, now);
        if reading < policy.long {
            self.place_short(&candidates, rates, demand, policy, shorts, reading, rng)
        } else {
            let behind = &candidates[shorts..];
            let writers = writers(behind, rates, policy, &mut sizing.1, now);
            place_long(behind, writers, rates, demand, policy, reading, rng)
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one decision over all that is known")]
    fn place_short<R>(
        &self,
        candidates: &[Candidate<'_>],
        rates: &Rates,
        demand: &Demand,
        policy: &Policy,
        shorts: usize,
        reading: Duration,
        rng: &mut R,
    ) -> Result<Placement, Overload>
    where
        R: Rng,
    {
        let slots = f64::from(rates.slots.max(1));
        let limit = policy.long.as_millis() as f64;
        let score = |one: &Candidate<'_>| {
            let busy = f64::from(one.load.answers()) / slots;
            let reading = one.load.unread as f64 / limit;
            let far = if one.near { 0.0 } else { NEAR_GAIN };
            busy + reading + 2.0 * one.entry.health.failing() + far
        };
        let front = &candidates[..shorts.max(1).min(candidates.len())];
        let mut best = pick(front, score, rng).ok_or(Overload::None)?;
        if best.load.answers() >= rates.slots {
            // The engines behind are better than a wait for a place.
            best = pick(candidates, score, rng).ok_or(Overload::None)?;
        }
        if best.load.answers() >= rates.slots + policy.waiting {
            return Err(Overload::Full(RETRY_SHORT));
        }
        Ok(Placement {
            first: best.id.clone(),
            cost: Cost {
                share: Share::Short,
                reading,
                held: demand.prompt + demand.answer,
            },
            helpers: Vec::new(),
            basis: Basis {
                choices: candidates.len(),
                shorts,
                load: best.load,
                wait: Duration::from_millis(best.load.unread),
                ..Basis::default()
            },
        })
    }
}

/// How many engines, from the front of the order, are for short prompts.
fn shorts(
    candidates: &[Candidate<'_>],
    rates: &Rates,
    policy: &Policy,
    sizing: &mut Sizing,
    now: Time,
) -> usize {
    let count = candidates.len();
    let under: u32 = candidates.iter().map(|one| one.load.shorts).sum();
    let each = f64::from(rates.slots) * policy.fill;
    let wanted = (f64::from(under + 1) / each.max(1.0)).ceil() as usize;
    // Long prompts keep an eighth of the engines, and one at least.
    let most = count.saturating_sub((count / 8).max(1)).max(1);
    sizing.update(wanted.clamp(1, most), policy.hold, now)
        .min(count.saturating_sub(1))
}

/// How many engines, from the front of those for long prompts, write their answers.
fn writers(
    behind: &[Candidate<'_>],
    rates: &Rates,
    policy: &Policy,
    sizing: &mut Sizing,
    now: Time,
) -> usize {
    let under: u32 = behind.iter().map(|one| one.load.longs).sum();
    let held: u64 = behind.iter().map(|one| one.load.held).sum();
    let by_count = (under + 1).div_ceil(policy.together.max(1)) as usize;
    let by_memory = (held as f64 / (rates.memory.get() as f64 * MEMORY_FILL)).ceil() as usize;
    let most = (behind.len() / 3).max(1);
    let wanted = by_count.max(by_memory).clamp(1, most);
    sizing.update(wanted, policy.hold, now).min(most)
}

/// Places a long prompt on engines that read, answered by one that writes.
///
/// An engine that reads holds up the answers that it writes. So the answers of
/// long prompts gather on few engines, and the others read for them. Engines
/// read the newest part first, so a prompt that meets newer ones on one of its
/// engines only waits there for all. The more engines each prompt takes, the
/// more alike their orders are. A prompt whose part would hold up a writer for
/// too long answers from a reader.
fn place_long<R>(
    behind: &[Candidate<'_>],
    writers: usize,
    rates: &Rates,
    demand: &Demand,
    policy: &Policy,
    reading: Duration,
    rng: &mut R,
) -> Result<Placement, Overload>
where
    R: Rng,
{
    let whole = demand.prompt + demand.answer;
    let fits = |one: &&Candidate<'_>| {
        one.load.held + whole.get() <= rates.memory.get() && one.load.answers() < rates.slots
    };
    let score = |one: &Candidate<'_>| {
        one.load.unread as f64
            + f64::from(one.load.longs) * ANSWER_WEIGHT
            + f64::from(one.load.shorts) * CROWD_WEIGHT
            + 500.0 * one.entry.health.failing()
    };
    let (writing, readers) = behind.split_at(writers);
    let most = if rates.joint { policy.helpers.min(readers.len()) } else { 0 };
    let parts = |each: Duration| (reading.as_secs_f64() / each.as_secs_f64()).ceil() as usize;
    let count = parts(policy.part).max(2) - 1;
    let own = reading > policy.burden * (most as u32 + 1);
    let groups = if own { [readers, writing] } else { [writing, readers] };
    let mut best = None;
    for group in groups {
        best = group
            .iter()
            .filter(fits)
            .map(|one| (score(one) + rng.random_range(0.0..1.0), one))
            .min_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, one)| one);
        if best.is_some() {
            break;
        }
    }
    let best = best.ok_or(Overload::Full(RETRY_LONG))?;
    let mut others: Vec<&Candidate<'_>> =
        readers.iter().filter(|one| one.id != best.id).collect();
    let reader = |one: &Candidate<'_>| {
        score(one) + f64::from(one.load.longs.min(1)) * WRITES_WEIGHT
    };
    others.sort_by(|a, b| {
        let calm = |one: &Candidate<'_>| one.load.shorts == 0;
        calm(b).cmp(&calm(a)).then(reader(a).total_cmp(&reader(b)))
    });
    let calm = others.iter().filter(|one| one.load.shorts == 0).count();
    others.truncate(count.min(most).min(calm.max(1)));
    let part = reading / (others.len() as u32 + 1);
    // Engines read the newest part first. A prompt that waits until no shorter
    // one is being read makes that the order of the shortest first; one that
    // is late in any case goes when the engines have nothing else to read.
    let shorter = |one: &Candidate<'_>| {
        one.load.least > 0 && (one.load.least as f64) < part.as_millis() as f64 * SHORTER
    };
    let busy = |one: &Candidate<'_>| one.load.unread > IDLE;
    let on_time = demand.spent + part.mul_f64(MARGIN) <= demand.objective;
    let last_call = demand.waited + part * 2 + LAST_CALL >= demand.patience;
    let mut engines = others.iter().copied().chain([best]);
    let wait_on = if on_time { engines.any(shorter) } else { engines.any(busy) };
    if wait_on && !last_call {
        return Err(Overload::Behind(LOOK_AGAIN));
    }
    let wait = others
        .iter()
        .copied()
        .chain([best])
        .map(|one| one.load.unread)
        .max()
        .map_or(Duration::ZERO, Duration::from_millis);
    let helpers = others
        .into_iter()
        .map(|one| {
            let cost = Cost {
                share: Share::Part,
                reading: part,
                held: Tokens::ZERO,
            };
            (one.id.clone(), cost)
        })
        .collect();
    Ok(Placement {
        first: best.id.clone(),
        cost: Cost {
            share: Share::Long,
            reading: part,
            held: whole,
        },
        helpers,
        basis: Basis {
            choices: behind.len(),
            shorts: 0,
            writers,
            load: best.load,
            wait,
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

/// What an upstream of the same data centre is ahead by, as a share of its places.
const NEAR_GAIN: f64 = 0.03;

/// Scores this near to each other count as equal.
const TIE: f64 = 0.02;

/// What a short answer weighs that a long prompt beside it would hold up, in milliseconds of reading.
const CROWD_WEIGHT: f64 = 60.0;

/// What an answer of a long prompt weighs, in milliseconds of reading.
const ANSWER_WEIGHT: f64 = 60.0;

/// What an answer under way weighs against an engine that is to read, in milliseconds of reading.
const WRITES_WEIGHT: f64 = 300.0;

/// The share of an engine's memory that long prompts fill before another engine writes.
const MEMORY_FILL: f64 = 0.7;

/// When a place of a plain service is free again, a few calls later.
const RETRY_PLAIN: Duration = Duration::from_millis(150);

/// When a place for a short prompt is free again, by the length of usual answers.
const RETRY_SHORT: Duration = Duration::from_millis(800);

/// A part shorter than this share of another is let go first.
const SHORTER: f64 = 0.8;

/// The multiple of its reading time that a prompt should have left to be on time.
const MARGIN: f64 = 1.2;

/// The reading, in milliseconds, that an engine has still to do when it counts as idle.
const IDLE: u64 = 60;

/// What a late prompt leaves of its caller's patience beyond twice its reading time.
const LAST_CALL: Duration = Duration::from_millis(1500);

/// When a prompt that waits looks again, less than half a pass.
const LOOK_AGAIN: Duration = Duration::from_millis(25);

/// When the engines have read the long prompts that wait.
const RETRY_LONG: Duration = Duration::from_millis(4000);

