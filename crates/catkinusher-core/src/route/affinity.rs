//! A bounded record of where this node sent prompts with the same prefix.

use std::collections::{BTreeMap, VecDeque};

/// The maximum number of prefixes remembered.
const MAX_PREFIXES: usize = 16_384;

/// The last upstream of each prefix; the oldest prefixes are evicted first.
#[derive(Debug, Clone)]
pub(super) struct Affinity {
    places: BTreeMap<u64, usize>,
    order: VecDeque<u64>,
}

impl Affinity {
    /// An empty record.
    pub(super) const fn new() -> Self {
        Self {
            places: BTreeMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records that a prompt with these prefixes was sent to the upstream at `place`.
    pub(super) fn record(&mut self, prefix: &[u64], place: usize) {
        for hash in prefix {
            if self.places.insert(*hash, place).is_none() {
                self.order.push_back(*hash);
            }
        }
        while self.order.len() > MAX_PREFIXES {
            if let Some(hash) = self.order.pop_front() {
                self.places.remove(&hash);
            }
        }
    }

    /// The upstream of the longest known prefix, and the index of that prefix.
    pub(super) fn find(&self, prefix: &[u64]) -> Option<Match> {
        let index = prefix
            .iter()
            .rposition(|hash| self.places.contains_key(hash))?;
        let place = *self.places.get(&prefix[index])?;
        Some(Match { place, index })
    }

    /// Removes all entries, because the places of upstreams have changed.
    pub(super) fn clear(&mut self) {
        self.places.clear();
        self.order.clear();
    }
}

/// A known prefix.
#[derive(Debug, Clone, Copy)]
pub(super) struct Match {
    pub(super) place: usize,
    pub(super) index: usize,
}
