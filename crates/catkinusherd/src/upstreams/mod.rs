//! Health checks of the upstreams that this node owns.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::catalog::Server;
use catkinusher_core::id::UpstreamId;
use catkinusher_core::inventory::ServiceKind;
use catkinusher_core::owner::{Action, Load, Running};
use catkinusher_core::units::Tokens;
use catkinusher_upstream::{engine, plain};
use tracing::{debug, info};

use crate::node::State;

/// The interval at which an owned upstream is asked for its load and its running requests.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The number of consecutive checks without an answer after which the digest of an upstream is no
/// longer sent to other nodes.
const MAX_UNANSWERED_CHECKS: u32 = 3;

/// Checks the owned upstreams and publishes their digests, until the node stops.
pub async fn run(state: Arc<State>) {
    let mut ticks = state.timers.every(CHECK_PERIOD);
    let mut unanswered = UnansweredChecks::default();
    while ticks.next().await {
        let catalog = state.catalog();
        let checks = state.owners.owned().into_iter().filter_map(|upstream| {
            let server = catalog.server(upstream.as_str())?.clone();
            let kind = catalog.service(server.service.as_str())?.kind;
            Some(check(Arc::clone(&state), server, kind))
        });
        let checks = futures_util::future::join_all(checks).await;
        unanswered.on_checks(checks);
        publish_digests(&state, &unanswered);
    }
}

/// Checks one upstream, and returns whether it answered.
async fn check(state: Arc<State>, server: Server, kind: ServiceKind) -> (UpstreamId, bool) {
    let answered = match kind {
        ServiceKind::Model => check_engine(&state, &server).await,
        ServiceKind::Plain => check_plain(&state, &server).await,
    };
    (server.name, answered)
}

async fn check_engine(state: &State, server: &Server) -> bool {
    let answered = match engine::load(&state.control, server.address).await {
        Ok(load) => {
            state.owners.on_load(&server.name, &engine_load(&load));
            true
        }
        Err(error) => {
            debug!("owner: cannot read the load of {}: {error}", server.name);
            false
        }
    };
    let list = match engine::running(&state.control, server.address).await {
        Ok(list) => list,
        Err(error) => {
            debug!(
                "owner: cannot list the requests of {}: {error}",
                server.name
            );
            return answered;
        }
    };
    let running: Vec<_> = list
        .streams
        .into_iter()
        .map(|stream| Running {
            request: stream.id,
            memory: stream.memory,
        })
        .collect();
    let actions = state
        .owners
        .reconcile(&server.name, &running, list.incarnation);
    for Action::Cancel(request) in actions {
        info!(
            "owner: {request} runs on {} without a permit, cancelling it",
            server.name
        );
        if let Err(error) = engine::cancel(&state.control, server.address, &request).await {
            debug!("owner: cannot cancel {request}: {error}");
        }
    }
    answered
}

fn engine_load(load: &engine::Load) -> Load {
    Load {
        incarnation: load.incarnation,
        age: Duration::from_millis(load.age_ms),
        running: load.running,
        waiting: load.waiting,
        memory: load.memory_used,
        prefill: load.prefill_left,
    }
}

async fn check_plain(state: &State, server: &Server) -> bool {
    match plain::load(&state.control, server.address).await {
        Ok(load) => {
            let load = Load {
                incarnation: load.incarnation,
                age: Duration::from_millis(load.age_ms),
                running: load.running,
                waiting: 0,
                memory: Tokens::ZERO,
                prefill: Tokens::ZERO,
            };
            state.owners.on_load(&server.name, &load);
            true
        }
        Err(error) => {
            debug!("owner: cannot read the load of {}: {error}", server.name);
            false
        }
    }
}

fn publish_digests(state: &State, unanswered: &UnansweredChecks) {
    let now = state.timers.now();
    for (upstream, digest) in state.owners.digests() {
        state.routers.on_digest(&upstream, digest.clone(), now);
        if !unanswered.is_down(&upstream) {
            state.members.on_own_digest(&upstream, &digest, now);
        }
    }
}

/// The number of consecutive checks that each upstream left unanswered.
#[derive(Debug, Default)]
struct UnansweredChecks(BTreeMap<UpstreamId, u32>);

impl UnansweredChecks {
    fn on_checks(&mut self, checks: Vec<(UpstreamId, bool)>) {
        let before = std::mem::take(&mut self.0);
        for (upstream, answered) in checks {
            let count = before.get(&upstream).copied().unwrap_or_default();
            let count = if answered { 0 } else { count + 1 };
            self.0.insert(upstream, count);
        }
    }

    /// Whether the digest of an upstream is withheld from other nodes, so that it counts as down.
    fn is_down(&self, upstream: &UpstreamId) -> bool {
        let count = self.0.get(upstream);
        count.is_some_and(|count| *count >= MAX_UNANSWERED_CHECKS)
    }
}
