//! Membership of the fleet, ownership of upstreams, replication of the
//! configuration, and the digests and status of upstreams and nodes.
//!
//! The decisions are made by the state machines of the core: membership, ownership,
//! spread, digests and status. This module transports their messages, feeds them
//! the VM list and the clock, and executes their outputs.

mod carry;
mod news;
mod platform;
mod report;
mod table;

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkinusher_core::catalog::Catalog;
use catkinusher_core::digest::Digest;
use catkinusher_core::id::{DataCentreId, Incarnation, UpstreamId, VmId};
use catkinusher_core::membership::{self, Location, Membership};
use catkinusher_core::ownership::{Ownership, Share, Site};
use catkinusher_core::spread::{self, ConfigReplica, Revision};
use catkinusher_core::status::Collector;
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use catkinusher_peer::rpc::DigestBatch;
use tokio::sync::{Notify, mpsc};

pub use self::carry::run;
pub use self::news::ReceivedDigest;
use self::news::{DigestExchange, OutgoingDigests};
pub use self::report::run as run_reports;
use self::table::ClaimOwners;
use crate::settings::Settings;

/// How long an owner that did not answer counts as unreachable.
const UNRESPONSIVE_PERIOD: Duration = Duration::from_secs(2);

/// An output of the core's state machines.
#[derive(Debug)]
enum Output {
    Member(membership::Output),
    Spread(spread::Output),
    Digests(OutgoingDigests),
}

/// The state machines of the core, with this node's observations of its peers.
#[derive(Debug)]
struct Machines {
    membership: Membership,
    ownership: Ownership,
    spread: ConfigReplica,
    digests: DigestExchange,
    reports: Collector,
    claim_owners: ClaimOwners,
    unresponsive: HashMap<VmId, Time>,
}

/// The fleet as this node knows it.
#[derive(Debug)]
pub struct Members {
    me: VmId,
    centre: DataCentreId,
    machines: Mutex<Machines>,
    outputs: mpsc::UnboundedSender<Output>,
    queue: Mutex<Option<mpsc::UnboundedReceiver<Output>>>,
    changed: Notify,
}

impl Members {
    /// Creates a fleet with this node as its only member.
    #[must_use]
    pub fn new(settings: &Settings, now: Time) -> Self {
        let me = settings.node.name.clone();
        let location = Location {
            data_centre: settings.node.data_centre.clone(),
            address: settings.listen.peers,
        };
        let fleet = &settings.fleet;
        let membership = Membership::new(
            me.clone(),
            location,
            incarnation(),
            rand::random(),
            fleet.membership.clone(),
            now,
        );
        let (outputs, queue) = mpsc::unbounded_channel();
        let machines = Machines {
            membership,
            ownership: Ownership::new(me.clone(), fleet.quiet),
            spread: ConfigReplica::new(me.clone(), rand::random(), fleet.spread.clone(), now),
            digests: DigestExchange::new(me.clone(), fleet.digests.clone(), now),
            reports: Collector::new(Span::new(fleet.report.get() * report::KEPT_PERIODS)),
            claim_owners: ClaimOwners::default(),
            unresponsive: HashMap::new(),
        };
        Self {
            me,
            centre: settings.node.data_centre.clone(),
            machines: Mutex::new(machines),
            outputs,
            queue: Mutex::new(Some(queue)),
            changed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Machines> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn put_member(&self, outputs: Vec<membership::Output>) {
        for output in outputs {
            // The queue closes when the node stops.
            let _result = self.outputs.send(Output::Member(output));
        }
        self.changed.notify_one();
    }

    fn put_spread(&self, outputs: Vec<spread::Output>) {
        for output in outputs {
            let _result = self.outputs.send(Output::Spread(output));
        }
        self.changed.notify_one();
    }

    fn put_digests(&self, batches: Vec<OutgoingDigests>) {
        for batch in batches {
            let _result = self.outputs.send(Output::Digests(batch));
        }
        self.changed.notify_one();
    }

    /// Handles a peer's batch of digests, and returns the digest of each upstream in it.
    #[must_use]
    pub fn on_digest_batch(
        &self,
        from: &VmId,
        batch: DigestBatch,
        now: Time,
    ) -> Vec<ReceivedDigest> {
        let (received, batches) = self.lock().digests.on_batch(from, batch, now);
        self.put_digests(batches);
        received
    }

    /// Updates the digest of an upstream that this node owns.
    pub fn on_own_digest(&self, upstream: &UpstreamId, digest: &Digest, now: Time) {
        self.lock().digests.on_own_digest(upstream, digest, now);
    }

    /// Handles a peer's message about members.
    pub fn on_membership_message(&self, from: &VmId, message: membership::Message, now: Time) {
        let outputs = self.lock().membership.on_message(from, message, now);
        self.put_member(outputs);
    }

    /// Handles a peer's message about the configuration.
    pub fn on_config_message(&self, from: &VmId, message: spread::Message, now: Time) {
        let outputs = self.lock().spread.on_message(from, message, now);
        self.put_spread(outputs);
    }

    /// Marks an owner that did not answer as unreachable for a while, so that others are asked.
    pub fn on_unresponsive_owner(&self, owner: &VmId, now: Time) {
        self.lock()
            .unresponsive
            .insert(owner.clone(), now + UNRESPONSIVE_PERIOD);
    }

    /// Applies the upstreams of a configuration.
    pub fn on_catalog(&self, catalog: &Catalog, now: Time) {
        let mut machines = self.lock();
        let upstreams = catalog.servers().map(|server| {
            let site = Site {
                data_centre: server.data_centre.clone(),
                region: server.region.clone(),
            };
            (server.name.clone(), site)
        });
        let centres = catalog.inventory().data_centres.iter();
        let regions = centres.map(|centre| (centre.name.clone(), centre.region.clone()));
        let upstreams: Vec<_> = upstreams.collect();
        machines.ownership.set_upstreams(upstreams, regions, now);
        machines.digests.on_catalog(catalog);
    }

    /// Announces to the fleet that this node accepts no new requests.
    pub fn announce_leave(&self, now: Time) {
        let outputs = self.lock().membership.on_leave(now);
        self.put_member(outputs);
    }

    /// Announces to the fleet that this node stops.
    pub fn announce_stop(&self, now: Time) {
        let outputs = self.lock().membership.on_stop(now);
        self.put_member(outputs);
    }

    /// The owner of an upstream.
    #[must_use]
    pub fn owner(&self, upstream: &UpstreamId) -> Option<VmId> {
        self.lock().ownership.owner(upstream).cloned()
    }

    /// The share of each owned upstream that this node may grant.
    #[must_use]
    pub fn owned_shares(&self, now: Time) -> BTreeMap<UpstreamId, Share> {
        let machines = self.lock();
        let owned = machines.ownership.owned();
        owned
            .map(|upstream| (upstream.clone(), machines.ownership.share(upstream, now)))
            .collect()
    }

    /// The upstreams whose owner is unknown or unreachable.
    #[must_use]
    pub fn unreachable_upstreams(&self, catalog: &Catalog, now: Time) -> Vec<UpstreamId> {
        let mut machines = self.lock();
        machines.unresponsive.retain(|_vm, until| now < *until);
        let machines = &*machines;
        let is_unreachable = |owner: &VmId| {
            let known = machines.membership.member(owner);
            let reachable = known.is_some_and(|member| member.state.is_reachable());
            !reachable || machines.unresponsive.contains_key(owner)
        };
        catalog
            .servers()
            .filter(|server| {
                machines
                    .ownership
                    .owner(&server.name)
                    .is_none_or(is_unreachable)
            })
            .map(|server| server.name.clone())
            .collect()
    }

    /// The address on which a daemon listens for peers.
    #[must_use]
    pub fn address(&self, vm: &VmId) -> Option<SocketAddr> {
        let machines = self.lock();
        let member = machines.membership.member(vm)?;
        Some(member.location.address)
    }

    /// The number of reachable daemons, including this one.
    #[must_use]
    pub fn count(&self) -> u32 {
        self.lock().membership.reachable().count().max(1) as u32
    }

    /// The reachable daemons, including this one.
    #[must_use]
    pub fn reachable(&self) -> BTreeMap<VmId, (DataCentreId, SocketAddr)> {
        let machines = self.lock();
        let reachable = machines.membership.reachable();
        reachable
            .map(|(vm, member)| {
                let location = &member.location;
                (vm.clone(), (location.data_centre.clone(), location.address))
            })
            .collect()
    }

    /// The member that writes the claims on a partition of keys to the platform, and its address.
    #[must_use]
    pub fn claim_owner(&self, partition: u32) -> Option<(VmId, SocketAddr)> {
        let machines = self.lock();
        let vm = machines.claim_owners.owner(partition)?;
        let member = machines.membership.member(vm)?;
        Some((vm.clone(), member.location.address))
    }

    /// Whether owners of upstreams are known, and this node is eligible as an owner.
    ///
    /// When a whole fleet starts, a node whose own hold period has not ended may
    /// regard nodes as owners that do not yet regard themselves as such.
    #[must_use]
    pub fn is_formed(&self) -> bool {
        let machines = self.lock();
        let me = machines.membership.me();
        let settled = machines.membership.owners().any(|(vm, _centre)| vm == me);
        settled && machines.ownership.has_owners()
    }

    /// The revision of the configuration in force.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.lock().spread.revision()
    }

    /// Whether the configuration is recent enough to accept new requests.
    #[must_use]
    pub fn is_current(&self) -> bool {
        self.lock().spread.is_ready()
    }

    /// Whether this node watches the platform for its data centre.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.lock().spread.is_watching()
    }
}

// A process that starts later has a higher number if the VM's clock is right; otherwise the
// membership learns of the higher number from the peers and exceeds it.
fn incarnation() -> Incarnation {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    Incarnation::new(since.map_or(0, |since| since.as_millis() as u64))
}
