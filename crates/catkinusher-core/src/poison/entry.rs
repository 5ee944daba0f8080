//! The crash score of one request.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::time::Time;
use crate::units::Span;

/// How much of the responsibility for crashes is attributed to one request.
///
/// Each crash counts as one unit, divided evenly among the requests that were
/// running. Stored in millionths of a crash.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct CrashScore(u64);

impl CrashScore {
    /// No crash attributed.
    pub const ZERO: Self = Self(0);

    /// The score of a request that ran alone when its upstream crashed.
    pub const ONE_CRASH: Self = Self(1_000_000);

    /// The score that each of `running` requests gets for one crash.
    #[must_use]
    pub const fn per_request(running: usize) -> Self {
        if running == 0 {
            return Self::ZERO;
        }
        let part = Self::ONE_CRASH.0 / running as u64;
        Self(if part == 0 { 1 } else { part })
    }

    /// The score of this number of whole crashes.
    #[must_use]
    pub const fn of_crashes(crashes: u32) -> Self {
        Self(Self::ONE_CRASH.0 * crashes as u64)
    }

    /// Whether the score exceeds one whole crash, which is unlikely to be coincidence.
    #[must_use]
    pub const fn is_conclusive(self) -> bool {
        self.0 > Self::ONE_CRASH.0
    }

    /// The score in millionths of a crash.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for CrashScore {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:.3}", self.0 as f64 / Self::ONE_CRASH.0 as f64)
    }
}

/// A quarantine entry as sent to a peer. Its lifetime is a duration, because clocks differ
/// between nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct QuarantineEntry {
    /// The fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// Sum of all scores added.
    pub blamed: CrashScore,
    /// The part of that sum that was cleared.
    pub pardoned: CrashScore,
    /// Time until the entry expires.
    pub life: Span,
}

impl QuarantineEntry {
    /// The entry of content that is proven to have crashed upstreams, with the time that is left of it.
    #[must_use]
    pub const fn proven(content: Fingerprint, crashes: u32, left: Span) -> Self {
        Self {
            fingerprint: content,
            blamed: CrashScore::of_crashes(crashes),
            pardoned: CrashScore::ZERO,
            life: left,
        }
    }
}

impl QuarantineEntry {
    /// The number of whole crashes that it stands for.
    #[must_use]
    pub const fn crashes(&self) -> u32 {
        (self.blamed.0 / CrashScore::ONE_CRASH.0) as u32
    }
}

/// A score stored as two sums that only grow and merge by maximum, so that merging converges in
/// any order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Entry {
    pub(super) blamed: CrashScore,
    pub(super) pardoned: CrashScore,
    pub(super) expires_at: Time,
}

impl Entry {
    pub(super) const fn score(&self) -> CrashScore {
        CrashScore(self.blamed.0.saturating_sub(self.pardoned.0))
    }

    pub(super) const fn add_blame(&mut self, score: CrashScore) {
        self.blamed = CrashScore(self.blamed.0.saturating_add(score.0));
    }

    pub(super) const fn clear_blame(&mut self) {
        self.pardoned = self.blamed;
    }

    pub(super) fn merge(&mut self, received: &QuarantineEntry, expires_at: Time) {
        self.blamed = self.blamed.max(received.blamed);
        self.pardoned = self.pardoned.max(received.pardoned);
        self.expires_at = self.expires_at.max(expires_at);
    }

    pub(super) fn peer_entry(&self, fingerprint: Fingerprint, now: Time) -> QuarantineEntry {
        QuarantineEntry {
            fingerprint,
            blamed: self.blamed,
            pardoned: self.pardoned,
            life: Span::new(self.expires_at.since(now)),
        }
    }
}
