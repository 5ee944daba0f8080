//! Which nodes read the store to confirm the configuration, and how the others hear of it.
//!
//! Keys that were taken away must stop working within a bound, so each node
//! needs a recent proof that its configuration is the newest. Reads of all
//! nodes would cost calls in proportion to the fleet. So a few nodes, the same
//! in the eyes of all, read; the others ask them with datagrams. What a reader
//! knew `age` before it answered holds for the asker since `age` before it
//! *asked*, whatever the way took and whatever the clocks show. A node that
//! hears nothing reads by itself, so that silence costs calls and never trust
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

/// How long a peer counts as there without news, a few of its reports.
const HEARD_LIFE: Duration = Duration::from_millis(2500);

/// The least number of readers; two may be lost at once.
const LEAST_READERS: usize = 3;

/// The nodes for which there is one reader, so that asking costs a reader little.
const NODES_PER_READER: usize = 40;

/// The share of the rhythm after which a reader reads again.
const READ_SHARE: f64 = 0.5;

/// The share of the rhythm after which a node asks again.
const ASK_SHARE: f64 = 0.4;

/// The share of the rhythm after which a node without a confirmation reads by itself: two lost questions.
const ALONE_SHARE: f64 = 1.5;

/// The most doublings of the pause between reads that fail: about three seconds, as readers try more often.
const DOUBLINGS: u32 = 2;

/// What a node tells one that asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmReply {
    /// The question that it answers.
    pub number: u64,
    /// How long ago the configuration was confirmed, in milliseconds, rounded up.
    pub age: u64,
    /// What it knows.
    pub known: StorePosition,
}

/// How far a node knows the store's objects.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct StorePosition {
    /// The revision of the configuration.
    pub revision: u64,
    /// The version of the newest change of an upstream.
    pub upstreams: Version,
    /// The version of the newest change of a drained data centre.
    pub drained: Version,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the configuration from the store.
    Read,
    /// Ask a peer, with a number that its answer repeats.
    Ask(SocketAddr, u64),
}

/// What an answer is worth.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// It confirms what this node knows.
    Confirmed,
    /// This node knows an older configuration and should read.
    Behind,
    /// It says nothing new.
    Ignored,
}

#[derive(Debug, Clone, Copy)]
struct Heard {
    at: Time,
    rank: u64,
}

/// Decides for one node when to read and whom to ask.
///
/// All moments come from a clock that counts suspension.
#[derive(Debug, Clone)]
pub struct Confirmer {
    own: SocketAddr,
    rhythm: Duration,
    heard: HashMap<SocketAddr, Heard>,
    freshness: Freshness,
    reading: bool,
    read_at: Time,
    ask_at: Time,
    failures: u32,
    number: u64,
    asked: Option<(u64, Time)>,
}

impl Confirmer {
    /// A node at `own` whose confirmation should not grow much older than `rhythm`.
    #[must_use]
    pub fn new(own: SocketAddr, rhythm: Duration) -> Self {
        Self {
            own,
            rhythm,
            heard: HashMap::new(),
            freshness: Freshness::default(),
            reading: false,
            read_at: Time::ZERO,
            ask_at: Time::ZERO,
            failures: 0,
            number: 0,
            asked: None,
        }
    }

    /// Since when the configuration is known to be the newest.
    #[must_use]
    pub const fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// Takes in that a peer lives.
    pub fn on_peer_seen(&mut self, peer: SocketAddr, now: Time) {
        let heard = self.heard.entry(peer).or_insert_with(|| Heard {
            at: now,
            rank: rank(peer),
        });
        heard.at = now;
    }

    /// What to do now; the next look is due after [`Self::poll_interval`].
    pub fn poll(&mut self, now: Time) -> Vec<Action> {
        self.heard
            .retain(|_, heard| now.since(heard.at) < HEARD_LIFE);
        let readers = self.readers();
        let mut actions = Vec::new();
        let alone = self.is_overdue(now);
        if !self.reading && now >= self.read_at && (alone || readers.contains(&self.own)) {
            self.reading = true;
            actions.push(Action::Read);
        }
        if now >= self.ask_at {
            self.ask_at = now + self.rhythm.mul_f64(ASK_SHARE);
            self.number += 1;
            let others: Vec<_> = readers.iter().filter(|one| **one != self.own).collect();
            // One that does not answer is left for the next.
            if let Some(peer) = others.get(self.number as usize % others.len().max(1)) {
                self.asked = Some((self.number, now));
                actions.push(Action::Ask(**peer, self.number));
            }
        }
        actions
    }

    /// How long nothing is due.
    #[must_use]
    pub fn poll_interval(&self) -> Duration {
        self.rhythm.mul_f64(ASK_SHARE / 4.0)
    }

    /// Takes in that a read which began at `began` has brought the newest configuration.
    pub fn on_read(&mut self, began: Time) {
        self.freshness.on_confirmed(began);
        self.reading = false;
        self.failures = 0;
        self.read_at = began + self.rhythm.mul_f64(READ_SHARE);
    }

    /// Takes in that a read failed.
    pub fn on_failure(&mut self, now: Time) {
        self.reading = false;
        let pause = self.rhythm.mul_f64(READ_SHARE);
        // Readers go on, as all others wait for their word.
        let reader = self.readers().contains(&self.own);
        let doublings = if reader {
            0
        } else {
            self.failures.min(DOUBLINGS)
        };
        self.failures += 1;
        self.read_at = now + pause * (1 << doublings);
    }

    /// What this node tells one that asks.
    #[must_use]
    pub fn reply(&self, number: u64, known: StorePosition, now: Time) -> Option<ConfirmReply> {
        let age = self.freshness.age(now)?.as_millis() as u64 + 1;
        Some(ConfirmReply { number, age, known })
    }

    /// Whether no confirmation came for so long that this node reads by itself.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        !self.freshness.within(self.rhythm.mul_f64(ALONE_SHARE), now)
    }

    /// Takes in an answer, at a node whose configuration has `revision`.
    pub fn on_reply(&mut self, word: &ConfirmReply, revision: u64) -> ReplyOutcome {
        let Some((_, asked)) = self.asked.filter(|(number, _)| *number == word.number) else {
            return ReplyOutcome::Ignored;
        };
        self.asked = None;
        if word.known.revision > revision {
            self.read_at = Time::ZERO;
            return ReplyOutcome::Behind;
        }
        let known = Time::from_micros(
            asked
                .as_micros()
                .saturating_sub(word.age.saturating_mul(1000)),
        );
        self.freshness.on_confirmed(known);
        ReplyOutcome::Confirmed
    }

    /// The nodes that read, in the eyes of this one.
    fn readers(&self) -> Vec<SocketAddr> {
        let own = (rank(self.own), self.own);
        let others = self.heard.iter().map(|(peer, heard)| (heard.rank, *peer));
        let mut nodes: Vec<(u64, SocketAddr)> = others.chain([own]).collect();
        let count = LEAST_READERS.max(nodes.len() / NODES_PER_READER);
        nodes.sort_unstable();
        nodes
            .into_iter()
            .take(count)
            .map(|(_, node)| node)
            .collect()
    }
}

/// The place of a node in the order of readers, alike for all.
fn rank(node: SocketAddr) -> u64 {
    SALT.score("reader", &node.to_string())
}

/// How far a watch of one kind has come, beside what peers know.
#[derive(Debug, Clone, Copy, Default)]
pub struct WatchProgress {
    /// All changes up to this version are known.
    seen: Version,
    newest: Version,
    /// Whether a peer knew of a later change when it last answered.
    behind: bool,
}

impl WatchProgress {
    /// Takes in that the store's answer told all changes up to `seen`, the newest of them if there were any.
    pub fn on_answer(&mut self, seen: Version, newest: Option<Version>) {
        self.seen = self.seen.max(seen);
        self.newest = self.newest.max(newest.unwrap_or_default());
    }

    /// The version of the newest change.
    #[must_use]
    pub const fn newest(&self) -> Version {
        self.newest
    }

    /// Whether the watch should be called anew, as a peer knows of the change `newest`.
    ///
    /// A change may reach the peer a moment sooner, so that one answer in which
    /// it knows more tells nothing of the watch.
    pub fn on_peer_version(&mut self, newest: Version) -> bool {
        let before = self.behind;
        self.behind = newest > self.seen && !before;
        before && newest > self.seen
    }
}
