//! How the configuration reaches every node and never goes back.
//!
//! Few nodes of each data centre watch the platform. A node that has something
//! newer says so to its parent and children in the data centre's tree, and the
//! first of a data centre to those of the others; whoever lacks the body pulls
//! it from one peer, so that it crosses to each node once. Words to random
//! peers repair what the tree missed. Each word tells how long ago the platform
//! confirmed the revision, see [docs/design/fleet.md](../../../../docs/design/fleet.md)
//! for what a node does that hears none.

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

/// The peers that a node asks at a time which has no configuration or awaits a body in vain.
const FIRST_PEERS: usize = 3;

/// The texts before the one in force that are kept to make patches from.
const PAST_LIMIT: usize = 2;

/// A revision in force, with how long ago it was confirmed at some moment.
#[derive(Debug, Clone)]
struct Current {
    revision: Revision,
    text: Arc<str>,
    age: Option<Duration>,
    at: Time,
}

impl Current {
    fn age(&self, now: Time) -> Option<Duration> {
        self.age.map(|age| age.saturating_add(now.since(self.at)))
    }
}

/// A body under way.
#[derive(Debug, Clone)]
struct Pull {
    revision: Revision,
    until: Time,
}

/// The configuration as one node has it.
#[derive(Debug, Clone)]
pub struct ConfigReplica {
    me: VmId,
    settings: Settings,
    rng: ChaCha8Rng,
    tree: Tree,
    majority: bool,
    watching: bool,
    ready: bool,
    current: Option<Current>,
    past: VecDeque<(Revision, Arc<str>)>,
    pull: Option<Pull>,
    next_repair: Time,
    next_read: Time,
    outputs: Vec<Output>,
}

impl ConfigReplica {
    /// A node without any configuration yet.
    #[must_use]
    pub fn new(me: VmId, seed: u64, settings: Settings, now: Time) -> Self {
        let next_read = now + settings.pull_wait.get();
        Self {
            me,
            settings,
            rng: ChaCha8Rng::seed_from_u64(seed),
            tree: Tree::default(),
            majority: false,
            watching: false,
            ready: false,
            current: None,
            past: VecDeque::new(),
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

    /// Whether this node is to watch the platform.
    #[must_use]
    pub const fn is_watching(&self) -> bool {
        self.watching
    }

    /// Takes in the members that messages reach, this node included, and whether
    /// they are more than half of the fleet.
    pub fn on_members<'a, M>(&mut self, members: M, majority: bool, now: Time) -> Vec<Output>
    where
        M: IntoIterator<Item = (&'a VmId, &'a DataCentreId)>,
    {
        self.tree = Tree::new(&self.me, members);
        self.majority = majority;
        let watching = self.tree.is_among_first(self.settings.watchers);
        if watching != self.watching {
            self.watching = watching;
            self.outputs.push(Output::Watch(watching));
        }
        self.finish(now)
    }

    /// Takes in the object as the platform gave it.
    pub fn on_platform(&mut self, version: u64, text: &Arc<str>, now: Time) -> Vec<Output> {
        let revision = Revision::of(version, text);
        let age = Some(Duration::ZERO);
        match self.revision() {
            Some(ours) if ours == revision => self.confirm(age, None, now),
            Some(ours) if ours > revision => self.refuse(ours, revision),
            ours => {
                if ours.is_some_and(|ours| ours.version() == version) {
                    self.outputs.push(Output::Refused(Refusal::Clash(revision)));
                }
                self.adopt(revision, Arc::clone(text), age, None, now);
            }
        }
        self.finish(now)
    }

    /// Takes in that a watch for what is newer than `after` ended without news,
    /// while the store as a whole stood at `store`.
    ///
    /// It confirms the revision in force only if the watch would have shown it
    /// and the store has not gone back behind it.
    pub fn on_unchanged(&mut self, after: u64, store: u64, now: Time) -> Vec<Output> {
        let covered = |ours: Revision| ours.version() <= after && after <= store;
        if self.revision().is_some_and(covered) {
            self.confirm(Some(Duration::ZERO), None, now);
        }
        self.finish(now)
    }

    /// Takes in a message of a peer.
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

    /// Does what is due.
    pub fn on_tick(&mut self, now: Time) -> Vec<Output> {
        if self.pull.as_ref().is_some_and(|pull| pull.until <= now) {
            self.pull = None;
            self.repair(FIRST_PEERS, now);
        }
        if self.next_repair <= now {
            let count = if self.current.is_some() {
                1
            } else {
                FIRST_PEERS
            };
            self.repair(count, now);
        }
        if self.next_read <= now {
            self.next_read = now + self.settings.read_gap.get();
            if self.alone(now) {
                self.outputs.push(Output::Read);
            }
        }
        self.finish(now)
    }

    /// When [`on_tick`](Self::on_tick) has something to do next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        let pull = self.pull.as_ref().map_or(Time::NEVER, |pull| pull.until);
        let stale = self.stale_at().unwrap_or(Time::NEVER);
        pull.min(stale).min(self.next_repair).min(self.next_read)
    }

    fn on_have(&mut self, from: &VmId, theirs: Option<Revision>, age: Age, now: Time) {
        let ours = self.revision();
        match theirs {
            Some(wanted) if theirs > ours => self.want(from, wanted, now),
            _ if theirs == ours => self.on_same(from, age, now),
            _ => self.tell(from, now),
        }
    }

    /// Compares the ages of the same revision; a peer whose age is far older is told ours.
    fn on_same(&mut self, from: &VmId, age: Age, now: Time) {
        self.confirm(age.get(), Some(from), now);
        let gap = self.settings.confirm_gap.get();
        let behind = match (self.age(now).get(), age.get()) {
            (Some(ours), Some(theirs)) => theirs >= ours.saturating_add(gap),
            (ours, theirs) => ours.is_some() && theirs.is_none(),
        };
        if behind {
            self.tell(from, now);
        }
    }

    fn want(&mut self, from: &VmId, wanted: Revision, now: Time) {
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
        let old = self.past.iter().find(|(past, _)| Some(*past) == base);
        let message = match old {
            Some((base, old)) => {
                let patch = Patch::between(*base, old, &current.text);
                Message::Patch(current.revision, age, patch)
            }
            None => Message::Body(current.revision, age, Arc::clone(&current.text)),
        };
        self.send(from, message);
    }

    /// Takes in a patch; one that does not lead where it claims is answered by a pull of the whole.
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
            self.past.push_back((old.revision, old.text));
            let over = self.past.len().saturating_sub(PAST_LIMIT);
            self.past.drain(..over);
        }
        self.current = Some(Current {
            revision,
            text,
            age,
            at: now,
        });
        self.pass_on(from, now);
    }

    /// Takes in that the revision in force was confirmed so long ago.
    ///
    /// A confirmation that is hardly younger is dropped rather than kept: kept
    /// but not passed on, a row of such would starve the nodes further down.
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
        current.at = now;
        self.tell_tree(from, now);
    }

    /// Tells a new revision to the neighbours and the other data centres.
    fn pass_on(&mut self, from: Option<&VmId>, now: Time) {
        self.tell_tree(from, now);
        if from.is_none_or(|vm| !self.tree.is_remote(vm)) {
            for head in self.tree.remote_roots() {
                self.tell(&head, now);
            }
        }
    }

    /// Tells the neighbours what is in force, but not the one that told it.
    ///
    /// A mere confirmation stays in the data centre, which has watchers of its
    /// own; should they not reach the platform, the words to random peers bring it.
    fn tell_tree(&mut self, from: Option<&VmId>, now: Time) {
        let mut peers = self.tree.children(self.settings.fanout);
        peers.extend(self.tree.parent(self.settings.fanout));
        for peer in peers {
            if Some(&peer) != from {
                self.tell(&peer, now);
            }
        }
    }

    fn tell(&mut self, to: &VmId, now: Time) {
        let message = Message::Have(self.revision(), self.age(now));
        self.send(to, message);
    }

    fn send(&mut self, to: &VmId, message: Message) {
        let to = to.clone();
        self.outputs.push(Output::Send { to, message });
    }

    fn repair(&mut self, count: usize, now: Time) {
        let wait = if self.current.is_some() {
            self.settings.repair_period
        } else {
            self.settings.pull_wait
        };
        self.next_repair = now + wait.get();
        for _ in 0..count {
            if let Some(peer) = self.pick() {
                self.tell(&peer, now);
            }
        }
    }

    fn pick(&mut self) -> Option<VmId> {
        let count = self.tree.others(&self.me).count();
        if count == 0 {
            return None;
        }
        let index = self.rng.random_range(0..count);
        self.tree.others(&self.me).nth(index).cloned()
    }

    fn refuse(&mut self, ours: Revision, theirs: Revision) {
        let refusal = if ours.version() == theirs.version() {
            Refusal::Clash(theirs)
        } else {
            Refusal::Older(theirs)
        };
        self.outputs.push(Output::Refused(refusal));
    }

    /// Whether this node must ask the platform itself.
    fn alone(&self, now: Time) -> bool {
        self.current.is_none() || (!self.majority && !self.confirmed(now))
    }

    fn confirmed(&self, now: Time) -> bool {
        let age = self.current.as_ref().and_then(|current| current.age(now));
        age.is_some_and(|age| age < self.settings.stale_limit.get())
    }

    fn stale_at(&self) -> Option<Time> {
        let current = self.current.as_ref()?;
        let rest = self.settings.stale_limit.get().checked_sub(current.age?)?;
        (self.ready && !self.majority).then(|| current.at + rest)
    }

    /// A confirmed node is ready; one that is not, only while it sees most of the fleet.
    fn finish(&mut self, now: Time) -> Vec<Output> {
        let ready = self.current.is_some() && (self.majority || self.confirmed(now));
        if ready != self.ready {
            self.ready = ready;
            self.outputs.push(Output::Ready(ready));
        }
        std::mem::take(&mut self.outputs)
    }
}
