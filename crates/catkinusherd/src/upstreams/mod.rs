//! Looking at the upstreams that this node owns.

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

/// How often an owned upstream is asked for its load and what it runs.
const LOOK: Duration = Duration::from_secs(1);

/// After how many looks without an answer the fleet is told no more of an upstream.
const SILENT_LOOKS: u32 = 3;

/// Looks at the owned upstreams and tells the fleet, until the node ends.
pub async fn run(state: Arc<State>) {
    let mut ticks = state.timers.every(LOOK);
    let mut silent = Silent::default();
    while ticks.next().await {
        let catalog = state.catalog();
        let looks = state.owners.owned().into_iter().filter_map(|upstream| {
            let server = catalog.server(upstream.as_str())?.clone();
            let kind = catalog.service(server.service.as_str())?.kind;
            Some(look(Arc::clone(&state), server, kind))
        });
        let looks = futures_util::future::join_all(looks).await;
        silent.on_looks(looks);
        tell(&state, &silent);
    }
}

/// Looks at one upstream, and tells whether it answered.
async fn look(state: Arc<State>, server: Server, kind: ServiceKind) -> (UpstreamId, bool) {
    let answered = match kind {
        ServiceKind::Model => look_engine(&state, &server).await,
        ServiceKind::Plain => look_plain(&state, &server).await,
    };
    (server.name, answered)
}

async fn look_engine(state: &State, server: &Server) -> bool {
    let answered = match engine::load(&state.control, server.address).await {
        Ok(load) => {
            state.owners.on_load(&server.name, &engine_load(&load));
            true
        }
        Err(error) => {
            debug!("owner: no load of {}: {error}", server.name);
            false
        }
    };
    let list = match engine::running(&state.control, server.address).await {
        Ok(list) => list,
        Err(error) => {
            debug!("owner: no list of {}: {error}", server.name);
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
            "owner: {request} runs on {} for nobody, cancelled",
            server.name
        );
        if let Err(error) = engine::cancel(&state.control, server.address, &request).await {
            debug!("owner: {request} could not be cancelled: {error}");
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

async fn look_plain(state: &State, server: &Server) -> bool {
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
            debug!("owner: no load of {}: {error}", server.name);
            false
        }
    }
}

fn tell(state: &State, silent: &Silent) {
    let now = state.timers.now();
    for (upstream, digest) in state.owners.digests() {
        state.routers.on_digest(&upstream, digest.clone(), now);
        if !silent.is_down(&upstream) {
            state.members.on_own_digest(&upstream, &digest, now);
        }
    }
}

/// How many looks in a row each upstream left without an answer.
#[derive(Debug, Default)]
struct Silent(BTreeMap<UpstreamId, u32>);

impl Silent {
    fn on_looks(&mut self, looks: Vec<(UpstreamId, bool)>) {
        let before = std::mem::take(&mut self.0);
        for (upstream, answered) in looks {
            let count = before.get(&upstream).copied().unwrap_or_default();
            let count = if answered { 0 } else { count + 1 };
            self.0.insert(upstream, count);
        }
    }

    /// Whether the fleet is no longer told of it, so that it counts as down.
    fn is_down(&self, upstream: &UpstreamId) -> bool {
        let count = self.0.get(upstream);
        count.is_some_and(|count| *count >= SILENT_LOOKS)
    }
}
