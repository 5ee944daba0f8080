//! Detection of content that crashes upstreams where no node sees all requests of an upstream.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::suspects::{
    Cleared, CrashReport, Findings, Inquiry, InquiryReply, MIN_CRASHES, Others, Suspects,
};
use super::{Policy, Quarantine, QuarantineEntry, Verdict};
use crate::fingerprint::Fingerprint;
use crate::id::Incarnation;
use crate::time::Time;
use crate::units::Span;

/// Content in quarantine, as nodes tell each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Condemned {
    /// Its entry.
    pub entry: QuarantineEntry,
    /// The content, this one included, of which at least one crashes upstreams.
    pub alike: BTreeSet<Fingerprint>,
}

/// Whether a request with some content may be sent to an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Permission {
    /// It may.
    Run,
    /// Only as a trial of this content, which may be sound (see [`TrialRecord`](super::TrialRecord)).
    Trial(BTreeSet<Fingerprint>),
    /// It may not until the quarantine ends.
    Refuse {
        /// Time until the quarantine ends.
        left: Span,
    },
}

/// Finds by elimination which content of requests crashes upstreams.
///
/// The content of a request is whatever others may have in common with it: each
/// shared part of its prompt, and the request as a whole. An upstream that crashes
/// breaks off all its requests, so the content of those that it had not begun to
/// answer is reported to one or two nodes that carry this duty. Content in several
/// crashes is suspected, and condemned unless a node knows a request with it that
/// was answered. The parts that a deadly request shares with sound ones are cleared
/// by these (see [docs/design/outcomes.md](../../../../docs/design/outcomes.md)).
#[derive(Debug, Clone, Default)]
pub struct Detector {
    policy: Policy,
    quarantine: Quarantine,
    /// For condemned content, the smallest set with it of which one is known to crash upstreams.
    guilty: BTreeMap<Fingerprint, BTreeSet<Fingerprint>>,
    suspects: Suspects,
    /// What this node itself saw answered.
    cleared: Cleared,
    /// What other nodes saw answered, which this node does not pass on.
    heard: Cleared,
}

impl Detector {
    /// Creates the detector of a process, which knows no content.
    #[must_use]
    pub fn new(process: Incarnation, policy: Policy) -> Self {
        Self {
            policy,
            quarantine: Quarantine::new(policy),
            suspects: Suspects::new(process),
            ..Self::default()
        }
    }

    /// The time for which a request with this content is refused, if any of it is in quarantine.
    #[must_use]
    pub fn refused_for(&self, content: &[Fingerprint], now: Time) -> Option<Span> {
        let left = |one: &Fingerprint| match self.quarantine.check(*one, now) {
            Verdict::Refuse { left } => Some(left),
            Verdict::Run | Verdict::Isolated => None,
        };
        content.iter().filter_map(left).max()
    }

    /// Whether a request with this content may run.
    ///
    /// It may not if all of a guilty set is in it. If each set has content besides, the request
    /// may show which it is.
    #[must_use]
    pub fn check(&self, content: &[Fingerprint], now: Time) -> Permission {
        let Some(left) = self.refused_for(content, now) else {
            return Permission::Run;
        };
        let condemned = content.iter().filter(|one| self.is_condemned(**one, now));
        let condemned: BTreeSet<Fingerprint> = condemned.copied().collect();
        let holds_cause = |one: &Fingerprint| {
            self.guilty.get(one).is_none_or(|guilty| {
                let mut rest = guilty.iter().filter(|other| {
                    **other == Fingerprint::UNKNOWN || self.is_condemned(**other, now)
                });
                rest.all(|other| condemned.contains(other))
            })
        };
        if condemned.iter().any(holds_cause) {
            Permission::Refuse { left }
        } else {
            Permission::Trial(condemned)
        }
    }

    /// The record in the store that arbitrates the trials of this content.
    #[must_use]
    pub fn trial_record(&self, content: &BTreeSet<Fingerprint>) -> Option<Fingerprint> {
        let sets = content.iter().filter_map(|one| self.guilty.get(one));
        let known = sets.flatten().filter(|one| **one != Fingerprint::UNKNOWN);
        known.min().copied()
    }

    /// Records that a request with this content was answered, which clears it.
    ///
    /// Returns what of it was in quarantine and is released.
    pub fn on_answered(&mut self, content: &[Fingerprint], now: Time) -> Vec<Fingerprint> {
        for one in content {
            self.cleared.insert(*one, now);
        }
        self.exonerate(content)
    }

    /// Takes over that another node saw content answered which was in quarantine, and returns
    /// what is released here.
    pub fn on_released(&mut self, content: &[Fingerprint], now: Time) -> Vec<Fingerprint> {
        for one in content {
            self.heard.insert(*one, now);
        }
        self.exonerate(content)
    }

    /// Drops what stands against content, and returns what of it is released.
    fn exonerate(&mut self, content: &[Fingerprint]) -> Vec<Fingerprint> {
        for one in content {
            self.suspects.remove(*one);
        }
        let released = content.iter().filter(|one| self.release(**one));
        released.copied().collect()
    }

    /// Records that a trial of this content crashed its upstream, and returns what to tell the others.
    pub fn on_trial_crashed(
        &mut self,
        content: &BTreeSet<Fingerprint>,
        now: Time,
    ) -> Vec<Condemned> {
        let condemned = content.iter().filter_map(|one| {
            let left = self.refused_for(&[*one], now)?;
            Some(Condemned {
                entry: QuarantineEntry::proven(*one, MIN_CRASHES as u32, left),
                alike: content.clone(),
            })
        });
        let condemned: Vec<_> = condemned.collect();
        self.on_entries(&condemned, now);
        condemned
    }

    /// The report for a request with this content that broke off unanswered, unless the request is
    /// known to be sound.
    ///
    /// The content is that of [`Content::fingerprints`](super::Content::fingerprints); `begun` tells
    /// whether the upstream had begun to answer.
    #[must_use]
    pub fn report(
        &self,
        upstream: u32,
        request: u64,
        content: &[Fingerprint],
        begun: bool,
        now: Time,
    ) -> Option<CrashReport> {
        let (whole, parts) = content.split_last()?;
        if self.is_cleared(*whole, now) {
            return None;
        }
        let condemned = parts.iter().find(|part| self.is_condemned(**part, now));
        let parts = if let Some(condemned) = condemned {
            vec![*condemned]
        } else {
            let unknown = parts.iter().filter(|part| !self.is_cleared(**part, now));
            unknown.copied().collect()
        };
        Some(CrashReport {
            upstream,
            request,
            parts,
            whole: *whole,
            begun,
        })
    }

    /// Whether a request with this content is known to have been answered.
    #[must_use]
    pub fn is_cleared(&self, content: Fingerprint, now: Time) -> bool {
        self.cleared.contains(content, now) || self.heard.contains(content, now)
    }

    /// Whether content is in quarantine.
    #[must_use]
    pub fn is_condemned(&self, content: Fingerprint, now: Time) -> bool {
        self.refused_for(&[content], now).is_some()
    }

    /// All content in quarantine.
    #[must_use]
    pub fn condemned(&self, now: Time) -> Vec<Condemned> {
        let entries = self.quarantine.entries_for_peer(now).into_iter();
        let condemned = entries.filter_map(|entry| {
            let alike = self.guilty.get(&entry.fingerprint)?.clone();
            Some(Condemned { entry, alike })
        });
        condemned.collect()
    }

    /// Records a report of a node.
    pub fn on_report(&mut self, report: &CrashReport, now: Time) {
        let mut parts = report.parts.iter();
        if parts.any(|part| self.is_condemned(*part, now)) {
            self.suspects.on_explained(now);
            return;
        }
        let mut report = report.clone();
        report.parts.retain(|part| !self.is_cleared(*part, now));
        self.suspects.on_crash(&report, now);
    }

    /// The reply to another node's inquiry, by what this node itself saw.
    #[must_use]
    pub fn reply(&self, inquiry: &Inquiry, now: Time) -> InquiryReply {
        let content = inquiry.content.iter().copied();
        let cleared = content.filter(|one| self.cleared.contains(*one, now));
        InquiryReply {
            serial: inquiry.serial,
            cleared: cleared.collect(),
        }
    }

    /// Records a node's reply to an inquiry.
    pub fn on_reply(&mut self, reply: &InquiryReply, node: SocketAddr, now: Time) {
        for one in &reply.cleared {
            self.suspects.remove(*one);
            self.heard.insert(*one, now);
        }
        self.suspects.on_reply(reply.serial, node);
    }

    /// Whether inquiries are due, so that [`poll`](Self::poll) has to be called.
    #[must_use]
    pub fn has_suspected(&self) -> bool {
        self.suspects.has_suspected()
    }

    /// Decides on the suspected content in a fleet with these other nodes, and puts the condemned
    /// into quarantine.
    pub fn poll(&mut self, others: Others, now: Time) -> Findings {
        let suspicion = self.policy.suspicion.get();
        let findings = self.suspects.poll(suspicion, others, now);
        let left = self.policy.quarantine;
        let condemned = findings.condemned.iter().map(|finding| Condemned {
            entry: QuarantineEntry::proven(finding.content, finding.crashes, left),
            alike: finding.alike.clone(),
        });
        let condemned: Vec<_> = condemned.collect();
        self.merge(&condemned, now);
        findings
    }

    /// Takes over content that another node or the store has condemned, and returns what is new.
    ///
    /// What is known to be sound stays free, as the message may be older than the answer.
    pub fn on_entries(&mut self, condemned: &[Condemned], now: Time) -> Vec<Fingerprint> {
        let suspected = condemned
            .iter()
            .filter(|one| !self.is_cleared(one.entry.fingerprint, now));
        let suspected: Vec<_> = suspected.cloned().collect();
        let contents = suspected.iter().map(|one| one.entry.fingerprint);
        let new: Vec<_> = contents
            .filter(|one| !self.is_condemned(*one, now))
            .collect();
        for one in &suspected {
            self.suspects.on_condemned(one.entry.fingerprint);
        }
        self.quarantine.on_time(now);
        self.merge(&suspected, now);
        new
    }

    fn merge(&mut self, condemned: &[Condemned], now: Time) {
        let entries: Vec<_> = condemned.iter().map(|one| one.entry).collect();
        self.quarantine.merge(&entries, now);
        for Condemned { entry, alike } in condemned {
            let guilty = self
                .guilty
                .entry(entry.fingerprint)
                .or_insert_with(|| alike.clone());
            // The smaller set says more, whatever the order in which they arrive.
            if (alike.len(), alike) < (guilty.len(), &*guilty) {
                guilty.clone_from(alike);
            }
        }
        self.guilty
            .retain(|content, _| self.quarantine.contains(*content));
    }

    /// Releases content whose entry an operator has removed.
    pub fn release(&mut self, content: Fingerprint) -> bool {
        self.guilty.remove(&content);
        self.quarantine.remove(content)
    }

    /// The number of quarantined contents.
    #[must_use]
    pub fn quarantined(&self) -> usize {
        self.quarantine.len()
    }

    /// The time for which condemned content is refused.
    #[must_use]
    pub const fn quarantine_time(&self) -> Span {
        self.policy.quarantine
    }
}
