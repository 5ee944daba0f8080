//! HTTP calls to the platform with time and size limits.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode, header};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::{Instant, timeout_at};

use catkinusher_core::object::Era;
use catkinusher_core::units;

use crate::error::{Bad, Error, Lost, Outage, Result, Unsendable};
use crate::form::Wire;
use crate::gate::{Gate, Priority};

/// How long an idle connection is kept; an unresponsive one is detected by the next call's timeout.
const IDLE_LIMIT: Duration = Duration::from_secs(15);

/// The interval of TCP keep-alive probes; a connection may stop responding for good during a watch.
const KEEPALIVE: Duration = Duration::from_secs(1);

/// The number of unanswered probes after which a connection is considered dead.
const KEEPALIVE_RETRIES: u32 = 2;

/// How long sent bytes may stay unacknowledged, about two retransmissions on a link that loses packets.
const USER_TIMEOUT: Duration = Duration::from_millis(1500);

/// Maximum number of idle connections to one address.
const IDLE_COUNT: usize = 4;

/// The delay after a 429 response without a valid `Retry-After` header.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

type Http = Client<HttpConnector, Full<Bytes>>;

/// A call with its response size limit and additional wait.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) wire: Wire,
    pub(crate) limit: usize,
    pub(crate) wait: Duration,
}

/// A response with a complete body within the size limit.
#[derive(Debug)]
pub(crate) struct Reply {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

#[derive(Debug)]
struct Shared {
    addrs: Vec<SocketAddr>,
    turn: AtomicUsize,
    client: Mutex<Http>,
    timeout: Duration,
    gate: Gate,
    /// The newest era that a response has named.
    era: AtomicU64,
}

/// Connections to the platform; clones share them.
#[derive(Debug, Clone)]
pub(crate) struct Transport {
    shared: Arc<Shared>,
}

impl Transport {
    pub(crate) fn new(addrs: Vec<SocketAddr>, timeout: Duration, gate: Gate) -> Self {
        let client = Mutex::new(connect(timeout));
        let turn = AtomicUsize::new(0);
        let shared = Shared {
            addrs,
            turn,
            client,
            timeout,
            gate,
            era: AtomicU64::new(Era::NONE.get()),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The newest era that a response has named.
    pub(crate) fn era(&self) -> Era {
        Era::new(self.shared.era.load(Ordering::Relaxed))
    }

    /// Records the era of a response, and returns the newest one so far.
    pub(crate) fn on_era(&self, era: Era) -> Era {
        let before = self.shared.era.fetch_max(era.get(), Ordering::Relaxed);
        era.max(Era::new(before))
    }

    /// Sends `call` once and returns the response unless its status is a server error or 429.
    ///
    /// # Errors
    ///
    /// 429, 503 and other server errors are returned as typed errors, and so is
    /// every failure to receive a complete response.
    pub(crate) async fn send(&self, call: Call, priority: Priority) -> Result<Reply> {
        let time = self.shared.timeout + call.wait;
        let deadline = Instant::now() + time;
        let method = call.wire.method.clone();
        self.shared.gate.pass(&method, priority, deadline).await?;
        let turn = self.shared.turn.load(Ordering::Relaxed);
        let outcome = match timeout_at(deadline, self.exchange(call, turn)).await {
            Ok(outcome) => outcome,
            Err(_elapsed) => Err(Error::Lost(Lost::Timeout(time))),
        };
        if let Err(fault) = &outcome {
            self.handle_failure(fault, &method, turn);
        }
        outcome
    }

    async fn exchange(&self, call: Call, turn: usize) -> Result<Reply> {
        let limit = call.limit;
        let request = self.request(call, turn)?;
        let client = self.client();
        let response = client.request(request).await.map_err(request_error)?;
        let (head, body) = response.into_parts();
        match head.status {
            StatusCode::TOO_MANY_REQUESTS => {
                let after = retry_after(&head.headers);
                Err(Error::Throttled { after })
            }
            StatusCode::SERVICE_UNAVAILABLE => Err(Error::Outage(Outage::Unavailable)),
            status if status.is_server_error() => Err(Error::Lost(Lost::Failed(status))),
            status => {
                let body = collect(body, limit).await?;
                Ok(Reply {
                    status,
                    headers: head.headers,
                    body,
                })
            }
        }
    }

    fn request(&self, call: Call, turn: usize) -> Result<Request<Full<Bytes>>> {
        let addr = self.shared.addrs[turn % self.shared.addrs.len()];
        let mut request = Request::builder()
            .method(call.wire.method)
            .uri(format!("http://{addr}{}", call.wire.path))
            .body(Full::new(call.wire.body))
            .map_err(|fault| Error::Unsendable(Unsendable::Uri(fault)))?;
        *request.headers_mut() = call.wire.headers;
        Ok(request)
    }

    fn client(&self) -> Http {
        let client = self.shared.client.lock();
        client.unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Pauses further calls or switches the address after a failed call.
    fn handle_failure(&self, fault: &Error, method: &Method, turn: usize) {
        match fault {
            Error::Throttled { after } => self.shared.gate.pause(method, *after),
            Error::Lost(_) | Error::Outage(_) => self.advance(turn),
            Error::Conflict { .. }
            | Error::Compacted { .. }
            | Error::Bad(_)
            | Error::Unsendable(_) => {}
        }
    }

    /// Switches to the next address with new connections, once for all calls
    /// that used `turn`.
    ///
    /// All connections of a pool can stop responding for good while a new one
    /// works.
    fn advance(&self, turn: usize) {
        let next = turn.wrapping_add(1);
        let moved =
            self.shared
                .turn
                .compare_exchange(turn, next, Ordering::Relaxed, Ordering::Relaxed);
        if moved.is_ok() {
            let client = self.shared.client.lock();
            *client.unwrap_or_else(PoisonError::into_inner) = connect(self.shared.timeout);
        }
    }
}

fn connect(timeout: Duration) -> Http {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_keepalive(Some(KEEPALIVE));
    connector.set_keepalive_interval(Some(KEEPALIVE));
    connector.set_keepalive_retries(Some(KEEPALIVE_RETRIES));
    connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
    connector.set_connect_timeout(Some(timeout / 2));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_LIMIT)
        .pool_max_idle_per_host(IDLE_COUNT)
        .build(connector)
}

/// Distinguishes a call that was never sent from one that may have arrived.
fn request_error(fault: hyper_util::client::legacy::Error) -> Error {
    if fault.is_connect() {
        Error::Outage(Outage::Unreachable(fault))
    } else {
        Error::Lost(Lost::Closed(fault))
    }
}

async fn collect(body: Incoming, limit: usize) -> Result<Bytes> {
    match Limited::new(body, limit).collect().await {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(fault) if fault.is::<LengthLimitError>() => {
            let limit = units::Bytes::new(limit as u64);
            Err(Error::Bad(Bad::Size(limit)))
        }
        Err(_cut) => Err(Error::Lost(Lost::Cut)),
    }
}

fn retry_after(headers: &HeaderMap) -> Duration {
    headers
        .get(header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok())
        .map_or(DEFAULT_RETRY, Duration::from_secs)
}
