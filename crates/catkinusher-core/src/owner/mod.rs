//! The owner of one upstream: it alone gives out the right to run requests there.
//!
//! It knows exactly what it has granted, so memory, ramp and queue are kept in
//! one place. Ownership is soft: while members may disagree on the owner, both
//! hold [`Share::Half`], and no promise rests on there being exactly one.
//! Requests wait here and not at the engine, because only here can one that
//! came later still go first. See
//! [docs/design/decisions.md](../../../../docs/design/decisions.md).

mod backlog;
mod crash;
mod dispatch;
mod predict;
mod reconcile;
mod release;
mod types;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use self::types::{
    Action, Event, Load, Outcome, Permit, Reason, Refusal, Reply, Report, RunOptions, Running,
    Share, Usage,
};

pub use self::predict::{SHORT_PROMPT_RESERVE, single_prompt_limit};

use self::backlog::Backlog;
use self::reconcile::Stranger;
use crate::ask::Ask;
use crate::cache::CachedPrefixes;
use crate::class::{CLASS_COUNT, LengthClass};
use crate::digest::Digest;
use crate::fair::{DEMAND_WINDOW, FairQueue, Meter, Tag};
use crate::fingerprint::Fingerprint;
use crate::id::{Incarnation, RequestId, VmId};
use crate::inventory::EngineLimits;
use crate::ledger::Ledger;
use crate::limit::AdaptiveLimit;
use crate::pace::Pace;
use crate::ramp::Ramp;
use crate::time::Time;
use crate::units::Tokens;

/// How long past its deadline a permit lives, for the report to come in.
pub const LEASE_GRACE: Duration = Duration::from_secs(2);

/// How long what nobody answers for may run before it is cancelled.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(5);

/// The most requests that wait at one owner.
pub const QUEUE_LIMIT: usize = 1024;

/// The most beginnings that are remembered for one upstream.
pub const PREFIX_LIMIT: usize = 4096;

/// The share of an engine's memory that is taken to be free for cached beginnings.
const CACHE_SHARE: f64 = 0.4;

/// One queue for each class, and one each for the parts of groups, excess and suspects.
const QUEUES: usize = CLASS_COUNT + 3;

/// The queue of the parts of groups, which wait for memory only.
const GROUP_QUEUE: usize = CLASS_COUNT;

/// The queue of what customers ask for beyond their shares; it gets what is left.
const EXCESS_QUEUE: usize = CLASS_COUNT + 1;

/// The queue of what runs apart; it goes first, since the upstream idles for its sake.
const APART_QUEUE: usize = CLASS_COUNT + 2;

/// The order in which queues are served.
const ORDER: [usize; QUEUES] = [APART_QUEUE, 0, 1, GROUP_QUEUE, 2, 3, EXCESS_QUEUE];

/// The engine priority of excess, after all classes.
const EXCESS_PRIORITY: u8 = 3;

/// The concurrency that a plain upstream is given right after its start.
const PLAIN_COLD: u32 = 4;

/// What an upstream bears, by what it is.
#[derive(Debug, Clone)]
pub enum Limits {
    /// A model engine.
    Engine(EngineLimits),
    /// A plain service that takes this many calls at a time.
    Plain(u32),
}

/// A request that waits.
#[derive(Debug, Clone)]
struct Waiting {
    ask: Ask,
    holder: VmId,
    terms: RunOptions,
}

/// Where a request waits.
#[derive(Debug, Clone, Copy)]
struct Place {
    class: usize,
    tag: Tag,
    /// When it must start at the latest.
    latest: Time,
}

/// What is remembered of a granted request.
#[derive(Debug, Clone)]
struct Granted {
    since: Time,
    expected: Duration,
    priority: u8,
    /// Grants of more urgent priorities before this one.
    urgent: u64,
    class: LengthClass,
    /// Whether it lies beyond its customer's share.
    excess: bool,
    prefix: Vec<u64>,
    terms: RunOptions,
    /// How many times slower than declared its first token came.
    slowness: Option<f64>,
}

impl Waiting {
    /// The queue that it waits in.
    fn queue(&self) -> usize {
        if self.terms.isolated {
            return APART_QUEUE;
        }
        if self.ask.excess {
            return EXCESS_QUEUE;
        }
        if self.ask.is_grouped() {
            return GROUP_QUEUE;
        }
        match self.ask.class() {
            // They have one engine priority, so only customers' shares order them.
            LengthClass::Short | LengthClass::Medium => LengthClass::Short.index(),
            class => class.index(),
        }
    }

    /// The engine priority that it gets; 0 is most urgent.
    fn priority(&self) -> u8 {
        if self.ask.excess {
            return EXCESS_PRIORITY;
        }
        self.ask.class().priority()
    }
}

/// The owner of one upstream.
///
/// Call [`Owner::poll`] after each batch of calls and when
/// [`Owner::next_wake`] comes; only there queued requests are granted.
#[derive(Debug, Clone)]
pub struct Owner {
    limits: Limits,
    share: Share,
    drained: bool,
    ledger: Ledger,
    ramp: Ramp,
    adaptive: Option<AdaptiveLimit>,
    pace: Option<Pace>,
    backlog: Backlog,
    queues: [FairQueue<Waiting>; QUEUES],
    places: BTreeMap<RequestId, Place>,
    expiries: BTreeSet<(Time, RequestId)>,
    granted: BTreeMap<RequestId, Granted>,
    grants: [u64; CLASS_COUNT],
    known: CachedPrefixes,
    /// Work that comes in within customers' shares.
    regular: Meter,
    incarnation: Incarnation,
    /// Requests listed by the upstream that nobody here answers for.
    strangers: BTreeMap<RequestId, Stranger>,
    /// Memory held by long prompts.
    bulk: Tokens,
    /// Memory held by other prompts beyond their customers' shares.
    lent: Tokens,
    /// Memory held by others, averaged.
    others: f64,
    averaged: Time,
    /// Since when the upstream may be gone.
    suspect: Option<Time>,
    /// The request that runs apart.
    lone: Option<RequestId>,
    /// What was under way when its connection broke, until it is known whether it was a crash.
    broken: Vec<(Time, Fingerprint)>,
    /// What ran at crashes that nobody was told of yet.
    blamed: Vec<Fingerprint>,
}

impl Owner {
    /// The owner of an upstream that is taken for cold.
    #[must_use]
    pub fn new(limits: Limits, share: Share, now: Time) -> Self {
        let (cold, full) = match &limits {
            Limits::Engine(engine) => (engine.cold_streams, engine.streams),
            Limits::Plain(limit) => (PLAIN_COLD.min(*limit), *limit),
        };
        let room = match &limits {
            Limits::Engine(engine) => engine.memory.get() as f64 * CACHE_SHARE,
            Limits::Plain(_) => 0.0,
        };
        let mut owner = Self {
            share,
            drained: false,
            ledger: Ledger::default(),
            ramp: Ramp::new(cold, full, now),
            adaptive: None,
            pace: None,
            backlog: Backlog::default(),
            queues: Default::default(),
            places: BTreeMap::new(),
            expiries: BTreeSet::new(),
            granted: BTreeMap::new(),
            grants: [0; CLASS_COUNT],
            known: CachedPrefixes::new(PREFIX_LIMIT, Tokens::new(room as u64)),
            regular: Meter::new(DEMAND_WINDOW, now),
            incarnation: Incarnation::default(),
            strangers: BTreeMap::new(),
            bulk: Tokens::ZERO,
            lent: Tokens::ZERO,
            others: 0.0,
            averaged: now,
            suspect: None,
            lone: None,
            broken: Vec::new(),
            blamed: Vec::new(),
            limits,
        };
        match &owner.limits {
            Limits::Engine(engine) => {
                owner.backlog = Backlog::new(engine.chunk.is_none());
                owner.pace = Some(Pace::new(engine));
            }
            Limits::Plain(limit) => owner.adaptive = Some(AdaptiveLimit::new(*limit)),
        }
        owner.set_share(share);
        owner
    }

    /// Changes how much of the upstream this owner gives out.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
        if let Limits::Engine(engine) = &self.limits {
            self.ledger.set_total(share.of_memory(engine.memory));
        }
    }

    /// Takes the upstream out or back in; what runs is left to end.
    pub fn set_drained(&mut self, drained: bool) {
        self.drained = drained;
    }

    /// Takes the upstream for warm, as a tested one in a bench.
    pub fn assume_warm(&mut self) {
        self.ramp.mark_warm();
    }

    /// Asks to run a request on behalf of `holder`.
    pub fn acquire(&mut self, ask: Ask, holder: VmId, now: Time) -> Reply {
        self.acquire_with(RunOptions::default(), ask, holder, now)
    }

    /// Asks to run a request on these terms on behalf of `holder`.
    pub fn acquire_with(&mut self, terms: RunOptions, ask: Ask, holder: VmId, now: Time) -> Reply {
        self.advance(now);
        let waiting = Waiting { ask, holder, terms };
        if let Some(refusal) = self.objection(&waiting, now) {
            return Reply::Refused(refusal);
        }
        if let Some(refusal) = self.impatience(&waiting, now) {
            return Reply::Refused(refusal);
        }
        self.note_regular(&waiting.ask, now);
        if self.queue_ahead(&waiting) == 0 && self.fits(&waiting) {
            return Reply::Granted(self.grant(waiting, now));
        }
        self.enqueue(waiting);
        Reply::Queued
    }

    /// Grants what may start by now and ends what has run out.
    pub fn poll(&mut self, now: Time) -> Vec<Event> {
        self.advance(now);
        let mut events = Vec::new();
        self.expire(now, &mut events);
        self.give_up(now, &mut events);
        self.dispatch(now, &mut events);
        events
    }

    /// When [`Owner::poll`] has something to do at the latest.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let lease = self.ledger.next_end();
        let queue = self.expiries.first().map(|(end, _)| *end);
        let start = self.next_start();
        [lease, queue, start].into_iter().flatten().min()
    }

    /// What the fleet is told about this upstream.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut backlog = [Tokens::ZERO; CLASS_COUNT];
        for (class, tokens) in LengthClass::ALL.into_iter().zip(&mut backlog) {
            *tokens = self.ahead(class.priority(), class.index());
        }
        Digest {
            incarnation: self.incarnation,
            free: self.ledger.free(),
            backlog,
            streams: self.ledger.streams(),
            queued: self.places.len() as u32,
            limit: self.told_limit(),
            pace: self
                .pace
                .as_ref()
                .map_or(0, |pace| pace.rate().get() as u32),
            cold: self.ramp.is_cold(),
            sketch: self.known.sketch(),
        }
    }

    /// The life of the upstream that it was last known in.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The ledger, to look into.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The ramp, to look into.
    #[must_use]
    pub const fn ramp(&self) -> &Ramp {
        &self.ramp
    }

    /// How many requests wait.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.places.len()
    }

    /// The streams that may be open now, others' included.
    #[must_use]
    pub fn stream_limit(&self) -> u32 {
        if self.drained || self.suspect.is_some() {
            return 0;
        }
        let ramp = self.share.of(self.ramp.stream_limit());
        let adaptive = self.adaptive.as_ref().map(AdaptiveLimit::get);
        let adaptive = adaptive.map(|limit| self.share.of(limit));
        adaptive.map_or(ramp, |limit| ramp.min(limit))
    }

    fn advance(&mut self, now: Time) {
        self.average(now);
        if let Some(pace) = &self.pace {
            self.backlog.advance(pace.rate(), now);
        }
    }

    fn enqueue(&mut self, waiting: Waiting) {
        let ask = &waiting.ask;
        let class = waiting.queue();
        let cost = self.cost_of(ask);
        let request = ask.request.clone();
        let customer = ask.customer.clone();
        let weight = ask.weight;
        let latest = self.latest_start(ask);
        self.expiries.insert((latest, request.clone()));
        let tag = self.queues[class].push(&customer, weight, cost, waiting);
        self.places.insert(request, Place { class, tag, latest });
    }

    /// Takes a request out of its queue.
    fn dequeue(&mut self, request: &RequestId) -> Option<Waiting> {
        let place = self.places.remove(request)?;
        self.expiries.remove(&(place.latest, request.clone()));
        self.queues[place.class].remove(place.tag)
    }
}
