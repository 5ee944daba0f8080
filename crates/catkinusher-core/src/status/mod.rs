//! What operators see, put together before it is written.
//!
//! Each node reports itself to its parent in the data centre's tree, together
//! with what its children reported; the first of the data centre writes the
//! sum. A report is bounded, whatever the size of the data centre: it counts
//! all, and names only a few.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::id::{ServiceId, UpstreamId, VmId};
use crate::spread::Revision;
use crate::time::Time;
use crate::units::Span;

/// The most revisions that a report counts apart.
const REVISION_LIMIT: usize = 4;

/// The most nodes that a report names.
const NODE_LIMIT: usize = 8;

/// The most drained upstreams that a report names.
const DRAIN_LIMIT: usize = 16;

/// The most services that a report counts apart.
const SERVICE_LIMIT: usize = 64;

/// How the upstreams of a service fare.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct UpstreamCounts {
    /// Those that answer.
    pub up: u32,
    /// Those that answer and are still warming up.
    pub cold: u32,
    /// Those that do not answer.
    pub down: u32,
}

impl UpstreamCounts {
    const fn add(&mut self, other: Self) {
        self.up += other.up;
        self.cold += other.cold;
        self.down += other.down;
    }
}

/// What one node, or many in sum, report.
///
/// Fields that are not known are passed over, so that nodes and clients of two
/// releases read each other's reports while a release is rolled out.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Report {
    /// The nodes that are counted in.
    pub nodes: u32,
    /// Of these, the nodes that take new work.
    pub ready: u32,
    /// How many nodes have which revision in force, the newest first.
    pub revisions: Vec<(Revision, u32)>,
    /// Nodes on an older revision than others, a few by name.
    pub behind: Vec<(VmId, Option<Revision>)>,
    /// Requests that run.
    pub running: u64,
    /// Drained upstreams with the requests that still run there, the most first.
    pub draining: Vec<(UpstreamId, u32)>,
    /// Requests on drained upstreams that have no place among those named.
    pub others: u32,
    /// How the upstreams fare by service.
    pub services: BTreeMap<ServiceId, UpstreamCounts>,
}

impl Report {
    /// The report of one node about itself.
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

    /// Notes requests that still run on a drained upstream.
    pub fn add_draining(&mut self, upstream: UpstreamId, running: u32) {
        self.draining.push((upstream, running));
        self.trim();
    }

    /// Notes how upstreams of a service fare.
    ///
    /// Only the first of a data centre need do so, before it writes: it knows all
    /// upstreams there from their digests.
    pub fn add_service(&mut self, service: ServiceId, tally: UpstreamCounts) {
        self.services.entry(service).or_default().add(tally);
        self.trim();
    }

    /// Requests that still run on drained upstreams.
    #[must_use]
    pub fn remaining_requests(&self) -> u64 {
        let named: u64 = self.draining.iter().map(|(_, n)| u64::from(*n)).sum();
        named + u64::from(self.others)
    }

    /// Takes another report in.
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

    /// The report as it is shown: only nodes that are behind stay named.
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
        let cut = self.draining.drain(DRAIN_LIMIT.min(self.draining.len())..);
        self.others += cut.map(|(_, count)| count).sum::<u32>();
        while self.services.len() > SERVICE_LIMIT {
            self.services.pop_last();
        }
    }
}

/// The reports that one node puts together.
#[derive(Debug, Clone)]
pub struct Collector {
    keep: Span,
    below: BTreeMap<VmId, (Report, Time)>,
}

impl Collector {
    /// Nothing reported yet; what a child reported counts for `keep`.
    #[must_use]
    pub const fn new(keep: Span) -> Self {
        Self {
            keep,
            below: BTreeMap::new(),
        }
    }

    /// Takes in what a child reports.
    pub fn on_report(&mut self, from: VmId, report: Report, now: Time) {
        self.below.insert(from, (report, now));
    }

    /// The sum of this node's own report and those of its present children.
    pub fn aggregate(&mut self, own: &Report, children: &[VmId], now: Time) -> Report {
        let keep = self.keep.get();
        self.below
            .retain(|vm, (_, at)| children.contains(vm) && now.since(*at) < keep);
        let mut sum = own.clone();
        for (report, _) in self.below.values() {
            sum.merge(report);
        }
        sum
    }
}
