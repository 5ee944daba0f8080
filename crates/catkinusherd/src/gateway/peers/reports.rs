//! Reports of this node's load, and of the limits that upstreams named, to the nodes that place requests.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::fleet::{Cell, LimitReport, Load};
use catkinusher_core::time::Time;
use tokio::net::UdpSocket;

use super::message::{self, Message, Report};
use crate::gateway::clock;
use crate::gateway::dialect::Dialect;
use crate::gateway::state::State;

/// How long load changes are collected before a report; far below the duration of a forward pass.
const COALESCE_DELAY: Duration = Duration::from_millis(12);

/// The interval between full reports; a few may be lost before loads count as ended.
const FULL_REPORT_PERIOD: Duration = Duration::from_millis(800);

/// The nodes that get the reports for a cell: the one that places its requests, and its successor.
const INFORMED: usize = 2;

/// The number of limits in one message, so that it fits into a datagram.
const MAX_LIMITS: usize = 128;

/// What was reported to one node.
#[derive(Debug)]
struct Reported {
    loads: HashMap<u32, Load>,
    next_full: Time,
    /// When the last answer arrived whose limit was reported.
    limits_at: Time,
}

/// Sends reports as long as the node runs.
pub(super) async fn send_reports<D>(state: Arc<State<D>>, socket: Arc<UdpSocket>)
where
    D: Dialect,
{
    let mut sequence = 0;
    let mut reported = HashMap::new();
    let mut next_full = state.now();
    loop {
        tokio::select! {
            () = state.load_changed.notified() => state.timers.after(COALESCE_DELAY).await,
            () = state.timers.at(next_full) => {}
        }
        let now = state.now();
        if now >= next_full {
            next_full = now + FULL_REPORT_PERIOD;
        }
        let recipients = recipients(&state);
        reported.retain(|peer, _| recipients.contains_key(peer));
        for (peer, cells) in recipients {
            let loads = loads(&state, &cells);
            let is_idle = loads.values().all(Load::is_idle);
            let known = reported.entry(peer).or_insert_with(|| Reported {
                loads: HashMap::new(),
                next_full: now,
                limits_at: Time::ZERO,
            });
            for limits in limits_since(&state, &cells, known.limits_at).chunks(MAX_LIMITS) {
                known.limits_at = now;
                message::send(&socket, &Message::Limits(limits.to_vec()), peer);
            }
            let is_full = now >= known.next_full;
            let rows: Vec<(u32, Load)> = loads
                .iter()
                .filter(|(id, load)| {
                    let is_known = known.loads.get(*id) == Some(*load);
                    !is_known || (is_full && !load.is_idle())
                })
                .map(|(id, load)| (*id, *load))
                .collect();
            // A node without load has nothing to repeat.
            if rows.is_empty() && (!is_full || is_idle) {
                continue;
            }
            if is_full {
                known.next_full = now + FULL_REPORT_PERIOD;
            }
            known.loads = loads;
            sequence += 1;
            let report = Report {
                node: state.node_number,
                incarnation: state.incarnation,
                sequence,
                is_full,
                granted: state.asks.last_grant(peer),
                loads: rows,
            };
            message::send(&socket, &Message::Report(report), peer);
        }
    }
}

/// The nodes that need this node's load, each with the cells for which it does.
fn recipients<D>(state: &State<D>) -> HashMap<SocketAddr, BTreeSet<Cell>> {
    let now = clock::boot_time();
    let cells = state.fleet().used_cells();
    let roster = state.roster();
    let mut recipients = HashMap::<_, BTreeSet<Cell>>::new();
    for cell in cells {
        for node in roster.informed(&cell.duty(), INFORMED, now) {
            if node != roster.own() {
                recipients.entry(node).or_default().insert(cell.clone());
            }
        }
    }
    recipients
}

fn loads<D>(state: &State<D>, cells: &BTreeSet<Cell>) -> HashMap<u32, Load> {
    let fleet = state.fleet();
    cells.iter().flat_map(|cell| fleet.loads_in(cell)).collect()
}

/// What answers since `after` showed about the limits of the cells' upstreams.
fn limits_since<D>(state: &State<D>, cells: &BTreeSet<Cell>, after: Time) -> Vec<LimitReport> {
    let now = state.now();
    let fleet = state.fleet();
    let reports = cells.iter().flat_map(|cell| fleet.limit_reports(cell, now));
    reports
        .filter(|(at, _)| *at > after)
        .map(|(_, report)| report)
        .collect()
}
