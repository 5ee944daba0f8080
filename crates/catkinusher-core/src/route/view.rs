//! All upstreams of one service and model, indexed so that a choice is cheap.

use std::collections::BTreeMap;

use rand::{Rng, RngExt};
use xxhash_rust::xxh3::xxh3_64;

use super::UpstreamView;
use super::affinity::{Affinity, Match};
use crate::ask::Ask;
use crate::cache::covered_tokens;
use crate::digest::Digest;
use crate::id::{DataCentreId, UpstreamId};
use crate::time::Time;
use crate::units::Tokens;

/// Which upstreams are preferred for what.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pool {
    /// Those that long prompts leave alone.
    Short,
    /// Those that take long prompts.
    Bulk,
    /// All.
    All,
}

/// The upstreams of one service and model, as one node sees them.
///
/// Places are positions in a vector and stay until the set changes; the open
/// ones stand in an order that is the same on every node, and the first of
/// them take long prompts.
#[derive(Debug, Clone)]
pub struct View {
    home: DataCentreId,
    seen: Vec<UpstreamView>,
    index: BTreeMap<UpstreamId, usize>,
    /// Places of those that may get work, in an order that all nodes share.
    open: Vec<usize>,
    bulk: usize,
    affinity: Affinity,
}

impl View {
    /// A view from a node in this data centre, of no upstreams yet.
    #[must_use]
    pub const fn new(home: DataCentreId) -> Self {
        Self {
            home,
            seen: Vec::new(),
            index: BTreeMap::new(),
            open: Vec::new(),
            bulk: 0,
            affinity: Affinity::new(),
        }
    }

    /// Adds an upstream; one that is known already stays as it is.
    pub fn insert(&mut self, upstream: UpstreamId, centre: DataCentreId) {
        if self.index.contains_key(&upstream) {
            return;
        }
        self.index.insert(upstream.clone(), self.seen.len());
        self.seen.push(UpstreamView::new(upstream, centre));
        self.reorder();
    }

    /// Takes an upstream out for good.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        let Some(place) = self.index.remove(upstream) else {
            return;
        };
        self.seen.remove(place);
        for other in self.index.values_mut().filter(|other| **other > place) {
            *other -= 1;
        }
        self.affinity.clear();
        self.reorder();
    }

    /// Says whether an upstream gets no new work: drained, leaving or quarantined.
    pub fn set_closed(&mut self, upstream: &UpstreamId, closed: bool) {
        let Some(seen) = self.get_mut(upstream) else {
            return;
        };
        if seen.closed != closed {
            seen.closed = closed;
            self.reorder();
        }
    }

    /// Takes in what an owner said of its upstream at `taken`, by this node's clock.
    pub fn on_digest(&mut self, upstream: &UpstreamId, digest: Digest, taken: Time) {
        if let Some(seen) = self.get_mut(upstream) {
            seen.on_digest(digest, taken);
        }
    }

    /// Notes that a request was sent to an upstream or its owner.
    pub fn on_sent(&mut self, upstream: &UpstreamId, ask: &Ask, now: Time) {
        let Some(place) = self.index.get(upstream).copied() else {
            return;
        };
        let work = ask.prompt.saturating_sub(self.cached(place, ask));
        self.seen[place].on_sent(ask, work, now);
        self.affinity.note(&ask.prefix, place);
    }

    /// Notes that a request sent there has ended.
    pub fn on_ended(&mut self, upstream: &UpstreamId) {
        if let Some(seen) = self.get_mut(upstream) {
            seen.on_ended();
        }
    }

    /// Changes how many of the open upstreams take long prompts.
    pub fn set_bulk_count(&mut self, count: usize) {
        self.bulk = count;
    }

    /// How many upstreams may get work.
    #[must_use]
    pub const fn open_count(&self) -> usize {
        self.open.len()
    }

    /// What is seen of an upstream.
    #[must_use]
    pub fn get(&self, upstream: &UpstreamId) -> Option<&UpstreamView> {
        let place = self.index.get(upstream)?;
        self.seen.get(*place)
    }

    /// Every upstream.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamView> {
        self.seen.iter()
    }

    /// The open upstreams of a part.
    pub fn members(&self, pool: Pool) -> impl Iterator<Item = &UpstreamView> {
        self.pool(pool).iter().map(|place| self.at(*place))
    }

    /// Prompt tokens a second that the open upstreams prefill together.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let paces = self.members(Pool::All).map(|seen| seen.digest().pace);
        paces.map(f64::from).sum()
    }

    /// The data centre of this node.
    #[must_use]
    pub const fn home(&self) -> &DataCentreId {
        &self.home
    }

    pub(super) fn at(&self, place: usize) -> &UpstreamView {
        &self.seen[place]
    }

    /// The open upstreams of a part; never empty if any is open.
    pub(super) fn pool(&self, pool: Pool) -> &[usize] {
        let bulk = self.bulk.min(self.open.len());
        let (long, short) = self.open.split_at(bulk);
        match pool {
            Pool::Short if !short.is_empty() => short,
            Pool::Bulk if !long.is_empty() => long,
            _ => &self.open,
        }
    }

    /// One open upstream of a part by chance.
    pub(super) fn draw<R>(&self, pool: Pool, rng: &mut R) -> Option<usize>
    where
        R: Rng,
    {
        let places = self.pool(pool);
        if places.is_empty() {
            return None;
        }
        Some(places[rng.random_range(0..places.len())])
    }

    /// The upstream of a part that every node names for this beginning.
    pub(super) fn named(&self, pool: Pool, hash: u64) -> Option<usize> {
        let places = self.pool(pool);
        let bucket = jump(hash, places.len())?;
        places.get(bucket).copied()
    }

    /// Where this node sent the same beginning before, if it may get work.
    pub(super) fn known(&self, prefix: &[u64]) -> Option<Match> {
        let found = self.affinity.find(prefix)?;
        (!self.seen[found.place].closed).then_some(found)
    }

    /// Tokens of a prompt that are probably cached at a place.
    pub(super) fn cached(&self, place: usize, ask: &Ask) -> Tokens {
        let told = self.seen[place].digest.sketch.cached_tokens(&ask.prefix);
        let own = self.affinity.find(&ask.prefix);
        let own = own.filter(|found| found.place == place);
        let own = own.map_or(Tokens::ZERO, |found| covered_tokens(found.index));
        told.max(own).min(ask.prompt)
    }

    fn get_mut(&mut self, upstream: &UpstreamId) -> Option<&mut UpstreamView> {
        let place = self.index.get(upstream)?;
        self.seen.get_mut(*place)
    }

    fn reorder(&mut self) {
        let open = self
            .seen
            .iter()
            .enumerate()
            .filter(|(_, seen)| !seen.closed);
        let mut keyed: Vec<_> = open
            .map(|(place, seen)| (xxh3_64(seen.upstream.as_str().as_bytes()), place))
            .collect();
        keyed.sort_unstable();
        self.open = keyed.into_iter().map(|(_, place)| place).collect();
    }
}

/// Jump consistent hash: few keys move when a bucket is added at the end.
fn jump(mut key: u64, buckets: usize) -> Option<usize> {
    let mut bucket = None;
    let mut next = 0;
    while next < buckets {
        bucket = Some(next);
        key = key.wrapping_mul(2_862_933_555_777_941_757).wrapping_add(1);
        let part = ((key >> 33) + 1) as f64;
        next = ((next + 1) as f64 * ((1_u64 << 31) as f64 / part)) as usize;
    }
    bucket
}
