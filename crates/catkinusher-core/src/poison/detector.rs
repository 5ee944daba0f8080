//! Detection of content that crashes upstreams where no node sees all requests of an upstream.

use std::net::SocketAddr;

use super::suspects::{Cleared, CrashReport, Findings, Inquiry, InquiryReply, Suspects};
use super::{Policy, Quarantine, QuarantineEntry, Verdict};
use crate::fingerprint::Fingerprint;
use crate::id::Incarnation;
use crate::time::Time;
use crate::units::Span;

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

    /// Records that a request with this content was answered, which clears it.
    pub fn on_answered(&mut self, content: &[Fingerprint], now: Time) {
        for one in content {
            self.suspects.remove(*one);
            self.cleared.insert(*one, now);
        }
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

    fn is_cleared(&self, content: Fingerprint, now: Time) -> bool {
        self.cleared.contains(content, now) || self.heard.contains(content, now)
    }

    fn is_condemned(&self, content: Fingerprint, now: Time) -> bool {
        self.refused_for(&[content], now).is_some()
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

    /// Decides on the suspected content in a fleet with this number of other nodes, and puts the
    /// condemned into quarantine.
    pub fn poll(&mut self, others: usize, now: Time) -> Findings {
        let suspicion = self.policy.suspicion.get();
        let findings = self.suspects.poll(suspicion, others, now);
        let condemned = findings.condemned.iter();
        let entries: Vec<_> = condemned
            .map(|(content, crashes)| {
                QuarantineEntry::proven(*content, *crashes, self.policy.quarantine)
            })
            .collect();
        self.quarantine.merge(&entries, now);
        findings
    }

    /// Takes over entries that another node or the store has, and returns those that are new.
    pub fn on_entries(&mut self, entries: &[QuarantineEntry], now: Time) -> Vec<Fingerprint> {
        let contents = entries.iter().map(|entry| entry.fingerprint);
        let new: Vec<_> = contents
            .filter(|one| self.refused_for(&[*one], now).is_none())
            .collect();
        for entry in entries {
            self.suspects.on_condemned(entry.fingerprint);
        }
        self.quarantine.on_time(now);
        self.quarantine.merge(entries, now);
        new
    }

    /// Releases content whose entry an operator has removed.
    pub fn release(&mut self, content: Fingerprint) -> bool {
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
