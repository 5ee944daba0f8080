//! Sends requests on pooled or new connections.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode, Uri};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Body, Incoming};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::{Error, Result};

/// Timeout for opening a connection.
pub const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// How long an idle connection stays in the pool.
pub const IDLE_LIMIT: Duration = Duration::from_secs(20);

/// `TCP_USER_TIMEOUT`: how long sent data may stay unacknowledged before the kernel
/// closes the connection.
pub const USER_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of idle connections in the pool for each upstream.
pub const IDLE_CONNECTIONS: usize = 4;

/// Maximum size of the response to a control call, in bytes.
pub const ANSWER_LIMIT: usize = 1 << 20;

/// Response header by which an upstream states that a refused request has not run.
pub const OUTCOME_HEADER: &str = "x-outcome";

/// Header with the request ID, in requests and responses.
pub const REQUEST_HEADER: &str = "x-request-id";

/// The kind of connection that a request may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Connection {
    /// An open connection from the pool, or a new one.
    Pooled,
    /// A new connection, whose state no middlebox on the path can have dropped yet.
    Fresh,
}

/// Sends requests with bodies of type `B`.
#[derive(Debug, Clone)]
pub struct Sender<B> {
    pooled: Client<HttpConnector, B>,
    fresh: Client<HttpConnector, B>,
}

impl<B> Default for Sender<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    fn default() -> Self {
        Self::new()
    }
}

impl<B> Sender<B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    /// Creates a sender with empty connection pools.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pooled: client(IDLE_CONNECTIONS),
            fresh: client(0),
        }
    }

    /// Sends a request and waits at most `limit` for the response head.
    ///
    /// # Errors
    ///
    /// [`Error::NotSent`] if no connection could be opened, [`Error::NotTaken`]
    /// if the upstream refused and states that nothing ran, [`Error::Silent`] after
    /// `limit` and [`Error::Broken`] otherwise.
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request<B>,
        connection: Connection,
        limit: Duration,
    ) -> Result<Response<Incoming>> {
        let client = match connection {
            Connection::Pooled => &self.pooled,
            Connection::Fresh => &self.fresh,
        };
        let answer = match timeout(limit, client.request(request)).await {
            Ok(answer) => answer,
            Err(_elapsed) => return Err(Error::Silent { address }),
        };
        let answer = answer.map_err(|error| failure(address, &error))?;
        refusal(address, &answer).map_or(Ok(answer), Err)
    }
}

fn client<B>(idle: usize) -> Client<HttpConnector, B>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_LIMIT));
    connector.set_tcp_user_timeout(Some(USER_TIMEOUT));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .pool_idle_timeout(IDLE_LIMIT)
        .pool_max_idle_per_host(idle)
        // Only the caller knows whether a request may be sent again, so the client never retries.
        .retry_canceled_requests(false)
        .build(connector)
}

fn failure(address: SocketAddr, error: &hyper_util::client::legacy::Error) -> Error {
    let reason = error_chain(error);
    if error.is_connect() {
        Error::NotSent { address, reason }
    } else {
        Error::Broken { address, reason }
    }
}

fn error_chain(error: &hyper_util::client::legacy::Error) -> String {
    let mut text = error.to_string();
    let mut source = std::error::Error::source(error);
    while let Some(inner) = source {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        source = inner.source();
    }
    text
}

pub(crate) fn refusal<T>(address: SocketAddr, answer: &Response<T>) -> Option<Error> {
    let proven = answer
        .headers()
        .get(OUTCOME_HEADER)
        .is_some_and(|value| value == "not-run");
    if answer.status() != StatusCode::SERVICE_UNAVAILABLE || !proven {
        return None;
    }
    let retry_after = answer
        .headers()
        .get(http::header::RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Duration::from_secs);
    Some(Error::NotTaken {
        address,
        retry_after,
    })
}

/// Builds the URI of `path` on the upstream at `address`.
///
/// # Errors
///
/// [`Error::BadAnswer`] if `path` is not a valid URI path.
pub fn uri(address: SocketAddr, path: &str) -> Result<Uri> {
    Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query(path)
        .build()
        .map_err(|error| Error::BadAnswer {
            address,
            reason: error.to_string(),
        })
}

/// A client for short calls without a stream: load reports, lists of running requests,
/// cancellations, and reservations and transfers of engine memory.
///
/// Each call uses a new connection, since these calls check on upstreams whose
/// open connections may have stopped responding.
#[derive(Debug, Clone)]
pub struct Control {
    sender: Sender<Full<Bytes>>,
    limit: Duration,
}

impl Control {
    /// Creates a client whose calls wait at most `limit` for the complete response.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        Self {
            sender: Sender::new(),
            limit,
        }
    }

    /// Sends a request and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// As for [`Sender::send`], and [`Error::Status`] or [`Error::BadAnswer`]
    /// for a response with an error status or a body that is not JSON of type `T`.
    pub async fn json<T>(
        &self,
        address: SocketAddr,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<T>
    where
        T: DeserializeOwned,
    {
        let call = self.bytes(address, method, path, body);
        let bytes = timeout(self.limit, call)
            .await
            .map_err(|_elapsed| Error::Silent { address })??;
        let text = if bytes.is_empty() {
            b"null"
        } else {
            bytes.as_ref()
        };
        serde_json::from_slice(text).map_err(|error| Error::BadAnswer {
            address,
            reason: error.to_string(),
        })
    }

    async fn bytes(
        &self,
        address: SocketAddr,
        method: http::Method,
        path: &str,
        body: Bytes,
    ) -> Result<Bytes> {
        let bad = |reason: String| Error::BadAnswer { address, reason };
        let request = Request::builder()
            .method(method)
            .uri(uri(address, path)?)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|error| bad(error.to_string()))?;
        let answer = self
            .sender
            .send(address, request, Connection::Fresh, self.limit)
            .await?;
        let status = answer.status();
        if !status.is_success() {
            return Err(Error::Status { address, status });
        }
        let whole = Limited::new(answer.into_body(), ANSWER_LIMIT)
            .collect()
            .await;
        whole
            .map(http_body_util::Collected::to_bytes)
            .map_err(|error| bad(error.to_string()))
    }
}
