//! A node's view of the upstreams, and the placement of requests on them.
//!
//! Each node decides on its own, from the list of upstreams, its own requests
//! and the loads that its peers report. Nodes make no agreement about
//! placement: stale state costs latency, never correctness
//! (see [docs/design/platform.md](../../../../docs/design/platform.md)).

mod cell;
mod health;
mod limit;
mod load;
mod peers;
mod place;
mod restore;
mod said;
pub mod spread;
mod upstream;

pub use self::cell::{Cell, Pressure};
pub use self::health::Fault;
pub use self::limit::LimitReport;
pub use self::load::{Cost, Load, WorkId, WorkKind};
pub use self::peers::GRANT_TTL;
pub use self::place::{Authority, Basis, Demand, Overload, Placement, Policy, Ranked, Score, Term};
pub use self::said::NamedLoad;
pub use self::upstream::Upstream;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use self::cell::Cells;
use self::health::Health;
use self::limit::NamedLimit;
use self::peers::PeerLoads;
use self::restore::Remembered;
use self::said::Said;
use self::spread::Sends;
use crate::id::{DataCentreId, ServiceId, UpstreamId};
use crate::roster::Position;
use crate::time::Time;
use crate::units::Rate;

/// How long an upstream is kept after its entry expired during a store outage.
///
/// Live upstreams register again within two seconds of the store's return.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// The window over which requests to a cold upstream are counted.
const COLD_WINDOW: Duration = Duration::from_millis(1100);

/// The longest time for which an upstream may turn this node away with one answer.
const MAX_REST: Duration = Duration::from_mins(10);

/// The fraction of the rate of a cold upstream that a node uses which places for others.
const SHARED_COLD_FRACTION: f64 = 0.45;

/// The least number of nodes that a node assumes when it divides a limit of the whole fleet.
///
/// It may not have heard from all nodes yet, so the count of live ones may be too low.
pub const MIN_ASSUMED_NODES: usize = 12;

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Entry {
    upstream: Upstream,
    /// The position in the order that all nodes share.
    rank: u64,
    warm_at: Time,
    expires_at: Option<Time>,
    /// Whether it has said in an answer to this node that it is leaving.
    said_leaving: bool,
    /// Until when it wants no requests from this node.
    rests_until: Time,
    /// Until when it gets none, as an older copy of the store lists it although it had left.
    #[serde(default)]
    returned_until: Option<Time>,
    limit: NamedLimit,
    /// The load that its last answer to this node named.
    said: Option<Said>,
    health: Health,
    own_load: Load,
    /// The sum of the loads of all peers, and of the grants that they have not reported yet.
    peer_load: Load,
    /// The shortest pending prefill of long prompts and parts, by peer and grant.
    pending_parts: BTreeMap<(u64, u64), u64>,
    backlog: Backlog,
    recent_sends: Vec<Time>,
}

impl Entry {
    fn on_send(&mut self, cost: &Cost, nodes: usize, now: Time) {
        // A part of a prompt that another upstream answers is not a request.
        if cost.kind != WorkKind::Part {
            self.limit.on_send(nodes, now);
        }
        self.recent_sends.retain(|at| now.since(*at) < COLD_WINDOW);
        self.recent_sends.push(now);
    }
}

/// An estimate of the prefill work that an upstream has left, over the requests of all nodes.
///
/// An upstream works through its prompts whether or not their first events are
/// observed, so the estimate falls with the time that passes.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Backlog {
    remaining_ms: u64,
    updated_at: Time,
}

impl Backlog {
    fn remaining(&self, now: Time) -> u64 {
        let elapsed = now.since(self.updated_at).as_millis() as u64;
        self.remaining_ms.saturating_sub(elapsed)
    }

    fn add(&mut self, millis: u64, now: Time) {
        self.remaining_ms = self.remaining(now).saturating_add(millis);
        self.updated_at = now;
    }
}

/// The upstreams as one node sees them: their entries, health and load.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Fleet {
    /// The data centre of this node.
    home: DataCentreId,
    entries: BTreeMap<UpstreamId, Entry>,
    drained: BTreeSet<DataCentreId>,
    #[serde(default)]
    remembered: Remembered,
    peers: HashMap<u64, PeerLoads>,
    /// When the last load report of a peer was received.
    reported_at: Option<Time>,
    short_ids: HashMap<u32, UpstreamId>,
    cells: Cells,
    /// The number of registered nodes; not all of them report to this one.
    node_count: usize,
    /// The position of this node among the registered ones.
    position: Position,
    /// The requests that this node placed for itself, by service.
    sends: BTreeMap<ServiceId, Sends>,
    /// The active requests of this node: the upstream, the cost, and whether prefill is done.
    in_flight: HashMap<u64, (UpstreamId, Cost, bool)>,
    next_work: u64,
    pool_sizes: BTreeMap<Cell, place::PoolSizes>,
}

impl Fleet {
    /// Creates an empty fleet as seen from the data centre `home`.
    #[must_use]
    pub fn new(home: DataCentreId) -> Self {
        Self {
            home,
            entries: BTreeMap::new(),
            drained: BTreeSet::new(),
            remembered: Remembered::default(),
            peers: HashMap::new(),
            reported_at: None,
            short_ids: HashMap::new(),
            cells: Cells::default(),
            node_count: 1,
            position: Position::default(),
            sends: BTreeMap::new(),
            in_flight: HashMap::new(),
            next_work: 0,
            pool_sizes: BTreeMap::new(),
        }
    }

    /// Replaces the entries by a complete list.
    ///
    /// Upstreams missing from it are removed. If `outage` is set, the list is
    /// the first after a store outage, during which entries may have expired;
    /// missing upstreams are then kept for a grace period.
    pub fn on_list(&mut self, listed: Vec<Upstream>, outage: bool, now: Time) {
        let listed_ids: BTreeSet<UpstreamId> =
            listed.iter().map(|upstream| upstream.id.clone()).collect();
        for upstream in listed {
            self.on_change(upstream, now);
        }
        let missing: Vec<UpstreamId> = self
            .entries
            .keys()
            .filter(|id| !listed_ids.contains(*id))
            .cloned()
            .collect();
        for id in missing {
            self.on_removed(&id, outage, now);
        }
    }

    /// Adds or updates one upstream, unless the entry is older than the known one.
    pub fn on_change(&mut self, upstream: Upstream, now: Time) {
        let warm_at = now + upstream.cold_for;
        if let Some(entry) = self.entries.get_mut(&upstream.id) {
            if entry.upstream.is_newer_than(&upstream) {
                entry.expires_at = None;
                return;
            }
            if upstream.is_newer_than(&entry.upstream) {
                entry.returned_until = None;
            }
            if entry.upstream.started != upstream.started {
                entry.health = Health::default();
                entry.said_leaving = false;
                entry.rests_until = Time::ZERO;
                entry.limit = NamedLimit::default();
                entry.said = None;
            }
            entry.expires_at = None;
            entry.warm_at = warm_at;
            entry.upstream = upstream;
            return;
        }
        let mut entry = Entry {
            rank: place::rank(&upstream.id),
            warm_at,
            expires_at: None,
            said_leaving: false,
            rests_until: Time::ZERO,
            returned_until: None,
            limit: NamedLimit::default(),
            said: None,
            health: Health::default(),
            own_load: Load::default(),
            peer_load: Load::default(),
            pending_parts: BTreeMap::new(),
            backlog: Backlog::default(),
            recent_sends: Vec::new(),
            upstream,
        };
        self.sum_peer_loads(&mut entry);
        let id = entry.upstream.id.clone();
        self.short_ids
            .insert(place::short_id(entry.rank), id.clone());
        self.entries.insert(id, entry);
        self.cells = Cells::new(self.entries.values());
    }

    fn remove(&mut self, id: &UpstreamId, now: Time) {
        if let Some(entry) = self.entries.remove(id) {
            self.short_ids.remove(&place::short_id(entry.rank));
            self.cells = Cells::new(self.entries.values());
            self.remembered.on_departed(entry.upstream, now);
        }
    }

    /// Sets the number of registered nodes.
    pub const fn on_node_count(&mut self, count: usize) {
        self.node_count = count;
    }

    /// The number of nodes that may send requests to upstreams, as far as this node knows.
    #[must_use]
    pub fn node_count(&self, now: Time) -> usize {
        self.node_count.max(self.live_nodes(now))
    }

    /// Removes an upstream, after a grace period if `outage` is set (see [`Self::on_list`]).
    pub fn on_removed(&mut self, id: &UpstreamId, outage: bool, now: Time) {
        if !outage {
            self.remove(id, now);
        } else if let Some(entry) = self.entries.get_mut(id) {
            entry.expires_at.get_or_insert(now + LAPSE_GRACE);
        }
    }

    /// Removes the upstreams whose grace period is over, and returns them.
    pub fn expire(&mut self, now: Time) -> Vec<UpstreamId> {
        let expired: Vec<UpstreamId> = self
            .entries
            .iter()
            .filter(|(_, entry)| entry.expires_at.is_some_and(|until| now >= until))
            .map(|(id, _)| id.clone())
            .collect();
        for id in &expired {
            self.remove(id, now);
        }
        for entry in self.entries.values_mut() {
            entry.returned_until = entry.returned_until.filter(|until| now < *until);
        }
        self.remembered.expire(now);
        expired
    }

    /// Sets the drained data centres, which get no new requests.
    pub fn on_drained(&mut self, drained: BTreeSet<DataCentreId>) {
        self.drained = drained;
    }

    /// The drained data centres.
    #[must_use]
    pub const fn drained(&self) -> &BTreeSet<DataCentreId> {
        &self.drained
    }

    /// This node's own loads on the upstreams of a cell for its reports, by the upstreams' short ids.
    #[must_use]
    pub fn loads_in(&self, cell: &Cell) -> HashMap<u32, Load> {
        self.own_loads(|entry| self.cell(entry) == *cell)
    }

    /// This node's own loads on all upstreams, by their short ids.
    #[must_use]
    pub fn loads(&self) -> HashMap<u32, Load> {
        self.own_loads(|_| true)
    }

    /// The cells with upstreams that this node has used.
    #[must_use]
    pub fn used_cells(&self) -> BTreeSet<Cell> {
        self.entries
            .values()
            .filter(|entry| entry.own_load.is_used())
            .map(|entry| self.cell(entry))
            .collect()
    }

    fn own_loads<F>(&self, include: F) -> HashMap<u32, Load>
    where
        F: Fn(&Entry) -> bool,
    {
        self.entries
            .values()
            .filter(|entry| entry.own_load.is_used() && include(entry))
            .map(|entry| (place::short_id(entry.rank), self.own_load(entry)))
            .collect()
    }

    /// The load that this node itself has put on an upstream.
    fn own_load(&self, entry: &Entry) -> Load {
        let min_prefill = self
            .in_flight
            .values()
            .filter(|(id, cost, prefilled)| {
                !prefilled && *id == entry.upstream.id && cost.kind != WorkKind::Short
            })
            .map(|(_, cost, _)| (cost.prefill_time.as_millis() as u64).max(1))
            .min();
        Load {
            min_pending_prefill_ms: min_prefill.unwrap_or_default(),
            ..entry.own_load
        }
    }

    /// The number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no upstreams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The upstream with this id.
    #[must_use]
    pub fn get(&self, id: &UpstreamId) -> Option<&Upstream> {
        self.entries.get(id).map(|entry| &entry.upstream)
    }

    /// The id of an upstream in messages between nodes.
    #[must_use]
    pub fn short_id(id: &UpstreamId) -> u32 {
        place::short_id(place::rank(id))
    }

    /// The upstream with this id in messages between nodes.
    #[must_use]
    pub fn find_by_short_id(&self, short_id: u32) -> Option<&UpstreamId> {
        self.short_ids.get(&short_id)
    }

    /// Upstreams that this node cannot reach at present, that fail its requests, or that want none.
    #[must_use]
    pub fn unusable(&self, now: Time) -> Vec<u32> {
        let wants_none = |entry: &Entry| entry.said_leaving || now < entry.rests_until;
        self.entries
            .values()
            .filter(|entry| wants_none(entry) || !entry.health.is_healthy(now))
            .map(|entry| place::short_id(entry.rank))
            .collect()
    }

    /// The id of the upstream that listens on an address.
    #[must_use]
    pub fn find_by_address(&self, address: std::net::SocketAddr) -> Option<&UpstreamId> {
        self.entries
            .iter()
            .find(|(_, entry)| entry.upstream.address == address)
            .map(|(id, _)| id)
    }

    /// Whether an upstream may get requests of this node to a service: it is listed for that
    /// service, neither leaving nor resting, and its data centre is not drained.
    #[must_use]
    pub fn accepts_requests(&self, id: &UpstreamId, service: &ServiceId, now: Time) -> bool {
        self.entries.get(id).is_some_and(|entry| {
            entry.upstream.service == *service && self.is_open(entry) && now >= entry.rests_until
        })
    }

    /// The time until the first upstream of a service takes requests of this node again, if all rest.
    #[must_use]
    pub fn rest(&self, service: &ServiceId, now: Time) -> Option<Duration> {
        self.entries
            .values()
            .filter(|entry| entry.upstream.service == *service && self.is_open(entry))
            .map(|entry| entry.rests_until.since(now))
            .min()
            .filter(|rest| !rest.is_zero())
    }

    /// Records that a request is sent to an upstream.
    pub fn begin(&mut self, id: &UpstreamId, cost: Cost, now: Time) -> WorkId {
        self.next_work += 1;
        let work = WorkId::new(self.next_work);
        let nodes = self.node_count(now);
        if let Some(entry) = self.entries.get_mut(id) {
            entry.own_load.add(&cost);
            entry.backlog.add(cost.prefill_time.as_millis() as u64, now);
            entry.on_send(&cost, nodes, now);
        }
        self.in_flight.insert(work.get(), (id.clone(), cost, false));
        work
    }

    /// Records that the prefill of a request is done.
    pub fn on_prefill_done(&mut self, work: WorkId) {
        if let Some((id, cost, prefilled)) = self.in_flight.get_mut(&work.get())
            && !*prefilled
        {
            *prefilled = true;
            if let Some(entry) = self.entries.get_mut(id) {
                entry.own_load.on_prefill_done(cost);
            }
        }
    }

    /// Records that a request has ended, whether it succeeded or not.
    pub fn end(&mut self, work: WorkId) {
        if let Some((id, cost, prefilled)) = self.in_flight.remove(&work.get())
            && let Some(entry) = self.entries.get_mut(&id)
        {
            if !prefilled {
                entry.own_load.on_prefill_done(&cost);
            }
            entry.own_load.remove(&cost);
        }
    }

    /// Records a successful response of an upstream.
    pub fn on_success(&mut self, id: &UpstreamId, now: Time) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.own_load.succeeded += 1;
            entry.health.on_success(now);
        }
    }

    /// Records that an upstream failed a request.
    pub fn on_fault(&mut self, id: &UpstreamId, fault: Fault, now: Time) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.own_load.failed += u32::from(fault.is_own());
            entry.health.on_fault(fault, now);
        }
    }

    /// Forgets that upstreams could not be reached, as the link of this node was at fault.
    pub fn forget_unreachable(&mut self) {
        for entry in self.entries.values_mut() {
            entry.health.forget_unreachable();
        }
    }

    /// The addresses of the upstreams that take requests.
    pub fn addresses(&self) -> impl Iterator<Item = SocketAddr> {
        let open = self.entries.values().filter(|entry| self.is_open(entry));
        open.map(|entry| entry.upstream.address)
    }

    /// Records that an upstream has said in an answer that it is leaving.
    ///
    /// Its entry in the store may say so later, or never if the store is away.
    /// Returns whether that is news.
    pub fn on_leaving(&mut self, id: &UpstreamId) -> bool {
        self.entries
            .get_mut(id)
            .is_some_and(|entry| !std::mem::replace(&mut entry.said_leaving, true))
    }

    /// Records that an upstream turned a request away and wants none from this node for the time `rest`.
    pub fn on_rest(&mut self, id: &UpstreamId, rest: Duration, now: Time) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.rests_until = entry.rests_until.max(now + rest.min(MAX_REST));
        }
    }

    fn is_open(&self, entry: &Entry) -> bool {
        let is_leaving = entry.upstream.leaving || entry.said_leaving;
        let data_centre = &entry.upstream.data_centre;
        let is_drained =
            self.drained.contains(data_centre) || self.remembered.is_drained(data_centre);
        !is_leaving && !is_drained && entry.returned_until.is_none()
    }

    /// The load of an upstream, summed over this node and what it knows of its peers.
    fn total_load(&self, entry: &Entry, now: Time) -> Load {
        let mut load = self.own_load(entry);
        load.merge(&Load {
            min_pending_prefill_ms: entry.pending_parts.values().min().copied().unwrap_or(0),
            ..entry.peer_load
        });
        load.pending_prefill_ms = load.pending_prefill_ms.min(entry.backlog.remaining(now));
        load
    }

    /// Whether a cold upstream may get one more request.
    ///
    /// A node that places for the others takes a part of the rate that a cold
    /// upstream can handle, which leaves room for a second one that does so at
    /// the same time. A node that places for itself alone takes an even share,
    /// which is nothing if there are more nodes than requests per second.
    fn has_cold_capacity(
        &self,
        entry: &Entry,
        cold_rate: Option<Rate>,
        authority: Authority,
        now: Time,
    ) -> bool {
        let Some(rate) = cold_rate.filter(|_| now < entry.warm_at) else {
            return true;
        };
        let share = match authority {
            Authority::Shared => (rate.get() * SHARED_COLD_FRACTION).max(1.0),
            Authority::Own => rate.get() / self.node_count(now).max(MIN_ASSUMED_NODES) as f64,
        };
        let recent = entry
            .recent_sends
            .iter()
            .filter(|at| now.since(**at) < COLD_WINDOW)
            .count();
        (recent as f64) < share.floor()
    }
}
