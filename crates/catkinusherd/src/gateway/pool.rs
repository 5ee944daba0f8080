//! Connections to upstreams, kept between requests.
//!
//! A connection is kept only after a whole answer and dropped after any doubt:
//! bytes that nobody asked for, a close, an answer before the request was read.

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

/// How long an upstream has to accept a connection; a link takes a few milliseconds.
const CONNECT_LIMIT: Duration = Duration::from_millis(600);

/// How long sent bytes may stay unacknowledged: a few retransmissions on a link that loses packets.
const USER_TIMEOUT: Duration = Duration::from_millis(900);

/// The pause before a keep-alive probe and between two; the least that the system offers.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// How long an idle connection is kept where the upstream says nothing.
const IDLE_LIMIT: Duration = Duration::from_secs(4);

/// How much sooner than the upstream an idle connection is given up.
const IDLE_MARGIN: Duration = Duration::from_secs(1);

/// The most idle connections to one upstream.
const IDLE_COUNT: usize = 4;

/// A connection on which no request is under way.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) sender: SendRequest<Full<Bytes>>,
    pub(super) fresh: bool,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    until: Time,
}

/// The idle connections of all upstreams.
#[derive(Debug, Default)]
pub(super) struct Pool {
    idle: Mutex<HashMap<SocketAddr, Vec<Idle>>>,
}

impl Pool {
    /// A connection to an upstream: a kept one unless `fresh` is asked for, else a new one.
    ///
    /// # Errors
    ///
    /// Why none came about; nothing has been sent.
    pub(super) async fn get(
        &self,
        address: SocketAddr,
        fresh: bool,
        now: Time,
    ) -> Result<Link, String> {
        if !fresh && let Some(sender) = self.take(address, now) {
            return Ok(Link {
                sender,
                fresh: false,
            });
        }
        let sender = connect(address).await?;
        Ok(Link {
            sender,
            fresh: true,
        })
    }

    /// Keeps a connection whose request has ended.
    pub(super) fn put(
        &self,
        address: SocketAddr,
        sender: SendRequest<Full<Bytes>>,
        life: Option<Duration>,
        now: Time,
    ) {
        let life = life.map_or(IDLE_LIMIT, |life| life.saturating_sub(IDLE_MARGIN));
        if sender.is_closed() || life.is_zero() {
            return;
        }
        let mut idle = self.lock();
        let kept = idle.entry(address).or_default();
        kept.retain(|one| now < one.until && !one.sender.is_closed());
        if kept.len() < IDLE_COUNT {
            kept.push(Idle {
                sender,
                until: now + life.min(IDLE_LIMIT),
            });
        }
    }

    /// Drops what is kept for an upstream that has failed.
    pub(super) fn forget(&self, address: SocketAddr) {
        self.lock().remove(&address);
    }

    /// Drops what has been idle for too long.
    pub(super) fn sweep(&self, now: Time) {
        self.lock().retain(|_, kept| {
            kept.retain(|one| now < one.until && !one.sender.is_closed());
            !kept.is_empty()
        });
    }

    fn take(&self, address: SocketAddr, now: Time) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.lock();
        let kept = idle.get_mut(&address)?;
        while let Some(one) = kept.pop() {
            if now < one.until && one.sender.is_ready() && !one.sender.is_closed() {
                return Some(one.sender);
            }
        }
        None
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Vec<Idle>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn connect(address: SocketAddr) -> Result<SendRequest<Full<Bytes>>, String> {
    let stream = match tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
        Ok(stream) => stream.map_err(|error| error.to_string())?,
        Err(_elapsed) => return Err("no answer to the opening".to_owned()),
    };
    tune(&stream).map_err(|error| error.to_string())?;
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

/// Lets the system find out that the other side is gone without a reset.
pub(super) fn tune(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(1);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(USER_TIMEOUT))
}
