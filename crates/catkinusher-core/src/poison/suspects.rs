//! Content that was in requests when upstreams crashed, and content that is known to be sound.

use std::collections::{BTreeMap, BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::id::{Incarnation, Serial};
use crate::time::Time;

/// The number of crashes from which the nodes are asked whether they know content to be sound.
pub(super) const MIN_CRASHES: usize = 3;

/// The number of crashes without the content that raise the number needed by one, as content that
/// is seldom used may be in a few crashes by chance where there are many.
const CRASHES_BY_CHANCE: usize = 8;

/// The time that raises the number needed by one, whatever else crashes: other content may be deadly, too.
const TIME_BY_CHANCE: Duration = Duration::from_secs(2);

/// The number of requests that must have been broken off, as one request may only be unlucky.
///
/// For a part these are different ones, as its parts cannot be told from a request that comes again.
const MIN_REQUESTS: usize = 2;

/// Crashes closer together than this count once, as they may have one cause, such as a lost data centre.
const CRASH_SPACING: Duration = Duration::from_millis(200);

/// How long after a crash further reports about the same upstream concern that crash.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// How often the nodes are asked before content is condemned, as datagrams may be lost.
const INQUIRIES: u32 = 3;

/// The share of the other nodes that must have answered, as a node that is cut off from them knows
/// nothing of what they saw.
const QUORUM: f64 = 0.5;

/// The number of inquiries after which the nodes that were heard lately decide, in doubt.
const DOUBTFUL_INQUIRIES: u32 = 5;

/// The number of parts in one report.
const MAX_REPORTED: usize = 128;

/// The number of suspects in one inquiry, so that it and its answers fit into a datagram.
const MAX_INQUIRY: usize = 100;

/// How long the nodes have to answer an inquiry.
pub const INQUIRY_INTERVAL: Duration = Duration::from_millis(100);

/// The most doublings of that time while too few nodes answer.
const MAX_DOUBLINGS: u32 = 5;

/// The number of crashes that are kept of one suspect.
const MAX_CRASHES: usize = 64;

/// The number of crashes that are kept whose cause is known.
const MAX_EXPLAINED: usize = 256;

/// The number of suspects that are kept.
const MAX_SUSPECTS: usize = 8_000;

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
    /// The shared parts of the request that the node does not know to be sound, or one that is
    /// condemned.
    pub parts: Vec<Fingerprint>,
    /// The request as a whole.
    pub whole: Fingerprint,
    /// Whether the upstream had begun to answer it, as it has when the request makes it crash.
    pub begun: bool,
}

impl CrashReport {
    /// Reports that say the same together and have so few parts that each fits into a datagram.
    pub fn split(self) -> impl Iterator<Item = Self> {
        let chunks = self.parts.chunks(MAX_REPORTED).map(<[_]>::to_vec);
        let mut chunks: Vec<_> = chunks.collect();
        if chunks.is_empty() {
            chunks.push(Vec::new());
        }
        chunks.into_iter().map(move |parts| Self {
            parts,
            ..self.clone()
        })
    }
}

/// The fields of a [`CrashReport`] in order.
type ReportRow = (u32, u64, Vec<Fingerprint>, Fingerprint, bool);

impl From<CrashReport> for ReportRow {
    fn from(report: CrashReport) -> Self {
        let CrashReport {
            upstream,
            request,
            parts,
            whole,
            begun,
        } = report;
        (upstream, request, parts, whole, begun)
    }
}

impl From<ReportRow> for CrashReport {
    fn from((upstream, request, parts, whole, begun): ReportRow) -> Self {
        Self {
            upstream,
            request,
            parts,
            whole,
            begun,
        }
    }
}

/// The other nodes, as far as the one that collects reports knows.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Others {
    /// How many are registered, which those are that were lost for good, too.
    pub registered: usize,
    /// How many were heard lately.
    pub present: usize,
}

/// How far the nodes agree on a suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Agreement {
    /// Enough of the registered ones have answered.
    Whole,
    /// Enough of those have answered that were heard lately, which may be one side of a partition.
    Doubtful,
}

/// Content that no node knows to be sound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finding {
    /// The content.
    pub content: Fingerprint,
    /// The number of crashes.
    pub crashes: u32,
    /// The parts, this one included, that were in the same crashes; any of them may be the cause.
    /// [`Fingerprint::UNKNOWN`] among them stands for what nodes may know that did not answer.
    pub alike: BTreeSet<Fingerprint>,
}

/// What follows from the reports.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Findings {
    /// The question for all nodes, if there is one.
    pub inquiry: Option<Inquiry>,
    /// Content that no node knows to be sound.
    pub condemned: Vec<Finding>,
}

/// The question whether content is known to be sound.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Inquiry {
    /// The serial of the inquiry, which replies repeat.
    pub serial: Serial,
    /// The suspected content.
    pub content: Vec<Fingerprint>,
}

/// A node's reply to an inquiry, which also tells that it knows nothing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct InquiryReply {
    /// The serial of the inquiry.
    pub serial: Serial,
    /// The content that the node itself saw answered.
    pub cleared: Vec<Fingerprint>,
}

#[derive(Debug, Clone, Default)]
struct Suspect {
    /// Whether it is a request as a whole, rather than a part.
    is_whole: bool,
    /// The numbers of the crashes, and when the first and the last of them were.
    crashes: BTreeSet<u32>,
    first_at: Time,
    last_at: Time,
    upstreams: BTreeMap<u32, Time>,
    requests: BTreeSet<u64>,
    /// How many requests with it broke off that their upstream had begun to answer.
    begun: u32,
    inquiries: u32,
    inquire_at: Time,
    /// The numbers of the first and the last inquiry about it.
    asked: Option<(u64, u64)>,
    /// The nodes that replied.
    repliers: BTreeSet<SocketAddr>,
}

impl Suspect {
    fn on_crash(&mut self, crash: u32, upstream: u32, request: u64, now: Time) {
        if self.requests.len() < MIN_REQUESTS {
            self.requests.insert(request);
        }
        let known = self.upstreams.get(&upstream);
        let is_same = known.is_some_and(|at| now.since(*at) < SAME_CRASH);
        let is_close = !self.crashes.is_empty() && now.since(self.last_at) < CRASH_SPACING;
        if is_same || is_close || self.crashes.len() >= MAX_CRASHES {
            return;
        }
        if self.crashes.is_empty() {
            self.first_at = now;
        }
        self.last_at = now;
        self.crashes.insert(crash);
        self.upstreams.retain(|_, at| now.since(*at) < SAME_CRASH);
        self.upstreams.insert(upstream, now);
    }

    /// Whether it is in too many crashes for chance; `explained` are those with another cause.
    fn is_suspected(&self, explained: &BTreeMap<u32, Cause>) -> bool {
        let (Some(first), Some(last)) = (self.crashes.first(), self.crashes.last()) else {
            return false;
        };
        let all = (last - first + 1) as usize - explained.range(*first..=*last).count();
        let others = all.saturating_sub(self.crashes.len()) / CRASHES_BY_CHANCE;
        let time = self.last_at.since(self.first_at).as_secs() / TIME_BY_CHANCE.as_secs();
        self.crashes.len() >= MIN_CRASHES + others.min(time as usize)
            && self.requests.len() >= MIN_REQUESTS
    }

    const fn cause(&self) -> Cause {
        if self.is_whole {
            Cause::Whole
        } else {
            Cause::Part
        }
    }

    fn was_asked(&self, number: u64) -> bool {
        self.asked
            .is_some_and(|(first, last)| (first..=last).contains(&number))
    }
}

/// The condemned content that explains a crash.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Cause {
    Part,
    /// A request as a whole, any part of which may be the cause.
    Whole,
}

impl Cause {
    /// Whether it leaves nothing against a suspect.
    fn exonerates(self, suspect: &Suspect) -> bool {
        self == Self::Part || suspect.is_whole
    }
}

/// The content of requests that broke off, as far as no node is known to have seen it answered.
#[derive(Debug, Clone, Default)]
pub(super) struct Suspects {
    process: Incarnation,
    entries: BTreeMap<Fingerprint, Suspect>,
    /// The number of the last crash; those close together have the same.
    crash: u32,
    crashed_at: Time,
    /// The crashes in which a request had content that was condemned.
    explained: BTreeMap<u32, Cause>,
    inquiries: u64,
}

impl Suspects {
    pub(super) fn new(process: Incarnation) -> Self {
        Self {
            process,
            ..Self::default()
        }
    }

    fn number_crash(&mut self, now: Time) -> u32 {
        if self.crash == 0 || now.since(self.crashed_at) >= CRASH_SPACING {
            self.crash += 1;
            self.crashed_at = now;
        }
        self.crash
    }

    /// Records a crash, and the content of a request that it broke off.
    pub(super) fn on_crash(&mut self, report: &CrashReport, now: Time) {
        let crash = self.number_crash(now);
        let CrashReport {
            upstream,
            request,
            parts,
            whole,
            begun,
        } = report;
        let parts = parts.iter().map(|part| (*part, false, whole.spread()));
        for (content, is_whole, request) in parts.chain([(*whole, true, *request)]) {
            let suspect = self.entries.entry(content).or_default();
            suspect.is_whole = is_whole;
            let cause = self.explained.get(&crash);
            if !cause.is_some_and(|cause| cause.exonerates(suspect)) {
                suspect.begun += u32::from(*begun);
                suspect.on_crash(crash, *upstream, request, now);
            }
        }
        self.enforce_bound();
    }

    /// Drops the suspects with the fewest crashes, half of all that are kept at once, so that
    /// many new ones cost little.
    fn enforce_bound(&mut self) {
        if self.entries.len() <= MAX_SUSPECTS {
            return;
        }
        let mut order: Vec<_> = self
            .entries
            .iter()
            .map(|(content, suspect)| (suspect.crashes.len(), suspect.last_at, *content))
            .collect();
        order.sort_unstable();
        order.truncate(MAX_SUSPECTS / 2);
        for (_, _, content) in order {
            self.entries.remove(&content);
        }
    }

    /// Records a crash of a request with a condemned part.
    pub(super) fn on_explained(&mut self, now: Time) {
        let crash = self.number_crash(now);
        self.explain(&BTreeSet::from([crash]), Cause::Part);
    }

    /// Takes over that a suspect was condemned elsewhere.
    pub(super) fn on_condemned(&mut self, content: Fingerprint) {
        if let Some(suspect) = self.entries.remove(&content) {
            self.explain(&suspect.crashes, suspect.cause());
        }
    }

    /// Takes crashes with a known cause from the suspects that it exonerates.
    fn explain(&mut self, crashes: &BTreeSet<u32>, cause: Cause) {
        for crash in crashes {
            let known = self.explained.entry(*crash).or_insert(cause);
            if cause == Cause::Part {
                *known = cause;
            }
        }
        while self.explained.len() > MAX_EXPLAINED {
            self.explained.pop_first();
        }
        self.entries.retain(|_, suspect| {
            if cause.exonerates(suspect) {
                suspect.crashes.retain(|crash| !crashes.contains(crash));
            }
            !suspect.crashes.is_empty()
        });
    }

    pub(super) fn remove(&mut self, content: Fingerprint) {
        self.entries.remove(&content);
    }

    /// Whether nodes have to be asked about any content.
    pub(super) fn has_suspected(&self) -> bool {
        let mut suspects = self.entries.values();
        suspects.any(|suspect| suspect.is_suspected(&self.explained))
    }

    /// Records that a node has replied to an inquiry.
    pub(super) fn on_reply(&mut self, serial: Serial, node: SocketAddr) {
        let Some(number) = serial.number_of(self.process) else {
            return;
        };
        for suspect in self.entries.values_mut() {
            if suspect.was_asked(number) {
                suspect.repliers.insert(node);
            }
        }
    }

    /// Decides on the suspects in a fleet with these other nodes.
    pub(super) fn poll(&mut self, suspicion: Duration, others: Others, now: Time) -> Findings {
        self.entries
            .retain(|_, suspect| now.since(suspect.last_at) < suspicion);
        let mut condemned = Vec::new();
        // In turn, as the crashes that the first explain may be all there is against the next.
        while let Some((first, agreement)) = self.next_condemned(others, now) {
            let is_like = |suspect: &Suspect| {
                suspect.crashes == first.crashes
                    && (suspect.begun, suspect.is_whole) == (first.begun, first.is_whole)
            };
            let alike = self.entries.extract_if(.., |_, suspect| is_like(suspect));
            let alike: BTreeSet<Fingerprint> = alike.map(|(content, _)| content).collect();
            let doubt = (agreement == Agreement::Doubtful).then_some(Fingerprint::UNKNOWN);
            condemned.extend(alike.iter().map(|content| Finding {
                content: *content,
                crashes: first.crashes.len() as u32,
                // Requests are never told apart by one that holds two of them.
                alike: if first.is_whole {
                    BTreeSet::from([*content])
                } else {
                    alike.iter().copied().chain(doubt).collect()
                },
            }));
            self.explain(&first.crashes, first.cause());
        }
        let inquiry = self.next_inquiry(now);
        Findings { inquiry, condemned }
    }

    /// The suspect with the most crashes, if enough nodes have replied and none has cleared it.
    ///
    /// Of those with the same crashes it is the one that was begun most often; others of which as
    /// many were begun cannot be told from it, so they are condemned together.
    fn next_condemned(&self, others: Others, now: Time) -> Option<(Suspect, Agreement)> {
        let quorum = |nodes: usize| (nodes as f64 * QUORUM).ceil() as usize;
        let suspect = self
            .entries
            .values()
            .filter(|suspect| suspect.is_suspected(&self.explained))
            .max_by_key(|suspect| (suspect.crashes.len(), !suspect.is_whole, suspect.begun))?;
        let is_asked = suspect.inquiries >= INQUIRIES && now >= suspect.inquire_at;
        let repliers = suspect.repliers.len();
        // A node that hears no other one may be cut off itself.
        let is_patient = suspect.inquiries >= DOUBTFUL_INQUIRIES && others.present > 0;
        let agreement = if repliers >= quorum(others.registered) {
            Agreement::Whole
        } else if is_patient && repliers >= quorum(others.present) {
            Agreement::Doubtful
        } else {
            return None;
        };
        is_asked.then(|| (suspect.clone(), agreement))
    }

    fn next_inquiry(&mut self, now: Time) -> Option<Inquiry> {
        let number = self.inquiries + 1;
        let explained = &self.explained;
        let due = self
            .entries
            .iter_mut()
            .filter(|(_, suspect)| suspect.is_suspected(explained) && now >= suspect.inquire_at)
            .take(MAX_INQUIRY);
        let mut content = Vec::new();
        for (one, suspect) in due {
            let extra = suspect.inquiries.saturating_sub(INQUIRIES);
            suspect.inquire_at = now + INQUIRY_INTERVAL * (1 << extra.min(MAX_DOUBLINGS));
            suspect.inquiries += 1;
            let first = suspect.asked.map_or(number, |(first, _)| first);
            suspect.asked = Some((first, number));
            content.push(*one);
        }
        if content.is_empty() {
            return None;
        }
        self.inquiries = number;
        let serial = Serial::new(self.process, number);
        Some(Inquiry { serial, content })
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
