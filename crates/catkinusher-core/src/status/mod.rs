//! Aggregates the status of the nodes of a data centre for operators.
//!
//! Each node sends its parent in the data centre's tree a report that includes
//! those of its children; the root writes the total. The size of a report does
//! not grow with the data centre: it counts all nodes and upstreams but names
//! only a few.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{ServiceId, UpstreamId, VmId};
use crate::spread::Revision;
use crate::time::Time;
use crate::units::Span;

/// The most revisions that a report counts separately.
const REVISION_LIMIT: usize = 4;

/// The most nodes that a report lists.
const NODE_LIMIT: usize = 8;

/// The most drained upstreams that a report lists.
const DRAIN_LIMIT: usize = 16;

/// The most services that a report lists.
const SERVICE_LIMIT: usize = 64;

/// The upstreams of a service, counted by health.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamCounts {
    /// Those that respond.
    pub up: u32,
    /// Those that respond and are still warming up.
    pub cold: u32,
    /// Those that do not respond.
    pub down: u32,
}

impl UpstreamCounts {
    const fn add(&mut self, other: Self) {
        self.up += other.up;
        self.cold += other.cold;
        self.down += other.down;
    }
}

/// The status of one node, or the total of many.
///
/// Unknown fields are ignored, so that nodes and clients of different releases can
/// read each other's reports during a rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// The number of nodes included.
    pub nodes: u32,
    /// How many of them take new work.
    pub ready: u32,
    /// The number of nodes on each revision, newest first.
    pub revisions: Vec<(Revision, u32)>,
    /// Some of the nodes on the oldest revisions.
    pub behind: Vec<(VmId, Option<Revision>)>,
    /// The number of running requests.
    pub running: u64,
    /// Drained upstreams with their running requests, most requests first.
    pub draining: Vec<(UpstreamId, u32)>,
    /// Running requests on drained upstreams that are not listed.
    pub others: u32,
    /// The upstreams of each service.
    pub services: BTreeMap<ServiceId, UpstreamCounts>,
}

impl Report {
    /// Creates the report of a single node.
    #[must_use]
    pub fn for_node(vm: VmId, revision: Option<Revision>, ready: bool, running: u64) -> Self {
        Self {
            nodes: 1,
            ready: u32::from(ready),
            revisions: revision.map(|revision| (revision, 1)).into_iter().collect(),
            behind: vec![(vm, revision)],
            running,
            ..Self::default()
        }
    }

    /// Adds the running requests of a drained upstream.
    pub fn add_draining(&mut self, upstream: UpstreamId, running: u32) {
        self.draining.push((upstream, running));
        self.trim();
    }

    /// Adds the upstreams of a service.
    ///
    /// Only the root of a data centre has to do so, before it writes the report: it knows
    /// all upstreams there from their digests.
    pub fn add_service(&mut self, service: ServiceId, tally: UpstreamCounts) {
        self.services.entry(service).or_default().add(tally);
        self.trim();
    }

    /// The number of requests that still run on drained upstreams.
    #[must_use]
    pub fn remaining_requests(&self) -> u64 {
        let named: u64 = self.draining.iter().map(|(_, n)| u64::from(*n)).sum();
        named + u64::from(self.others)
    }

    /// Adds the counts of another report.
    pub fn merge(&mut self, other: &Self) {
        self.nodes += other.nodes;
        self.ready += other.ready;
        self.running += other.running;
        self.others += other.others;
        for (revision, count) in &other.revisions {
            match self
                .revisions
                .iter_mut()
                .find(|(known, _)| known == revision)
            {
                Some((_, known)) => *known += count,
                None => self.revisions.push((*revision, *count)),
            }
        }
        self.behind.extend(other.behind.iter().cloned());
        for (upstream, count) in &other.draining {
            match self
                .draining
                .iter_mut()
                .find(|(known, _)| known == upstream)
            {
                Some((_, known)) => *known += count,
                None => self.draining.push((upstream.clone(), *count)),
            }
        }
        for (service, tally) in &other.services {
            self.services
                .entry(service.clone())
                .or_default()
                .add(*tally);
        }
        self.trim();
    }

    /// The report for display, which lists only nodes behind the newest revision.
    #[must_use]
    pub fn for_display(mut self) -> Self {
        let newest = self.revisions.first().map(|(revision, _)| *revision);
        self.behind.retain(|(_, revision)| *revision < newest);
        self
    }

    fn trim(&mut self) {
        self.revisions.sort_by(|a, b| b.cmp(a));
        while self.revisions.len() > REVISION_LIMIT
            && let Some((_, count)) = self.revisions.pop()
            && let Some((_, oldest)) = self.revisions.last_mut()
        {
            *oldest += count;
        }
        self.behind.sort_by(|a, b| (a.1, &a.0).cmp(&(b.1, &b.0)));
        self.behind.truncate(NODE_LIMIT);
        self.draining.sort_by(|a, b| (b.1, &a.0).cmp(&(a.1, &b.0)));
        let removed = self.draining.drain(DRAIN_LIMIT.min(self.draining.len())..);
        self.others += removed.map(|(_, count)| count).sum::<u32>();
        while self.services.len() > SERVICE_LIMIT {
            self.services.pop_last();
        }
    }
}

/// Collects the reports of a node's children.
#[derive(Debug, Clone)]
pub struct Collector {
    keep: Span,
    children: BTreeMap<VmId, (Report, Time)>,
}

impl Collector {
    /// Creates an empty collector that uses a child's report for `keep`.
    #[must_use]
    pub const fn new(keep: Span) -> Self {
        Self {
            keep,
            children: BTreeMap::new(),
        }
    }

    /// Records a child's report.
    pub fn on_report(&mut self, from: VmId, report: Report, now: Time) {
        self.children.insert(from, (report, now));
    }

    /// The total of this node's own report and the current reports of its children.
    pub fn aggregate(&mut self, own: &Report, children: &[VmId], now: Time) -> Report {
        let keep = self.keep.get();
        self.children
            .retain(|vm, (_, at)| children.contains(vm) && now.since(*at) < keep);
        let mut sum = own.clone();
        for (report, _) in self.children.values() {
            sum.merge(report);
        }
        sum
    }
}
