//! The nodes of the fleet, and which of them carry shared duties.
//!
//! A few nodes read the store for all others, and a few place requests for all
//! others. Every node ranks the known nodes in the same way, so duties need no
//! election: the best-ranked nodes that answer carry them. Views may differ for
//! a while, so no promise may rest on a duty having exactly one holder
//! (see [docs/design/large.md](../../../../docs/design/large.md)).

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::DataCentreId;
use crate::rendezvous::Salt;
use crate::time::Time;

/// How long a node counts as present after it was heard; each one queries all readers in turn by then.
const PRESENCE_TIME: Duration = Duration::from_secs(5);

/// How long a node is kept whose registration a restored store has lost; it registers again as soon
/// as it learns of that.
const LOST_GRACE: Duration = Duration::from_secs(3);

const SALT: Salt = Salt::new(0x726f_7374_6572);

/// The delay before a silent node is probed for the first time.
const BASE_PROBE_DELAY: Duration = Duration::from_millis(500);

/// The most doublings of the probe delay, which reaches four seconds.
const MAX_DOUBLINGS: u32 = 3;

/// How long a node that answers again gets reports before it gets requests, so
/// that it knows the load of the others when it places the first one.
const PROBATION: Duration = Duration::from_millis(1500);

/// The number of best-ranked nodes among which silent ones are probed.
const PROBED_RANKS: usize = 8;

/// A node as it registers itself in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The address for messages of other nodes.
    pub address: SocketAddr,
    /// The processor share in hundredths of a core; larger nodes carry duties first.
    #[serde(default)]
    pub capacity: u32,
    /// The data centre of the node.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub data_centre: Option<DataCentreId>,
}

/// Another node, as one that may serve a request for this one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Peer {
    /// The address for messages and requests of other nodes.
    pub address: SocketAddr,
    /// The processor share in hundredths of a core.
    pub capacity: u32,
    /// Whether it is in the data centre of this node.
    pub is_near: bool,
}

/// A duty of a few nodes for all others.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Duty {
    /// The name that is hashed with the nodes' addresses.
    pub name: String,
    /// The data centre whose nodes carry the duty if any of them answers.
    pub data_centre: Option<DataCentreId>,
}

/// The position of a node among the registered ones, in an order that is the same at all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// The number of nodes before it.
    pub rank: usize,
    /// The number of nodes.
    pub count: usize,
}

impl Default for Position {
    fn default() -> Self {
        Self { rank: 0, count: 1 }
    }
}

#[derive(Debug, Clone)]
struct Entry {
    member: Member,
    /// Unanswered messages since it was last heard.
    silences: u32,
    heard_at: Time,
    probe_at: Time,
    /// When it may carry duties, after it was silent.
    eligible_at: Time,
    /// When it is removed unless it registers again.
    leaves_at: Option<Time>,
}

impl Entry {
    const fn new(member: Member, eligible_at: Time) -> Self {
        Self {
            member,
            silences: 0,
            heard_at: Time::ZERO,
            probe_at: Time::ZERO,
            eligible_at,
            leaves_at: None,
        }
    }
}

/// The known nodes with the results of recent contacts.
///
/// All times must come from a clock that advances while the machine is suspended.
#[derive(Debug, Clone)]
pub struct Roster {
    own: Member,
    entries: HashMap<SocketAddr, Entry>,
    /// Whether the registered nodes have been listed.
    listed: bool,
    /// When this node itself may carry duties.
    own_eligible: Time,
    /// All nodes by rank for each duty that was asked for.
    ranks: RefCell<HashMap<Duty, Vec<Rank>>>,
}

/// The position of a node for a duty: nodes in the duty's data centre come
/// first, then larger ones, and the rest is decided by a hash.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Rank {
    remote: bool,
    smallness: u32,
    score: u64,
    node: SocketAddr,
}

impl Rank {
    fn new(duty: &Duty, member: &Member) -> Self {
        Self {
            remote: duty.data_centre.is_some() && member.data_centre != duty.data_centre,
            smallness: u32::MAX - member.capacity,
            score: SALT.score(&duty.name, &member.address.to_string()),
            node: member.address,
        }
    }
}

impl Roster {
    /// Creates the roster of the node `own`, which has just started.
    #[must_use]
    pub fn new(own: Member, now: Time) -> Self {
        Self {
            own,
            entries: HashMap::new(),
            listed: false,
            own_eligible: now + PROBATION,
            ranks: RefCell::default(),
        }
    }

    /// Replaces the registered nodes by a complete list.
    ///
    /// Nodes that are new in a known fleet begin with a probation.
    pub fn on_list(&mut self, members: Vec<Member>, now: Time) {
        let eligible_at = if self.entries.is_empty() {
            Time::ZERO
        } else {
            now + PROBATION
        };
        let mut entries = HashMap::with_capacity(members.len());
        for member in members {
            if member.address == self.own.address {
                continue;
            }
            let mut entry = self
                .entries
                .remove(&member.address)
                .unwrap_or_else(|| Entry::new(member.clone(), eligible_at));
            entry.member = member;
            entry.leaves_at = None;
            entries.insert(entry.member.address, entry);
        }
        self.entries = entries;
        self.listed = true;
        self.ranks.borrow_mut().clear();
    }

    /// Replaces the registered nodes by the first list of a store that came back from an older
    /// copy; those missing from it are kept until they have had the time to register again.
    pub fn on_restored_list(&mut self, members: Vec<Member>, now: Time) {
        let mut before = self.entries.clone();
        self.on_list(members, now);
        before.retain(|node, _| !self.entries.contains_key(node));
        for entry in before.values_mut() {
            entry.leaves_at.get_or_insert(now + LOST_GRACE);
        }
        self.entries.extend(before);
    }

    /// Removes the nodes that have not registered again in time, and returns whether there were any.
    pub fn expire(&mut self, now: Time) -> bool {
        let is_over = |entry: &Entry| entry.leaves_at.is_some_and(|at| now >= at);
        let entries = self.entries.iter().filter(|(_, entry)| is_over(entry));
        let lost: Vec<SocketAddr> = entries.map(|(node, _)| *node).collect();
        for node in &lost {
            self.on_left(*node);
        }
        !lost.is_empty()
    }

    /// Adds a node, or replaces its registration.
    ///
    /// A fleet of hundreds that is restarted node by node costs each node two
    /// changes a restart, so a change must not sort all nodes again.
    pub fn on_joined(&mut self, member: Member, now: Time) {
        let node = member.address;
        if node == self.own.address {
            return;
        }
        let known = self.entries.get_mut(&node);
        if let Some(entry) = known.filter(|entry| entry.member == member) {
            entry.leaves_at = None;
            return;
        }
        self.unrank(node);
        for (duty, ranks) in self.ranks.get_mut() {
            let rank = Rank::new(duty, &member);
            let index = ranks.partition_point(|other| *other < rank);
            ranks.insert(index, rank);
        }
        if let Some(entry) = self.entries.get_mut(&node) {
            entry.member = member;
            entry.leaves_at = None;
        } else {
            self.entries
                .insert(node, Entry::new(member, now + PROBATION));
        }
    }

    /// Removes a node that is no longer registered.
    pub fn on_left(&mut self, node: SocketAddr) {
        if self.entries.remove(&node).is_some() {
            self.unrank(node);
        }
    }

    fn unrank(&mut self, node: SocketAddr) {
        for ranks in self.ranks.get_mut().values_mut() {
            ranks.retain(|rank| rank.node != node);
        }
    }

    /// The addresses of all other registered nodes.
    #[must_use]
    pub fn peers(&self) -> Vec<SocketAddr> {
        self.entries.keys().copied().collect()
    }

    /// The other nodes that answer, as far as this one knows.
    #[must_use]
    pub fn reachable(&self) -> Vec<Peer> {
        let entries = self.entries.values().filter(|entry| entry.silences == 0);
        entries
            .map(|entry| Peer {
                address: entry.member.address,
                capacity: entry.member.capacity,
                is_near: entry.member.data_centre == self.own.data_centre,
            })
            .collect()
    }

    /// The number of other nodes that were heard lately.
    ///
    /// A node that was lost for good stays registered, so the number of registered nodes tells
    /// less about who can answer.
    #[must_use]
    pub fn present(&self, now: Time) -> usize {
        let heard = self.entries.values().map(|entry| entry.heard_at);
        heard
            .filter(|at| *at > Time::ZERO && now.since(*at) < PRESENCE_TIME)
            .count()
    }

    /// The number of registered nodes, including this one.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len() + 1
    }

    /// Whether the registered nodes have been listed since the start.
    ///
    /// Until then the best-ranked node that this one knows is itself.
    #[must_use]
    pub const fn is_listed(&self) -> bool {
        self.listed
    }

    /// The position of this node.
    ///
    /// The nodes of each data centre are sorted by address, and stand at even distances in the
    /// whole order, so that those of one data centre alone are spread too.
    #[must_use]
    pub fn position(&self) -> Position {
        let own = &self.own;
        let mut sizes = BTreeMap::from([(&own.data_centre, 1)]);
        let mut index = 0;
        for Entry { member, .. } in self.entries.values() {
            *sizes.entry(&member.data_centre).or_default() += 1;
            let is_before = member.address < own.address;
            index += usize::from(member.data_centre == own.data_centre && is_before);
        }
        // The node `i` of `n` in a data centre stands at (2 i + 1) / 2 n of the whole order.
        let own_size = sizes[&own.data_centre];
        let before = |(centre, size): (&&Option<DataCentreId>, &usize)| {
            let place = (2 * index + 1) * size;
            let odd_up_to = if **centre < own.data_centre {
                place / own_size
            } else {
                place.div_ceil(own_size) - 1
            };
            odd_up_to.div_ceil(2)
        };
        Position {
            rank: sizes.iter().map(before).sum(),
            count: self.len(),
        }
    }

    /// Whether no other node is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// The address of this node.
    #[must_use]
    pub const fn own(&self) -> SocketAddr {
        self.own.address
    }

    /// Records a message from a node.
    pub fn on_heard(&mut self, node: SocketAddr, now: Time) {
        let Some(entry) = self.entries.get_mut(&node) else {
            return;
        };
        entry.heard_at = now;
        if entry.silences > 0 {
            entry.silences = 0;
            entry.eligible_at = now + PROBATION;
        }
    }

    /// Records that a node did not answer a message that was sent at `sent_at`.
    pub fn on_unanswered(&mut self, node: SocketAddr, sent_at: Time, now: Time) {
        let heard = self.entries.get(&node).map(|entry| entry.heard_at);
        if heard.is_some_and(|heard_at| heard_at <= sent_at) {
            self.on_silent(node, now);
        }
    }

    /// Records that a node does not answer, or that it is leaving.
    pub fn on_silent(&mut self, node: SocketAddr, now: Time) {
        if let Some(entry) = self.entries.get_mut(&node) {
            let delay = BASE_PROBE_DELAY * (1 << entry.silences.min(MAX_DOUBLINGS));
            entry.silences += 1;
            entry.probe_at = now + delay;
        }
    }

    /// Whether the node does not answer.
    #[must_use]
    pub fn is_silent(&self, node: SocketAddr) -> bool {
        self.entries
            .get(&node)
            .is_some_and(|entry| entry.silences > 0)
    }

    /// The nodes that carry a duty now, at most `count`, best first.
    #[must_use]
    pub fn holders(&self, duty: &Duty, count: usize, now: Time) -> Vec<SocketAddr> {
        let eligible = |node: SocketAddr| self.is_eligible(node, now);
        let mut holders = self.best(duty, count, eligible);
        if holders.is_empty() {
            holders = self.best(duty, count, |node| !self.is_silent(node));
        }
        holders
    }

    /// As [`Self::holders`], for a duty that needs no knowledge of the load: this node carries it
    /// from its start.
    ///
    /// After a loss of all nodes no node has a probation in the view of the others, so they
    /// rely on the best-ranked ones at once.
    #[must_use]
    pub fn ready_holders(&self, duty: &Duty, count: usize, now: Time) -> Vec<SocketAddr> {
        self.best(duty, count, |node| {
            node == self.own.address || self.is_eligible(node, now)
        })
    }

    /// The nodes that need to know what the holders of a duty know: the holders,
    /// and nodes that will replace one of them as soon as their probation is over.
    #[must_use]
    pub fn informed(&self, duty: &Duty, count: usize, now: Time) -> Vec<SocketAddr> {
        let mut informed = self.holders(duty, count, now);
        for node in self.best(duty, count, |node| !self.is_silent(node)) {
            if !informed.contains(&node) {
                informed.push(node);
            }
        }
        informed
    }

    /// A silent node that should be asked whether it is back, if one is due.
    pub fn take_probe(&mut self, duty: &Duty, now: Time) -> Option<SocketAddr> {
        let node = self
            .best(duty, PROBED_RANKS, |_| true)
            .into_iter()
            .find(|node| {
                self.entries
                    .get(node)
                    .is_some_and(|entry| entry.silences > 0 && now >= entry.probe_at)
            })?;
        self.on_silent(node, now);
        Some(node)
    }

    fn is_eligible(&self, node: SocketAddr, now: Time) -> bool {
        if node == self.own.address {
            return now >= self.own_eligible;
        }
        self.entries
            .get(&node)
            .is_some_and(|entry| entry.silences == 0 && now >= entry.eligible_at)
    }

    fn best<F>(&self, duty: &Duty, count: usize, accept: F) -> Vec<SocketAddr>
    where
        F: Fn(SocketAddr) -> bool,
    {
        let mut ranks = self.ranks.borrow_mut();
        if !ranks.contains_key(duty) {
            ranks.insert(duty.clone(), self.rank(duty));
        }
        ranks
            .get(duty)
            .into_iter()
            .flatten()
            .map(|rank| rank.node)
            .filter(|node| accept(*node))
            .take(count)
            .collect()
    }

    fn rank(&self, duty: &Duty) -> Vec<Rank> {
        let members = self.entries.values().map(|entry| &entry.member);
        let mut ranked: Vec<_> = members
            .chain([&self.own])
            .map(|member| Rank::new(duty, member))
            .collect();
        ranked.sort_unstable();
        ranked
    }
}
