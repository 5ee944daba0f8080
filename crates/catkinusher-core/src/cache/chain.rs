//! Chained hashes of a prompt's beginnings.

use xxhash_rust::xxh3::Xxh3;

use crate::units::Tokens;

/// The tokens that the first hash covers.
pub const BLOCK: Tokens = Tokens::new(512);

/// The most hashes for one prompt.
pub const PREFIX_LIMIT: usize = 12;

/// Bytes of text that are taken for one token where blocks are cut.
const TOKEN_BYTES: u64 = 4;

/// The tokens that the hash at this place covers.
#[must_use]
pub const fn covered_tokens(index: usize) -> Tokens {
    Tokens::new(BLOCK.get() << index)
}

/// Hashes the beginnings of a prompt as its bytes come in.
#[derive(Clone, Default)]
pub struct PrefixHasher {
    hasher: Xxh3,
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
    /// A chain over a prompt for one model, of which nothing has come in.
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

    /// Takes in more of the prompt's text.
    pub fn update(&mut self, mut bytes: &[u8]) {
        while self.hashes.len() < PREFIX_LIMIT {
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

    /// The hashes so far, shortest beginning first.
    #[must_use]
    pub fn into_hashes(self) -> Vec<u64> {
        self.hashes
    }
}
