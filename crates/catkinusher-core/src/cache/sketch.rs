//! A Bloom filter of cached prefixes, small enough to be included in every digest.

use serde::{Deserialize, Serialize};

use super::covered_tokens;
use crate::units::Tokens;

/// Size of the filter in 64-bit words.
const WORDS: usize = 8;

/// Number of bits set per hash.
const PROBES: u32 = 4;

/// The prefixes that are probably cached, with false positives.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Sketch([u64; WORDS]);

impl Sketch {
    /// Number of hashes that the filter holds with few false positives.
    pub const CAPACITY: usize = 64;

    /// Adds a hash.
    pub fn insert(&mut self, hash: u64) {
        for (word, bit) in Self::bit_positions(hash) {
            self.0[word] |= 1 << bit;
        }
    }

    /// Whether the hash is probably in the set.
    #[must_use]
    pub fn contains(&self, hash: u64) -> bool {
        Self::bit_positions(hash).all(|(word, bit)| self.0[word] >> bit & 1 == 1)
    }

    /// The number of tokens of this prompt that are probably cached.
    #[must_use]
    pub fn cached_tokens(&self, prefix: &[u64]) -> Tokens {
        // A prefix is cached only together with all shorter ones.
        let run = prefix.iter().take_while(|hash| self.contains(**hash));
        match run.count() {
            0 => Tokens::ZERO,
            hits => covered_tokens(hits - 1),
        }
    }

    fn bit_positions(hash: u64) -> impl Iterator<Item = (usize, u32)> {
        (0..PROBES).map(move |probe| {
            let part = (hash >> (probe * 9)) as usize;
            (part >> 6 & (WORDS - 1), (part & 63) as u32)
        })
    }
}
