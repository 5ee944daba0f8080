//! Quarantine of requests that crash upstreams, so that a request cannot crash one after another.
//!
//! Each crash is attributed in equal parts to all requests in flight. These
//! requests are suspects and run alone on an upstream from then on. A suspect
//! that crashes an upstream while running alone is proven to be the cause, and
//! every node refuses it until its entry expires.
//!
//! Where no node knows all requests of an upstream, a [`Detector`] finds the cause
//! by elimination.

mod content;
mod detector;
mod entry;
mod suspects;
mod trial;

use std::collections::BTreeMap;
use std::hash::Hasher as _;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

pub use self::content::Content;
pub use self::detector::{Condemned, Detector, Permission};
use self::entry::Entry;
pub use self::entry::{CrashScore, QuarantineEntry};
pub use self::suspects::{
    CrashReport, Finding, Findings, INQUIRY_INTERVAL, Inquiry, InquiryReply, Others,
};
pub use self::trial::{TrialRecord, TrialWatch};
use crate::fingerprint::Fingerprint;
use crate::time::Time;
use crate::units::Span;

/// Bounds on the set of suspect requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Maximum number of entries.
    pub entries: usize,
    /// Lifetime of the entry of a suspect after its last crash.
    pub suspicion: Span,
    /// Time for which a proven request is refused.
    pub quarantine: Span,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            entries: 2_000,
            suspicion: Span::from_secs(600),
            quarantine: Span::from_secs(3_600),
        }
    }
}

/// How a request may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Like any other request.
    Run,
    /// Alone on an upstream.
    #[serde(rename = "apart")]
    Isolated,
    /// Not at all until the quarantine ends.
    Refuse {
        /// Time until the quarantine ends.
        left: Span,
    },
}

/// The requests suspected or proven to crash upstreams, as known to one node.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    policy: Policy,
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// Creates an empty set.
    #[must_use]
    pub const fn new(policy: Policy) -> Self {
        Self {
            policy,
            entries: BTreeMap::new(),
        }
    }

    /// Returns how a request may run.
    #[must_use]
    pub fn check(&self, fingerprint: Fingerprint, now: Time) -> Verdict {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Verdict::Run;
        };
        if entry.expires_at <= now {
            return Verdict::Run;
        }
        match entry.score() {
            score if score.is_conclusive() => Verdict::Refuse {
                left: Span::new(entry.expires_at.since(now)),
            },
            CrashScore::ZERO => Verdict::Run,
            _ => Verdict::Isolated,
        }
    }

    /// Records that an upstream crashed while these requests ran on it, and divides the blame
    /// among them.
    pub fn on_crash(&mut self, running: &[Fingerprint], now: Time) {
        let score = CrashScore::per_request(running.len());
        for fingerprint in running {
            self.add_blame(*fingerprint, score, now);
        }
        self.enforce_bound(now);
    }

    fn add_blame(&mut self, fingerprint: Fingerprint, score: CrashScore, now: Time) {
        let policy = self.policy;
        let entry = self.entries.entry(fingerprint).or_default();
        if entry.expires_at <= now {
            *entry = Entry::default();
        }
        entry.add_blame(score);
        let life = if entry.score().is_conclusive() {
            policy.quarantine
        } else {
            policy.suspicion
        };
        entry.expires_at = now + life.get();
    }

    /// Records that a suspect ran alone to its end, which clears it.
    pub fn on_finish(&mut self, fingerprint: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.clear_blame();
        }
    }

    /// Removes an entry, and returns whether there was one.
    pub fn remove(&mut self, fingerprint: Fingerprint) -> bool {
        self.entries.remove(&fingerprint).is_some()
    }

    /// Whether there is an entry.
    #[must_use]
    pub fn contains(&self, fingerprint: Fingerprint) -> bool {
        self.entries.contains_key(&fingerprint)
    }

    /// Removes expired entries.
    pub fn on_time(&mut self, now: Time) {
        self.entries.retain(|_, entry| entry.expires_at > now);
    }

    // Entries with the lowest score are removed first, because a proven request that is forgotten
    // crashes upstreams again.
    fn enforce_bound(&mut self, now: Time) {
        self.on_time(now);
        while self.entries.len() > self.policy.entries {
            let lowest = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| (entry.score(), entry.expires_at))
                .map(|(fingerprint, _)| *fingerprint);
            let Some(lowest) = lowest else { return };
            self.entries.remove(&lowest);
        }
    }

    /// A digest that is equal on nodes with the same scores.
    #[must_use]
    pub fn digest(&self) -> u64 {
        let mut digest = Xxh3Default::new();
        for (fingerprint, entry) in &self.entries {
            digest.write_u64(fingerprint.spread());
            digest.write_u64(entry.blamed.get());
            digest.write_u64(entry.pardoned.get());
        }
        digest.finish()
    }

    /// All entries, to send to a peer whose digest differs.
    #[must_use]
    pub fn entries_for_peer(&self, now: Time) -> Vec<QuarantineEntry> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.expires_at > now)
            .map(|(fingerprint, entry)| entry.peer_entry(*fingerprint, now))
            .collect()
    }

    /// Merges a peer's entries. Merging is idempotent and commutative.
    pub fn merge(&mut self, received: &[QuarantineEntry], now: Time) {
        let longest = self.policy.quarantine.max(self.policy.suspicion);
        for peer_entry in received {
            let life = peer_entry.life.min(longest);
            let entry = self.entries.entry(peer_entry.fingerprint).or_default();
            entry.merge(peer_entry, now + life.get());
        }
        self.enforce_bound(now);
    }

    /// The number of entries.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there are no entries.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
