//! Content that was in requests when upstreams crashed, and content that is known to be sound.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::time::Time;

/// The number of crashes from which the nodes are asked whether they know content to be sound.
const MIN_CRASHES: u32 = 3;

/// The number of crashes without the content that raise the number needed by one, as content that
/// is seldom used may be in a few crashes by chance where there are many.
const CRASHES_BY_CHANCE: u32 = 8;

/// The number of requests that must have been broken off, as one request may only be unlucky.
const MIN_REQUESTS: usize = 2;

/// Crashes closer together than this count once, as they may have one cause, such as a lost data centre.
const CRASH_SPACING: Duration = Duration::from_millis(200);

/// How long after a crash further reports about the same upstream concern that crash.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// How often the nodes are asked before content is condemned, as datagrams may be lost.
const INQUIRIES: u32 = 3;

/// How long the nodes have to answer an inquiry.
pub const INQUIRY_INTERVAL: Duration = Duration::from_millis(100);

/// The number of suspects that are kept.
const MAX_SUSPECTS: usize = 1_000;

/// The size of one generation of [`Cleared`].
const MAX_CLEARED: usize = 4_096;

/// The longest time in which one generation of [`Cleared`] is filled.
const GENERATION_TIME: Duration = Duration::from_mins(1);

/// A connection that broke before the request on it was answered, as a node reports it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "ReportRow", from = "ReportRow")]
pub struct CrashReport {
    /// The short id of the upstream.
    pub upstream: u32,
    /// A hash of the request's ID.
    pub request: u64,
    /// The content of the request that the node does not know to be sound.
    pub content: Vec<Fingerprint>,
}

/// The fields of a [`CrashReport`] in order.
type ReportRow = (u32, u64, Vec<Fingerprint>);

impl From<CrashReport> for ReportRow {
    fn from(report: CrashReport) -> Self {
        (report.upstream, report.request, report.content)
    }
}

impl From<ReportRow> for CrashReport {
    fn from((upstream, request, content): ReportRow) -> Self {
        Self {
            upstream,
            request,
            content,
        }
    }
}

/// What follows from the reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// Content about which all nodes should be asked whether it is sound.
    pub suspected: Vec<Fingerprint>,
    /// Content that no node knows to be sound, with the number of crashes.
    pub condemned: Vec<(Fingerprint, u32)>,
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    crashes: u32,
    /// When the last crash was counted.
    crashed_at: Time,
    /// The number of all crashes from the first to the last that was counted.
    all_crashes: u32,
    /// The number of all crashes before the first that was counted.
    before: u32,
    upstreams: BTreeMap<u32, Time>,
    requests: BTreeSet<u64>,
    inquiries: u32,
    inquire_at: Time,
}

impl Suspect {
    fn on_crash(&mut self, upstream: u32, request: u64, all_crashes: u32, now: Time) {
        if self.requests.len() < MIN_REQUESTS {
            self.requests.insert(request);
        }
        let known = self.upstreams.get(&upstream);
        let is_same = known.is_some_and(|at| now.since(*at) < SAME_CRASH);
        let is_close = self.crashes > 0 && now.since(self.crashed_at) < CRASH_SPACING;
        if is_same || is_close {
            return;
        }
        if self.crashes == 0 {
            self.before = all_crashes.saturating_sub(1);
        }
        self.crashes += 1;
        self.crashed_at = now;
        self.all_crashes = all_crashes.saturating_sub(self.before);
        self.upstreams.retain(|_, at| now.since(*at) < SAME_CRASH);
        self.upstreams.insert(upstream, now);
    }

    fn is_suspected(&self) -> bool {
        let others = self.all_crashes.saturating_sub(self.crashes);
        self.crashes >= MIN_CRASHES + others / CRASHES_BY_CHANCE
            && self.requests.len() >= MIN_REQUESTS
    }
}

/// The content of requests that broke off, as far as no node is known to have seen it answered.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspects {
    entries: BTreeMap<Fingerprint, Suspect>,
    /// The number of all crashes, of which those close together count once.
    crashes: u32,
    crashed_at: Time,
}

impl Suspects {
    /// Records a crash, and the content of a request that it broke off.
    pub(super) fn on_crash<I>(&mut self, content: I, upstream: u32, request: u64, now: Time)
    where
        I: Iterator<Item = Fingerprint>,
    {
        if self.crashes == 0 || now.since(self.crashed_at) >= CRASH_SPACING {
            self.crashes += 1;
            self.crashed_at = now;
        }
        for one in content {
            let suspect = self.entries.entry(one).or_default();
            suspect.on_crash(upstream, request, self.crashes, now);
        }
        while self.entries.len() > MAX_SUSPECTS {
            let least = self
                .entries
                .iter()
                .min_by_key(|(_, suspect)| (suspect.crashes, suspect.crashed_at))
                .map(|(content, _)| *content);
            let Some(least) = least else { return };
            self.entries.remove(&least);
        }
    }

    pub(super) fn remove(&mut self, content: Fingerprint) {
        self.entries.remove(&content);
    }

    /// Whether nodes have to be asked about any content.
    pub(super) fn has_suspected(&self) -> bool {
        self.entries.values().any(Suspect::is_suspected)
    }

    pub(super) fn poll(&mut self, suspicion: Duration, now: Time) -> Findings {
        let mut findings = Findings::default();
        self.entries
            .retain(|_, suspect| now.since(suspect.crashed_at) < suspicion);
        self.entries.retain(|content, suspect| {
            if !suspect.is_suspected() || now < suspect.inquire_at {
                return true;
            }
            if suspect.inquiries == INQUIRIES {
                findings.condemned.push((*content, suspect.crashes));
                return false;
            }
            suspect.inquiries += 1;
            suspect.inquire_at = now + INQUIRY_INTERVAL;
            findings.suspected.push(*content);
            true
        });
        findings
    }
}

/// The content of requests that were answered lately.
///
/// It is kept in two generations, so that adding and forgetting need no order.
#[derive(Debug, Clone, Default)]
pub(super) struct Cleared {
    young: HashSet<Fingerprint>,
    old: HashSet<Fingerprint>,
    since: Time,
}

impl Cleared {
    pub(super) fn insert(&mut self, content: Fingerprint, now: Time) {
        if self.young.len() >= MAX_CLEARED || now.since(self.since) >= GENERATION_TIME {
            let is_outdated = now.since(self.since) >= GENERATION_TIME * 2;
            let young = std::mem::take(&mut self.young);
            self.old = if is_outdated { HashSet::new() } else { young };
            self.since = now;
        }
        self.young.insert(content);
    }

    pub(super) fn contains(&self, content: Fingerprint, now: Time) -> bool {
        let age = now.since(self.since);
        let in_young = age < GENERATION_TIME * 2 && self.young.contains(&content);
        in_young || (age < GENERATION_TIME && self.old.contains(&content))
    }
}
