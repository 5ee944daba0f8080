//! All upstreams of one service and model, indexed for cheap routing decisions.

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

/// A pool of upstreams, by the prompts that they are preferred for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pool {
    /// Upstreams that are kept free of long prompts.
    Short,
    /// Upstreams that take long prompts.
    Bulk,
    /// All upstreams.
    All,
}

/// The upstreams of one service and model, as one node sees them.
///
/// A place is an index into the list of upstreams and stays valid until an
/// upstream is removed. Open upstreams are kept in an order that is the same on
/// every node, and the first of them form the pool for long prompts.
#[derive(Debug, Clone)]
pub struct View {
    home: DataCentreId,
    upstreams: Vec<UpstreamView>,
    index: BTreeMap<UpstreamId, usize>,
    /// Places of the upstreams that may get work, in the order that all nodes share.
    open: Vec<usize>,
    bulk_count: usize,
    affinity: Affinity,
}

impl View {
    /// An empty view of a node in this data centre.
    #[must_use]
    pub const fn new(home: DataCentreId) -> Self {
        Self {
            home,
            upstreams: Vec::new(),
            index: BTreeMap::new(),
            open: Vec::new(),
            bulk_count: 0,
            affinity: Affinity::new(),
        }
    }

    /// Adds an upstream, unless it is already known.
    pub fn insert(&mut self, upstream: UpstreamId, data_centre: DataCentreId) {
        if self.index.contains_key(&upstream) {
            return;
        }
        self.index.insert(upstream.clone(), self.upstreams.len());
        self.upstreams
            .push(UpstreamView::new(upstream, data_centre));
        self.reorder();
    }

    /// Removes an upstream.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        let Some(place) = self.index.remove(upstream) else {
            return;
        };
        self.upstreams.remove(place);
        for other in self.index.values_mut().filter(|other| **other > place) {
            *other -= 1;
        }
        self.affinity.clear();
        self.reorder();
    }

    /// Closes an upstream to new work (drained, leaving or quarantined) or opens it again.
    pub fn set_closed(&mut self, upstream: &UpstreamId, closed: bool) {
        let Some(view) = self.get_mut(upstream) else {
            return;
        };
        if view.closed != closed {
            view.closed = closed;
            self.reorder();
        }
    }

    /// Applies an owner's digest of its upstream, taken at `taken` by this node's clock.
    pub fn on_digest(&mut self, upstream: &UpstreamId, digest: Digest, taken: Time) {
        if let Some(view) = self.get_mut(upstream) {
            view.on_digest(digest, taken);
        }
    }

    /// Records that a request was sent to an upstream or its owner.
    pub fn on_sent(&mut self, upstream: &UpstreamId, ask: &Ask, now: Time) {
        let Some(place) = self.index.get(upstream).copied() else {
            return;
        };
        let work = ask.prompt.saturating_sub(self.cached_tokens(place, ask));
        self.upstreams[place].on_sent(ask, work, now);
        self.affinity.record(&ask.prefix, place);
    }

    /// Records that a request sent to an upstream has ended.
    pub fn on_ended(&mut self, upstream: &UpstreamId) {
        if let Some(view) = self.get_mut(upstream) {
            view.on_ended();
        }
    }

    /// Sets how many of the open upstreams take long prompts.
    pub fn set_bulk_count(&mut self, count: usize) {
        self.bulk_count = count;
    }

    /// The number of upstreams that may get work.
    #[must_use]
    pub const fn open_count(&self) -> usize {
        self.open.len()
    }

    /// The view of one upstream.
    #[must_use]
    pub fn get(&self, upstream: &UpstreamId) -> Option<&UpstreamView> {
        let place = self.index.get(upstream)?;
        self.upstreams.get(*place)
    }

    /// The views of all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &UpstreamView> {
        self.upstreams.iter()
    }

    /// The open upstreams of a pool.
    pub fn members(&self, pool: Pool) -> impl Iterator<Item = &UpstreamView> {
        self.pool(pool).iter().map(|place| self.at(*place))
    }

    /// The combined prefill rate of the open upstreams, in tokens per second.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        let paces = self.members(Pool::All).map(|view| view.digest().pace);
        paces.map(f64::from).sum()
    }

    /// The data centre of this node.
    #[must_use]
    pub const fn home(&self) -> &DataCentreId {
        &self.home
    }

    pub(super) fn at(&self, place: usize) -> &UpstreamView {
        &self.upstreams[place]
    }

    /// The places of the open upstreams of a pool; never empty if any upstream is open.
    pub(super) fn pool(&self, pool: Pool) -> &[usize] {
        let bulk = self.bulk_count.min(self.open.len());
        let (long, short) = self.open.split_at(bulk);
        match pool {
            Pool::Short if !short.is_empty() => short,
            Pool::Bulk if !long.is_empty() => long,
            _ => &self.open,
        }
    }

    /// The place of a random open upstream of a pool.
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

    /// The upstream of a pool that every node assigns to this prefix by consistent hashing.
    pub(super) fn assigned(&self, pool: Pool, hash: u64) -> Option<usize> {
        let places = self.pool(pool);
        let bucket = jump(hash, places.len())?;
        places.get(bucket).copied()
    }

    /// The open upstream to which this node last sent the same prefix.
    pub(super) fn last_upstream(&self, prefix: &[u64]) -> Option<Match> {
        let found = self.affinity.find(prefix)?;
        (!self.upstreams[found.place].closed).then_some(found)
    }

    /// The number of prompt tokens that are probably cached at an upstream.
    pub(super) fn cached_tokens(&self, place: usize, ask: &Ask) -> Tokens {
        let reported = self.upstreams[place]
            .digest
            .sketch
            .cached_tokens(&ask.prefix);
        let own = self.affinity.find(&ask.prefix);
        let own = own.filter(|found| found.place == place);
        let own = own.map_or(Tokens::ZERO, |found| covered_tokens(found.index));
        reported.max(own).min(ask.prompt)
    }

    fn get_mut(&mut self, upstream: &UpstreamId) -> Option<&mut UpstreamView> {
        let place = self.index.get(upstream)?;
        self.upstreams.get_mut(*place)
    }

    fn reorder(&mut self) {
        let open = self
            .upstreams
            .iter()
            .enumerate()
            .filter(|(_, view)| !view.closed);
        let mut keyed: Vec<_> = open
            .map(|(place, view)| (xxh3_64(view.upstream.as_str().as_bytes()), place))
            .collect();
        keyed.sort_unstable();
        self.open = keyed.into_iter().map(|(_, place)| place).collect();
    }
}

/// Jump consistent hash: few keys move when a bucket is appended.
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
