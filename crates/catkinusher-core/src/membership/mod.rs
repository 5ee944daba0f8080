//! Fleet membership: heartbeats, failure detection, suspicion and refutation.
//!
//! Each member sends heartbeats to its successors on three rings and watches
//! its predecessors with [Chen's estimator](chen::ArrivalEstimator). A silent one
//! is probed, directly and through other members, before it is suspected. It may
//! refute the suspicion by moving to a higher [`Life`]. Updates are piggybacked on
//! the heartbeats, a bounded number on each, so that the bytes that a node sends do
//! not grow with the size of the fleet.
//! [docs/design/fleet.md](../../../../docs/design/fleet.md) compares the designs
//! that were considered.

pub mod chen;
mod merge;
mod message;
mod owners;
mod rumours;
mod settings;
mod table;
mod talk;
mod watch;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

pub use self::message::{BUCKETS, Body, Change, Life, Location, Message, Output, State, Update};
use self::owners::OwnerTracker;
use self::rumours::GossipQueue;
pub use self::settings::Settings;
pub use self::table::Member;
use self::table::{Listing, RINGS, Table};
use self::watch::FailureDetector;
use crate::id::{DataCentreId, Incarnation, VmId};
use crate::time::Time;

/// Once a reply to a sync contains this many updates, no further bucket is added to it.
const TABLE_LIMIT: usize = 64;

/// An entry VM on the platform's VM list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Where it is.
    pub location: Location,
    /// Whether the platform is about to remove it.
    pub leaving: bool,
}

/// The membership as one node sees it.
#[derive(Debug, Clone)]
pub struct Membership {
    me: VmId,
    settings: Settings,
    rng: ChaCha8Rng,
    table: Table,
    gossip: GossipQueue,
    detector: FailureDetector,
    owners: OwnerTracker,
    peers: Vec<VmId>,
    start: Time,
    next_heartbeat: Time,
    next_sync: Time,
    next_gossip: Time,
    last_tick: Time,
    has_vm_list: bool,
    stale_rings: bool,
    outputs: Vec<Output>,
}

impl Membership {
    /// Creates the membership of a node that has just started.
    ///
    /// `incarnation` must rise from one process of the VM to the next. If it does not,
    /// the peers answer with the higher one that they know, and the node moves past it.
    #[must_use]
    pub fn new(
        me: VmId,
        location: Location,
        incarnation: Incarnation,
        seed: u64,
        settings: Settings,
        now: Time,
    ) -> Self {
        let mut table = Table::default();
        let mut member = Member::new(&me, location, Life(incarnation, 0), now);
        member.hold_until = now + settings.join_hold.get();
        table.members.insert(me.clone(), member);
        let mut gossip = GossipQueue::default();
        gossip.add(&me, settings.repeats * RINGS as u32);
        Self {
            me,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            table,
            gossip,
            detector: FailureDetector::default(),
            owners: OwnerTracker::default(),
            peers: Vec::new(),
            start: now,
            next_heartbeat: now,
            next_sync: now,
            next_gossip: now,
            last_tick: now,
            has_vm_list: false,
            stale_rings: true,
            outputs: Vec::new(),
        }
    }

    /// This node's name.
    #[must_use]
    pub const fn me(&self) -> &VmId {
        &self.me
    }

    /// This node's life, as sent to others.
    #[must_use]
    pub fn life(&self) -> Life {
        self.own_member().life
    }

    /// All members by name, including this node and members that are gone.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, &Member)> {
        self.table.members.iter()
    }

    /// The recorded state of `vm`.
    #[must_use]
    pub fn member(&self, vm: &VmId) -> Option<&Member> {
        self.table.get(vm)
    }

    /// The reachable members, including this node.
    pub fn reachable(&self) -> impl Iterator<Item = (&VmId, &Member)> {
        self.members()
            .filter(|(_, member)| member.state.is_reachable())
    }

    /// The members that may own upstreams, with their data centres.
    pub fn owners(&self) -> impl Iterator<Item = (&VmId, &DataCentreId)> {
        self.members()
            .filter(|(_, member)| member.owner)
            .map(|(vm, member)| (vm, &member.location.data_centre))
    }

    /// Whether this data centre counts as partitioned, so that its members keep their ownership.
    #[must_use]
    pub fn is_partitioned(&self, data_centre: &DataCentreId) -> bool {
        self.owners.is_partitioned(data_centre)
    }

    /// Whether this node reaches more than half of the known members.
    ///
    /// Suspects do not count as reached.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        let known = self
            .members()
            .filter(|(_, m)| m.owner || m.state.is_reachable());
        let (mut all, mut reached) = (0, 0);
        for (_, member) in known {
            all += 1;
            reached += usize::from(member.state.is_reachable() && member.state != State::Suspect);
        }
        reached * 2 > all
    }

    /// The peers that this node sends heartbeats to; other data may be piggybacked.
    #[must_use]
    pub fn peers(&self) -> &[VmId] {
        &self.peers
    }

    /// Handles a VM list from the platform, which may lag.
    pub fn on_vm_list(&mut self, list: &[ListedVm], now: Time) -> Vec<Output> {
        for member in self.table.members.values_mut() {
            if member.listing != Listing::Unlisted {
                member.listing = Listing::Dropped;
            }
        }
        for listed in list {
            self.apply_listing(listed, now);
        }
        self.forget_members(now);
        self.has_vm_list = true;
        self.finish(now)
    }

    /// Handles a message from a peer.
    pub fn on_message(&mut self, from: &VmId, message: Message, now: Time) -> Vec<Output> {
        let Message {
            life,
            body,
            updates,
        } = message;
        let is_table = body == Body::Table;
        if is_table {
            self.reply_with_newer(from, &updates);
            self.next_sync = self.next_sync.min(now + self.settings.period.get());
        }
        for update in updates {
            // Updates from a table are not gossiped further.
            self.apply_update(update, !is_table, now);
        }
        self.on_sender(from, life, now);
        match body {
            Body::Heartbeat(seq) => self.detector.on_heartbeat(from, seq, now),
            Body::Gossip | Body::Table => {}
            Body::Ping(number) => self.send(from, Body::Ack(number)),
            Body::Ack(number) => self.on_ack(number, now),
            Body::IndirectPing(number, target) => self.on_indirect_ping(from, number, &target, now),
            Body::Sync(buckets) => self.on_sync(from, &buckets),
        }
        self.finish(now)
    }

    /// Runs the timers that are due.
    pub fn on_tick(&mut self, now: Time) -> Vec<Output> {
        self.extend_after_pause(now);
        self.refresh_rings(now);
        self.send_heartbeats(now);
        self.check_silent_members(now);
        self.expire_suspects(now);
        self.send_sync(now);
        self.finish(now)
    }

    /// Announces that this node takes no more work.
    pub fn on_leave(&mut self, now: Time) -> Vec<Output> {
        self.announce_state(State::Leaving, now)
    }

    /// Announces that this node has drained and stops.
    pub fn on_stop(&mut self, now: Time) -> Vec<Output> {
        self.announce_state(State::Left, now)
    }

    /// When [`on_tick`](Self::on_tick) must be called next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        let suspects = self
            .members()
            .filter(|(_, member)| member.state == State::Suspect)
            .map(|(_, member)| member.since + self.settings.suspect_wait.get());
        let gossip = if self.gossip.is_empty() {
            Time::NEVER
        } else {
            self.next_gossip
        };
        // `next_sync` needs no wake-up of its own: a due sync is sent on the next tick,
        // which comes with the next heartbeat at the latest.
        suspects
            .chain([
                gossip,
                self.next_heartbeat,
                self.detector.next_deadline(),
                self.owners.next_change(&self.table, &self.settings),
            ])
            .min()
            .unwrap_or(Time::NEVER)
    }

    fn own_member(&self) -> &Member {
        self.table
            .get(&self.me)
            .expect("the member table contains this node")
    }

    fn send(&mut self, to: &VmId, body: Body) {
        let updates = self
            .gossip
            .take_least_sent(self.settings.piggyback)
            .iter()
            .filter_map(|vm| self.table.get(vm).map(|member| member.to_update(vm)))
            .collect();
        self.send_with(to, body, updates);
    }

    fn send_with(&mut self, to: &VmId, body: Body, updates: Vec<Update>) {
        let message = Message {
            life: self.life(),
            body,
            updates,
        };
        let to = to.clone();
        self.outputs.push(Output::Send { to, message });
    }

    fn finish(&mut self, now: Time) -> Vec<Output> {
        let changes = self.owners.update(&mut self.table, &self.settings, now);
        let changes = changes.into_iter().map(Output::Changed);
        self.outputs.extend(changes);
        self.refresh_rings(now);
        self.send_gossip(now);
        std::mem::take(&mut self.outputs)
    }

    fn refresh_rings(&mut self, now: Time) {
        if !self.stale_rings {
            return;
        }
        self.stale_rings = false;
        self.peers = self.table.successors(&self.me);
        let monitored = self.table.predecessors(&self.me);
        let period = self.settings.period.get();
        let margin = self.settings.margin.get();
        self.detector.set_monitored(monitored, period, margin, now);
    }
}
