//! Keeping requests that crash upstreams from taking down one after another.
//!
//! Every request in flight at a crash shares the guilt. Those are suspects and
//! run apart from then on; one that crashes an upstream alone is proven and
//! refused everywhere, until its entry expires.

mod entry;

use std::collections::BTreeMap;
use std::hash::Hasher as _;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3Default;

use self::entry::Entry;
pub use self::entry::{Guilt, QuarantineEntry};
use crate::fingerprint::Fingerprint;
use crate::time::Time;
use crate::units::Span;

/// Bounds of the set of suspects.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// The most entries that are kept.
    pub entries: usize,
    /// How long a suspect is remembered after its last crash.
    pub suspicion: Span,
    /// How long a proven request is refused.
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
    /// Like any other.
    Run,
    /// On an upstream where nothing else runs.
    #[serde(rename = "apart")]
    Isolated,
    /// Not at all, for this long.
    Refuse {
        /// The time left.
        left: Span,
    },
}

/// The requests held guilty of crashes, as one node knows them.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    policy: Policy,
    entries: BTreeMap<Fingerprint, Entry>,
}

impl Quarantine {
    /// An empty set.
    #[must_use]
    pub const fn new(policy: Policy) -> Self {
        Self {
            policy,
            entries: BTreeMap::new(),
        }
    }

    /// Says how a request may run.
    #[must_use]
    pub fn check(&self, fingerprint: Fingerprint, now: Time) -> Verdict {
        let Some(entry) = self.entries.get(&fingerprint) else {
            return Verdict::Run;
        };
        if entry.until <= now {
            return Verdict::Run;
        }
        match entry.guilt() {
            guilt if guilt.is_proof() => Verdict::Refuse {
                left: Span::new(entry.until.since(now)),
            },
            Guilt::NONE => Verdict::Run,
            _ => Verdict::Isolated,
        }
    }

    /// Takes in that an upstream crashed while these ran on it, and shares the guilt.
    pub fn on_crash(&mut self, running: &[Fingerprint], now: Time) {
        let share = Guilt::share(running.len());
        for fingerprint in running {
            self.blame(*fingerprint, share, now);
        }
        self.shrink(now);
    }

    fn blame(&mut self, fingerprint: Fingerprint, share: Guilt, now: Time) {
        let policy = self.policy;
        let entry = self.entries.entry(fingerprint).or_default();
        if entry.until <= now {
            *entry = Entry::default();
        }
        entry.blame(share);
        let life = if entry.guilt().is_proof() {
            policy.quarantine
        } else {
            policy.suspicion
        };
        entry.until = now + life.get();
    }

    /// Takes in that a suspect ran apart to its end, which clears it.
    pub fn on_finish(&mut self, fingerprint: Fingerprint) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.pardon();
        }
    }

    /// Forgets what has expired.
    pub fn on_time(&mut self, now: Time) {
        self.entries.retain(|_, entry| entry.until > now);
    }

    // The least guilty go first: forgetting a proven one costs upstreams.
    fn shrink(&mut self, now: Time) {
        self.on_time(now);
        while self.entries.len() > self.policy.entries {
            let least = self
                .entries
                .iter()
                .min_by_key(|(_, entry)| (entry.guilt(), entry.until))
                .map(|(fingerprint, _)| *fingerprint);
            let Some(least) = least else { return };
            self.entries.remove(&least);
        }
    }

    /// A digest that is alike on nodes that know the same guilt.
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

    /// All entries, for a peer whose digest differs.
    #[must_use]
    pub fn rumours(&self, now: Time) -> Vec<QuarantineEntry> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.until > now)
            .map(|(fingerprint, entry)| entry.rumour(*fingerprint, now))
            .collect()
    }

    /// Takes in a peer's entries; merging twice or in another order changes nothing.
    pub fn merge(&mut self, rumours: &[QuarantineEntry], now: Time) {
        let longest = self.policy.quarantine.max(self.policy.suspicion);
        for rumour in rumours {
            let life = rumour.life.min(longest);
            let entry = self.entries.entry(rumour.fingerprint).or_default();
            entry.merge(rumour, now + life.get());
        }
        self.shrink(now);
    }

    /// The entries held.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
