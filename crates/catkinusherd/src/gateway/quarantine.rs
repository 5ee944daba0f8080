//! Quarantine of content that crashes upstreams, on all nodes.
//!
//! [`Detector`](catkinusher_core::poison::Detector) decides; this module carries
//! the reports of broken requests to the nodes that collect them, asks all nodes
//! about suspected content, and keeps what was condemned in the store, so that it
//! outlasts every process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkinusher_core::confirm;
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::fleet::Fleet;
use catkinusher_core::id::{PartId, UpstreamId};
use catkinusher_core::object::Version;
use catkinusher_core::outcome::Refusal;
use catkinusher_core::poison::{
    Content, CrashReport, Findings, INQUIRY_INTERVAL, Inquiry, InquiryReply, QuarantineEntry,
};
use catkinusher_core::rendezvous::Salt;
use catkinusher_core::units::Span;
use catkinusher_platform::{Error, Priority, Store};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tracing::{debug, info, warn};

use super::clock;
use super::dialect::{Dialect, StoreSchema};
use super::handle::Job;
use super::peers::{self, Message};
use super::state::State;

const SALT: Salt = Salt::new(0x706f_6973);

/// The nodes that collect reports; a second one goes on if the first is lost.
const COLLECTORS: usize = 2;

/// The pause after the first failed write.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The most doublings of that pause.
const MAX_DOUBLINGS: u32 = 4;

/// How often all nodes are told about an entry.
const ANNOUNCEMENTS: u32 = 3;

/// The time between two announcements.
const ANNOUNCE_INTERVAL: Duration = Duration::from_millis(300);

/// How often expired entries are removed from the store.
const CLEAN_PERIOD: Duration = Duration::from_mins(10);

/// The quarantine of some content, as the store keeps it under the content's fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredEntry {
    /// The number of crashes that led to it.
    crashes: u32,
    /// When it ends, in Unix milliseconds, as each process has its own clock of elapsed time.
    until_ms: u64,
}

impl StoredEntry {
    fn time_left(&self) -> Duration {
        Duration::from_millis(self.until_ms.saturating_sub(unix_millis()))
    }
}

fn unix_millis() -> u64 {
    // A clock before 1970 makes all entries look as if they were just made.
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}

impl<D> State<D> {
    /// The nodes that collect reports of broken requests: those that also read the store, as all
    /// nodes notice soon when one of these is lost.
    fn collectors(&self) -> Vec<SocketAddr> {
        self.roster()
            .holders(&confirm::duty(), COLLECTORS, clock::boot_time())
    }

    /// Sends a message to all other nodes.
    fn broadcast(&self, socket: &UdpSocket, message: &Message) {
        let peers = self.roster().peers();
        for peer in peers {
            peers::send(socket, message, peer);
        }
    }
}

impl<D> Job<D>
where
    D: Dialect,
{
    /// Computes the fingerprints of what other requests may have in common with this one.
    pub(super) fn fingerprint_content(&mut self) {
        let target = self.head.uri.path_and_query();
        let content = Content {
            customer: self.customer.as_ref().map(|customer| &customer.name),
            target: target.map_or("", |target| target.as_str()),
            body: &self.body,
            shared: &self.ask.shared_parts,
            own: self.ask.own_part.as_ref(),
        };
        self.content = content.fingerprints();
    }

    /// Refuses the request if any of its content crashes upstreams.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub(super) fn check_quarantine(&self) -> Result<(), Refusal> {
        let now = self.state.now();
        match self.state.detector().refused_for(&self.content, now) {
            Some(left) => Err(self
                .history
                .refusal_after_attempts(Refusal::QuarantinedContent { left })),
            None => Ok(()),
        }
    }

    /// Records that an upstream has answered the request without a crash.
    pub(super) fn on_answered(&self) {
        let now = self.state.now();
        self.state.detector().on_answered(&self.content, now);
    }

    /// Reports that the connection to an upstream broke before the request was answered on it,
    /// as it does when the upstream crashes; `begun` tells whether the response had begun.
    pub(super) fn on_broken_off(&self, upstream: &UpstreamId, begun: bool) {
        let now = self.state.now();
        let request = SALT.score("request", self.request_id());
        let short_id = Fleet::short_id(upstream);
        let report = self
            .state
            .detector()
            .report(short_id, request, &self.content, begun, now);
        info!(
            event = "broken-off",
            request = self.request_id(),
            upstream = %upstream,
            begun,
            parts = ?self.ask.shared_parts.iter().map(PartId::as_str).collect::<Vec<_>>(),
            unknown = report.as_ref().map_or(0, |report| report.parts.len()),
        );
        let (Some(report), Some(socket)) = (report, self.state.socket()) else {
            return;
        };
        for node in self.state.collectors() {
            if node == self.state.settings.peers {
                on_report(&self.state, &report);
            } else {
                peers::send(socket, &Message::BrokenOff(report.clone()), node);
            }
        }
    }
}

/// Handles a report of a broken request, as a node that collects them.
pub(super) fn on_report<D>(state: &State<D>, report: &CrashReport) {
    let now = state.now();
    let mut detector = state.detector();
    detector.on_report(report, now);
    let has_suspected = detector.has_suspected();
    drop(detector);
    if has_suspected {
        state.notifiers.suspected.notify_one();
    }
}

/// Answers a question about suspected content.
pub(super) fn on_inquiry<D>(
    state: &State<D>,
    socket: &UdpSocket,
    inquiry: &Inquiry,
    from: SocketAddr,
) {
    let reply = state.detector().reply(inquiry, state.now());
    peers::send(socket, &Message::InquiryReply(reply), from);
}

/// Handles the answer to such a question.
pub(super) fn on_reply<D>(state: &State<D>, reply: &InquiryReply, from: SocketAddr) {
    let now = state.now();
    state.detector().on_reply(reply, from, now);
}

/// Takes over entries of another node or of the store.
pub(super) fn on_entries<D>(state: &State<D>, entries: &[QuarantineEntry]) {
    let now = state.now();
    let new = state.detector().on_entries(entries, now);
    for content in new {
        info!(event = "quarantine", %content, outcome = "learned");
    }
}

/// Takes over an entry of the store; expired ones count as removed.
pub(super) fn on_stored<D>(state: &State<D>, content: Fingerprint, stored: StoredEntry) {
    let left = stored.time_left();
    if left.is_zero() {
        return;
    }
    let entry = QuarantineEntry::proven(content, stored.crashes, Span::new(left));
    on_entries(state, &[entry]);
}

/// Releases content whose entry was removed from the store.
pub(super) fn on_removed<D>(state: &State<D>, content: Fingerprint) {
    if state.detector().release(content) {
        info!(event = "quarantine", %content, outcome = "released");
    }
}

/// Starts the tasks of a node that collects reports.
pub(super) fn start<D, S>(state: &Arc<State<D>>, store: &Store<S::Form>, socket: &Arc<UdpSocket>)
where
    D: Dialect,
    S: StoreSchema,
{
    tokio::spawn(judge::<D, S>(
        Arc::clone(state),
        store.at(Priority::Status),
        Arc::clone(socket),
    ));
    tokio::spawn(remove_expired::<D, S>(
        Arc::clone(state),
        store.at(Priority::Status),
    ));
}

/// Asks all nodes about suspected content, and condemns what none of them knows to be sound.
async fn judge<D, S>(state: Arc<State<D>>, store: Store<S::Form>, socket: Arc<UdpSocket>)
where
    D: Dialect,
    S: StoreSchema,
{
    loop {
        state.notifiers.suspected.notified().await;
        while state.detector().has_suspected() {
            let now = state.now();
            let others = state.roster().len() - 1;
            let Findings { inquiry, condemned } = state.detector().poll(others, now);
            if let Some(inquiry) = inquiry {
                info!(event = "quarantine", content = ?names(&inquiry.content), outcome = "suspected");
                state.broadcast(&socket, &Message::Inquiry(inquiry));
            }
            for (content, crashes) in condemned {
                info!(event = "quarantine", %content, crashes, outcome = "condemned");
                let time = state.detector().quarantine_time();
                let until_ms = unix_millis() + time.get().as_millis() as u64;
                let stored = StoredEntry { crashes, until_ms };
                tokio::spawn(announce(
                    Arc::clone(&state),
                    Arc::clone(&socket),
                    content,
                    stored,
                ));
                tokio::spawn(keep::<D, S>(
                    Arc::clone(&state),
                    store.clone(),
                    content,
                    stored,
                ));
            }
            state.timers.after(INQUIRY_INTERVAL).await;
        }
    }
}

fn names(content: &[Fingerprint]) -> Vec<String> {
    content.iter().map(Fingerprint::to_string).collect()
}

/// Tells all nodes about an entry, more than once, as datagrams may be lost.
async fn announce<D>(
    state: Arc<State<D>>,
    socket: Arc<UdpSocket>,
    content: Fingerprint,
    stored: StoredEntry,
) where
    D: Dialect,
{
    for _ in 0..ANNOUNCEMENTS {
        let left = Span::new(stored.time_left());
        let entry = QuarantineEntry::proven(content, stored.crashes, left);
        state.broadcast(&socket, &Message::Quarantined(vec![entry]));
        state.timers.after(ANNOUNCE_INTERVAL).await;
    }
}

/// Writes an entry to the store, and repeats that until the store has it.
async fn keep<D, S>(
    state: Arc<State<D>>,
    store: Store<S::Form>,
    content: Fingerprint,
    stored: StoredEntry,
) where
    S: StoreSchema,
{
    let name = content.to_string();
    let mut failures = 0;
    while !stored.time_left().is_zero() {
        match store.create(S::QUARANTINE, &name, &stored).await {
            Ok(_) => return,
            Err(Error::Conflict { standing }) => {
                if replace_expired::<S>(&store, &name, &stored, standing).await {
                    return;
                }
                state.timers.after(RETRY_PAUSE).await;
            }
            Err(error) => {
                if failures == 0 {
                    warn!(event = "quarantine", %content, outcome = "not-stored", %error);
                }
                let pause = RETRY_PAUSE * (1 << failures.min(MAX_DOUBLINGS));
                failures += 1;
                state.timers.after(pause).await;
            }
        }
    }
}

/// Replaces an entry of the store that has expired, and returns whether the store has a valid one.
async fn replace_expired<S>(
    store: &Store<S::Form>,
    name: &str,
    stored: &StoredEntry,
    standing: Version,
) -> bool
where
    S: StoreSchema,
{
    match store.get::<StoredEntry>(S::QUARANTINE, name).await {
        // Another node that collects reports was first.
        Ok(Some(object)) if !object.value.time_left().is_zero() => true,
        // An entry that cannot be read tells nothing.
        Ok(Some(_)) | Err(Error::Bad(_)) => {
            let updated = store.update(S::QUARANTINE, name, stored, standing).await;
            updated.is_ok()
        }
        Ok(None) | Err(_) => false,
    }
}

/// Removes expired entries from the store, while this node is the first that collects reports.
async fn remove_expired<D, S>(state: Arc<State<D>>, store: Store<S::Form>)
where
    D: Dialect,
    S: StoreSchema,
{
    loop {
        state.timers.after(CLEAN_PERIOD).await;
        if state.collectors().first() != Some(&state.settings.peers) {
            continue;
        }
        let listing = match store.stale().list::<StoredEntry>(S::QUARANTINE, "").await {
            Ok(listing) => listing,
            Err(error) => {
                debug!("quarantine: cannot list the entries: {error}");
                continue;
            }
        };
        for object in listing.objects {
            if object.value.time_left().is_zero()
                && let Err(error) = store
                    .delete(S::QUARANTINE, &object.name, Some(object.version))
                    .await
            {
                debug!("quarantine: cannot remove `{}`: {error}", object.name);
            }
        }
    }
}
