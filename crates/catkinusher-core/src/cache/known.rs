//! The bounded memory of one upstream's cached beginnings.

use std::collections::BTreeMap;

use super::{BLOCK, Sketch, covered_tokens};
use crate::units::Tokens;

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// The hash of the beginning.
    pub prefix: u64,
    /// Whether it came in or went out.
    pub stored: bool,
}

/// One beginning that is probably cached.
#[derive(Debug, Clone, Copy)]
struct Entry {
    stamp: u64,
    /// What it takes beyond the beginning before it.
    tokens: Tokens,
}

/// The beginnings that one upstream probably has, least recently used first out.
#[derive(Debug, Clone)]
pub struct CachedPrefixes {
    limit: usize,
    room: Tokens,
    taken: Tokens,
    clock: u64,
    entries: BTreeMap<u64, Entry>,
    order: BTreeMap<u64, u64>,
}

impl CachedPrefixes {
    /// Knows nothing yet, and never more than `limit` beginnings or `room` tokens.
    #[must_use]
    pub fn new(limit: usize, room: Tokens) -> Self {
        Self {
            limit,
            room,
            taken: Tokens::ZERO,
            clock: 0,
            entries: BTreeMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Notes that a prompt with these beginnings has run there.
    pub fn on_run(&mut self, prefix: &[u64]) {
        // The longest goes first, so that the short and shared ones stay longest.
        for (index, hash) in prefix.iter().enumerate().rev() {
            let before = index.checked_sub(1).map_or(Tokens::ZERO, covered_tokens);
            self.touch(*hash, covered_tokens(index) - before);
        }
    }

    /// Notes an event of the engine.
    pub fn on_event(&mut self, event: CacheEvent) {
        if event.stored {
            self.touch(event.prefix, BLOCK);
        } else {
            self.drop(event.prefix);
        }
    }

    /// Forgets all, as after a restart.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.order.clear();
        self.taken = Tokens::ZERO;
    }

    /// How many tokens of this prompt are probably cached.
    #[must_use]
    pub fn cached_tokens(&self, prefix: &[u64]) -> Tokens {
        let known = |hash: &u64| self.entries.contains_key(hash);
        let hit = prefix.iter().rposition(known);
        hit.map_or(Tokens::ZERO, covered_tokens)
    }

    /// The most recently used beginnings in a few bytes.
    #[must_use]
    pub fn sketch(&self) -> Sketch {
        let mut sketch = Sketch::default();
        for hash in self.order.values().rev().take(Sketch::CAPACITY) {
            sketch.insert(*hash);
        }
        sketch
    }

    fn touch(&mut self, hash: u64, tokens: Tokens) {
        self.drop(hash);
        self.clock += 1;
        let stamp = self.clock;
        self.entries.insert(hash, Entry { stamp, tokens });
        self.order.insert(stamp, hash);
        self.taken += tokens;
        while self.entries.len() > self.limit || self.taken > self.room {
            let Some((_, oldest)) = self.order.first_key_value() else {
                return;
            };
            self.drop(*oldest);
        }
    }

    fn drop(&mut self, hash: u64) {
        if let Some(entry) = self.entries.remove(&hash) {
            self.order.remove(&entry.stamp);
            self.taken -= entry.tokens;
        }
    }
}
