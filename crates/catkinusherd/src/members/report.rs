//! The status of a data centre: aggregated along a tree of its nodes, and written by the root.

use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::catalog::Catalog;
use catkinusher_core::id::VmId;
use catkinusher_core::rendezvous::Tree;
use catkinusher_core::status::Report;
use catkinusher_core::time::Time;
use catkinusher_peer::rpc::Note;
use catkinusher_platform::Priority;
use tracing::{debug, warn};

use super::{Members, carry};
use crate::node::State;

/// The kind of the objects that store reports, one for each data centre.
const KIND: &str = "status";

/// The maximum number of children of a node in the tree.
const FANOUT: usize = 3;

/// For how many report periods after its arrival a child's report is used.
pub(super) const KEPT_PERIODS: u32 = 3;

/// Reports once a period, until the node stops.
///
/// A node that starts waits one period first, as it may not know its parent in the tree yet.
pub async fn run(state: Arc<State>) {
    let period = state.settings.fleet.report.get();
    let mut ticks = state.timers.every(period);
    while ticks.next().await {
        report(&state, period).await;
    }
}

async fn report(state: &Arc<State>, period: Duration) {
    if !state.members.is_formed() {
        return;
    }
    let now = state.timers.now();
    let own = own_report(state, &state.catalog());
    let (parent, sum) = state.members.aggregate(&own, now);
    if let Some(parent) = parent {
        carry::send(state, parent, vec![Note::Status(sum)]);
        return;
    }
    let sum = state
        .members
        .add_upstreams(&state.catalog(), sum, now)
        .for_display();
    let centre = state.settings.node.data_centre.as_str();
    let store = state.store.at(Priority::Status);
    let write = store.replace(KIND, centre, &sum);
    match tokio::time::timeout(period, write).await {
        Ok(Ok(version)) => debug!("status: wrote the report of {centre} as version {version}"),
        Ok(Err(error)) => warn!("status: cannot write the report of {centre}: {error}"),
        Err(_late) => warn!("status: writing the report of {centre} took longer than {period:?}"),
    }
}

/// The report of this node alone, without those of its children.
///
/// For each upstream that is drained or no longer in the catalog, it counts the permits that
/// this node holds as running requests.
fn own_report(state: &State, catalog: &Catalog) -> Report {
    let me = state.settings.node.name.clone();
    let ready = state.unready_reason().is_none();
    let running = u64::from(state.stopping.open());
    let mut report = Report::for_node(me, state.members.revision(), ready, running);
    for (upstream, requests) in state.held_permits.all() {
        let server = catalog.server(upstream.as_str());
        if server.is_none_or(|server| server.drained) {
            report.add_draining(upstream, requests.len() as u32);
        }
    }
    report
}

impl Members {
    /// Stores the report of a child in the tree.
    pub fn on_report(&self, from: &VmId, report: Report, now: Time) {
        let reports = &mut self.lock().reports;
        reports.on_report(from.clone(), report, now);
    }

    /// The node's parent in the tree, if it isn't the root, and the aggregated report to send.
    fn aggregate(&self, own: &Report, now: Time) -> (Option<VmId>, Report) {
        let mut guard = self.lock();
        let machines = &mut *guard;
        let reachable = machines.membership.reachable();
        let members = reachable.map(|(vm, member)| (vm, &member.location.data_centre));
        let tree = Tree::new(&self.me, members);
        let children = tree.children(FANOUT);
        let sum = machines.reports.aggregate(own, &children, now);
        (tree.parent(FANOUT), sum)
    }

    fn add_upstreams(&self, catalog: &Catalog, mut report: Report, now: Time) -> Report {
        let machines = self.lock();
        machines
            .digests
            .tally(catalog, &self.centre, &mut report, now);
        report
    }
}
