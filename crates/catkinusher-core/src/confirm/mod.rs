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

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::freshness::Freshness;
use crate::object::Version;
use crate::roster::{Duty, Roster};
use crate::time::Time;

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

/// The number of a query that only asks whether a silent node is back.
const PROBE: u64 = 0;

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
    /// The version of the newest change to the registered nodes.
    pub nodes: Version,
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

/// The last query, until it is answered.
#[derive(Debug, Clone, Copy)]
struct OpenQuery {
    number: u64,
    peer: SocketAddr,
    sent_at: Time,
}

/// The duty of the nodes that read the store for the others.
#[must_use]
pub fn duty() -> Duty {
    Duty {
        name: "readers".to_owned(),
        data_centre: None,
    }
}

/// The nodes that read the store for the others, as far as this node knows.
#[must_use]
pub fn readers(roster: &Roster, now: Time) -> Vec<SocketAddr> {
    let count = MIN_READERS.max(roster.len() / NODES_PER_READER);
    roster.holders(&duty(), count, now)
}

/// Decides when a node reads the store and which peer it queries.
///
/// All times must come from a clock that advances while the machine is suspended.
#[derive(Debug, Clone)]
pub struct Confirmer {
    interval: Duration,
    freshness: Freshness,
    reading: bool,
    /// A peer has a newer configuration.
    behind: bool,
    read_at: Time,
    query_at: Time,
    /// Consecutive failed reads.
    failures: u32,
    query_number: u64,
    open_query: Option<OpenQuery>,
}

impl Confirmer {
    /// Creates the state of a node that aims for a confirmation no older than `interval`.
    #[must_use]
    pub fn new(interval: Duration) -> Self {
        Self {
            interval,
            freshness: Freshness::default(),
            reading: false,
            behind: false,
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

    /// Returns the actions that are due now; to be called again after [`Self::poll_interval`].
    ///
    /// A reader that has not answered the query before counts as silent.
    pub fn poll(&mut self, roster: &mut Roster, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        if now >= self.query_at {
            self.query_at = now + self.interval.mul_f64(QUERY_FRACTION);
            if let Some(query) = self.open_query.take() {
                roster.on_unanswered(query.peer, query.sent_at, now);
            }
            self.query_number += 1;
            let number = self.query_number;
            let others: Vec<_> = readers(roster, now)
                .into_iter()
                .filter(|reader| *reader != roster.own())
                .collect();
            // Each query goes to the next reader, so that one that does not reply is skipped.
            if let Some(peer) = others.get(number as usize % others.len().max(1)) {
                self.open_query = Some(OpenQuery {
                    number,
                    peer: *peer,
                    sent_at: now,
                });
                actions.push(Action::Ask(*peer, number));
            }
            if let Some(peer) = roster.take_probe(&duty(), now) {
                actions.push(Action::Ask(peer, PROBE));
            }
        }
        let due = self.behind || self.is_overdue(now) || self.is_reader(roster, now);
        if !self.reading && now >= self.read_at && due {
            self.reading = true;
            self.behind = false;
            actions.push(Action::Read);
        }
        actions
    }

    /// Whether this node reads the store for others.
    #[must_use]
    pub fn is_reader(&self, roster: &Roster, now: Time) -> bool {
        readers(roster, now).contains(&roster.own())
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
    pub fn on_failure(&mut self, roster: &Roster, now: Time) {
        self.reading = false;
        let delay = self.interval.mul_f64(READ_FRACTION);
        // Readers do not back off, as all other nodes depend on them.
        let is_reader = self.is_reader(roster, now);
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
        let Some(OpenQuery { sent_at, .. }) =
            self.open_query.filter(|query| query.number == reply.number)
        else {
            return ReplyOutcome::Ignored;
        };
        self.open_query = None;
        if reply.known.revision > revision {
            self.behind = true;
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
