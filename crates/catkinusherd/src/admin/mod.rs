//! What operators ask of one node.

use std::collections::BTreeMap;
use std::convert::Infallible;
use std::sync::Arc;

use catkinusher_core::id::{DataCentreId, UpstreamId, VmId};
use catkinusher_peer::traffic::Totals;
use catkinusher_platform::Calls;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use serde::{Deserialize, Serialize};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tracing::debug;

use crate::front::answer;
use crate::front::reply::ResponseBody;
use crate::node::State;

/// What stands before a request's name.
const EXPLAIN_PATH: &str = "/admin/explain/";

/// How one node stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// Its VM.
    pub node: VmId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The version of the configuration in force there.
    pub config: u64,
    /// Why the balancer should send it no callers, if it should not.
    pub unready: Option<String>,
    /// The requests under way.
    pub open: u32,
    /// The daemons that it knows.
    pub members: Vec<VmId>,
    /// The upstreams that it owns, with what runs and waits there.
    pub owned: BTreeMap<UpstreamId, u32>,
    /// What passed between it and its peers since it started.
    pub traffic: Totals,
    /// The calls to the platform that it made since it started.
    pub calls: Calls,
}

/// Serves operators until `stop`.
pub async fn serve(state: Arc<State>, listener: TcpListener, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, from)) = accepted else {
            continue;
        };
        let state = Arc::clone(&state);
        let service = service_fn(move |request| {
            let state = Arc::clone(&state);
            async move { Ok::<_, Infallible>(handle(&state, &request)) }
        });
        let connection = http1::Builder::new()
            .timer(TokioTimer::new())
            .serve_connection(TokioIo::new(stream), service);
        let stop = stop.clone();
        tokio::spawn(async move {
            let ended = tokio::select! {
                () = stop.cancelled() => return,
                ended = connection => ended,
            };
            if let Err(error) = ended {
                debug!("admin: connection from {from} ended: {error}");
            }
        });
    }
}

fn handle(state: &State, request: &Request<Incoming>) -> Response<ResponseBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/admin/status") => answer::json(StatusCode::OK, &status(state)),
        (&Method::GET, path) => explain(state, path),
        _ => nothing(),
    }
}

/// Answers why a request went where it went, if this node accepted it and still knows.
fn explain(state: &State, path: &str) -> Response<ResponseBody> {
    let name = path.strip_prefix(EXPLAIN_PATH).unwrap_or_default();
    let name = percent_encoding::percent_decode_str(name).decode_utf8_lossy();
    let request = name.parse().ok();
    match request.and_then(|request| state.journal.explain(&request)) {
        Some(explained) => answer::json(StatusCode::OK, &explained),
        None => nothing(),
    }
}

fn nothing() -> Response<ResponseBody> {
    answer::text(StatusCode::NOT_FOUND, "nothing here\n")
}

/// How this node stands.
#[must_use]
pub fn status(state: &State) -> NodeStatus {
    NodeStatus {
        node: state.settings.node.name.clone(),
        data_centre: state.settings.node.data_centre.clone(),
        config: state.config.borrow().version,
        unready: state
            .unready_reason()
            .map(|reason| reason.trim().to_owned()),
        open: state.stopping.open(),
        members: state.members.reachable().into_keys().collect(),
        owned: state.owners.open_requests(),
        traffic: state.links.traffic().totals(),
        calls: state.gate.calls(),
    }
}
