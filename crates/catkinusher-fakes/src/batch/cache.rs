//! The prefix cache of an engine: least recently used blocks leave first.

use std::collections::BTreeMap;

use catkinusher_core::units::Tokens;

use super::job::BLOCK_TOKENS;

/// A block that came into the prefix cache or left it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Change {
    /// Hash of the prompt up to the end of the block.
    pub prefix: u64,
    /// Whether it came in.
    pub stored: bool,
    /// Tokens up to the end of the block.
    pub tokens: Tokens,
}

#[derive(Debug, Clone, Copy)]
struct Block {
    stamp: u64,
    tokens: Tokens,
}

/// Blocks by hash, and by the order in which they leave.
#[derive(Debug, Clone, Default)]
pub(super) struct PrefixCache {
    blocks: BTreeMap<u64, Block>,
    order: BTreeMap<u64, u64>,
    stamp: u64,
    log: Option<Vec<Change>>,
}

impl PrefixCache {
    pub(super) fn keep_log(&mut self) {
        self.log.get_or_insert_default();
    }

    pub(super) fn take_log(&mut self) -> Vec<Change> {
        self.log.as_mut().map(std::mem::take).unwrap_or_default()
    }

    pub(super) fn size(&self) -> Tokens {
        Tokens::new(self.blocks.len() as u64 * BLOCK_TOKENS)
    }

    /// Tokens of the longest cached prefix of this chain.
    pub(super) fn hit(&self, chain: &[u64]) -> Tokens {
        let found = chain
            .iter()
            .take_while(|hash| self.blocks.contains_key(hash));
        Tokens::new(found.count() as u64 * BLOCK_TOKENS)
    }

    /// Takes the chain in, as far as it fits, its head to leave last.
    pub(super) fn insert(&mut self, chain: &[u64], limit: Tokens) {
        let fits = (limit.get() / BLOCK_TOKENS) as usize;
        let kept = &chain[..chain.len().min(fits)];
        for (index, hash) in kept.iter().enumerate().rev() {
            let tokens = Tokens::new((index as u64 + 1) * BLOCK_TOKENS);
            self.touch(*hash, tokens);
        }
        self.shrink(limit);
    }

    fn touch(&mut self, hash: u64, tokens: Tokens) {
        self.stamp += 1;
        let stamp = self.stamp;
        match self.blocks.insert(hash, Block { stamp, tokens }) {
            Some(old) => {
                self.order.remove(&old.stamp);
            }
            None => self.note(hash, tokens, true),
        }
        self.order.insert(stamp, hash);
    }

    /// Drops the oldest blocks until the rest fits in `limit`.
    pub(super) fn shrink(&mut self, limit: Tokens) {
        while self.size() > limit {
            let Some((_, hash)) = self.order.pop_first() else {
                return;
            };
            if let Some(block) = self.blocks.remove(&hash) {
                self.note(hash, block.tokens, false);
            }
        }
    }

    /// Forgets all blocks, and changes that were not read yet.
    pub(super) fn clear(&mut self) {
        self.blocks.clear();
        self.order.clear();
        self.log.iter_mut().for_each(Vec::clear);
    }

    fn note(&mut self, prefix: u64, tokens: Tokens, stored: bool) {
        if let Some(log) = &mut self.log {
            log.push(Change {
                prefix,
                stored,
                tokens,
            });
        }
    }
}
