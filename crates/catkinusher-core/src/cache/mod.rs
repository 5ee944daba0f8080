//! Which prompt beginnings an upstream has cached, as far as we know.
//!
//! A prompt is named by chained hashes of its beginnings, each twice as long
//! as the one before, so that a million tokens need a dozen hashes. Knowledge
//! comes from what was routed there and from the engine's late and gappy
//! events; it is a hint, bounded in size, and a wrong hint costs time only.

mod chain;
mod known;
mod sketch;

pub use self::chain::{BLOCK, PREFIX_LIMIT, PrefixHasher, covered_tokens};
pub use self::known::{CacheEvent, CachedPrefixes};
pub use self::sketch::Sketch;
