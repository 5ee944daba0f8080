//! Trials of content that crashes could not tell apart.
//!
//! Content that was in the same crashes is condemned together, the sound with the deadly. Only a
//! request with some of it and not the rest can tell them apart. It may run as a trial: one at a
//! time in the whole fleet, and only a few that were not shown to be harmless, since each of them
//! may crash an upstream. A record in the store arbitrates, as nodes may not hear each other
//! (see [docs/design/outcomes.md](../../../../docs/design/outcomes.md)).

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::id::Serial;
use crate::object::Version;
use crate::time::Time;

/// The number of trials that may end without proof that they were harmless.
const MAX_UNPROVEN: u32 = 2;

/// How long a running trial holds back others without news; its node may have ended.
const LEASE_TIME: Duration = Duration::from_secs(4);

/// The first pause of a node between two attempts to begin a trial of the same content.
const MIN_PAUSE: Duration = Duration::from_millis(250);

/// The longest such pause, so that a fleet whose nodes all wait calls the store rarely.
const MAX_PAUSE: Duration = Duration::from_secs(4);

/// The trials of content that was condemned together, as the store keeps them.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct TrialRecord {
    /// The trials begun that were not shown to be harmless, the running one included.
    pub unproven: u32,
    /// The running trial.
    pub running: Option<Serial>,
}

impl TrialRecord {
    /// Whether no trial may begin any more.
    #[must_use]
    pub const fn is_exhausted(&self) -> bool {
        self.unproven >= MAX_UNPROVEN
    }

    /// The record after a trial has begun.
    #[must_use]
    pub const fn begin(&self, trial: Serial) -> Self {
        Self {
            unproven: self.unproven + 1,
            running: Some(trial),
        }
    }

    /// The record after a trial has ended.
    #[must_use]
    pub fn end(&self, trial: Serial, is_harmless: bool) -> Self {
        Self {
            unproven: self.unproven.saturating_sub(u32::from(is_harmless)),
            running: self.running.filter(|running| *running != trial),
        }
    }
}

#[derive(Debug, Clone, Copy)]
struct Seen {
    version: Version,
    first_at: Time,
    next_at: Time,
    pause: Duration,
    is_exhausted: bool,
}

/// What one node has seen of the records, which tells when to call the store again.
#[derive(Debug, Clone, Default)]
pub struct TrialWatch {
    records: BTreeMap<Fingerprint, Seen>,
    /// Until when a record may have been lost whose trial still runs.
    held_until: Time,
}

impl TrialWatch {
    /// Holds back all trials for the lease of one, as the store came back from an older copy.
    ///
    /// It may have lost the record of a trial that runs.
    pub fn on_restored(&mut self, now: Time) {
        self.held_until = now + LEASE_TIME;
    }

    /// Whether no trial may begin, as the store came back just now.
    #[must_use]
    pub fn is_held(&self, now: Time) -> bool {
        now < self.held_until
    }

    /// Whether this node should try now to begin a trial, which it may not do at each request.
    pub fn is_due(&mut self, record: Fingerprint, now: Time) -> bool {
        let seen = self.records.entry(record).or_insert(Seen {
            version: Version::NONE,
            first_at: now,
            next_at: now,
            pause: MIN_PAUSE,
            is_exhausted: false,
        });
        if now < seen.next_at || now < self.held_until {
            return false;
        }
        seen.next_at = now + seen.pause;
        seen.pause = (seen.pause * 2).min(MAX_PAUSE);
        true
    }

    /// Whether this node may begin a trial after it has read the record.
    ///
    /// A running trial counts as abandoned if the record has not changed for its lease as long as
    /// this node has known it. Each node counts by itself, as their clocks differ.
    pub fn may_begin(
        &mut self,
        name: Fingerprint,
        record: &TrialRecord,
        version: Version,
        now: Time,
    ) -> bool {
        let Some(seen) = self.records.get_mut(&name) else {
            return false;
        };
        seen.is_exhausted = record.is_exhausted();
        if seen.version != version {
            seen.version = version;
            seen.first_at = now;
        }
        let is_abandoned = now.since(seen.first_at) >= LEASE_TIME;
        !seen.is_exhausted && (record.running.is_none() || is_abandoned)
    }

    /// Whether no trial may begin any more, by the record that this node last read.
    #[must_use]
    pub fn is_exhausted(&self, name: Fingerprint) -> bool {
        self.records
            .get(&name)
            .is_some_and(|seen| seen.is_exhausted)
    }

    /// Forgets a record whose content has been released or told apart.
    pub fn forget(&mut self, record: Fingerprint) {
        self.records.remove(&record);
    }
}
