//! Who is in the fleet: heartbeats among few, suspicion, refutation.
//!
//! Each member sends heartbeats to its successors on three rings and watches
//! its predecessors by [Chen's estimate](chen::Chen); a silent one is probed,
//! also through others, before it is suspected, and may refute. What changes
//! rides on the heartbeats, a bounded number of updates each, so that the bytes
//! of a node stay flat in the size of the fleet. The ways that were weighed
//! stand in [docs/design/fleet.md](../../../../docs/design/fleet.md).

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
use self::owners::Owners;
use self::rumours::Rumours;
pub use self::settings::Settings;
pub use self::table::Member;
use self::table::{Listing, RINGS, Table};
use self::watch::Watch;
use crate::id::{DataCentreId, Incarnation, VmId};
use crate::time::Time;

/// The number of updates after which an answer to a comparison takes in no further bucket.
const TABLE_LIMIT: usize = 64;

/// An entry VM as the platform's list tells of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedVm {
    /// The VM.
    pub vm: VmId,
    /// Where it is.
    pub location: Location,
    /// Whether the platform is about to take it.
    pub leaving: bool,
}

/// The membership as one node sees it.
#[derive(Debug, Clone)]
pub struct Membership {
    me: VmId,
    settings: Settings,
    rng: ChaCha8Rng,
    table: Table,
    rumours: Rumours,
    watch: Watch,
    owners: Owners,
    peers: Vec<VmId>,
    start: Time,
    next_beat: Time,
    next_sync: Time,
    next_news: Time,
    last_tick: Time,
    listed: bool,
    stale_rings: bool,
    outputs: Vec<Output>,
}

impl Membership {
    /// The membership of a node that has just started.
    ///
    /// `incarnation` must rise from one process of the VM to the next; should it
    /// not, the peers tell, and the node takes a higher one.
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
        let mut rumours = Rumours::default();
        rumours.add(&me, settings.repeats * RINGS as u32);
        Self {
            me,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            table,
            rumours,
            watch: Watch::default(),
            owners: Owners::default(),
            peers: Vec::new(),
            start: now,
            next_beat: now,
            next_sync: now,
            next_news: now,
            last_tick: now,
            listed: false,
            stale_rings: true,
            outputs: Vec::new(),
        }
    }

    /// This node's name.
    #[must_use]
    pub const fn me(&self) -> &VmId {
        &self.me
    }

    /// This node's life, as it tells it to others.
    #[must_use]
    pub fn life(&self) -> Life {
        self.mine().life
    }

    /// All members by name, this node and those that are gone included.
    pub fn members(&self) -> impl Iterator<Item = (&VmId, &Member)> {
        self.table.members.iter()
    }

    /// What is believed of `vm`.
    #[must_use]
    pub fn member(&self, vm: &VmId) -> Option<&Member> {
        self.table.get(vm)
    }

    /// The members that messages reach, this node included.
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

    /// Whether most of this data centre vanished at once and is held as it was.
    #[must_use]
    pub fn is_partitioned(&self, data_centre: &DataCentreId) -> bool {
        self.owners.is_partitioned(data_centre)
    }

    /// Whether this node reaches more than half of the members it knows of.
    #[must_use]
    pub fn has_majority(&self) -> bool {
        let known = self
            .members()
            .filter(|(_, m)| m.owner || m.state.is_reachable());
        let (mut all, mut near) = (0, 0);
        for (_, member) in known {
            all += 1;
            near += usize::from(member.state.is_reachable() && member.state != State::Suspect);
        }
        near * 2 > all
    }

    /// The peers that this node sends heartbeats to; other parts may ride along.
    #[must_use]
    pub fn peers(&self) -> &[VmId] {
        &self.peers
    }

    /// Takes in an answer of the platform's list, which may lag.
    pub fn on_vm_list(&mut self, list: &[ListedVm], now: Time) -> Vec<Output> {
        for member in self.table.members.values_mut() {
            if member.listing != Listing::Unlisted {
                member.listing = Listing::Dropped;
            }
        }
        for listed in list {
            self.on_listed(listed, now);
        }
        self.forget(now);
        self.listed = true;
        self.finish(now)
    }

    /// Takes in a message of a peer.
    pub fn on_message(&mut self, from: &VmId, message: Message, now: Time) -> Vec<Output> {
        let Message {
            life,
            body,
            updates,
        } = message;
        let table = body == Body::Table;
        if table {
            self.answer_table(from, &updates);
            self.next_sync = self.next_sync.min(now + self.settings.period.get());
        }
        for update in updates {
            self.on_update(update, !table, now);
        }
        self.on_sender(from, life, now);
        match body {
            Body::Heartbeat(seq) => self.watch.on_heartbeat(from, seq, now),
            Body::Gossip | Body::Table => {}
            Body::Ping(number) => self.send(from, Body::Ack(number)),
            Body::Ack(number) => self.on_ack(number, now),
            Body::IndirectPing(number, target) => self.on_ask(from, number, &target, now),
            Body::Sync(buckets) => self.on_sync(from, &buckets),
        }
        self.finish(now)
    }

    /// Does what is due.
    pub fn on_tick(&mut self, now: Time) -> Vec<Output> {
        self.on_pause(now);
        self.refresh_rings(now);
        self.beat(now);
        self.judge(now);
        self.expire(now);
        self.sync(now);
        self.finish(now)
    }

    /// Tells the others that this node takes no more work.
    pub fn on_leave(&mut self, now: Time) -> Vec<Output> {
        self.become_state(State::Leaving, now)
    }

    /// Tells the others that this node's work is done and it stops.
    pub fn on_stop(&mut self, now: Time) -> Vec<Output> {
        self.become_state(State::Left, now)
    }

    /// When [`on_tick`](Self::on_tick) has something to do next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        let suspects = self
            .members()
            .filter(|(_, member)| member.state == State::Suspect)
            .map(|(_, member)| member.since + self.settings.suspect_wait.get());
        let news = if self.rumours.is_empty() {
            Time::NEVER
        } else {
            self.next_news
        };
        suspects
            .chain([
                news,
                self.next_beat,
                self.watch.next(),
                self.owners.next(&self.table, &self.settings),
            ])
            .min()
            .unwrap_or(Time::NEVER)
    }

    fn mine(&self) -> &Member {
        self.table
            .get(&self.me)
            .expect("a node is in its own table")
    }

    fn send(&mut self, to: &VmId, body: Body) {
        let updates = self
            .rumours
            .take(self.settings.piggyback)
            .iter()
            .filter_map(|vm| self.table.get(vm).map(|member| member.update(vm)))
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
        let changes = self.owners.settle(&mut self.table, &self.settings, now);
        let changes = changes.into_iter().map(Output::Changed);
        self.outputs.extend(changes);
        self.refresh_rings(now);
        self.tell_news(now);
        std::mem::take(&mut self.outputs)
    }

    fn refresh_rings(&mut self, now: Time) {
        if !self.stale_rings {
            return;
        }
        self.stale_rings = false;
        self.peers = self.table.successors(&self.me);
        let subjects = self.table.predecessors(&self.me);
        let period = self.settings.period.get();
        let margin = self.settings.margin.get();
        self.watch.set(subjects, period, margin, now);
    }
}
