//! The accepting end of peer connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::{debug, warn};

use crate::auth::{self, AuthError, Secret};
use crate::rpc::{PeerRequest, PeerResponse};
use crate::traffic::{CountingStream, Traffic};
use crate::wire::{Wire, socket_config};

/// Timeout for opening a connection, including authentication.
pub const OPEN_LIMIT: Duration = Duration::from_secs(2);

/// Maximum number of connections that may be opening at the same time.
pub const OPENING_LIMIT: usize = 64;

/// The accepting end of a peer connection.
pub type Accepted = Wire<tarpc::ClientMessage<PeerRequest>, tarpc::Response<PeerResponse>>;

/// Accepts peers on `listener` until `stop` is cancelled, and hands each to `answer`.
///
/// Calls in progress when `stop` is cancelled are aborted; the caller must let
/// its own work finish before it stops a node.
pub async fn serve<F, Fut>(
    listener: TcpListener,
    secret: Secret,
    traffic: Arc<Traffic>,
    answer: F,
    stop: CancellationToken,
) where
    F: Fn(Accepted) -> Fut + Clone + Send + 'static,
    Fut: Future<Output = ()> + Send,
{
    let opening = Arc::new(Semaphore::new(OPENING_LIMIT));
    let tasks = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                warn!("peer: cannot accept: {error}");
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(permit) = Arc::clone(&opening).try_acquire_owned() else {
            warn!("peer: refused {from}: too many connections are opening");
            continue;
        };
        let secret = secret.clone();
        let traffic = Arc::clone(&traffic);
        let answer = answer.clone();
        let stop = stop.clone();
        tasks.spawn(async move {
            let wire = timeout(OPEN_LIMIT, upgrade(stream, traffic, from, &secret)).await;
            drop(permit);
            let Ok(Some(wire)) = wire else { return };
            tokio::select! {
                () = stop.cancelled() => {}
                () = answer(wire) => {}
            }
        });
    }
    tasks.close();
    tasks.wait().await;
}

async fn upgrade<In, Out>(
    stream: TcpStream,
    traffic: Arc<Traffic>,
    from: SocketAddr,
    secret: &Secret,
) -> Option<Wire<In, Out>> {
    stream.set_nodelay(true).ok()?;
    let stream = CountingStream::new(stream, traffic);
    let config = Some(socket_config());
    let mut socket = match tokio_tungstenite::accept_async_with_config(stream, config).await {
        Ok(socket) => socket,
        Err(error) => {
            debug!("peer: WebSocket upgrade from {from} failed: {error}");
            return None;
        }
    };
    match auth::accept(&mut socket, secret).await {
        Ok(()) => Some(Wire::new(socket)),
        Err(AuthError::Forged) => {
            warn!("peer: refused {from}: it does not know the peer secret");
            None
        }
        Err(AuthError::Broken(reason)) => {
            debug!("peer: connection from {from} failed: {reason}");
            None
        }
    }
}
