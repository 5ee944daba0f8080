//! Taking a few entries of a map in turn.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::batch::Batch;
use crate::id::DataCentreId;

/// Where the last turn ended.
#[derive(Debug, Clone)]
pub(super) struct Turn<K> {
    last: Option<K>,
}

impl<K> Turn<K>
where
    K: Ord + Clone,
{
    pub const fn new() -> Self {
        Self { last: None }
    }

    /// The keys of the next `limit` entries that fit, round the end of the map.
    pub fn take<V, F>(&mut self, map: &BTreeMap<K, V>, limit: usize, fits: F) -> Vec<K>
    where
        F: Fn(&V) -> bool,
    {
        let after = self.last.as_ref().map_or(Bound::Unbounded, Bound::Excluded);
        let before = self.last.as_ref().map(|last| map.range(..=last));
        let keys: Vec<K> = map
            .range((after, Bound::Unbounded))
            .chain(before.into_iter().flatten())
            .filter(|(_, value)| fits(value))
            .take(limit)
            .map(|(key, _)| key.clone())
            .collect();
        if let Some(last) = keys.last() {
            self.last = Some(last.clone());
        }
        keys
    }
}

/// The turns in one direction.
#[derive(Debug, Clone)]
pub(super) struct Turns<K, G> {
    pub near: Turn<K>,
    pub detail: Turn<K>,
    pub far: Turn<(DataCentreId, G)>,
}

impl<K, G> Turns<K, G>
where
    K: Ord + Clone,
    G: Ord + Clone,
{
    pub const fn new() -> Self {
        Self {
            near: Turn::new(),
            detail: Turn::new(),
            far: Turn::new(),
        }
    }
}

/// The entries whose turn it is.
pub(super) struct Chosen<K, G> {
    pub near: Vec<K>,
    pub detail: Vec<K>,
    pub far: Vec<(DataCentreId, G)>,
}

impl<K, G> Chosen<K, G>
where
    K: Clone,
    G: Clone,
{
    /// The entries that a batch holds.
    pub fn of<C, D, S>(batch: &Batch<K, C, D, G, S>) -> Self {
        let centre = |index: &u8| batch.data_centres.get(usize::from(*index)).cloned();
        Self {
            near: batch.near.iter().map(|near| near.0.clone()).collect(),
            detail: batch.detail.iter().map(|near| near.0.clone()).collect(),
            far: batch
                .far
                .iter()
                .filter_map(|far| Some((centre(&far.0)?, far.1.clone())))
                .collect(),
        }
    }
}
