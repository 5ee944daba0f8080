//! Round-robin selection of a few map entries at a time.

use std::collections::BTreeMap;
use std::ops::Bound;

use super::batch::Batch;
use crate::id::DataCentreId;

/// The position at which the last selection ended.
#[derive(Debug, Clone)]
pub(super) struct Cursor<K> {
    last: Option<K>,
}

impl<K> Cursor<K>
where
    K: Ord + Clone,
{
    pub const fn new() -> Self {
        Self { last: None }
    }

    /// The keys of the next `limit` entries that fit, wrapping at the end of the map.
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

/// The cursors for one direction in the tree.
#[derive(Debug, Clone)]
pub(super) struct Cursors<K, G> {
    pub near: Cursor<K>,
    pub detail: Cursor<K>,
    pub far: Cursor<(DataCentreId, G)>,
}

impl<K, G> Cursors<K, G>
where
    K: Ord + Clone,
    G: Ord + Clone,
{
    pub const fn new() -> Self {
        Self {
            near: Cursor::new(),
            detail: Cursor::new(),
            far: Cursor::new(),
        }
    }
}

/// The keys of the entries to send.
pub(super) struct Selection<K, G> {
    pub near: Vec<K>,
    pub detail: Vec<K>,
    pub far: Vec<(DataCentreId, G)>,
}

impl<K, G> Selection<K, G>
where
    K: Clone,
    G: Clone,
{
    /// The keys of the entries in a batch.
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
