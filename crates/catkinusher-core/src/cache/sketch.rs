//! A Bloom filter over cached beginnings, small enough for every digest.

use serde::{Deserialize, Serialize};

use super::covered_tokens;
use crate::units::Tokens;

/// Words of the filter.
const WORDS: usize = 8;

/// Bits set for one hash.
const PROBES: u32 = 4;

/// Beginnings that are probably cached; may name some that are not.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Sketch([u64; WORDS]);

impl Sketch {
    /// How many hashes it takes with few false answers.
    pub const CAPACITY: usize = 64;

    /// Adds a hash.
    pub fn insert(&mut self, hash: u64) {
        for (word, bit) in Self::places(hash) {
            self.0[word] |= 1 << bit;
        }
    }

    /// Whether the hash is probably there.
    #[must_use]
    pub fn contains(&self, hash: u64) -> bool {
        Self::places(hash).all(|(word, bit)| self.0[word] >> bit & 1 == 1)
    }

    /// How many tokens of this prompt are probably cached.
    #[must_use]
    pub fn cached_tokens(&self, prefix: &[u64]) -> Tokens {
        // A beginning is cached only with all that are shorter.
        let run = prefix.iter().take_while(|hash| self.contains(**hash));
        match run.count() {
            0 => Tokens::ZERO,
            hits => covered_tokens(hits - 1),
        }
    }

    fn places(hash: u64) -> impl Iterator<Item = (usize, u32)> {
        (0..PROBES).map(move |probe| {
            let part = (hash >> (probe * 9)) as usize;
            (part >> 6 & (WORDS - 1), (part & 63) as u32)
        })
    }
}
