//! Approximate tracking of the prompt prefixes that an upstream has cached.
//!
//! A prompt is identified by chained hashes of its prefixes, each twice as long
//! as the previous one, so that a million tokens need a dozen hashes. The
//! information comes from the requests routed to the upstream and from the
//! engine's cache events, which arrive late and with gaps. It is a hint of
//! bounded size; a wrong hint only costs time.

mod chain;
mod known;
mod sketch;

pub use self::chain::{BLOCK_TOKENS, MAX_PREFIX_HASHES, PrefixHasher, covered_tokens};
pub use self::known::{CacheEvent, CachedPrefixes};
pub use self::sketch::Sketch;
