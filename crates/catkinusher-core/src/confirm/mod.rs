//! Confirmation that a node's configuration is current, by reads of the store or from peers.
//!
//! Revoked keys must stop working within a bound, so each node needs a recent
//! proof that its configuration is the newest. If every node read the store,
//! the number of calls would grow with the fleet. Instead a few nodes, which all
//! nodes select in the same way, read it, and the others query these readers
//! with datagrams. If a reader's confirmation was `age` old when it replied, it
//! is valid for the querying node from `age` before the *query was sent*, which
//! holds for any network delay and needs no synchronized clocks. A node that
//! gets no replies reads the store itself, so lost replies cost calls but never
//! extend the validity of a configuration
//! (see [docs/design/platform.md](../../../../docs/design/platform.md)).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::freshness::Freshness;
use crate::object::Version;
use crate::rendezvous::Salt;
use crate::time::Time;

const SALT: Salt = Salt::new(0x636f_6e66_6972);

/// How long a peer counts as live after its last datagram, a few report intervals.
const PEER_TTL: Duration = Duration::from_millis(2500);

/// The least number of readers, so that two may fail at the same time.
const MIN_READERS: usize = 3;

/// The number of nodes per reader, which keeps the query load of a reader low.
const NODES_PER_READER: usize = 40;

/// The fraction of the interval after which a reader reads again.
const READ_FRACTION: f64 = 0.5;

/// The fraction of the interval after which a node sends the next query.
const QUERY_FRACTION: f64 = 0.4;

/// The multiple of the interval after which a node without a confirmation reads the store itself: two lost queries.
const OVERDUE_FACTOR: f64 = 1.5;

/// The most doublings of the delay between failed reads, which reaches about three seconds; readers try more often.
const MAX_DOUBLINGS: u32 = 2;

/// The reply to a confirmation query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmReply {
    /// The number of the query that it answers.
    pub number: u64,
    /// How long ago the configuration was confirmed, in milliseconds, rounded up.
    pub age: u64,
    /// What the replying node has seen of the store.
    pub known: StorePosition,
}

/// The revision and versions up to which a node has seen the store's objects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorePosition {
    /// The revision of the configuration.
    pub revision: u64,
    /// The version of the newest change to an upstream.
    pub upstreams: Version,
    /// The version of the newest change to the drained data centres.
    pub drained: Version,
}

/// An action for the caller of [`Confirmer::poll`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the configuration from the store.
    Read,
    /// Send a query to a peer, with a number that its reply repeats.
    Ask(SocketAddr, u64),
}

/// The effect of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// It confirms this node's configuration.
    Confirmed,
    /// This node has an older configuration and should read the store.
    Behind,
    /// It does not match the open query.
    Ignored,
}

#[derive(Debug, Clone, Copy)]
struct PeerEntry {
    last_seen: Time,
    rank: u64,
}

/// Decides when a node reads the store and which peer it queries.
///
/// All times must come from a clock that advances while the machine is suspended.
#[derive(Debug, Clone)]
pub struct Confirmer {
    own: SocketAddr,
    interval: Duration,
    peers: HashMap<SocketAddr, PeerEntry>,
    freshness: Freshness,
    reading: bool,
    read_at: Time,
    query_at: Time,
    /// Consecutive failed reads.
    failures: u32,
    query_number: u64,
    /// The number of the last query, until it is answered, and when it was sent.
    open_query: Option<(u64, Time)>,
}

impl Confirmer {
    /// Creates the state of the node at address `own`, which aims for a confirmation no older than `interval`.
    #[must_use]
    pub fn new(own: SocketAddr, interval: Duration) -> Self {
        Self {
            own,
            interval,
            peers: HashMap::new(),
            freshness: Freshness::default(),
            reading: false,
            read_at: Time::ZERO,
            query_at: Time::ZERO,
            failures: 0,
            query_number: 0,
            open_query: None,
        }
    }

    /// When the configuration was last confirmed as the newest.
    #[must_use]
    pub const fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Records a datagram from a peer.
    pub fn on_peer_seen(&mut self, peer: SocketAddr, now: Time) {
        let entry = self.peers.entry(peer).or_insert_with(|| PeerEntry {
            last_seen: now,
            rank: rank(peer),
        });
        entry.last_seen = now;
    }

    /// Returns the actions that are due now; to be called again after [`Self::poll_interval`].
    pub fn poll(&mut self, now: Time) -> Vec<Action> {
        self.peers
            .retain(|_, entry| now.since(entry.last_seen) < PEER_TTL);
        let readers = self.readers();
        let mut actions = Vec::new();
        let overdue = self.is_overdue(now);
        if !self.reading && now >= self.read_at && (overdue || readers.contains(&self.own)) {
            self.reading = true;
            actions.push(Action::Read);
        }
        if now >= self.query_at {
            self.query_at = now + self.interval.mul_f64(QUERY_FRACTION);
            self.query_number += 1;
            let others: Vec<_> = readers
                .iter()
                .filter(|reader| **reader != self.own)
                .collect();
            // Each query goes to the next reader, so that one that does not reply is skipped.
            if let Some(peer) = others.get(self.query_number as usize % others.len().max(1)) {
                self.open_query = Some((self.query_number, now));
                actions.push(Action::Ask(**peer, self.query_number));
            }
        }
        actions
    }

    /// The interval at which to call [`Self::poll`].
    #[must_use]
    pub fn poll_interval(&self) -> Duration {
        self.interval.mul_f64(QUERY_FRACTION / 4.0)
    }

    /// Records a successful read of the configuration that began at `began`.
    pub fn on_read(&mut self, began: Time) {
        self.freshness.on_confirmed(began);
        self.reading = false;
        self.failures = 0;
        self.read_at = began + self.interval.mul_f64(READ_FRACTION);
    }

    /// Records a failed read.
    pub fn on_failure(&mut self, now: Time) {
        self.reading = false;
        let delay = self.interval.mul_f64(READ_FRACTION);
        // Readers do not back off, as all other nodes depend on them.
        let is_reader = self.readers().contains(&self.own);
        let doublings = if is_reader {
            0
        } else {
            self.failures.min(MAX_DOUBLINGS)
        };
        self.failures += 1;
        self.read_at = now + delay * (1 << doublings);
    }

    /// Builds the reply to a query, unless this node has no confirmation.
    #[must_use]
    pub fn reply(&self, number: u64, known: StorePosition, now: Time) -> Option<ConfirmReply> {
        let age = self.freshness.age(now)?.as_millis() as u64 + 1;
        Some(ConfirmReply { number, age, known })
    }

    /// Whether the last confirmation is so old that this node reads the store itself.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        !self
            .freshness
            .within(self.interval.mul_f64(OVERDUE_FACTOR), now)
    }

    /// Handles a reply, at a node whose configuration has `revision`.
    pub fn on_reply(&mut self, reply: &ConfirmReply, revision: u64) -> ReplyOutcome {
        let Some((_, sent_at)) = self
            .open_query
            .filter(|(number, _)| *number == reply.number)
        else {
            return ReplyOutcome::Ignored;
        };
        self.open_query = None;
        if reply.known.revision > revision {
            self.read_at = Time::ZERO;
            return ReplyOutcome::Behind;
        }
        let confirmed_at = Time::from_micros(
            sent_at
                .as_micros()
                .saturating_sub(reply.age.saturating_mul(1000)),
        );
        self.freshness.on_confirmed(confirmed_at);
        ReplyOutcome::Confirmed
    }

    /// The readers, as far as this node knows the live nodes.
    fn readers(&self) -> Vec<SocketAddr> {
        let own = (rank(self.own), self.own);
        let others = self.peers.iter().map(|(peer, entry)| (entry.rank, *peer));
        let mut nodes: Vec<(u64, SocketAddr)> = others.chain([own]).collect();
        let count = MIN_READERS.max(nodes.len() / NODES_PER_READER);
        nodes.sort_unstable();
        nodes
            .into_iter()
            .take(count)
            .map(|(_, node)| node)
            .collect()
    }
}

/// The position of a node in the order of readers, the same on all nodes.
fn rank(node: SocketAddr) -> u64 {
    SALT.score("reader", &node.to_string())
}

/// The progress of the watch on one kind of object, compared with that of peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchProgress {
    /// All changes up to this version have been received.
    seen: Version,
    newest: Version,
    /// Whether the last reply of a peer reported a later change.
    behind: bool,
}

impl WatchProgress {
    /// Records a response of the store with all changes up to `seen`, the newest of them at `newest`, if any.
    pub fn on_answer(&mut self, seen: Version, newest: Option<Version>) {
        self.seen = self.seen.max(seen);
        self.newest = self.newest.max(newest.unwrap_or_default());
    }

    /// The version of the newest change.
    #[must_use]
    pub const fn newest(&self) -> Version {
        self.newest
    }

    /// Records the newest change known to a peer, and tells whether the watch should be restarted.
    ///
    /// A change may reach the peer slightly earlier, so the watch counts as
    /// stalled only when two replies in a row report a later change.
    pub fn on_peer_version(&mut self, newest: Version) -> bool {
        let was_behind = self.behind;
        self.behind = newest > self.seen && !was_behind;
        was_behind && newest > self.seen
    }
}
