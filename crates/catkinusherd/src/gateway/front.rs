//! Connections from callers, and the endpoint for health checks and metrics.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::CONNECTION;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::task::TaskTracker;
use tracing::{debug, warn};

use super::dialect::Dialect;
use super::dry_run;
use super::handle;
use super::state::State;
use crate::framed::ScannedStream;

/// The pause after a failed `accept`.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// The smallest head buffer that the HTTP library accepts, in bytes.
const MIN_HEAD_BUFFER: usize = 8192;

/// Who sends the requests on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Origin {
    /// Callers.
    Callers,
    /// Nodes that are cut off from all upstreams, for their callers.
    Peers,
}

/// Serves callers or peers until new connections are no longer accepted, then waits for the open ones to end.
pub(super) async fn serve<D>(state: Arc<State<D>>, listener: TcpListener, origin: Origin)
where
    D: Dialect,
{
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = state.closing.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, from)) => {
                tasks.spawn(serve_connection(Arc::clone(&state), stream, from, origin));
            }
            Err(error) => {
                warn!("front: cannot accept a connection: {error}");
                state.timers.after(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn serve_connection<D>(
    state: Arc<State<D>>,
    stream: TcpStream,
    from: SocketAddr,
    origin: Origin,
) where
    D: Dialect,
{
    if let Err(error) = stream.set_nodelay(true) {
        debug!("front: cannot set TCP_NODELAY for {from}: {error}");
        return;
    }
    let directory = state.view().directory.clone();
    let limits = directory
        .map(|directory| *directory.limits())
        .unwrap_or_default();
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        // The library's timeout also covers the time in which a connection is idle, so the longer limit applies to both.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BUFFER))
        .auto_date_header(false)
        .half_close(false);
    let (stream, framing) = ScannedStream::new(stream);
    let service = service_fn(|request| {
        let state = Arc::clone(&state);
        let framing_result = framing.check_next();
        async move {
            // After an ambiguous head, the start of the next request is unknown.
            let is_ambiguous = framing_result.is_err();
            let serving = handle::handle(Arc::clone(&state), request, framing_result, origin);
            let mut response = serving.await;
            if is_ambiguous || state.stopping.is_cancelled() {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(CONNECTION, close);
            }
            Ok::<_, Infallible>(response)
        }
    });
    let serving = server.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = state.closing.cancelled() => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        debug!("front: connection from {from} ended: {error}");
    }
}

/// Serves the load balancer's health check, the metrics, and where a request would go.
pub(super) fn serve_health<D>(state: Arc<State<D>>, listener: TcpListener)
where
    D: Dialect,
{
    tokio::spawn(async move {
        loop {
            let Ok((stream, _from)) = listener.accept().await else {
                state.timers.after(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            let state = Arc::clone(&state);
            tokio::spawn(async move {
                let service = service_fn(|request| {
                    let response = health_response(&state, &request);
                    async move { Ok::<_, Infallible>(response) }
                });
                let serving = http1::Builder::new()
                    .auto_date_header(false)
                    .serve_connection(TokioIo::new(stream), service);
                if let Err(error) = serving.await {
                    debug!("front: health check connection ended: {error}");
                }
            });
        }
    });
}

fn health_response<D>(state: &State<D>, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let (status, body) = match request.uri().path() {
        dry_run::PATH => dry_run::respond(state, request),
        "/metrics" => (StatusCode::OK, state.metrics_text().into()),
        _ if state.is_ready() => (StatusCode::OK, Bytes::new()),
        _ => (StatusCode::SERVICE_UNAVAILABLE, Bytes::new()),
    };
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}
