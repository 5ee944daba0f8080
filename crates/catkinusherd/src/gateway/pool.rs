//! Pool of idle connections to upstreams.
//!
//! A connection is returned to the pool only after a complete answer. It is
//! dropped if its state is doubtful: unexpected bytes, a close, or an answer
//! that began before the request was read.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::time::Time;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tracing::debug;

/// The timeout for opening a connection; a round trip takes a few milliseconds.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(600);

/// The time before the first keep-alive probe and between two probes; the shortest that the system supports.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// The probes that must stay unanswered; a sound upstream may be silent for longer than a second.
const KEEPALIVE_PROBES: u32 = 2;

/// How long an idle connection is kept at most, and if the upstream states no keep-alive timeout.
const IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// How much earlier than the upstream this side closes an idle connection.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// The maximum number of idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 4;

/// A connection that is ready for a request.
#[derive(Debug)]
pub(super) struct Connection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) fresh: bool,
}

#[derive(Debug)]
struct IdleConnection {
    sender: SendRequest<Full<Bytes>>,
    expires: Time,
}

/// The idle connections of all upstreams.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

impl Pool {
    /// Takes an idle connection to an upstream, or opens one if there is none or
    /// if `fresh` is set.
    ///
    /// # Errors
    ///
    /// Why no connection could be opened; nothing has been sent.
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        fresh: bool,
        now: Time,
    ) -> Result<Connection, String> {
        if !fresh && let Some(sender) = self.take_idle(address, now) {
            return Ok(Connection {
                sender,
                fresh: false,
            });
        }
        let sender = connect(address).await?;
        Ok(Connection {
            sender,
            fresh: true,
        })
    }

    /// Adds a connection whose request has ended.
    pub(super) fn put(
        &self,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        keep_alive: Option<Duration>,
        now: Time,
    ) {
        let keep_alive = keep_alive.map_or(IDLE_TIMEOUT, |limit| limit.saturating_sub(IDLE_MARGIN));
        if sender.is_closed() || keep_alive.is_zero() {
            return;
        }
        let mut idle = self.lock();
        let connections = idle.entry(address).or_default();
        connections.retain(|one| now < one.expires && !one.sender.is_closed());
        if connections.len() < MAX_IDLE_PER_UPSTREAM {
            connections.push(IdleConnection {
                sender,
                expires: now + keep_alive.min(IDLE_TIMEOUT),
            });
        }
    }

    /// Drops the idle connections to an upstream that has failed.
    pub(super) fn evict(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Drops the connections that are closed or have been idle for too long.
    pub(super) fn evict_expired(&self, now: Time) {
        self.lock().retain(|_, connections| {
            connections.retain(|one| now < one.expires && !one.sender.is_closed());
            !connections.is_empty()
        });
    }

    fn take_idle(&self, address: SocketAddr, now: Time) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&address)?;
        while let Some(one) = connections.pop() {
            if now < one.expires && one.sender.is_ready() && !one.sender.is_closed() {
                return Some(one.sender);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Opens a connection to an upstream or a peer.
///
/// # Errors
///
/// Why it could not be opened.
pub(super) async fn open(address: SocketAddr) -> Result<TcpStream, String> {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(stream) => stream.map_err(|error| error.to_string()),
        Err(_elapsed) => Err("connection attempt timed out".to_owned()),
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = open(address).await?;
    set_socket_options(&stream).map_err(|error| error.to_string())?;
    let (sender, connection) = http1::Builder::new()
        .max_buf_size(64 * 1024)
        .handshake(TokioIo::new(stream))
        .await
        .map_err(|error| error.to_string())?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!("upstream: connection to {address} ended: {error}");
        }
    });
    Ok(sender)
}

/// Makes the system detect a peer that disappeared without a reset.
///
/// A user timeout would also end connections to a peer that leaves the rest of a body unread for a
/// while, and would decide on probes in place of their count. Bytes that stay unacknowledged are
/// noticed by the timeouts of the requests.
pub(super) fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&probes)
}
