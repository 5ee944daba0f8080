//! Distributes the configuration to every node; its revision never goes back.
//!
//! A few nodes in each data centre watch the platform. A node that adopts a newer
//! revision announces it to its parent and children in the data centre's tree and,
//! unless it came from another data centre, to the roots of the others. A node
//! that lacks the body pulls it from one peer, so that it is sent to each node
//! once. Anti-entropy messages to random peers repair what the tree missed. Each
//! message says how long ago the platform confirmed the revision;
//! [docs/design/fleet.md](../../../../docs/design/fleet.md) describes what a node
//! does that gets no confirmation.

mod message;
mod patch;
mod settings;

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

pub use self::message::{Age, Message, Output, Refusal, Revision};
pub use self::patch::Patch;
pub use self::settings::Settings;
use crate::id::{DataCentreId, VmId};
use crate::rendezvous::Tree;
use crate::time::Time;

/// The number of peers that a node contacts at a time while it has no configuration, or when
/// a pull has timed out.
const BOOTSTRAP_PEERS: usize = 3;

/// The number of earlier texts that are kept as bases of patches.
const MAX_PATCH_BASES: usize = 2;

/// The revision in force, with the age of its confirmation at the time `measured_at`.
#[derive(Debug, Clone)]
struct Current {
    revision: Revision,
    text: Arc<str>,
    age: Option<Duration>,
    measured_at: Time,
}

impl Current {
    fn age(&self, now: Time) -> Option<Duration> {
        self.age
            .map(|age| age.saturating_add(now.since(self.measured_at)))
    }
}

/// A body that has been requested.
#[derive(Debug, Clone)]
struct Pull {
    revision: Revision,
    until: Time,
}

/// One node's replica of the configuration.
#[derive(Debug, Clone)]
pub struct ConfigReplica {
    me: VmId,
    settings: Settings,
    rng: ChaCha8Rng,
    tree: Tree,
    has_majority: bool,
    watching: bool,
    ready: bool,
    current: Option<Current>,
    patch_bases: VecDeque<(Revision, Arc<str>)>,
    pull: Option<Pull>,
    next_repair: Time,
    next_read: Time,
    outputs: Vec<Output>,
}

impl ConfigReplica {
    /// Creates a replica without any configuration.
    #[must_use]
    pub fn new(me: VmId, seed: u64, settings: Settings, now: Time) -> Self {
        let next_read = now + settings.pull_wait.get();
        Self {
            me,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tree: Tree::default(),
            has_majority: false,
            watching: false,
            ready: false,
            current: None,
            patch_bases: VecDeque::new(),
            pull: None,
            next_repair: now,
            next_read,
            outputs: Vec::new(),
        }
    }

    /// The revision in force on this node.
    #[must_use]
    pub fn revision(&self) -> Option<Revision> {
        self.current.as_ref().map(|current| current.revision)
    }

    /// How long ago the platform confirmed it.
    #[must_use]
    pub fn age(&self, now: Time) -> Age {
        let age = self.current.as_ref().and_then(|current| current.age(now));
        age.map_or(Age::UNKNOWN, Age::new)
    }

    /// Whether this node may take new work.
    #[must_use]
    pub const fn is_ready(&self) -> bool {
        self.ready
    }

    /// Whether this node must watch the platform.
    #[must_use]
    pub const fn is_watching(&self) -> bool {
        self.watching
    }

    /// Handles a change of the reachable members, which include this node.
    ///
    /// `majority` says whether they are more than half of the fleet.
    pub fn on_members<'a, M>(&mut self, members: M, majority: bool, now: Time) -> Vec<Output>
    where
        M: IntoIterator<Item = (&'a VmId, &'a DataCentreId)>,
    {
        self.tree = Tree::new(&self.me, members);
        self.has_majority = majority;
        let watching = self.tree.is_among_first(self.settings.watchers);
        if watching != self.watching {
            self.watching = watching;
            self.outputs.push(Output::Watch(watching));
        }
        self.finish(now)
    }

    /// Handles the object as read from the platform.
    pub fn on_platform(&mut self, version: u64, text: &Arc<str>, now: Time) -> Vec<Output> {
        let revision = Revision::of(version, text);
        let age = Some(Duration::ZERO);
        match self.revision() {
            Some(ours) if ours == revision => self.confirm(age, None, now),
            Some(ours) if ours > revision => self.report_refusal(ours, revision),
            ours => {
                if ours.is_some_and(|ours| ours.version() == version) {
                    self.outputs.push(Output::Refused(Refusal::Clash(revision)));
                }
                self.adopt(revision, Arc::clone(text), age, None, now);
            }
        }
        self.finish(now)
    }

    /// Handles that a watch for versions after `after` ended without a change, while the
    /// store as a whole was at version `store`.
    ///
    /// This confirms the revision in force only if the watch began at its version or later
    /// and the store has not gone back behind the watch.
    pub fn on_unchanged(&mut self, after: u64, store: u64, now: Time) -> Vec<Output> {
        let covered = |ours: Revision| ours.version() <= after && after <= store;
        if self.revision().is_some_and(covered) {
            self.confirm(Some(Duration::ZERO), None, now);
        }
        self.finish(now)
    }

    /// Handles a message from a peer.
    pub fn on_message(&mut self, from: &VmId, message: Message, now: Time) -> Vec<Output> {
        match message {
            Message::Have(theirs, age) => self.on_have(from, theirs, age, now),
            Message::Pull(wanted, base) => self.on_pull(from, wanted, base, now),
            Message::Body(revision, age, text) => self.on_body(from, revision, age, &text, now),
            Message::Patch(revision, age, patch) => {
                self.on_patch(from, revision, age, &patch, now);
            }
        }
        self.finish(now)
    }

    /// Runs the timers that are due.
    pub fn on_tick(&mut self, now: Time) -> Vec<Output> {
        if self.pull.as_ref().is_some_and(|pull| pull.until <= now) {
            self.pull = None;
            self.repair(BOOTSTRAP_PEERS, now);
        }
        if self.next_repair <= now {
            let count = if self.current.is_some() {
                1
            } else {
                BOOTSTRAP_PEERS
            };
            self.repair(count, now);
        }
        if self.next_read <= now {
            self.next_read = now + self.settings.read_gap.get();
            if self.must_read_platform(now) {
                self.outputs.push(Output::Read);
            }
        }
        self.finish(now)
    }

    /// When [`on_tick`](Self::on_tick) must be called next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        let pull = self.pull.as_ref().map_or(Time::NEVER, |pull| pull.until);
        let stale = self.stale_at().unwrap_or(Time::NEVER);
        pull.min(stale).min(self.next_repair).min(self.next_read)
    }

    fn on_have(&mut self, from: &VmId, theirs: Option<Revision>, age: Age, now: Time) {
        let ours = self.revision();
        match theirs {
            Some(wanted) if theirs > ours => self.request(from, wanted, now),
            _ if theirs == ours => self.compare_ages(from, age, now),
            _ => self.send_have(from, now),
        }
    }

    /// Compares the ages of the same revision; a peer that is behind by `confirm_gap` is sent ours.
    fn compare_ages(&mut self, from: &VmId, age: Age, now: Time) {
        self.confirm(age.get(), Some(from), now);
        let gap = self.settings.confirm_gap.get();
        let behind = match (self.age(now).get(), age.get()) {
            (Some(ours), Some(theirs)) => theirs >= ours.saturating_add(gap),
            (ours, theirs) => ours.is_some() && theirs.is_none(),
        };
        if behind {
            self.send_have(from, now);
        }
    }

    /// Pulls a revision from the peer, unless a pull of that one or of a newer one is pending.
    fn request(&mut self, from: &VmId, wanted: Revision, now: Time) {
        if self
            .pull
            .as_ref()
            .is_some_and(|pull| pull.revision >= wanted)
        {
            return;
        }
        let base = self.revision();
        self.pull_from(from, wanted, base, now);
    }

    fn pull_from(&mut self, from: &VmId, wanted: Revision, base: Option<Revision>, now: Time) {
        let until = now + self.settings.pull_wait.get();
        self.pull = Some(Pull {
            revision: wanted,
            until,
        });
        self.send(from, Message::Pull(wanted, base));
    }

    fn on_pull(&mut self, from: &VmId, wanted: Revision, base: Option<Revision>, now: Time) {
        let age = self.age(now);
        let Some(current) = self.current.as_ref().filter(|c| c.revision >= wanted) else {
            return;
        };
        let base_text = self
            .patch_bases
            .iter()
            .find(|(past, _)| Some(*past) == base);
        let message = match base_text {
            Some((base, old)) => {
                let patch = Patch::between(*base, old, &current.text);
                Message::Patch(current.revision, age, patch)
            }
            None => Message::Body(current.revision, age, Arc::clone(&current.text)),
        };
        self.send(from, message);
    }

    /// Handles a patch; if it does not yield the claimed revision, the whole body is pulled.
    fn on_patch(&mut self, from: &VmId, revision: Revision, age: Age, patch: &Patch, now: Time) {
        if self.revision() >= Some(revision) {
            return;
        }
        let text = self
            .current
            .as_ref()
            .filter(|current| current.revision == patch.base)
            .and_then(|current| patch.apply(&current.text))
            .filter(|text| Revision::of(revision.version(), text) == revision);
        match text {
            Some(text) => self.on_body(from, revision, age, &text, now),
            None => self.pull_from(from, revision, None, now),
        }
    }

    fn on_body(&mut self, from: &VmId, revision: Revision, age: Age, text: &Arc<str>, now: Time) {
        if text.len() as u64 > self.settings.body_limit.get() {
            self.outputs
                .push(Output::Refused(Refusal::TooLarge(revision)));
            return;
        }
        if Revision::of(revision.version(), text) != revision {
            self.outputs
                .push(Output::Refused(Refusal::Corrupt(revision)));
            return;
        }
        let ours = self.revision();
        if ours == Some(revision) {
            self.confirm(age.get(), Some(from), now);
        } else if ours < Some(revision) {
            self.adopt(revision, Arc::clone(text), age.get(), Some(from), now);
        }
    }

    fn adopt(
        &mut self,
        revision: Revision,
        text: Arc<str>,
        age: Option<Duration>,
        from: Option<&VmId>,
        now: Time,
    ) {
        if self
            .pull
            .as_ref()
            .is_some_and(|pull| pull.revision <= revision)
        {
            self.pull = None;
        }
        let adopted = Output::Adopt(revision, Arc::clone(&text));
        self.outputs.push(adopted);
        if let Some(old) = self.current.take() {
            self.patch_bases.push_back((old.revision, old.text));
            let over = self.patch_bases.len().saturating_sub(MAX_PATCH_BASES);
            self.patch_bases.drain(..over);
        }
        self.current = Some(Current {
            revision,
            text,
            age,
            measured_at: now,
        });
        self.announce(from, now);
    }

    /// Handles a confirmation of the revision in force.
    ///
    /// One that is not younger by `confirm_gap` is dropped, not stored. If it were stored but
    /// not forwarded, a series of such confirmations would starve the nodes further down the
    /// tree.
    fn confirm(&mut self, age: Option<Duration>, from: Option<&VmId>, now: Time) {
        let gap = self.settings.confirm_gap.get();
        let (Some(current), Some(age)) = (&mut self.current, age) else {
            return;
        };
        let known = current.age(now);
        if known.is_some_and(|known| known < age.saturating_add(gap)) {
            return;
        }
        current.age = Some(age);
        current.measured_at = now;
        self.announce_to_neighbours(from, now);
    }

    /// Announces a new revision to the neighbours in the tree and to the other data centres.
    fn announce(&mut self, from: Option<&VmId>, now: Time) {
        self.announce_to_neighbours(from, now);
        if from.is_none_or(|vm| !self.tree.is_remote(vm)) {
            for root in self.tree.remote_roots() {
                self.send_have(&root, now);
            }
        }
    }

    /// Announces the revision in force to the neighbours, except the one that it came from.
    ///
    /// Confirmations are not announced to other data centres, which have watchers of their
    /// own. If those don't reach the platform, anti-entropy messages deliver the confirmation.
    fn announce_to_neighbours(&mut self, from: Option<&VmId>, now: Time) {
        let mut peers = self.tree.children(self.settings.fanout);
        peers.extend(self.tree.parent(self.settings.fanout));
        for peer in peers {
            if Some(&peer) != from {
                self.send_have(&peer, now);
            }
        }
    }

    fn send_have(&mut self, to: &VmId, now: Time) {
        let message = Message::Have(self.revision(), self.age(now));
        self.send(to, message);
    }

    fn send(&mut self, to: &VmId, message: Message) {
        let to = to.clone();
        self.outputs.push(Output::Send { to, message });
    }

    /// Sends anti-entropy messages to random peers and schedules the next round.
    fn repair(&mut self, count: usize, now: Time) {
        let wait = if self.current.is_some() {
            self.settings.repair_period
        } else {
            self.settings.pull_wait
        };
        self.next_repair = now + wait.get();
        for _ in 0..count {
            if let Some(peer) = self.random_peer() {
                self.send_have(&peer, now);
            }
        }
    }

    fn random_peer(&mut self) -> Option<VmId> {
        let count = self.tree.others(&self.me).count();
        if count == 0 {
            return None;
        }
        let index = self.rng.random_range(0..count);
        self.tree.others(&self.me).nth(index).cloned()
    }

    fn report_refusal(&mut self, ours: Revision, theirs: Revision) {
        let refusal = if ours.version() == theirs.version() {
            Refusal::Clash(theirs)
        } else {
            Refusal::Older(theirs)
        };
        self.outputs.push(Output::Refused(refusal));
    }

    /// Whether this node must read the platform itself.
    ///
    /// It must if it has no configuration, or neither a majority nor a recent confirmation.
    fn must_read_platform(&self, now: Time) -> bool {
        self.current.is_none() || (!self.has_majority && !self.is_confirmed(now))
    }

    fn is_confirmed(&self, now: Time) -> bool {
        let age = self.current.as_ref().and_then(|current| current.age(now));
        age.is_some_and(|age| age < self.settings.stale_limit.get())
    }

    fn stale_at(&self) -> Option<Time> {
        let current = self.current.as_ref()?;
        let time_left = self.settings.stale_limit.get().checked_sub(current.age?)?;
        (self.ready && !self.has_majority).then(|| current.measured_at + time_left)
    }

    /// Updates readiness and returns the pending outputs.
    ///
    /// A node is ready if it has a revision that was confirmed recently, or one and a majority.
    fn finish(&mut self, now: Time) -> Vec<Output> {
        let ready = self.current.is_some() && (self.has_majority || self.is_confirmed(now));
        if ready != self.ready {
            self.ready = ready;
            self.outputs.push(Output::Ready(ready));
        }
        std::mem::take(&mut self.outputs)
    }
}
