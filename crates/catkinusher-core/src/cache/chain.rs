//! Chained hashes of a prompt's prefixes.

use xxhash_rust::xxh3::Xxh3;

use crate::units::Tokens;

/// Number of tokens that the first hash covers.
pub const BLOCK_TOKENS: Tokens = Tokens::new(512);

/// Maximum number of hashes per prompt.
pub const MAX_PREFIX_HASHES: usize = 12;

/// Bytes of text counted as one token when the text is divided into prefixes.
const TOKEN_BYTES: u64 = 4;

/// Number of tokens that the hash at this index covers.
#[must_use]
pub const fn covered_tokens(index: usize) -> Tokens {
    Tokens::new(BLOCK_TOKENS.get() << index)
}

/// Hashes the prefixes of a prompt incrementally as its bytes arrive.
#[derive(Clone, Default)]
pub struct PrefixHasher {
    hasher: Xxh3,
    /// Bytes hashed so far.
    seen: u64,
    hashes: Vec<u64>,
}

impl std::fmt::Debug for PrefixHasher {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PrefixHasher")
            .field("seen", &self.seen)
            .field("hashes", &self.hashes)
            .finish_non_exhaustive()
    }
}

impl PrefixHasher {
    /// Creates a hasher for a prompt to this model. The model is part of the hash.
    #[must_use]
    pub fn new(model: &str) -> Self {
        let mut hasher = Xxh3::new();
        hasher.update(model.as_bytes());
        Self {
            hasher,
            seen: 0,
            hashes: Vec::new(),
        }
    }

    /// Appends text of the prompt.
    pub fn update(&mut self, mut bytes: &[u8]) {
        while self.hashes.len() < MAX_PREFIX_HASHES {
            let end = covered_tokens(self.hashes.len()).get() * TOKEN_BYTES;
            let need = (end - self.seen) as usize;
            if bytes.len() < need {
                break;
            }
            let (head, rest) = bytes.split_at(need);
            self.hasher.update(head);
            self.seen = end;
            self.hashes.push(self.hasher.digest());
            bytes = rest;
        }
        self.hasher.update(bytes);
        self.seen += bytes.len() as u64;
    }

    /// The hashes computed so far, shortest prefix first.
    #[must_use]
    pub fn into_hashes(self) -> Vec<u64> {
        self.hashes
    }
}
