//! How every node learns, coarsely, how all upstreams fare.
//!
//! Full digests of 600 upstreams to 360 nodes do not fit the bytes that a node
//! may spend, so they are cut to what a choice needs. In each data centre coarse
//! digests go up a binary tree to its first node and down again to all. The
//! first starts a wave down each period; late in the period the leaves answer,
//! and each node above passes on once its children have answered, so that what
//! comes down with the next wave is young. Full digests take turns, a few in
//! each batch. Between data centres go sums by service, a few in turn too. The answer of an owner to a request for a permit
//! tells the exact state, so a stale digest costs a second question, no more.
//! The sizes are worked out in [docs/CAPACITY.md](../../../../docs/CAPACITY.md).

mod batch;
mod coarse;
mod known;
mod settings;
mod turn;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use self::batch::{Batch, DigestAge, DigestEntry, OutgoingBatch, SummaryEntry};
pub use self::coarse::{CoarseDigest, FullDigest, NameHash, Rollup};
use self::known::{Known, index_of, keep_newer, pick};
pub use self::settings::Settings;
use self::turn::{Chosen, Turns};
use crate::id::{DataCentreId, VmId};
use crate::rendezvous::Tree;
use crate::time::Time;

/// The children of a node in the tree.
const FANOUT: usize = 2;

/// How many times longer a full digest counts than a coarse one, since its turn comes seldom.
const DETAIL_KEEP: u32 = 16;

/// A sum of the coarse digests of one service in one data centre.
pub trait Summary<C>: Clone + Default {
    /// Takes one more upstream in.
    fn add(&mut self, coarse: &C);
}

/// When the leaves answer a wave, in hundredths of the period after it.
const LEAF_ANSWER: u32 = 80;

/// When the nodes above answer though not all of their children have.
const LATE_ANSWER: u32 = 95;

/// After how many periods without a wave a node starts one for those below it.
const LOST_WAVE: u32 = 2;

/// What one node knows of all upstreams: `C` coarse, `D` full, `S` summed over a service `G`.
#[derive(Debug, Clone)]
pub struct Digests<K, C, D, G, S> {
    me: VmId,
    settings: Settings,
    tree: Tree,
    home: Option<DataCentreId>,
    groups: BTreeMap<K, G>,
    near: BTreeMap<K, Known<C>>,
    detail: BTreeMap<K, Known<D>>,
    far: BTreeMap<(DataCentreId, G), Known<S>>,
    ups: Turns<K, G>,
    downs: Turns<K, G>,
    waves: u32,
    waiting: BTreeSet<VmId>,
    next_wave: Time,
    next_up: Time,
}

impl<K, C, D, G, S> Digests<K, C, D, G, S>
where
    K: Ord + Clone,
    C: Clone + for<'a> From<&'a D>,
    D: Clone,
    G: Ord + Clone,
    S: Summary<C>,
{
    /// A node that knows of no upstream yet.
    #[must_use]
    pub fn new(me: VmId, settings: Settings, now: Time) -> Self {
        Self {
            me,
            settings,
            tree: Tree::default(),
            home: None,
            groups: BTreeMap::new(),
            near: BTreeMap::new(),
            detail: BTreeMap::new(),
            far: BTreeMap::new(),
            ups: Turns::new(),
            downs: Turns::new(),
            waves: 0,
            waiting: BTreeSet::new(),
            next_wave: now,
            next_up: Time::NEVER,
        }
    }

    /// Takes in the members that messages reach, this node included.
    pub fn on_members<'a, M>(&mut self, members: M)
    where
        M: IntoIterator<Item = (&'a VmId, &'a DataCentreId)>,
    {
        let members: Vec<_> = members.into_iter().collect();
        let mine = members.iter().find(|(vm, _)| **vm == self.me);
        self.home = mine.map(|(_, data_centre)| (*data_centre).clone());
        self.tree = Tree::new(&self.me, members);
    }

    /// Takes in which upstreams there are, each with its service; others are forgotten.
    pub fn set_groups(&mut self, groups: BTreeMap<K, G>) {
        self.near.retain(|key, _| groups.contains_key(key));
        self.detail.retain(|key, _| groups.contains_key(key));
        self.groups = groups;
    }

    /// Takes in how an upstream fares that this node owns; to be called at least each period.
    pub fn on_own_digest(&mut self, key: K, detail: D, now: Time) {
        let coarse = C::from(&detail);
        self.near.insert(key.clone(), Known::own(coarse, now));
        self.detail.insert(key, Known::own(detail, now));
    }

    /// Takes in a batch of a peer, and passes a wave on.
    pub fn on_batch(
        &mut self,
        from: &VmId,
        batch: Batch<K, C, D, G, S>,
        now: Time,
    ) -> Vec<OutgoingBatch<K, C, D, G, S>> {
        let up = batch.upward;
        let parent = !up && self.tree.parent(FANOUT).as_ref() == Some(from);
        let brought = parent.then(|| Chosen::of(&batch));
        self.absorb(batch, now);
        if let Some(chosen) = brought {
            return self.wave(&chosen, now);
        }
        if up && self.waiting.remove(from) && self.waiting.is_empty() {
            return self.answer(now);
        }
        Vec::new()
    }

    fn absorb(&mut self, batch: Batch<K, C, D, G, S>, now: Time) {
        let up = batch.upward;
        for DigestEntry(key, age, coarse) in batch.near {
            if self.groups.contains_key(&key) {
                let known = Known::heard(coarse, age, up, now);
                keep_newer(&mut self.near, key, known);
            }
        }
        for DigestEntry(key, age, detail) in batch.detail {
            if self.groups.contains_key(&key) {
                let known = Known::heard(detail, age, up, now);
                keep_newer(&mut self.detail, key, known);
            }
        }
        for SummaryEntry(index, group, age, sum) in batch.far {
            if let Some(data_centre) = batch.data_centres.get(usize::from(index))
                && Some(data_centre) != self.home.as_ref()
            {
                let known = Known::heard(sum, age, up, now);
                keep_newer(&mut self.far, (data_centre.clone(), group), known);
            }
        }
    }

    /// Sends what is due.
    pub fn on_tick(&mut self, now: Time) -> Vec<OutgoingBatch<K, C, D, G, S>> {
        let mut sends = Vec::new();
        if now >= self.next_up {
            sends.extend(self.answer(now));
        }
        if now >= self.next_wave {
            let chosen = self.choose_down();
            sends.extend(self.wave(&chosen, now));
        }
        sends
    }

    /// When [`on_tick`](Self::on_tick) has something to do next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        self.next_wave.min(self.next_up)
    }

    /// The coarse digest of an upstream of this data centre, and its age.
    #[must_use]
    pub fn coarse_digest(&self, key: &K, now: Time) -> Option<(&C, Duration)> {
        let known = self.near.get(key)?;
        Some((&known.value, now.since(known.at)))
    }

    /// The full digest of an upstream of this data centre, and its age.
    #[must_use]
    pub fn full_digest(&self, key: &K, now: Time) -> Option<(&D, Duration)> {
        let known = self.detail.get(key)?;
        Some((&known.value, now.since(known.at)))
    }

    /// The sums of a service in the other data centres.
    pub fn remote_summaries<'a>(
        &'a self,
        group: &'a G,
    ) -> impl Iterator<Item = (&'a DataCentreId, &'a S)> {
        self.far
            .iter()
            .filter(move |((_, of), _)| of == group)
            .map(|((data_centre, _), known)| (data_centre, &known.value))
    }

    fn forget(&mut self, now: Time) {
        let keep = self.settings.keep.get();
        let fresh = |at: Time, keep: Duration| now.since(at) < keep;
        self.near.retain(|_, known| fresh(known.at, keep));
        let far_keep = self.settings.far_keep.get();
        self.far.retain(|_, known| fresh(known.at, far_keep));
        let keep = keep * DETAIL_KEEP;
        self.detail.retain(|_, known| fresh(known.at, keep));
    }

    /// Sends a wave down, and sets when to answer the one that brought it.
    ///
    /// A wave keeps to what its first node chose: were each node to take turns
    /// of its own, the waits would add up on the way down.
    fn wave(&mut self, chosen: &Chosen<K, G>, now: Time) -> Vec<OutgoingBatch<K, C, D, G, S>> {
        let period = self.settings.period.get();
        let children = self.tree.children(FANOUT);
        self.forget(now);
        if self.tree.parent(FANOUT).is_some() {
            let hundredths = if children.is_empty() {
                LEAF_ANSWER
            } else {
                LATE_ANSWER
            };
            self.next_up = now + period * hundredths / 100;
            self.next_wave = now + period * LOST_WAVE;
        } else {
            self.next_up = Time::NEVER;
            self.next_wave = now + period;
        }
        self.waiting = children.iter().cloned().collect();
        let mut sends = self.tell_others(now);
        let batch = self.batch(chosen, false, now);
        sends.extend(copies(&batch, children));
        sends
    }

    /// Sends what is known from below to the parent.
    fn answer(&mut self, now: Time) -> Vec<OutgoingBatch<K, C, D, G, S>> {
        self.next_up = Time::NEVER;
        let Some(to) = self.tree.parent(FANOUT) else {
            return Vec::new();
        };
        let chosen = self.choose_up();
        let batch = self.batch(&chosen, true, now);
        vec![OutgoingBatch { to, batch }]
    }

    /// Sends the sums to the firsts of the other data centres, if this is their wave.
    fn tell_others(&mut self, now: Time) -> Vec<OutgoingBatch<K, C, D, G, S>> {
        let due = self.waves.is_multiple_of(self.settings.far_every.max(1));
        self.waves = self.waves.wrapping_add(1);
        let heads = self.tree.remote_roots();
        if !due || heads.is_empty() {
            return Vec::new();
        }
        copies(&self.sums(now), heads).collect()
    }

    fn choose_up(&mut self) -> Chosen<K, G> {
        let limits = &self.settings;
        let turns = &mut self.ups;
        Chosen {
            near: turns
                .near
                .take(&self.near, limits.near_limit, |known| known.below),
            detail: turns
                .detail
                .take(&self.detail, limits.detail_limit, |known| known.below),
            far: Vec::new(),
        }
    }

    fn choose_down(&mut self) -> Chosen<K, G> {
        let limits = &self.settings;
        let turns = &mut self.downs;
        Chosen {
            near: turns.near.take(&self.near, limits.near_limit, |_| true),
            detail: turns
                .detail
                .take(&self.detail, limits.detail_limit, |_| true),
            far: turns.far.take(&self.far, limits.far_limit, |_| true),
        }
    }

    fn batch(&self, chosen: &Chosen<K, G>, up: bool, now: Time) -> Batch<K, C, D, G, S> {
        let mut centres = Vec::new();
        let mut far = Vec::with_capacity(chosen.far.len());
        for key in &chosen.far {
            let (data_centre, group) = key;
            if let Some(known) = self.far.get(key) {
                let index = index_of(&mut centres, data_centre);
                far.push(SummaryEntry(
                    index,
                    group.clone(),
                    known.age(now),
                    known.value.clone(),
                ));
            }
        }
        Batch {
            upward: up,
            near: pick(&self.near, &chosen.near, now),
            detail: pick(&self.detail, &chosen.detail, now),
            data_centres: centres,
            far,
        }
    }

    /// The sums of this data centre, for the firsts of the others.
    fn sums(&self, now: Time) -> Batch<K, C, D, G, S> {
        let mut sums = BTreeMap::<&G, (S, Time)>::new();
        for (key, known) in &self.near {
            if let Some(group) = self.groups.get(key) {
                let (sum, at) = sums.entry(group).or_insert((S::default(), known.at));
                sum.add(&known.value);
                *at = (*at).min(known.at);
            }
        }
        let far = sums
            .into_iter()
            .map(|(group, (sum, at))| {
                SummaryEntry(0, group.clone(), DigestAge::new(now.since(at)), sum)
            })
            .collect();
        Batch {
            upward: false,
            near: Vec::new(),
            detail: Vec::new(),
            data_centres: self.home.iter().cloned().collect(),
            far,
        }
    }
}

/// The same batch for each of these peers.
fn copies<K, C, D, G, S, I>(
    batch: &Batch<K, C, D, G, S>,
    peers: I,
) -> impl Iterator<Item = OutgoingBatch<K, C, D, G, S>>
where
    Batch<K, C, D, G, S>: Clone,
    I: IntoIterator<Item = VmId>,
{
    peers.into_iter().map(|to| OutgoingBatch {
        to,
        batch: batch.clone(),
    })
}
