//! Quarantine of content that crashes upstreams, on all nodes.
//!
//! [`Detector`](catkinusher_core::poison::Detector) decides; this module carries
//! the reports of broken requests to the nodes that collect them, asks all nodes
//! about suspected content, and keeps what was condemned in the store, so that it
//! outlasts every process.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkinusher_core::confirm;
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::fleet::Fleet;
use catkinusher_core::id::{PartId, UpstreamId};
use catkinusher_core::object::Version;
use catkinusher_core::outcome::{Evidence, Outcome, Refusal};
use catkinusher_core::poison::{
    Condemned, Content, CrashReport, Finding, Findings, INQUIRY_INTERVAL, Inquiry, InquiryReply,
    Others, Permission, QuarantineEntry,
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
use super::supervise;
use super::trials::{self, NoTrial, Order};

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

/// The retry delay given to callers whose content is on trial, which mostly takes as long as an
/// upstream needs for two events.
const TRIAL_RETRY_AFTER: Span = Span::from_millis(500);

/// How often expired entries are removed from the store.
const CLEAN_PERIOD: Duration = Duration::from_mins(10);

/// The quarantine of some content, as the store keeps it under the content's fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct StoredEntry {
    /// The number of crashes that led to it.
    crashes: u32,
    /// When it ends, in Unix milliseconds, as each process has its own clock of elapsed time.
    until_ms: u64,
    /// The content, this one included, of which at least one crashes upstreams; empty if there is
    /// no other.
    #[serde(default)]
    alike: BTreeSet<Fingerprint>,
}

impl StoredEntry {
    fn new(condemned: Condemned) -> Self {
        let until_ms = unix_millis() + condemned.entry.life.get().as_millis() as u64;
        Self {
            crashes: condemned.entry.crashes(),
            until_ms,
            alike: condemned.alike,
        }
    }

    fn time_left(&self) -> Duration {
        Duration::from_millis(self.until_ms.saturating_sub(unix_millis()))
    }

    /// Whether it tells no less than another one of the same content.
    fn covers(&self, other: &Self) -> bool {
        !self.time_left().is_zero() && self.alike.len() <= other.alike.len()
    }

    fn condemned(&self, content: Fingerprint) -> Condemned {
        let left = Span::new(self.time_left());
        let mut alike = self.alike.clone();
        alike.insert(content);
        Condemned {
            entry: QuarantineEntry::proven(content, self.crashes, left),
            alike,
        }
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

    /// Refuses the request if any of its content crashes upstreams, and makes it a trial if
    /// that is not certain.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub(super) async fn wait_for_permission(&mut self) -> Result<(), Refusal> {
        let now = self.state.now();
        let permission = self.state.detector().check(&self.content, now);
        let Permission::Trial(content) = permission else {
            return self.check_quarantine();
        };
        if let Some(trial) = &self.trial {
            return if trial.covers(&content) {
                Ok(())
            } else {
                Err(self.trial_refusal())
            };
        }
        match self.state.begin_trial(content).await {
            Ok(trial) => {
                self.trial = Some(trial);
                Ok(())
            }
            Err(NoTrial::Busy) => Err(self.trial_refusal()),
            Err(NoTrial::Exhausted) => {
                let now = self.state.now();
                let left = self.state.detector().refused_for(&self.content, now);
                Err(self.quarantine_refusal(left.unwrap_or(TRIAL_RETRY_AFTER)))
            }
        }
    }

    /// Refuses the request if any of its content crashes upstreams, unless it is a trial.
    ///
    /// # Errors
    ///
    /// The refusal.
    pub(super) fn check_quarantine(&self) -> Result<(), Refusal> {
        let now = self.state.now();
        match self.state.detector().check(&self.content, now) {
            Permission::Run => Ok(()),
            Permission::Trial(content) => match &self.trial {
                Some(trial) if trial.covers(&content) => Ok(()),
                _ => Err(self.trial_refusal()),
            },
            Permission::Refuse { left } => Err(self.quarantine_refusal(left)),
        }
    }

    fn quarantine_refusal(&self, left: Span) -> Refusal {
        let refusal = Refusal::QuarantinedContent { left };
        self.history.refusal_after_attempts(refusal)
    }

    fn trial_refusal(&self) -> Refusal {
        let after = TRIAL_RETRY_AFTER;
        let refusal = Refusal::ContentOnTrial { after };
        self.history.refusal_after_attempts(refusal)
    }

    /// Records what was observed of an attempt.
    pub(super) fn on_evidence(&mut self, evidence: Evidence) {
        self.history.on_evidence(evidence);
        if let Some(trial) = &self.trial {
            trial.set_harmless(self.history.outcome() == Outcome::NotRun);
        }
    }

    /// Records that an upstream has answered the request without a crash.
    pub(super) fn on_answered(&self) {
        let now = self.state.now();
        let released = self.state.detector().on_answered(&self.content, now);
        if !released.is_empty() {
            self.state.trials.order(Order::Release(released));
        }
        if let Some(trial) = &self.trial {
            trial.set_harmless(true);
            trial.end();
        }
    }

    /// Ends a trial whose upstream has broken the request off.
    fn on_trial_broken_off(&self, begun: bool) {
        let Some(trial) = &self.trial else {
            return;
        };
        // An upstream that had not begun to answer may have crashed for another request.
        if begun {
            let now = self.state.now();
            let mut detector = self.state.detector();
            let condemned = detector.on_trial_crashed(trial.content(), now);
            drop(detector);
            self.state.trials.order(Order::Publish(condemned));
        }
        trial.end();
    }

    /// Reports that the connection to an upstream broke before the request was answered on it,
    /// as it does when the upstream crashes; `begun` tells whether the response had begun.
    ///
    /// While this node reaches no upstream, its own cut breaks connections.
    pub(super) fn on_broken_off(&self, upstream: &UpstreamId, begun: bool) {
        if self.state.is_cut_off() {
            return;
        }
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
            trial = self.trial.is_some(),
        );
        self.on_trial_broken_off(begun);
        let (Some(report), Some(socket)) = (report, self.state.socket()) else {
            return;
        };
        let collectors = self.state.collectors();
        for report in report.split() {
            for node in &collectors {
                if *node == self.state.settings.peers {
                    on_report(&self.state, &report);
                } else {
                    peers::send(socket, &Message::BrokenOff(report.clone()), *node);
                }
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
pub(super) fn on_entries<D>(state: &State<D>, entries: &[Condemned]) {
    let now = state.now();
    let new = state.detector().on_entries(entries, now);
    for content in new {
        info!(event = "quarantine", %content, outcome = "learned");
    }
}

/// Takes over an entry of the store; expired ones count as removed.
pub(super) fn on_stored<D>(state: &State<D>, content: Fingerprint, stored: &StoredEntry) {
    if !stored.time_left().is_zero() {
        on_entries(state, &[stored.condemned(content)]);
    }
}

/// Takes over that another node saw content answered.
pub(super) fn on_released<D>(state: &State<D>, content: &[Fingerprint]) {
    let now = state.now();
    let released = state.detector().on_released(content, now);
    for content in released {
        info!(event = "quarantine", %content, outcome = "released");
    }
}

/// Releases content whose entry was removed from the store.
pub(super) fn on_removed<D>(state: &State<D>, content: Fingerprint) {
    if state.detector().release(content) {
        info!(event = "quarantine", %content, outcome = "released");
    }
}

/// Brings the entries of a store that came back from an older copy up to date, as a node that
/// collects reports: those that it has lost, and those that it has again although their content
/// was answered since.
pub(super) fn on_restored<D>(state: &State<D>, listed: &BTreeSet<Fingerprint>) {
    if !state.collectors().contains(&state.settings.peers) {
        return;
    }
    let now = state.now();
    let detector = state.detector();
    let mut lost = detector.condemned(now);
    lost.retain(|one| !listed.contains(&one.entry.fingerprint));
    let released = listed.iter().filter(|one| detector.is_cleared(**one, now));
    let released: Vec<Fingerprint> = released.copied().collect();
    drop(detector);
    info!(
        event = "quarantine",
        lost = lost.len(),
        returned = released.len(),
        outcome = "restored"
    );
    if !lost.is_empty() {
        state.trials.order(Order::Publish(lost));
    }
    if !released.is_empty() {
        state.trials.order(Order::Release(released));
    }
}

/// Starts the tasks of a node that collects reports.
pub(super) fn start<D, S>(state: &Arc<State<D>>, store: &Store<S::Form>, socket: &Arc<UdpSocket>)
where
    D: Dialect,
    S: StoreSchema,
{
    let store = store.at(Priority::Status);
    trials::start::<D, S>(state, &store, socket);
    let (judging, socket) = (store.clone(), Arc::clone(socket));
    supervise::spawn(state, "quarantine", move |state| {
        judge::<D, S>(state, judging.clone(), Arc::clone(&socket))
    });
    supervise::spawn(state, "quarantine", move |state| {
        remove_expired::<D, S>(state, store.clone())
    });
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
            let others = {
                let roster = state.roster();
                Others {
                    registered: roster.len() - 1,
                    present: roster.present(clock::boot_time()),
                }
            };
            let Findings { inquiry, condemned } = state.detector().poll(others, now);
            if let Some(inquiry) = inquiry {
                info!(event = "quarantine", content = ?names(&inquiry.content), outcome = "suspected");
                state.broadcast(&socket, &Message::Inquiry(inquiry));
            }
            let life = state.detector().quarantine_time();
            for finding in condemned {
                let Finding {
                    content,
                    crashes,
                    alike,
                } = finding;
                info!(event = "quarantine", %content, crashes, alike = alike.len(), outcome = "condemned");
                let entry = QuarantineEntry::proven(content, crashes, life);
                publish::<D, S>(&state, &store, &socket, Condemned { entry, alike });
            }
            state.timers.after(INQUIRY_INTERVAL).await;
        }
    }
}

pub(super) fn names<'a, I>(content: I) -> Vec<String>
where
    I: IntoIterator<Item = &'a Fingerprint>,
{
    content.into_iter().map(Fingerprint::to_string).collect()
}

/// Tells all nodes and the store that content is condemned, unless it is released meanwhile.
pub(super) fn publish<D, S>(
    state: &Arc<State<D>>,
    store: &Store<S::Form>,
    socket: &Arc<UdpSocket>,
    condemned: Condemned,
) where
    D: Dialect,
    S: StoreSchema,
{
    let content = condemned.entry.fingerprint;
    let message = Message::Quarantined(vec![condemned.clone()]);
    let stored = StoredEntry::new(condemned);
    tokio::spawn({
        let (state, socket) = (Arc::clone(state), Arc::clone(socket));
        async move {
            let is_condemned = || state.detector().is_condemned(content, state.now());
            repeat(&state, &socket, &message, is_condemned).await;
        }
    });
    tokio::spawn(keep::<D, S>(
        Arc::clone(state),
        store.clone(),
        content,
        stored,
    ));
}

/// Tells all nodes something more than once, as datagrams may be lost, while it holds.
pub(super) async fn repeat<D, F>(
    state: &State<D>,
    socket: &UdpSocket,
    message: &Message,
    is_valid: F,
) where
    D: Dialect,
    F: Fn() -> bool,
{
    for _ in 0..ANNOUNCEMENTS {
        if !is_valid() {
            return;
        }
        state.broadcast(socket, message);
        state.timers.after(ANNOUNCE_INTERVAL).await;
    }
}

/// Removes released content from the store, and repeats that until the store has done it.
pub(super) async fn remove<D, S>(state: &State<D>, store: &Store<S::Form>, content: &[Fingerprint])
where
    D: Dialect,
    S: StoreSchema,
{
    for one in content {
        let mut failures = 0;
        while let Err(error) = store.delete(S::QUARANTINE, &one.to_string(), None).await {
            if failures == 0 {
                warn!(event = "quarantine", content = %one, outcome = "not-removed", %error);
            }
            let pause = RETRY_PAUSE * (1 << failures.min(MAX_DOUBLINGS));
            failures += 1;
            state.timers.after(pause).await;
        }
    }
}

/// Writes an entry to the store, and repeats that until the store has it or it is released.
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
    while state.detector().is_condemned(content, state.now()) {
        match store.create(S::QUARANTINE, &name, &stored).await {
            Ok(_) => return,
            Err(Error::Conflict { standing }) => {
                if replace_outdated::<S>(&store, &name, &stored, standing).await {
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

/// Replaces an entry of the store that has expired or tells less, and returns whether the store
/// has a valid one.
async fn replace_outdated<S>(
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
        Ok(Some(object)) if object.value.covers(stored) => true,
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
                && let Err(error) = store.delete(S::TRIALS, &object.name, None).await
            {
                debug!(
                    "quarantine: cannot remove the trials of `{}`: {error}",
                    object.name
                );
            }
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
