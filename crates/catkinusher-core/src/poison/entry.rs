//! What is held against one request.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::time::Time;
use crate::units::Span;

/// Parts of one whole crash.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Guilt(u64);

impl Guilt {
    /// No guilt.
    pub const NONE: Self = Self(0);

    /// The guilt of a request that ran alone when its upstream crashed.
    pub const WHOLE: Self = Self(1_000_000);

    /// The guilt of each of `running` requests for one crash.
    #[must_use]
    pub const fn share(running: usize) -> Self {
        if running == 0 {
            return Self::NONE;
        }
        let part = Self::WHOLE.0 / running as u64;
        Self(if part == 0 { 1 } else { part })
    }

    /// Whether this is more than one crash alone, which chance would rarely bring about.
    #[must_use]
    pub const fn is_proof(self) -> bool {
        self.0 > Self::WHOLE.0
    }

    /// The bare count, in millionths of a crash.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Guilt {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0 as f64 / Self::WHOLE.0 as f64)
    }
}

/// One entry on its way to a peer; its life is a duration, since clocks differ.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// All guilt ever added.
    pub blamed: Guilt,
    /// The part of it that was cleared.
    pub pardoned: Guilt,
    /// How long the entry still holds.
    pub life: Span,
}

/// Guilt as two sums that only grow, so that merging settles whatever the order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) blamed: Guilt,
    pub(super) pardoned: Guilt,
    pub(super) until: Time,
}

impl Entry {
    pub(super) const fn guilt(&self) -> Guilt {
        Guilt(self.blamed.0.saturating_sub(self.pardoned.0))
    }

    pub(super) const fn blame(&mut self, share: Guilt) {
        self.blamed = Guilt(self.blamed.0.saturating_add(share.0));
    }

    pub(super) const fn pardon(&mut self) {
        self.pardoned = self.blamed;
    }

    pub(super) fn merge(&mut self, rumour: &QuarantineEntry, until: Time) {
        self.blamed = self.blamed.max(rumour.blamed);
        self.pardoned = self.pardoned.max(rumour.pardoned);
        self.until = self.until.max(until);
    }

    pub(super) fn rumour(&self, fingerprint: Fingerprint, now: Time) -> QuarantineEntry {
        QuarantineEntry {
            fingerprint,
            blamed: self.blamed,
            pardoned: self.pardoned,
            life: Span::new(self.until.since(now)),
        }
    }
}
