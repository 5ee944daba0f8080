//! The compact encodings of digests.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Summary;
use crate::cache::Sketch;
use crate::class::CLASS_COUNT;
use crate::digest::Digest;
use crate::id::Incarnation;
use crate::units::Tokens;

/// The tokens in one unit of memory or backlog.
const TOKENS_PER_UNIT: u64 = 1000;

/// The tokens per second in one unit of pace.
const PACE_PER_UNIT: u32 = 100;

/// A 32-bit hash that stands for the name of an upstream or a service.
///
/// Unlike an index into a list, it is the same on all nodes, whichever revision of the
/// configuration each has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NameHash(u32);

impl NameHash {
    /// Hashes a name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// A compact digest: memory and backlog in thousands of tokens, and no sketch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoarseDigest(u32, [u32; CLASS_COUNT], u32, u32, u32, u32, bool);

/// A full digest, encoded as a tuple to leave out the field names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct FullDigest(
    Incarnation,
    Tokens,
    [Tokens; CLASS_COUNT],
    u32,
    u32,
    u32,
    u32,
    bool,
    Sketch,
);

impl From<Digest> for FullDigest {
    fn from(digest: Digest) -> Self {
        let Digest {
            incarnation,
            free,
            backlog,
            streams,
            queued,
            limit,
            pace,
            cold,
            sketch,
        } = digest;
        Self(
            incarnation,
            free,
            backlog,
            streams,
            queued,
            limit,
            pace,
            cold,
            sketch,
        )
    }
}

impl From<FullDigest> for Digest {
    fn from(full: FullDigest) -> Self {
        let FullDigest(incarnation, free, backlog, streams, queued, limit, pace, cold, sketch) =
            full;
        Self {
            incarnation,
            free,
            backlog,
            streams,
            queued,
            limit,
            pace,
            cold,
            sketch,
        }
    }
}

impl From<&FullDigest> for CoarseDigest {
    fn from(full: &FullDigest) -> Self {
        let digest = Digest::from(*full);
        let free = units(digest.free, u64::div_euclid);
        let backlog = digest.backlog.map(|tokens| units(tokens, u64::div_ceil));
        let pace = digest.pace.div_ceil(PACE_PER_UNIT);
        let Digest {
            streams,
            queued,
            limit,
            cold,
            ..
        } = digest;
        Self(free, backlog, streams, queued, limit, pace, cold)
    }
}

impl CoarseDigest {
    /// Expands to a digest, with the incarnation and the sketch from elsewhere.
    #[must_use]
    pub fn digest(&self, incarnation: Incarnation, sketch: Sketch) -> Digest {
        let tokens = |units: u32| Tokens::new(u64::from(units) * TOKENS_PER_UNIT);
        let Self(free, backlog, streams, queued, limit, pace, cold) = *self;
        Digest {
            incarnation,
            free: tokens(free),
            backlog: backlog.map(tokens),
            streams,
            queued,
            limit,
            pace: pace.saturating_mul(PACE_PER_UNIT),
            cold,
            sketch,
        }
    }
}

fn units<F>(tokens: Tokens, divide: F) -> u32
where
    F: Fn(u64, u64) -> u64,
{
    u32::try_from(divide(tokens.get(), TOKENS_PER_UNIT)).unwrap_or(u32::MAX)
}

/// The summary of a service's upstreams in one data centre.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RollupRepr", into = "RollupRepr")]
pub struct Rollup {
    /// The number of upstreams.
    pub count: u32,
    /// How many of them are still warming up.
    pub cold: u32,
    /// Their total free memory in thousands of tokens.
    pub free: u32,
    /// Their total streams, including queued requests.
    pub streams: u32,
    /// Their total limit of streams.
    pub limit: u32,
}

/// The wire form of a [`Rollup`]: count, cold, free, streams, limit.
#[derive(Serialize, Deserialize)]
struct RollupRepr(u32, u32, u32, u32, u32);

impl From<RollupRepr> for Rollup {
    fn from(repr: RollupRepr) -> Self {
        let RollupRepr(count, cold, free, streams, limit) = repr;
        Self {
            count,
            cold,
            free,
            streams,
            limit,
        }
    }
}

impl From<Rollup> for RollupRepr {
    fn from(sum: Rollup) -> Self {
        Self(sum.count, sum.cold, sum.free, sum.streams, sum.limit)
    }
}

impl Summary<CoarseDigest> for Rollup {
    fn add(&mut self, coarse: &CoarseDigest) {
        let CoarseDigest(free, _, streams, queued, limit, _, cold) = *coarse;
        self.count += 1;
        self.cold += u32::from(cold);
        self.free = self.free.saturating_add(free);
        self.streams = self.streams.saturating_add(streams).saturating_add(queued);
        self.limit = self.limit.saturating_add(limit);
    }
}
