//! A bounded LRU set of the prefixes that one upstream has cached.

use std::collections::BTreeMap;

use super::{BLOCK_TOKENS, Sketch, covered_tokens};
use crate::units::Tokens;

/// One change of an engine's prefix cache.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CacheEvent {
    /// The hash of the prefix.
    pub prefix: u64,
    /// Whether the prefix was stored; otherwise it was evicted.
    pub stored: bool,
}

/// One prefix that is probably cached.
#[derive(Debug, Clone, Copy)]
struct Entry {
    last_used: u64,
    /// The tokens that it occupies beyond the next shorter prefix.
    tokens: Tokens,
}

/// The prefixes that one upstream has probably cached, with LRU eviction.
#[derive(Debug, Clone)]
pub struct CachedPrefixes {
    max_entries: usize,
    capacity: Tokens,
    used: Tokens,
    clock: u64,
    entries: BTreeMap<u64, Entry>,
    /// Prefix hashes by [`Entry::last_used`].
    order: BTreeMap<u64, u64>,
}

impl CachedPrefixes {
    /// Creates an empty set of at most `max_entries` prefixes and `capacity` tokens.
    #[must_use]
    pub fn new(max_entries: usize, capacity: Tokens) -> Self {
        Self {
            max_entries,
            capacity,
            used: Tokens::ZERO,
            clock: 0,
            entries: BTreeMap::new(),
            order: BTreeMap::new(),
        }
    }

    /// Records that a prompt with these prefixes has run on the upstream.
    pub fn on_run(&mut self, prefix: &[u64]) {
        // The longest prefix is touched first, so that the short prefixes, which more prompts
        // share, are evicted last.
        for (index, hash) in prefix.iter().enumerate().rev() {
            let before = index.checked_sub(1).map_or(Tokens::ZERO, covered_tokens);
            self.touch(*hash, covered_tokens(index) - before);
        }
    }

    /// Applies a cache event of the engine.
    pub fn on_event(&mut self, event: CacheEvent) {
        if event.stored {
            self.touch(event.prefix, BLOCK_TOKENS);
        } else {
            self.remove(event.prefix);
        }
    }

    /// Removes all entries, for example after an engine restart.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.order.clear();
        self.used = Tokens::ZERO;
    }

    /// The number of tokens of this prompt that are probably cached.
    #[must_use]
    pub fn cached_tokens(&self, prefix: &[u64]) -> Tokens {
        let known = |hash: &u64| self.entries.contains_key(hash);
        let hit = prefix.iter().rposition(known);
        hit.map_or(Tokens::ZERO, covered_tokens)
    }

    /// A compact Bloom filter of the most recently used prefixes.
    #[must_use]
    pub fn sketch(&self) -> Sketch {
        let mut sketch = Sketch::default();
        for hash in self.order.values().rev().take(Sketch::CAPACITY) {
            sketch.insert(*hash);
        }
        sketch
    }

    fn touch(&mut self, hash: u64, tokens: Tokens) {
        self.remove(hash);
        self.clock += 1;
        let last_used = self.clock;
        self.entries.insert(hash, Entry { last_used, tokens });
        self.order.insert(last_used, hash);
        self.used += tokens;
        while self.entries.len() > self.max_entries || self.used > self.capacity {
            let Some((_, oldest)) = self.order.first_key_value() else {
                return;
            };
            self.remove(*oldest);
        }
    }

    fn remove(&mut self, hash: u64) {
        if let Some(entry) = self.entries.remove(&hash) {
            self.order.remove(&entry.last_used);
            self.used -= entry.tokens;
        }
    }
}
