//! The coarse forms of a digest that travel most.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::Summary;
use crate::cache::Sketch;
use crate::class::CLASS_COUNT;
use crate::digest::Digest;
use crate::id::Incarnation;
use crate::units::Tokens;

/// The tokens in one unit of memory and of backlog.
const TOKENS: u64 = 1000;

/// The tokens a second in one unit of pace.
const PACE: u32 = 100;

/// A short stand-in for the name of an upstream or a service.
///
/// It is the same on all nodes, whatever revision each has in force, which the
/// place in a list would not be.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct NameHash(u32);

impl NameHash {
    /// The key of this name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()) as u32)
    }
}

/// A digest in few bytes: memory and backlog in thousands of tokens, and no sketch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct CoarseDigest(u32, [u32; CLASS_COUNT], u32, u32, u32, u32, bool);

/// A whole digest without the names of its fields.
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
        let pace = digest.pace.div_ceil(PACE);
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
    /// The digest that this tells, with what is known from elsewhere.
    #[must_use]
    pub fn digest(&self, incarnation: Incarnation, sketch: Sketch) -> Digest {
        let tokens = |units: u32| Tokens::new(u64::from(units) * TOKENS);
        let Self(free, backlog, streams, queued, limit, pace, cold) = *self;
        Digest {
            incarnation,
            free: tokens(free),
            backlog: backlog.map(tokens),
            streams,
            queued,
            limit,
            pace: pace.saturating_mul(PACE),
            cold,
            sketch,
        }
    }
}

fn units<F>(tokens: Tokens, divide: F) -> u32
where
    F: Fn(u64, u64) -> u64,
{
    u32::try_from(divide(tokens.get(), TOKENS)).unwrap_or(u32::MAX)
}

/// The upstreams of a service in one data centre, in sum.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "RollupForm", into = "RollupForm")]
pub struct Rollup {
    /// How many there are.
    pub count: u32,
    /// Of these, those still warming up.
    pub cold: u32,
    /// Their free memory in thousands of tokens.
    pub free: u32,
    /// Their streams and the requests that wait for them.
    pub streams: u32,
    /// The streams that they bear.
    pub limit: u32,
}

/// A sum as it travels: count, cold, free, streams, limit.
#[derive(Serialize, Deserialize)]
struct RollupForm(u32, u32, u32, u32, u32);

impl From<RollupForm> for Rollup {
    fn from(form: RollupForm) -> Self {
        let RollupForm(count, cold, free, streams, limit) = form;
        Self {
            count,
            cold,
            free,
            streams,
            limit,
        }
    }
}

impl From<Rollup> for RollupForm {
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
