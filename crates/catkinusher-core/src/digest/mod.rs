//! The digest of an upstream's state that its owner sends to every node; its size is bounded.

use serde::{Deserialize, Serialize};

use crate::cache::Sketch;
use crate::class::{CLASS_COUNT, LengthClass};
use crate::id::Incarnation;
use crate::units::Tokens;

/// The state of an upstream at one time, as seen by its owner.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The incarnation of the upstream that the digest describes.
    pub incarnation: Incarnation,
    /// Unreserved memory.
    pub free: Tokens,
    /// Prefill ahead of a new prompt of each class, including queued requests.
    pub backlog: [Tokens; CLASS_COUNT],
    /// Requests that run or have been sent.
    pub streams: u32,
    /// Requests queued at the owner.
    pub queued: u32,
    /// The current limit of streams, after ramp-up, share and adaptive limit.
    pub limit: u32,
    /// Recently measured prefill speed, in prompt tokens per second.
    pub pace: u32,
    /// Whether it is still warming up.
    pub cold: bool,
    /// The prompt prefixes that it probably has cached.
    pub sketch: Sketch,
}

impl Digest {
    /// The prefill ahead of a new prompt of this class.
    #[must_use]
    pub const fn backlog_for(&self, class: LengthClass) -> Tokens {
        self.backlog[class.index()]
    }
}
