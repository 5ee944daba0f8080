//! Connections to peers: one per peer, opened on demand and replaced when unresponsive.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use tarpc::client::{self, RpcError};
use tarpc::context::Context;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::debug;

use crate::auth::{self, AuthError, Secret};
use crate::rpc::PeerClient;
use crate::traffic::{CountingStream, Traffic};
use crate::wire::{Wire, socket_config};
use crate::{Error, Result};

/// Timeout for opening a connection, including authentication.
pub const OPEN_LIMIT: Duration = Duration::from_secs(1);

/// How long a connection without calls is kept open.
pub const IDLE_LIMIT: Duration = Duration::from_mins(1);

/// The connections of this node to its peers.
///
/// A call without a response drops its connection, so that the next call opens
/// a new one: an established connection may have stopped responding for good
/// while new ones work.
#[derive(Debug)]
pub struct Links {
    secret: Secret,
    traffic: Arc<Traffic>,
    slots: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
}

#[derive(Debug, Default)]
struct Slot {
    open: tokio::sync::Mutex<Option<Open>>,
}

#[derive(Debug, Clone)]
struct Open {
    client: PeerClient,
    serial: u64,
    used: Instant,
}

impl Links {
    /// Creates an empty set of connections.
    #[must_use]
    pub fn new(secret: Secret) -> Self {
        Self {
            secret,
            traffic: Arc::default(),
            slots: Mutex::default(),
        }
    }

    /// The counters of all bytes to and from peers.
    #[must_use]
    pub const fn traffic(&self) -> &Arc<Traffic> {
        &self.traffic
    }

    /// Calls the peer at `address` and waits at most `limit` for the response.
    ///
    /// # Errors
    ///
    /// [`Error::Unreachable`] and [`Error::Forged`] mean that the peer has not
    /// received the call; after [`Error::Silent`] it may have acted on it.
    pub async fn call<T, F, Fut>(&self, address: SocketAddr, limit: Duration, call: F) -> Result<T>
    where
        F: FnOnce(PeerClient, Context) -> Fut,
        Fut: Future<Output = std::result::Result<T, RpcError>>,
    {
        let slot = self.slot(address);
        let open = self.open(&slot, address).await?;
        let mut context = Context::current();
        context.deadline = Instant::now() + limit;
        match timeout(limit, call(open.client, context)).await {
            Ok(Ok(answer)) => Ok(answer),
            Ok(Err(error)) => {
                debug!("peer: call to {address} failed: {error}");
                remove_connection(&slot, open.serial).await;
                Err(Error::Silent { address })
            }
            Err(_elapsed) => {
                debug!("peer: call to {address} timed out; dropping the connection");
                remove_connection(&slot, open.serial).await;
                Err(Error::Silent { address })
            }
        }
    }

    /// Closes the connections without a call for [`IDLE_LIMIT`] and returns how many remain.
    pub async fn close_idle(&self) -> usize {
        let slots: Vec<_> = self
            .lock()
            .iter()
            .map(|(a, s)| (*a, Arc::clone(s)))
            .collect();
        let mut left = 0;
        for (address, slot) in slots {
            let mut open = slot.open.lock().await;
            if open
                .as_ref()
                .is_some_and(|open| open.used.elapsed() > IDLE_LIMIT)
            {
                *open = None;
            }
            if open.is_some() {
                left += 1;
            } else {
                self.lock().remove(&address);
            }
        }
        left
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Arc<Slot>>> {
        self.slots.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn slot(&self, address: SocketAddr) -> Arc<Slot> {
        Arc::clone(self.lock().entry(address).or_default())
    }

    async fn open(&self, slot: &Slot, address: SocketAddr) -> Result<Open> {
        let mut open = slot.open.lock().await;
        if let Some(open) = open.as_mut() {
            open.used = Instant::now();
            return Ok(open.clone());
        }
        let client = match timeout(OPEN_LIMIT, self.connect(address)).await {
            Ok(client) => client?,
            Err(_elapsed) => return Err(unreachable(address, "timed out")),
        };
        let fresh = Open {
            client,
            serial: rand::random(),
            used: Instant::now(),
        };
        *open = Some(fresh.clone());
        drop(open);
        Ok(fresh)
    }

    async fn connect(&self, address: SocketAddr) -> Result<PeerClient> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(|e| unreachable(address, e))?;
        stream
            .set_nodelay(true)
            .map_err(|e| unreachable(address, e))?;
        let stream = CountingStream::new(stream, Arc::clone(&self.traffic));
        let url = format!("ws://{address}/peer");
        let (mut socket, _response) =
            tokio_tungstenite::client_async_with_config(url, stream, Some(socket_config()))
                .await
                .map_err(|e| unreachable(address, e))?;
        auth::open(&mut socket, &self.secret)
            .await
            .map_err(|error| match error {
                AuthError::Forged => Error::Forged { address },
                AuthError::Broken(reason) => unreachable(address, reason),
            })?;
        Ok(PeerClient::new(client::Config::default(), Wire::new(socket)).spawn())
    }
}

fn unreachable<E>(address: SocketAddr, reason: E) -> Error
where
    E: std::fmt::Display,
{
    Error::Unreachable {
        address,
        reason: reason.to_string(),
    }
}

async fn remove_connection(slot: &Slot, serial: u64) {
    let mut open = slot.open.lock().await;
    if open.as_ref().is_some_and(|open| open.serial == serial) {
        *open = None;
    }
}
