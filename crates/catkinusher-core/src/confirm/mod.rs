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
use crate::id::{Incarnation, Serial};
use crate::object::{Era, Version};
use crate::roster::{Duty, Roster};
use crate::time::Time;

/// The least number of readers, so that two may fail at the same time.
const MIN_READERS: usize = 3;

/// The number of nodes per reader, which keeps the query load of a reader low.
const NODES_PER_READER: usize = 40;

/// The age of the confirmation, as a fraction of the interval, at which the first reader reads.
const FIRST_READ_FRACTION: f64 = 0.5;

/// The same for the other readers, which the first one confirms as long as it works.
const READ_FRACTION: f64 = 0.75;

/// The fraction of the interval after which a failed read is repeated.
const RETRY_FRACTION: f64 = 0.5;

/// The fraction of the interval after which a node sends the next query.
const QUERY_FRACTION: f64 = 0.3;

/// The multiple of the interval for which a node that cannot read the store is passed over.
const UNFIT_FACTOR: u32 = 2;

/// The age of the confirmation, as a fraction of the interval, from which a node asks more often.
const LATE_FRACTION: f64 = 1.0;

/// The fraction of the interval after which such a node sends the next query.
const LATE_QUERY_FRACTION: f64 = 0.1;

/// Of this many queries, one goes to a reader that could not read the store.
const UNFIT_QUERIES: usize = 3;

/// How long a node that has just started waits for a reply before it reads the store, as a fraction of the interval.
///
/// For as long its lack of a confirmation does not show that it cannot read the store.
const START_FRACTION: f64 = 0.4;

/// The multiple of the interval for which a revision that a peer has reported counts as known to it.
const REPORT_FACTOR: u32 = 2;

/// What a node that has just started fetches: whichever revision the store has.
pub const ANY_REVISION: u64 = 0;

/// The multiple of the interval after which a node without a confirmation reads the store itself: two lost queries.
const OVERDUE_FACTOR: f64 = 1.5;

/// The most doublings of the delay between failed reads, which reaches about three seconds; readers try more often.
const MAX_DOUBLINGS: u32 = 2;

/// The number of a query that only asks whether a silent node is back.
const PROBE: u64 = 0;

/// The reply to a confirmation query.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfirmReply {
    /// The serial of the query that it answers.
    pub serial: Serial,
    /// How long ago the configuration was confirmed, in milliseconds, rounded up, or `None` if never.
    pub age: Option<u64>,
    /// Whether the replying node cannot read the store at present.
    pub failing: bool,
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
    /// The version of the newest change to the quarantine.
    #[serde(default)]
    pub quarantine: Version,
}

impl StorePosition {
    /// The newest era of the store that it shows.
    #[must_use]
    pub fn era(&self) -> Era {
        let versions = [self.upstreams, self.drained, self.nodes, self.quarantine];
        versions
            .map(Version::era)
            .into_iter()
            .max()
            .unwrap_or_default()
    }
}

/// An action for the caller of [`Confirmer::poll`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Read the configuration from the store, as it is now.
    Read,
    /// Read it as it was at most seconds ago, since a peer has this revision, or this node has
    /// just started and takes [`ANY_REVISION`].
    Fetch(u64),
    /// Send a query to a peer, with a serial that its reply repeats.
    Ask(SocketAddr, Serial),
    /// Reply again to a query of a peer that came before this node had a confirmation.
    Reply(SocketAddr, Serial),
}

/// The effect of a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplyOutcome {
    /// It confirms this node's configuration.
    Confirmed,
    /// This node has an older configuration and should read the store.
    Behind,
    /// It matches no open query, or comes from a node that has no confirmation.
    Ignored,
}

/// A query that is not answered yet.
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

/// Decides when a node reads the store and which peer it queries.
///
/// All times must come from a clock that advances while the machine is suspended.
#[derive(Debug, Clone)]
pub struct Confirmer {
    process: Incarnation,
    interval: Duration,
    freshness: Freshness,
    /// The era of the store that gave the last confirmation.
    era: Era,
    /// The newest revision that a peer has reported lately, and until when that counts.
    reported: Option<(u64, Time)>,
    /// The revision that a peer had when the last read began.
    read_floor: u64,
    reading: bool,
    /// The revision that the fetch in progress is to bring.
    fetching: Option<u64>,
    /// A peer has this newer revision of the configuration.
    behind: Option<u64>,
    /// A peer's proof that no revision after this one was in force at that time; it counts as
    /// soon as this node has the revision.
    proof: Option<(u64, Time)>,
    /// What was fetched did not suffice.
    must_read: bool,
    started_at: Option<Time>,
    /// When the last call of the store began.
    called_at: Time,
    /// Whether the store answered peers when that call began, so that its failure concerns this node alone.
    peers_served: bool,
    /// The latest time at which the store is known to have answered a peer.
    peer_read_at: Option<Time>,
    read_at: Time,
    query_at: Time,
    /// Consecutive failed reads.
    failures: u32,
    query_number: u64,
    open_queries: Vec<OpenQuery>,
    /// The last query of each peer that this node could not answer yet, as it has just started.
    waiting_queries: HashMap<SocketAddr, Serial>,
    /// When the last reply arrived, whatever it told.
    replied_at: Option<Time>,
    /// Nodes that cannot read the store, and until when they are passed over.
    unfit: HashMap<SocketAddr, Time>,
}

impl Confirmer {
    /// Creates the state of a process that aims for a confirmation no older than `interval`.
    #[must_use]
    pub fn new(process: Incarnation, interval: Duration) -> Self {
        Self {
            process,
            interval,
            freshness: Freshness::default(),
            era: Era::NONE,
            reported: None,
            read_floor: 0,
            reading: false,
            fetching: None,
            behind: None,
            proof: None,
            must_read: false,
            started_at: None,
            called_at: Time::ZERO,
            peers_served: false,
            peer_read_at: None,
            read_at: Time::ZERO,
            query_at: Time::ZERO,
            failures: 0,
            query_number: 0,
            open_queries: Vec::new(),
            waiting_queries: HashMap::new(),
            replied_at: None,
            unfit: HashMap::new(),
        }
    }

    /// When the configuration was last confirmed as the newest.
    #[must_use]
    pub const fn freshness(&self) -> Freshness {
        self.freshness
    }

    /// The newest revision that a peer has reported and this node has not fetched yet.
    #[must_use]
    pub const fn newest_known(&self) -> Option<u64> {
        self.behind
    }

    /// How long this node still waits before it may read the store.
    #[must_use]
    pub fn read_pause(&self, now: Time) -> Duration {
        self.read_at.since(now)
    }

    /// Returns the actions that are due now; to be called again after [`Self::poll_interval`].
    ///
    /// A reader that does not answer a query in time counts as silent.
    pub fn poll(&mut self, roster: &mut Roster, now: Time) -> Vec<Action> {
        let mut actions = Vec::new();
        let limit = self.interval.mul_f64(QUERY_FRACTION);
        self.unfit.retain(|_, until| now < *until);
        self.open_queries.retain(|query| {
            let is_open = now.since(query.sent_at) < limit;
            if !is_open {
                roster.on_unanswered(query.peer, query.sent_at, now);
            }
            is_open
        });
        // Before the first list there is nobody to ask, and the first query follows at once on it.
        if now >= self.query_at && roster.is_listed() {
            self.query_at = now + self.interval.mul_f64(self.query_fraction(now));
            self.query_number += 1;
            let number = self.query_number;
            if let Some(peer) = self.next_reader(roster, now) {
                self.open_queries.push(OpenQuery {
                    number,
                    peer,
                    sent_at: now,
                });
                actions.push(Action::Ask(peer, Serial::new(self.process, number)));
            }
            if let Some(peer) = roster.take_probe(&duty(), now) {
                actions.push(Action::Ask(peer, Serial::new(self.process, PROBE)));
            }
        }
        if self.freshness.age(now).is_some() {
            let waiting = self.waiting_queries.drain();
            actions.extend(waiting.map(|(peer, serial)| Action::Reply(peer, serial)));
        }
        if self.started_at.is_none() {
            // Replies and lists tell only whether it is current, so the transfer waits for neither.
            actions.push(self.fetch(ANY_REVISION, now));
        }
        let started_at = *self.started_at.get_or_insert(now);
        if self.reading || now < self.read_at {
            return actions;
        }
        if self.is_starting_reader(roster, now) {
            actions.push(self.read(now));
        } else if self.fetching.is_some() {
            return actions;
        } else if let Some(revision) = self.behind.take() {
            actions.push(self.fetch(revision, now));
        } else if self.must_read || self.is_read_due(roster, started_at, now) {
            actions.push(self.read(now));
        }
        actions
    }

    fn fetch(&mut self, revision: u64, now: Time) -> Action {
        self.fetching = Some(revision);
        self.on_call(now);
        Action::Fetch(revision)
    }

    fn read(&mut self, now: Time) -> Action {
        self.reading = true;
        self.must_read = false;
        let reported = self.reported.filter(|(_, until)| now < *until);
        self.read_floor = reported.map_or(0, |(revision, _)| revision);
        self.on_call(now);
        Action::Read
    }

    fn on_call(&mut self, now: Time) {
        self.called_at = now;
        self.peers_served = self
            .peer_read_at
            .is_some_and(|read_at| now.since(read_at) < self.interval);
    }

    /// Whether this node is a reader without a confirmation.
    ///
    /// All others wait for its first one, so its read does not wait for the fetch.
    fn is_starting_reader(&self, roster: &Roster, now: Time) -> bool {
        self.freshness.age(now).is_none() && self.is_reader(roster, now)
    }

    /// Whether this node should read the store, as a reader or for itself.
    fn is_read_due(&self, roster: &Roster, started_at: Time, now: Time) -> bool {
        let Some(age) = self.freshness.age(now) else {
            // A reader may confirm the first configuration sooner than the store.
            let patience = self.interval.mul_f64(START_FRACTION);
            return now.since(started_at) >= patience;
        };
        let own = roster.own();
        // Those that cannot read the store confirm nothing, so the next one takes the first place.
        let readers = self.readers(roster, now).into_iter();
        let mut able =
            readers.filter(|reader| *reader == own || !self.is_unfit(*reader, roster, now));
        let fraction = match able.position(|reader| reader == own) {
            Some(0) => FIRST_READ_FRACTION,
            Some(_) => READ_FRACTION,
            // Other nodes try to read it, and have not reached it either.
            None if self.hears_readers(now) => return false,
            None => OVERDUE_FACTOR,
        };
        age >= self.interval.mul_f64(fraction)
    }

    /// Whether a node replied lately.
    #[must_use]
    pub fn hears_readers(&self, now: Time) -> bool {
        let limit = self.interval.mul_f64(OVERDUE_FACTOR);
        self.replied_at
            .is_some_and(|replied_at| now.since(replied_at) < limit)
    }

    /// The nodes that read the store for the others, as far as this node knows.
    ///
    /// For those that cannot read it at present, the next ones read it too.
    #[must_use]
    pub fn readers(&self, roster: &Roster, now: Time) -> Vec<SocketAddr> {
        let count = MIN_READERS.max(roster.len() / NODES_PER_READER);
        let most = count + self.unfit.len() + 1;
        let mut fit = 0;
        roster
            .ready_holders(&duty(), most, now)
            .into_iter()
            .enumerate()
            .filter(|(rank, node)| {
                let is_fit = !self.is_unfit(*node, roster, now);
                let is_reader = *rank < count || (is_fit && fit < count);
                fit += usize::from(is_fit);
                is_reader
            })
            .map(|(_, node)| node)
            .collect()
    }

    fn is_unfit(&self, node: SocketAddr, roster: &Roster, now: Time) -> bool {
        if node == roster.own() {
            return self.failures > 0;
        }
        self.unfit.get(&node).is_some_and(|until| now < *until)
    }

    /// The reader that gets the next query.
    ///
    /// Queries go round, so that a reader that does not reply is skipped. Those
    /// that could not read the store get only a part of them.
    fn next_reader(&self, roster: &Roster, now: Time) -> Option<SocketAddr> {
        let (unfit, fit): (Vec<_>, Vec<_>) = self
            .readers(roster, now)
            .into_iter()
            .filter(|reader| *reader != roster.own())
            .partition(|reader| self.is_unfit(*reader, roster, now));
        let number = self.query_number as usize;
        let retry = number.is_multiple_of(UNFIT_QUERIES);
        let (first, second) = if retry { (unfit, fit) } else { (fit, unfit) };
        let turn = if retry {
            number / UNFIT_QUERIES
        } else {
            number
        };
        let pick = |nodes: &[SocketAddr]| nodes.get(turn % nodes.len().max(1)).copied();
        pick(&first).or_else(|| pick(&second))
    }

    /// The interval between queries, as a fraction of the interval between confirmations.
    fn query_fraction(&self, now: Time) -> f64 {
        let late = self.interval.mul_f64(LATE_FRACTION);
        if self.freshness.within(late, now) {
            QUERY_FRACTION
        } else {
            LATE_QUERY_FRACTION
        }
    }

    /// Whether this node reads the store for others.
    ///
    /// A node that has just started knows that only from the list of nodes; without one for a
    /// while, it reads for itself.
    #[must_use]
    pub fn is_reader(&self, roster: &Roster, now: Time) -> bool {
        let is_known = roster.is_listed() || !self.is_starting(now);
        is_known && self.readers(roster, now).contains(&roster.own())
    }

    /// The interval at which to call [`Self::poll`].
    #[must_use]
    pub fn poll_interval(&self) -> Duration {
        self.interval.mul_f64(LATE_QUERY_FRACTION)
    }

    /// Records a successful read that began at `began`, in an era of the store, at a node whose
    /// configuration now has `revision`, and returns whether it confirms that.
    ///
    /// A store that came back from an older copy may show an older revision than a peer had before
    /// the read. That confirms nothing, nor did earlier answers of the same era. The operators
    /// write again what was lost.
    pub fn on_read(
        &mut self,
        began: Time,
        revision: u64,
        era: Era,
        roster: &Roster,
        now: Time,
    ) -> bool {
        if revision < self.read_floor {
            if self.era == era && era != Era::NONE {
                self.freshness = Freshness::default();
            }
            self.on_failure(roster, now);
            return false;
        }
        self.era = era;
        self.freshness.on_confirmed(began);
        self.reading = false;
        self.failures = 0;
        self.on_revision(revision);
        true
    }

    /// Records the end of a fetch, at a node whose configuration now has `revision`, and returns
    /// whether that suffices.
    ///
    /// A fetch confirms nothing by itself, as the answer may be old.
    pub fn on_fetch(&mut self, revision: u64) -> bool {
        let wanted = match self.fetching.take() {
            // A reply during the first fetch is the first to tell what is needed.
            Some(ANY_REVISION) => self.behind.take(),
            wanted => wanted,
        };
        let is_old = wanted.is_some_and(|wanted| revision < wanted);
        self.must_read |= is_old;
        self.on_revision(revision);
        !is_old
    }

    /// Applies what peers have told about revisions up to the one that this node now has.
    fn on_revision(&mut self, revision: u64) {
        self.behind = self.behind.filter(|newer| *newer > revision);
        if let Some((_, confirmed_at)) = self.proof.filter(|(newest, _)| *newest <= revision) {
            self.freshness.on_confirmed(confirmed_at);
            self.proof = None;
        }
    }

    /// Records a failed read.
    pub fn on_failure(&mut self, roster: &Roster, now: Time) {
        self.reading = false;
        self.back_off(roster, now);
    }

    /// Records a failed fetch.
    pub fn on_fetch_failure(&mut self, roster: &Roster, now: Time) {
        self.fetching = None;
        self.back_off(roster, now);
    }

    fn back_off(&mut self, roster: &Roster, now: Time) {
        if self.is_outage_over() {
            self.end_pause();
            return;
        }
        let delay = self.interval.mul_f64(RETRY_FRACTION);
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

    /// Whether the last call failed in an outage of the store that has ended since.
    ///
    /// A store that answered peers when the call began, and not this node, may
    /// turn only this node away; what it answers peers later proves nothing then.
    fn is_outage_over(&self) -> bool {
        !self.peers_served && self.peer_read_at > Some(self.called_at)
    }

    /// Allows the next read at once, as if the store had never failed.
    const fn end_pause(&mut self) {
        self.failures = 0;
        self.read_at = Time::ZERO;
    }

    /// Builds the reply to a query of a peer.
    ///
    /// A node without a confirmation replies, too, so that it does not count as silent. If it has
    /// just started, [`Self::poll`] lets it reply again as soon as it has one: after a loss of
    /// all nodes, each of them waits for the first read of a reader.
    #[must_use]
    pub fn on_query(
        &mut self,
        peer: SocketAddr,
        serial: Serial,
        known: StorePosition,
        now: Time,
    ) -> ConfirmReply {
        let reply = self.reply(serial, known, now);
        if reply.age.is_none() && !reply.failing {
            self.waiting_queries.insert(peer, serial);
        }
        reply
    }

    /// Builds a reply with what this node can tell now.
    #[must_use]
    pub fn reply(&self, serial: Serial, known: StorePosition, now: Time) -> ConfirmReply {
        let age = self.freshness.age(now);
        ConfirmReply {
            serial,
            age: age.map(|age| age.as_millis() as u64 + 1),
            failing: self.failures > 0 || (age.is_none() && !self.is_starting(now)),
            known,
        }
    }

    /// Whether this node has started so recently that it need not have a confirmation yet.
    fn is_starting(&self, now: Time) -> bool {
        let patience = self.interval.mul_f64(START_FRACTION);
        self.started_at
            .is_none_or(|started_at| now.since(started_at) < patience)
    }

    /// Whether the last confirmation is so old that this node reads the store itself.
    #[must_use]
    pub fn is_overdue(&self, now: Time) -> bool {
        !self
            .freshness
            .within(self.interval.mul_f64(OVERDUE_FACTOR), now)
    }

    /// Handles a reply, at a node whose configuration has `revision`.
    pub fn on_reply(&mut self, reply: &ConfirmReply, revision: u64, now: Time) -> ReplyOutcome {
        let number = reply.serial.number_of(self.process);
        let open = self
            .open_queries
            .iter()
            .position(|query| Some(query.number) == number);
        let Some(index) = open else {
            return ReplyOutcome::Ignored;
        };
        let OpenQuery { sent_at, peer, .. } = self.open_queries[index];
        // A peer that has just started replies again once it has a confirmation.
        if reply.age.is_some() || reply.failing {
            self.open_queries.swap_remove(index);
        }
        self.replied_at = Some(now);
        if reply.failing {
            self.unfit.insert(peer, now + self.interval * UNFIT_FACTOR);
        } else {
            self.unfit.remove(&peer);
        }
        let confirmed_at = reply.age.map(|age| {
            let age = age.saturating_mul(1000);
            Time::from_micros(sent_at.as_micros().saturating_sub(age))
        });
        self.peer_read_at = self.peer_read_at.max(confirmed_at);
        let is_calling = self.reading || self.fetching.is_some();
        if self.failures > 0 && !is_calling && self.is_outage_over() {
            self.end_pause();
        }
        let reported = self.reported.filter(|(_, until)| now < *until);
        if reported.is_none_or(|(newest, _)| newest <= reply.known.revision) {
            let until = now + self.interval * REPORT_FACTOR;
            self.reported = Some((reply.known.revision, until));
        }
        if reply.known.revision > revision {
            self.behind = Some(reply.known.revision);
            if let Some(confirmed_at) = confirmed_at {
                self.proof = Some((reply.known.revision, confirmed_at));
            }
            // A store that turns this node away is not called more often for it.
            if self.failures == 0 {
                self.read_at = Time::ZERO;
            }
            return ReplyOutcome::Behind;
        }
        let Some(confirmed_at) = confirmed_at else {
            return ReplyOutcome::Ignored;
        };
        self.era = self.era.max(reply.known.era());
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
    /// The latest change that a peer has reported.
    reported: Version,
    /// Whether the last report has restarted the watch.
    restarted: bool,
}

impl WatchProgress {
    /// Records a response of the store with all changes up to `seen`, the newest of them at `newest`, if any.
    pub fn on_answer(&mut self, seen: Version, newest: Option<Version>) {
        self.seen = self.seen.max(seen);
        self.newest = self.newest.max(newest.unwrap_or_default());
    }

    /// The version of the newest change, removals included.
    #[must_use]
    pub const fn newest(&self) -> Version {
        self.newest
    }

    /// Whether a peer has reported a change that has not been received.
    #[must_use]
    pub fn is_behind(&self) -> bool {
        self.reported > self.seen
    }

    /// Records the newest change known to a peer, and tells whether the watch should be restarted.
    ///
    /// A change may reach the peer slightly earlier, so the watch counts as
    /// stalled only at the second reply that reports a later change, and again at
    /// every other one. Replies of peers that do not know of it make no difference.
    pub fn on_peer_version(&mut self, newest: Version) -> bool {
        if newest <= self.seen {
            return false;
        }
        self.restarted = self.is_behind() && !self.restarted;
        self.reported = self.reported.max(newest);
        self.restarted
    }
}
