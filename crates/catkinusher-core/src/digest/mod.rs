//! What an owner tells every node about its upstream: coarse and bounded.

use serde::{Deserialize, Serialize};

use crate::cache::Sketch;
use crate::class::{CLASS_COUNT, LengthClass};
use crate::id::Incarnation;
use crate::units::Tokens;

/// One upstream at one moment, as its owner sees it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Digest {
    /// The life of the upstream that this is about.
    pub incarnation: Incarnation,
    /// Memory that is not reserved.
    pub free: Tokens,
    /// Prefill that goes before a new prompt of each class, queue included.
    pub backlog: [Tokens; CLASS_COUNT],
    /// Requests that run or are on their way.
    pub streams: u32,
    /// Requests that wait at the owner.
    pub queued: u32,
    /// The streams that it bears now: ramp, share and limit in one.
    pub limit: u32,
    /// Prompt tokens that it prefills a second, as seen lately.
    pub pace: u32,
    /// Whether it is still warming up.
    pub cold: bool,
    /// The beginnings that it probably has cached.
    pub sketch: Sketch,
}

impl Digest {
    /// The prefill that goes before a prompt of this class.
    #[must_use]
    pub const fn backlog_for(&self, class: LengthClass) -> Tokens {
        self.backlog[class.index()]
    }
}
