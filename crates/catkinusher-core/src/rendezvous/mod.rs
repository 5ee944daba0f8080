//! Rendezvous hashing: every node picks the same names without communication.
//!
//! Each pair of a key and a name has a score, and the highest score wins.
//! Removing a name moves only the keys that it had won. See
//! [docs/design/fleet.md](../../../../docs/design/fleet.md).

mod tree;

use xxhash_rust::xxh3::Xxh3;

pub use self::tree::Tree;

/// A hash seed that keeps the scores of different uses of the same names independent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Salt(u64);

impl Salt {
    /// The salt with this number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The score of `name` for `key`; the highest wins.
    #[must_use]
    pub fn score(self, key: &str, name: &str) -> u64 {
        let mut hash = Xxh3::with_seed(self.0);
        hash.update(key.as_bytes());
        hash.update(&[0]);
        hash.update(name.as_bytes());
        hash.digest()
    }

    /// The `count` names with the highest scores for `key`, highest first.
    #[must_use]
    pub fn best<'a, N, I>(self, key: &str, names: I, count: usize) -> Vec<&'a N>
    where
        N: AsRef<str> + Ord,
        I: IntoIterator<Item = &'a N>,
    {
        let mut scored: Vec<_> = names
            .into_iter()
            .map(|name| (self.score(key, name.as_ref()), name))
            .collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.truncate(count);
        scored.into_iter().map(|(_, name)| name).collect()
    }
}
