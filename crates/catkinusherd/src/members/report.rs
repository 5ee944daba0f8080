//! The status of a data centre: summed up its tree, and written by the first.

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

/// The kind of the objects that hold reports, one for each data centre.
const KIND: &str = "status";

/// The children of a node in the tree of reports.
const FANOUT: usize = 3;

/// For how many periods a child's report counts.
pub(super) const KEEP: u32 = 3;

/// Reports once a period, until the node ends.
///
/// A node that starts waits a period first, as it may not know yet whom to report to.
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
    let own = own(state, &state.catalog());
    let (parent, sum) = state.members.sum(&own, now);
    if let Some(parent) = parent {
        carry::tell(state, parent, vec![Note::Status(sum)]);
        return;
    }
    let sum = state
        .members
        .tally(&state.catalog(), sum, now)
        .for_display();
    let centre = state.settings.node.data_centre.as_str();
    let store = state.store.at(Priority::Status);
    let write = store.replace(KIND, centre, &sum);
    match tokio::time::timeout(period, write).await {
        Ok(Ok(version)) => debug!("status: {centre} written as {version}"),
        Ok(Err(error)) => warn!("status: {centre} can't be written: {error}"),
        Err(_late) => warn!("status: {centre} not written in {period:?}"),
    }
}

/// This node alone: the requests that it runs on drained upstreams are those it holds permits for.
fn own(state: &State, catalog: &Catalog) -> Report {
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
    /// Takes in what a child in the tree reports.
    pub fn on_report(&self, from: &VmId, report: Report, now: Time) {
        let reports = &mut self.lock().reports;
        reports.on_report(from.clone(), report, now);
    }

    /// To whom this node reports, if it isn't the first, and what.
    fn sum(&self, own: &Report, now: Time) -> (Option<VmId>, Report) {
        let mut machines = self.lock();
        let machines = &mut *machines;
        let reachable = machines.membership.reachable();
        let members = reachable.map(|(vm, member)| (vm, &member.location.data_centre));
        let tree = Tree::new(&self.me, members);
        let children = tree.children(FANOUT);
        let sum = machines.reports.aggregate(own, &children, now);
        (tree.parent(FANOUT), sum)
    }

    fn tally(&self, catalog: &Catalog, mut report: Report, now: Time) -> Report {
        let machines = self.lock();
        machines.news.tally(catalog, &self.centre, &mut report, now);
        report
    }
}
