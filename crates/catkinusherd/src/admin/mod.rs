//! The HTTP interface for operators: node status and the decisions about a request.

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

/// The path prefix before a request ID.
const EXPLAIN_PATH: &str = "/admin/explain/";

/// The status of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeStatus {
    /// The VM of the node.
    pub node: VmId,
    /// The data centre of the node.
    pub data_centre: DataCentreId,
    /// The version of the configuration in force.
    pub config: u64,
    /// Why `/readyz` fails, or `None` if the node is ready for callers.
    pub unready: Option<String>,
    /// The number of open requests.
    pub open: u32,
    /// The members that the node considers reachable.
    pub members: Vec<VmId>,
    /// The upstreams that the node owns, with the number of granted and queued requests.
    pub owned: BTreeMap<UpstreamId, u32>,
    /// The traffic between the node and its peers since it started.
    pub traffic: Totals,
    /// The calls to the platform since the node started.
    pub calls: Calls,
}

/// Serves operators until `stop` is cancelled.
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
        _ => not_found(),
    }
}

/// Answers with the decisions about a request, or 404 if this node has no record of it.
fn explain(state: &State, path: &str) -> Response<ResponseBody> {
    let name = path.strip_prefix(EXPLAIN_PATH).unwrap_or_default();
    let name = percent_encoding::percent_decode_str(name).decode_utf8_lossy();
    let request = name.parse().ok();
    match request.and_then(|request| state.journal.explain(&request)) {
        Some(explanation) => answer::json(StatusCode::OK, &explanation),
        None => not_found(),
    }
}

fn not_found() -> Response<ResponseBody> {
    answer::text(StatusCode::NOT_FOUND, "nothing here\n")
}

/// The current status of this node.
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
