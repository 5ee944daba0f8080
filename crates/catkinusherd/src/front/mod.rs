//! The HTTP server for callers: connections, routing, request parsing and responses.
//!
//! See [docs/CALLERS.md](../../../../docs/CALLERS.md) for the interface that callers see.

pub mod answer;
pub mod fields;
pub mod head;
pub mod intake;
pub mod reply;
pub mod route;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, warn};

use crate::framed::ScannedStream;
use crate::node::State;

/// The maximum number of header fields of a request.
const MAX_HEADERS: usize = 64;

/// How long the accept loop pauses after an error of `accept`.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Serves callers on `listener` until `stop`, then drains the open connections.
///
/// They are closed after their current request. The future completes once the
/// last of them has ended.
pub async fn serve(state: Arc<State>, listener: TcpListener, stop: CancellationToken) {
    let slots = Arc::new(Semaphore::new(state.settings.limits.connections as usize));
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("front: cannot accept a connection: {error}");
                state.timers.after(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            state.metrics.count("front.turned_away");
            warn!("front: refused the connection from {from}: too many connections are open");
            continue;
        };
        let connection = connection(Arc::clone(&state), stream, from, stop.clone());
        tasks.spawn(async move {
            connection.await;
            drop(slot);
        });
    }
    drop(listener);
    tasks.close();
    tasks.wait().await;
}

async fn connection(
    state: Arc<State>,
    stream: TcpStream,
    from: SocketAddr,
    stop: CancellationToken,
) {
    if let Err(error) = stream.set_nodelay(true) {
        debug!("front: cannot set TCP_NODELAY for {from}: {error}");
        return;
    }
    let limits = &state.settings.limits;
    let mut server = http1::Builder::new();
    server
        .timer(TokioTimer::new())
        .header_read_timeout(limits.head_time.get())
        .max_headers(MAX_HEADERS)
        .max_buf_size((limits.head.get() as usize).max(8192))
        .half_close(false);
    let (stream, framing) = ScannedStream::new(stream);
    let service = service_fn(|request| {
        let state = Arc::clone(&state);
        let framing_result = framing.check_next();
        async move { Ok::<_, Infallible>(route::handle(state, request, framing_result).await) }
    });
    let serving = server.serve_connection(TokioIo::new(stream), service);
    let mut serving = std::pin::pin!(serving);
    let ended = tokio::select! {
        ended = serving.as_mut() => ended,
        () = stop.cancelled() => {
            serving.as_mut().graceful_shutdown();
            serving.await
        }
    };
    if let Err(error) = ended {
        debug!("front: connection from {from} ended: {error}");
    }
}
