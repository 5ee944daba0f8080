//! The owner of one upstream, the only node that grants permits to run requests there.
//!
//! The owner tracks its own grants exactly, so memory, warm-up limit and queue
//! are kept in one position. Ownership is not exclusive: while members may
//! disagree on the owner, each owner holds [`Share::Half`], and no guarantee
//! depends on there being exactly one. Requests queue here rather than at the
//! engine, because only here can a later request still be started first. See
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
use self::reconcile::ExternalRequest;
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

/// How long a permit stays valid past its request's deadline, so that the report can arrive.
pub const LEASE_GRACE: Duration = Duration::from_secs(2);

/// How long a request without a known holder may run before it is cancelled.
pub const ORPHAN_GRACE: Duration = Duration::from_secs(5);

/// The maximum number of requests queued at one owner.
pub const QUEUE_LIMIT: usize = 1024;

/// The maximum number of cached prefixes tracked for one upstream.
pub const PREFIX_LIMIT: usize = 4096;

/// The share of an engine's memory that is assumed to be available for cached prefixes.
const CACHE_SHARE: f64 = 0.4;

/// One queue for each class, and one each for group members, excess and isolated requests.
const QUEUES: usize = CLASS_COUNT + 3;

/// The queue of group members, which wait for memory only.
const GROUP_QUEUE: usize = CLASS_COUNT;

/// The queue of requests beyond their customers' shares, which are served last.
const EXCESS_QUEUE: usize = CLASS_COUNT + 1;

/// The queue of isolated requests, served first because the upstream idles until they have run.
const ISOLATED_QUEUE: usize = CLASS_COUNT + 2;

/// The order in which the queues are served.
const DISPATCH_ORDER: [usize; QUEUES] = [ISOLATED_QUEUE, 0, 1, GROUP_QUEUE, 2, 3, EXCESS_QUEUE];

/// The engine priority of excess requests, below that of every class.
const EXCESS_PRIORITY: u8 = 3;

/// The concurrency limit of a plain upstream right after its start.
const PLAIN_COLD_CONCURRENCY: u32 = 4;

/// The declared limits of an upstream, by kind.
#[derive(Debug, Clone)]
pub enum Limits {
    /// A model engine.
    Engine(EngineLimits),
    /// A plain service that accepts this many concurrent calls.
    Plain(u32),
}

/// A queued request and the node that asked for it.
#[derive(Debug, Clone)]
struct QueuedRequest {
    ask: Ask,
    holder: VmId,
    options: RunOptions,
}

/// Where a request is queued.
#[derive(Debug, Clone, Copy)]
struct QueuePosition {
    queue: usize,
    tag: Tag,
    /// The latest start that still meets the deadline.
    latest_start: Time,
}

/// What the owner records about a granted request.
#[derive(Debug, Clone)]
struct GrantedRequest {
    since: Time,
    expected: Duration,
    priority: u8,
    /// The number of grants of more urgent priorities before this one.
    urgent_grants: u64,
    class: LengthClass,
    /// Whether the request exceeds its customer's share.
    excess: bool,
    prefix: Vec<u64>,
    options: RunOptions,
    /// The ratio of the observed to the declared time to first token.
    slowness: Option<f64>,
}

impl QueuedRequest {
    /// The index of the queue for this request.
    fn queue(&self) -> usize {
        if self.options.isolated {
            return ISOLATED_QUEUE;
        }
        if self.ask.excess {
            return EXCESS_QUEUE;
        }
        if self.ask.is_grouped() {
            return GROUP_QUEUE;
        }
        match self.ask.class() {
            // Short and medium prompts share an engine priority, so only customers' shares order them.
            LengthClass::Short | LengthClass::Medium => LengthClass::Short.index(),
            class => class.index(),
        }
    }

    /// The engine priority of this request; 0 is the most urgent.
    fn priority(&self) -> u8 {
        if self.ask.excess {
            return EXCESS_PRIORITY;
        }
        self.ask.class().priority()
    }
}

/// The owner of one upstream.
///
/// Call [`Owner::poll`] after each batch of calls and at [`Owner::next_wake`];
/// queued requests are granted only there.
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
    queues: [FairQueue<QueuedRequest>; QUEUES],
    positions: BTreeMap<RequestId, QueuePosition>,
    start_deadlines: BTreeSet<(Time, RequestId)>,
    granted: BTreeMap<RequestId, GrantedRequest>,
    grants_by_priority: [u64; CLASS_COUNT],
    cached_prefixes: CachedPrefixes,
    /// Incoming prefill work of requests within their customers' shares.
    regular_demand: Meter,
    incarnation: Incarnation,
    /// Requests that the upstream lists and for which this owner has granted no permit.
    external: BTreeMap<RequestId, ExternalRequest>,
    /// Memory reserved for long prompts.
    bulk_memory: Tokens,
    /// Memory reserved for other prompts beyond their customers' shares.
    excess_memory: Tokens,
    /// Moving average of the memory reserved for all other prompts.
    mean_other_memory: f64,
    averaged_at: Time,
    /// Since when the upstream may be down.
    suspect_since: Option<Time>,
    /// The request that runs in isolation.
    isolated_request: Option<RequestId>,
    /// Requests whose connection broke, until it is known whether the upstream crashed.
    broken_requests: Vec<(Time, Fingerprint)>,
    /// Requests that ran at crashes not yet reported by [`Owner::take_crash_suspects`].
    crash_suspects: Vec<Fingerprint>,
}

impl Owner {
    /// Creates the owner of an upstream that is assumed to be cold.
    #[must_use]
    pub fn new(limits: Limits, share: Share, now: Time) -> Self {
        let (cold, full) = match &limits {
            Limits::Engine(engine) => (engine.cold_streams, engine.streams),
            Limits::Plain(limit) => (PLAIN_COLD_CONCURRENCY.min(*limit), *limit),
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
            positions: BTreeMap::new(),
            start_deadlines: BTreeSet::new(),
            granted: BTreeMap::new(),
            grants_by_priority: [0; CLASS_COUNT],
            cached_prefixes: CachedPrefixes::new(PREFIX_LIMIT, Tokens::new(room as u64)),
            regular_demand: Meter::new(DEMAND_WINDOW, now),
            incarnation: Incarnation::default(),
            external: BTreeMap::new(),
            bulk_memory: Tokens::ZERO,
            excess_memory: Tokens::ZERO,
            mean_other_memory: 0.0,
            averaged_at: now,
            suspect_since: None,
            isolated_request: None,
            broken_requests: Vec::new(),
            crash_suspects: Vec::new(),
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

    /// Changes how much of the upstream this owner may grant.
    pub fn set_share(&mut self, share: Share) {
        self.share = share;
        if let Limits::Engine(engine) = &self.limits {
            self.ledger.set_total(share.of_memory(engine.memory));
        }
    }

    /// Starts or ends draining the upstream; running requests are left to finish.
    pub fn set_drained(&mut self, drained: bool) {
        self.drained = drained;
    }

    /// Marks the upstream as warm, for benches that start from a warm state.
    pub fn assume_warm(&mut self) {
        self.ramp.mark_warm();
    }

    /// Asks for a permit to run a request on behalf of `holder`.
    pub fn acquire(&mut self, ask: Ask, holder: VmId, now: Time) -> Reply {
        self.acquire_with(RunOptions::default(), ask, holder, now)
    }

    /// Like [`Owner::acquire`], with explicit options.
    pub fn acquire_with(
        &mut self,
        options: RunOptions,
        ask: Ask,
        holder: VmId,
        now: Time,
    ) -> Reply {
        self.advance(now);
        let waiting = QueuedRequest {
            ask,
            holder,
            options,
        };
        if let Some(refusal) = self.admission_refusal(&waiting, now) {
            return Reply::Refused(refusal);
        }
        if let Some(refusal) = self.patience_refusal(&waiting, now) {
            return Reply::Refused(refusal);
        }
        self.record_regular_demand(&waiting.ask, now);
        if self.queued_ahead(&waiting) == 0 && self.can_start(&waiting) {
            return Reply::Granted(self.grant(waiting, now));
        }
        self.enqueue(waiting);
        Reply::Queued
    }

    /// Grants the queued requests that may start and ends expired leases and queue entries.
    pub fn poll(&mut self, now: Time) -> Vec<Event> {
        self.advance(now);
        let mut events = Vec::new();
        self.expire(now, &mut events);
        self.refuse_overdue(now, &mut events);
        self.dispatch(now, &mut events);
        events
    }

    /// The latest time at which [`Owner::poll`] has to be called next.
    #[must_use]
    pub fn next_wake(&self) -> Option<Time> {
        let lease = self.ledger.next_end();
        let queue = self.start_deadlines.first().map(|(end, _)| *end);
        let start = self.next_window_opening();
        [lease, queue, start].into_iter().flatten().min()
    }

    /// The digest of this upstream that the fleet receives.
    #[must_use]
    pub fn digest(&self) -> Digest {
        let mut backlog = [Tokens::ZERO; CLASS_COUNT];
        for (class, tokens) in LengthClass::ALL.into_iter().zip(&mut backlog) {
            *tokens = self.prefill_ahead(class.priority(), class.index());
        }
        Digest {
            incarnation: self.incarnation,
            free: self.ledger.free(),
            backlog,
            streams: self.ledger.streams(),
            queued: self.positions.len() as u32,
            limit: self.advertised_stream_limit(),
            pace: self
                .pace
                .as_ref()
                .map_or(0, |pace| pace.rate().get() as u32),
            cold: self.ramp.is_cold(),
            sketch: self.cached_prefixes.sketch(),
        }
    }

    /// The last known incarnation of the upstream.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// The memory ledger, for inspection.
    #[must_use]
    pub const fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The warm-up ramp, for inspection.
    #[must_use]
    pub const fn ramp(&self) -> &Ramp {
        &self.ramp
    }

    /// The number of queued requests.
    #[must_use]
    pub fn queued(&self) -> usize {
        self.positions.len()
    }

    /// The maximum number of open streams, external ones included.
    #[must_use]
    pub fn stream_limit(&self) -> u32 {
        if self.drained || self.suspect_since.is_some() {
            return 0;
        }
        let ramp = self.share.of(self.ramp.stream_limit());
        let adaptive = self.adaptive.as_ref().map(AdaptiveLimit::get);
        let adaptive = adaptive.map(|limit| self.share.of(limit));
        adaptive.map_or(ramp, |limit| ramp.min(limit))
    }

    fn advance(&mut self, now: Time) {
        self.update_memory_average(now);
        if let Some(pace) = &self.pace {
            self.backlog.advance(pace.rate(), now);
        }
    }

    fn enqueue(&mut self, waiting: QueuedRequest) {
        let ask = &waiting.ask;
        let queue = waiting.queue();
        let cost = self.queue_cost(ask);
        let request = ask.request.clone();
        let customer = ask.customer.clone();
        let weight = ask.weight;
        let latest_start = self.latest_start(ask);
        self.start_deadlines.insert((latest_start, request.clone()));
        let tag = self.queues[queue].push(&customer, weight, cost, waiting);
        self.positions.insert(
            request,
            QueuePosition {
                queue,
                tag,
                latest_start,
            },
        );
    }

    /// Removes a request from its queue without serving it.
    fn dequeue(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let position = self.positions.remove(request)?;
        self.start_deadlines
            .remove(&(position.latest_start, request.clone()));
        self.queues[position.queue].remove(position.tag)
    }
}
