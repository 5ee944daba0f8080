//! Distributes the coarse state of all upstreams to every node.
//!
//! Sending full digests of 600 upstreams to 360 nodes would exceed the bandwidth
//! budget of a node, so most are reduced to what routing needs. In each data
//! centre, coarse digests go up a binary tree to its root and down again to all
//! nodes. The root starts a wave down in each period. Late in the period the
//! leaves reply, and each inner node replies once its children have, so that the
//! digests in the next wave are recent. Full digests rotate, a few in each batch.
//! Data centres exchange summaries per service, a few at a time in rotation too.
//! An owner's reply to a permit request contains the exact state, so a stale
//! digest costs one more request at most.
//! [docs/CAPACITY.md](../../../../docs/CAPACITY.md) derives the sizes.

mod batch;
mod coarse;
mod known;
mod settings;
mod turn;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

pub use self::batch::{Batch, DigestAge, DigestEntry, OutgoingBatch, SummaryEntry};
pub use self::coarse::{CoarseDigest, FullDigest, NameHash, Rollup};
use self::known::{Known, entries_for, index_or_push, insert_newer};
pub use self::settings::Settings;
use self::turn::{Cursors, Selection};
use crate::id::{DataCentreId, VmId};
use crate::rendezvous::Tree;
use crate::time::Time;

/// The number of children of a node in the tree.
const FANOUT: usize = 2;

/// How many times longer a full digest is used than a coarse one, since full digests rotate
/// slowly.
const FULL_DIGEST_KEEP_FACTOR: u32 = 16;

/// A summary of the coarse digests of one service in one data centre.
pub trait Summary<C>: Clone + Default {
    /// Adds one upstream.
    fn add(&mut self, coarse: &C);
}

/// When a leaf replies to a wave, in percent of the period after it.
const LEAF_REPLY_PERCENT: u32 = 80;

/// When an inner node replies even if children are missing, in percent of the period.
const REPLY_TIMEOUT_PERCENT: u32 = 95;

/// The number of periods without a wave after which a node starts one for its subtree.
const MISSING_WAVE_PERIODS: u32 = 2;

/// What one node knows of all upstreams.
///
/// `K` is the key of an upstream, `C` its coarse and `D` its full digest, `G` a service
/// and `S` the summary of one.
#[derive(Debug, Clone)]
pub struct Digests<K, C, D, G, S> {
    me: VmId,
    settings: Settings,
    tree: Tree,
    data_centre: Option<DataCentreId>,
    groups: BTreeMap<K, G>,
    coarse: BTreeMap<K, Known<C>>,
    full: BTreeMap<K, Known<D>>,
    remote: BTreeMap<(DataCentreId, G), Known<S>>,
    upward_cursors: Cursors<K, G>,
    downward_cursors: Cursors<K, G>,
    wave_count: u32,
    awaited_children: BTreeSet<VmId>,
    next_wave: Time,
    next_reply: Time,
}

impl<K, C, D, G, S> Digests<K, C, D, G, S>
where
    K: Ord + Clone,
    C: Clone + for<'a> From<&'a D>,
    D: Clone,
    G: Ord + Clone,
    S: Summary<C>,
{
    /// Creates the state of a node that knows no upstream.
    #[must_use]
    pub fn new(me: VmId, settings: Settings, now: Time) -> Self {
        Self {
            me,
            settings,
            tree: Tree::default(),
            data_centre: None,
            groups: BTreeMap::new(),
            coarse: BTreeMap::new(),
            full: BTreeMap::new(),
            remote: BTreeMap::new(),
            upward_cursors: Cursors::new(),
            downward_cursors: Cursors::new(),
            wave_count: 0,
            awaited_children: BTreeSet::new(),
            next_wave: now,
            next_reply: Time::NEVER,
        }
    }

    /// Handles a change of the reachable members, which include this node.
    pub fn on_members<'a, M>(&mut self, members: M)
    where
        M: IntoIterator<Item = (&'a VmId, &'a DataCentreId)>,
    {
        let members: Vec<_> = members.into_iter().collect();
        let mine = members.iter().find(|(vm, _)| **vm == self.me);
        self.data_centre = mine.map(|(_, data_centre)| (*data_centre).clone());
        self.tree = Tree::new(&self.me, members);
    }

    /// Sets the known upstreams with their services and drops the digests of all others.
    pub fn set_groups(&mut self, groups: BTreeMap<K, G>) {
        self.coarse.retain(|key, _| groups.contains_key(key));
        self.full.retain(|key, _| groups.contains_key(key));
        self.groups = groups;
    }

    /// Records the digest of an upstream that this node owns.
    ///
    /// Must be called at least once per period.
    pub fn on_own_digest(&mut self, key: K, detail: D, now: Time) {
        let coarse = C::from(&detail);
        self.coarse
            .insert(key.clone(), Known::measured(coarse, now));
        self.full.insert(key, Known::measured(detail, now));
    }

    /// Handles a batch from a peer and returns the batches to send in response.
    ///
    /// A batch from the parent is a wave and is forwarded to the children. Once all children
    /// have replied, a reply goes to the parent.
    pub fn on_batch(
        &mut self,
        from: &VmId,
        batch: Batch<K, C, D, G, S>,
        now: Time,
    ) -> Vec<OutgoingBatch<K, C, D, G, S>> {
        let up = batch.upward;
        let is_parent = !up && self.tree.parent(FANOUT).as_ref() == Some(from);
        let from_parent = is_parent.then(|| Selection::of(&batch));
        self.merge(batch, now);
        if let Some(selection) = from_parent {
            return self.send_wave(&selection, now);
        }
        if up && self.awaited_children.remove(from) && self.awaited_children.is_empty() {
            return self.reply_to_parent(now);
        }
        Vec::new()
    }

    fn merge(&mut self, batch: Batch<K, C, D, G, S>, now: Time) {
        let up = batch.upward;
        for DigestEntry(key, age, coarse) in batch.near {
            if self.groups.contains_key(&key) {
                let known = Known::received(coarse, age, up, now);
                insert_newer(&mut self.coarse, key, known);
            }
        }
        for DigestEntry(key, age, detail) in batch.detail {
            if self.groups.contains_key(&key) {
                let known = Known::received(detail, age, up, now);
                insert_newer(&mut self.full, key, known);
            }
        }
        for SummaryEntry(index, group, age, sum) in batch.far {
            if let Some(data_centre) = batch.data_centres.get(usize::from(index))
                && Some(data_centre) != self.data_centre.as_ref()
            {
                let known = Known::received(sum, age, up, now);
                insert_newer(&mut self.remote, (data_centre.clone(), group), known);
            }
        }
    }

    /// Runs the timers that are due.
    pub fn on_tick(&mut self, now: Time) -> Vec<OutgoingBatch<K, C, D, G, S>> {
        let mut sends = Vec::new();
        if now >= self.next_reply {
            sends.extend(self.reply_to_parent(now));
        }
        if now >= self.next_wave {
            let selection = self.select_downward();
            sends.extend(self.send_wave(&selection, now));
        }
        sends
    }

    /// When [`on_tick`](Self::on_tick) must be called next.
    #[must_use]
    pub fn next_wake(&self) -> Time {
        self.next_wave.min(self.next_reply)
    }

    /// The coarse digest of an upstream of this data centre, and its age.
    #[must_use]
    pub fn coarse_digest(&self, key: &K, now: Time) -> Option<(&C, Duration)> {
        let known = self.coarse.get(key)?;
        Some((&known.value, now.since(known.measured_at)))
    }

    /// The full digest of an upstream of this data centre, and its age.
    #[must_use]
    pub fn full_digest(&self, key: &K, now: Time) -> Option<(&D, Duration)> {
        let known = self.full.get(key)?;
        Some((&known.value, now.since(known.measured_at)))
    }

    /// The summaries of a service in the other data centres.
    pub fn remote_summaries<'a>(
        &'a self,
        group: &'a G,
    ) -> impl Iterator<Item = (&'a DataCentreId, &'a S)> {
        self.remote
            .iter()
            .filter(move |((_, of), _)| of == group)
            .map(|((data_centre, _), known)| (data_centre, &known.value))
    }

    fn remove_expired(&mut self, now: Time) {
        let keep = self.settings.keep.get();
        let fresh = |at: Time, keep: Duration| now.since(at) < keep;
        self.coarse
            .retain(|_, known| fresh(known.measured_at, keep));
        let far_keep = self.settings.far_keep.get();
        self.remote
            .retain(|_, known| fresh(known.measured_at, far_keep));
        let keep = keep * FULL_DIGEST_KEEP_FACTOR;
        self.full.retain(|_, known| fresh(known.measured_at, keep));
    }

    /// Sends a wave to the children and schedules the reply to the parent.
    ///
    /// Every node forwards the root's selection. If each node rotated on its own, the delays
    /// would add up on the way down.
    fn send_wave(
        &mut self,
        selection: &Selection<K, G>,
        now: Time,
    ) -> Vec<OutgoingBatch<K, C, D, G, S>> {
        let period = self.settings.period.get();
        let children = self.tree.children(FANOUT);
        self.remove_expired(now);
        if self.tree.parent(FANOUT).is_some() {
            let percent = if children.is_empty() {
                LEAF_REPLY_PERCENT
            } else {
                REPLY_TIMEOUT_PERCENT
            };
            self.next_reply = now + period * percent / 100;
            self.next_wave = now + period * MISSING_WAVE_PERIODS;
        } else {
            self.next_reply = Time::NEVER;
            self.next_wave = now + period;
        }
        self.awaited_children = children.iter().cloned().collect();
        let mut sends = self.send_remote_summaries(now);
        let batch = self.build_batch(selection, false, now);
        sends.extend(address_to(&batch, children));
        sends
    }

    /// Sends the digests from this node and its subtree to the parent.
    fn reply_to_parent(&mut self, now: Time) -> Vec<OutgoingBatch<K, C, D, G, S>> {
        self.next_reply = Time::NEVER;
        let Some(to) = self.tree.parent(FANOUT) else {
            return Vec::new();
        };
        let selection = self.select_upward();
        let batch = self.build_batch(&selection, true, now);
        vec![OutgoingBatch { to, batch }]
    }

    /// Sends summaries to the roots of the other data centres, in every `far_every`th wave.
    fn send_remote_summaries(&mut self, now: Time) -> Vec<OutgoingBatch<K, C, D, G, S>> {
        let due = self
            .wave_count
            .is_multiple_of(self.settings.far_every.max(1));
        self.wave_count = self.wave_count.wrapping_add(1);
        let roots = self.tree.remote_roots();
        if !due || roots.is_empty() {
            return Vec::new();
        }
        address_to(&self.local_summaries(now), roots).collect()
    }

    fn select_upward(&mut self) -> Selection<K, G> {
        let limits = &self.settings;
        let cursors = &mut self.upward_cursors;
        Selection {
            near: cursors
                .near
                .take(&self.coarse, limits.near_limit, |known| known.from_below),
            detail: cursors
                .detail
                .take(&self.full, limits.detail_limit, |known| known.from_below),
            far: Vec::new(),
        }
    }

    fn select_downward(&mut self) -> Selection<K, G> {
        let limits = &self.settings;
        let cursors = &mut self.downward_cursors;
        Selection {
            near: cursors.near.take(&self.coarse, limits.near_limit, |_| true),
            detail: cursors
                .detail
                .take(&self.full, limits.detail_limit, |_| true),
            far: cursors.far.take(&self.remote, limits.far_limit, |_| true),
        }
    }

    fn build_batch(
        &self,
        selection: &Selection<K, G>,
        up: bool,
        now: Time,
    ) -> Batch<K, C, D, G, S> {
        let mut data_centres = Vec::new();
        let mut far = Vec::with_capacity(selection.far.len());
        for key in &selection.far {
            let (data_centre, group) = key;
            if let Some(known) = self.remote.get(key) {
                let index = index_or_push(&mut data_centres, data_centre);
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
            near: entries_for(&self.coarse, &selection.near, now),
            detail: entries_for(&self.full, &selection.detail, now),
            data_centres,
            far,
        }
    }

    /// The summaries of this data centre, for the roots of the others.
    fn local_summaries(&self, now: Time) -> Batch<K, C, D, G, S> {
        let mut sums = BTreeMap::<&G, (S, Time)>::new();
        for (key, known) in &self.coarse {
            if let Some(group) = self.groups.get(key) {
                let (sum, at) = sums
                    .entry(group)
                    .or_insert((S::default(), known.measured_at));
                sum.add(&known.value);
                *at = (*at).min(known.measured_at);
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
            data_centres: self.data_centre.iter().cloned().collect(),
            far,
        }
    }
}

/// Addresses a copy of the batch to each peer.
fn address_to<K, C, D, G, S, I>(
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
