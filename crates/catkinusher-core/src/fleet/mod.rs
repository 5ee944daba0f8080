//! What a node believes of the upstreams, and where it places a request.
//!
//! Each node decides alone, from the upstreams that are listed, from what it
//! sent itself and from the loads that its peers tell it. Nothing here is a
//! promise between nodes: a belief that is stale costs time, never correctness
//! (see [docs/design/platform.md](../../../../docs/design/platform.md)).

mod health;
mod load;
mod place;
mod upstream;

pub use self::health::Fault;
pub use self::load::{Cost, Load, WorkId, WorkKind};
pub use self::place::{Basis, Demand, Overload, Placement, Policy};
pub use self::upstream::Upstream;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use self::health::Health;
use crate::id::{DataCentreId, ServiceId, UpstreamId};
use crate::time::Time;
use crate::units::Rate;

/// How long a peer's loads are believed without news, a few of its reports.
const LOADS_LIFE: Duration = Duration::from_millis(2500);

/// How long an upstream whose entry lapsed in an outage of the store is kept;
/// entries of upstreams that live are back within two seconds of its return.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// The window in which requests to a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_millis(1100);

/// The nodes among which a node shares what all may do, as it may not have heard of all.
pub const MIN_ASSUMED_NODES: usize = 12;

#[derive(Debug, Clone)]
struct Entry {
    upstream: Upstream,
    rank: u64,
    warm: Time,
    lapse: Option<Time>,
    health: Health,
    own: Load,
    backlog: Backlog,
    sent: Vec<Time>,
}

/// The reading that an upstream is still to do, by what all nodes have asked of it.
///
/// An upstream reads on whether or not its first events are seen, so that what
/// was asked shrinks with time.
#[derive(Debug, Clone, Copy, Default)]
struct Backlog {
    millis: u64,
    at: Time,
}

impl Backlog {
    fn left(&self, now: Time) -> u64 {
        let passed = now.since(self.at).as_millis() as u64;
        self.millis.saturating_sub(passed)
    }

    fn add(&mut self, millis: u64, now: Time) {
        self.millis = self.left(now) + millis;
        self.at = now;
    }
}

#[derive(Debug, Clone)]
struct Told {
    at: Time,
    loads: HashMap<u32, Load>,
}

/// The upstreams as one node sees them.
#[derive(Debug, Clone)]
pub struct Fleet {
    home: DataCentreId,
    entries: BTreeMap<UpstreamId, Entry>,
    drained: BTreeSet<DataCentreId>,
    peers: HashMap<u64, Told>,
    work: HashMap<u64, (UpstreamId, Cost, bool)>,
    next: u64,
    sizing: BTreeMap<ServiceId, place::Sizing>,
}

impl Fleet {
    /// An empty fleet, seen from a data centre.
    #[must_use]
    pub fn new(home: DataCentreId) -> Self {
        Self {
            home,
            entries: BTreeMap::new(),
            drained: BTreeSet::new(),
            peers: HashMap::new(),
            work: HashMap::new(),
            next: 0,
            sizing: BTreeMap::new(),
        }
    }

    /// Takes in a whole list.
    ///
    /// What is missing from it is gone, or kept for a short grace if the list
    /// is the first after an outage of the store, in which entries may lapse.
    pub fn on_list(&mut self, listed: Vec<Upstream>, outage: bool, now: Time) {
        let names: BTreeSet<UpstreamId> = listed.iter().map(|one| one.id.clone()).collect();
        for upstream in listed {
            self.on_change(upstream, now);
        }
        let missing: Vec<UpstreamId> = self
            .entries
            .keys()
            .filter(|id| !names.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.on_removed(&id, outage, now);
        }
    }

    /// Takes in one upstream as it is listed now.
    pub fn on_change(&mut self, upstream: Upstream, now: Time) {
        let warm = now + upstream.cold_for;
        if let Some(entry) = self.entries.get_mut(&upstream.id) {
            if entry.upstream.started != upstream.started {
                entry.health = Health::default();
            }
            entry.lapse = None;
            entry.warm = warm;
            entry.upstream = upstream;
            return;
        }
        let entry = Entry {
            rank: place::rank(&upstream.id),
            warm,
            lapse: None,
            health: Health::default(),
            own: Load::default(),
            backlog: Backlog::default(),
            sent: Vec::new(),
            upstream,
        };
        self.entries.insert(entry.upstream.id.clone(), entry);
    }

    /// Takes in that an upstream is listed no more.
    pub fn on_removed(&mut self, id: &UpstreamId, outage: bool, now: Time) {
        if !outage {
            self.entries.remove(id);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.lapse.get_or_insert(now + LAPSE_GRACE);
        }
    }

    /// Forgets the upstreams whose grace is over.
    pub fn expire(&mut self, now: Time) -> Vec<UpstreamId> {
        let gone: Vec<UpstreamId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.lapse.is_some_and(|until| now >= until))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &gone {
            self.entries.remove(id);
        }
        gone
    }

    /// Takes in which data centres are to get nothing.
    pub fn on_drained(&mut self, drained: BTreeSet<DataCentreId>) {
        self.drained = drained;
    }

    /// The data centres that are to get nothing.
    #[must_use]
    pub const fn drained(&self) -> &BTreeSet<DataCentreId> {
        &self.drained
    }

    /// Takes in what a peer has under way, all of it or what has changed.
    pub fn on_loads(&mut self, peer: u64, loads: HashMap<u32, Load>, whole: bool, now: Time) {
        let before = self.peers.get(&peer);
        for entry in self.entries.values_mut() {
            let short = place::short(entry.rank);
            let Some(load) = loads.get(&short) else {
                continue;
            };
            // A peer that was unknown has asked for what it now waits for.
            let known = before
                .and_then(|told| told.loads.get(&short).copied())
                .unwrap_or(Load {
                    total_prefill_ms: load
                        .total_prefill_ms
                        .saturating_sub(load.pending_prefill_ms),
                    ..Load::default()
                });
            entry.backlog.add(
                load.total_prefill_ms.saturating_sub(known.total_prefill_ms),
                now,
            );
            let done = load.succeeded.saturating_sub(known.succeeded);
            let failed = load.failed.saturating_sub(known.failed);
            entry.health.on_outcomes(done, failed, now);
        }
        let told = self.peers.entry(peer).or_insert_with(|| Told {
            at: now,
            loads: HashMap::new(),
        });
        told.at = now;
        if whole {
            told.loads = loads;
        } else {
            told.loads.extend(loads);
        }
        self.peers.retain(|_, told| now.since(told.at) < LOADS_LIFE);
    }

    /// What this node has under way, by the upstreams' short names.
    #[must_use]
    pub fn loads(&self) -> HashMap<u32, Load> {
        self.entries
            .values()
            .filter(|entry| entry.own.is_used())
            .map(|entry| (place::short(entry.rank), self.own(entry)))
            .collect()
    }

    /// What this node has under way at an upstream.
    fn own(&self, entry: &Entry) -> Load {
        let least = self
            .work
            .values()
            .filter(|(id, cost, read)| {
                !read && *id == entry.upstream.id && cost.kind != WorkKind::Short
            })
            .map(|(_, cost, _)| (cost.prefill_time.as_millis() as u64).max(1))
            .min();
        Load {
            min_pending_prefill_ms: least.unwrap_or_default(),
            ..entry.own
        }
    }

    /// The nodes that are known to serve, this one counted.
    #[must_use]
    pub fn live_nodes(&self, now: Time) -> usize {
        let heard = |told: &&Told| now.since(told.at) < LOADS_LIFE;
        1 + self.peers.values().filter(heard).count()
    }

    /// The number of upstreams listed.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no upstream is listed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// An upstream as it is listed.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// The upstream that is listed at an address.
    #[must_use]
    pub fn find_by_address(&self, address: std::net::SocketAddr) -> Option<&UpstreamId> {
        self.entries
            .iter()
            .find(|(_, entry)| entry.upstream.address == address)
            .map(|(id, _)| id)
    }

    /// Whether an upstream may get requests: it is listed, stays, and its data centre is not drained.
    #[must_use]
    pub fn accepts_requests(&self, id: &UpstreamId) -> bool {
        self.entries.get(id).is_some_and(|entry| self.open(entry))
    }

    /// Notes that a request goes to an upstream.
    pub fn begin(&mut self, id: &UpstreamId, cost: Cost, now: Time) -> WorkId {
        self.next += 1;
        let work = WorkId::new(self.next);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.own.add(&cost);
            entry.backlog.add(cost.prefill_time.as_millis() as u64, now);
            entry.sent.retain(|at| now.since(*at) < COLD_WINDOW);
            entry.sent.push(now);
        }
        self.work.insert(work.get(), (id.clone(), cost, false));
        work
    }

    /// Notes that the prompt of a request is read.
    pub fn on_prefill_done(&mut self, work: WorkId) {
        if let Some((id, cost, read)) = self.work.get_mut(&work.get())
            && !*read
        {
            *read = true;
            if let Some(entry) = self.entries.get_mut(id) {
                entry.own.on_read(cost);
            }
        }
    }

    /// Notes that a request has left its upstream.
    pub fn end(&mut self, work: WorkId) {
        if let Some((id, cost, read)) = self.work.remove(&work.get())
            && let Some(entry) = self.entries.get_mut(&id)
        {
            if !read {
                entry.own.on_read(&cost);
            }
            entry.own.remove(&cost);
        }
    }

    /// Notes that an upstream answered as it should.
    pub fn on_success(&mut self, id: &UpstreamId, now: Time) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.own.succeeded += 1;
            entry.health.on_success(now);
        }
    }

    /// Notes that an upstream failed a request.
    pub fn on_fault(&mut self, id: &UpstreamId, fault: Fault, now: Time) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.own.failed += u32::from(fault.is_own());
            entry.health.on_fault(fault, now);
        }
    }

    fn open(&self, entry: &Entry) -> bool {
        !entry.upstream.leaving && !self.drained.contains(&entry.upstream.data_centre)
    }

    /// What all nodes are known to have under way at an upstream.
    fn load(&self, entry: &Entry, now: Time) -> Load {
        let short = place::short(entry.rank);
        let mut load = self.own(entry);
        for told in self.peers.values() {
            if now.since(told.at) < LOADS_LIFE
                && let Some(theirs) = told.loads.get(&short)
            {
                load.merge(theirs);
            }
        }
        load.pending_prefill_ms = load.pending_prefill_ms.min(entry.backlog.left(now));
        load
    }

    /// Whether a cold upstream may get one more request from this node.
    ///
    /// The nodes share what it bears evenly, so that their sum stays below it
    /// without a word between them.
    fn bears(&self, entry: &Entry, cold: Option<Rate>, now: Time) -> bool {
        let Some(rate) = cold.filter(|_| now < entry.warm) else {
            return true;
        };
        let nodes = self.live_nodes(now).max(MIN_ASSUMED_NODES) as f64;
        let share = (rate.get() / nodes).floor().max(1.0);
        let recent = entry
            .sent
            .iter()
            .filter(|at| now.since(**at) < COLD_WINDOW)
            .count();
        (recent as f64) < share
    }
}
