//! Calls to a model engine.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::id::{Incarnation, RequestId};
use catkinusher_core::units::Tokens;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{Method, Request, Response};
use hyper::body::{Body, Incoming};
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::send::{Connection, Control, REQUEST_HEADER, Sender, uri};
use crate::stream::Events;
use crate::{Error, Result};

/// Header with the priority of a request; 0 is the most urgent.
pub const PRIORITY_HEADER: &str = "x-priority";

/// Header with the time until a request's deadline, in milliseconds.
pub const TIMEOUT_HEADER: &str = "x-timeout-ms";

/// Header with the other engines of a group, as comma-separated `ip:port` pairs.
pub const GROUP_HEADER: &str = "x-group";

/// The metadata of a completion request.
#[derive(Debug, Clone)]
pub struct Head {
    /// The request's ID.
    pub request: RequestId,
    /// The path, `/v1/completions` or `/v1/chat/completions`.
    pub path: String,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// The time until its deadline.
    pub left: Duration,
    /// The length of the body if known.
    pub length: Option<u64>,
    /// The other engines of the group; empty for a request on a single engine.
    pub group: Vec<SocketAddr>,
}

/// A stream that is running on the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningStream {
    /// The request.
    pub id: RequestId,
    /// The KV cache memory it holds.
    pub memory: Tokens,
    /// The tokens generated so far.
    pub generated: u64,
}

/// The streams that are running on the engine at the time of the response.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningList {
    /// The engine's incarnation, which changes with each restart.
    pub incarnation: Incarnation,
    /// Its streams.
    pub streams: Vec<RunningStream>,
}

/// The engine's load report, which lags behind its actual load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The engine's incarnation, which changes with each restart.
    pub incarnation: Incarnation,
    /// The age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Number of running streams.
    pub running: u32,
    /// Number of streams queued in the engine.
    #[serde(default)]
    pub waiting: u32,
    /// KV cache memory in use.
    #[serde(default)]
    pub memory_used: Tokens,
    /// Total KV cache memory.
    #[serde(default)]
    pub memory_total: Tokens,
    /// Prompt tokens still to prefill.
    #[serde(default)]
    pub prefill_left: Tokens,
    /// Tokens in the prefix cache.
    #[serde(default)]
    pub cached: Tokens,
}

/// An exported KV cache, which another engine can import.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Exported {
    /// The handle by which the importing engine fetches it.
    pub handle: String,
    /// The number of tokens it covers.
    pub tokens: Tokens,
}

/// Sends a completion request and returns the response head.
///
/// # Errors
///
/// As for [`Sender::send`].
pub async fn complete<B>(
    sender: &Sender<B>,
    address: SocketAddr,
    head: &Head,
    body: B,
    connection: Connection,
    limit: Duration,
) -> Result<Response<Incoming>>
where
    B: Body<Data = Bytes> + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let mut request = Request::builder()
        .method(Method::POST)
        .uri(uri(address, &head.path)?)
        .header(CONTENT_TYPE, "application/json")
        .header(REQUEST_HEADER, head.request.as_str())
        .header(PRIORITY_HEADER, head.priority.to_string())
        .header(TIMEOUT_HEADER, head.left.as_millis().to_string());
    if let Some(length) = head.length {
        request = request.header(CONTENT_LENGTH, length);
    }
    if !head.group.is_empty() {
        let group: Vec<_> = head.group.iter().map(ToString::to_string).collect();
        request = request.header(GROUP_HEADER, group.join(","));
    }
    let request = request.body(body).map_err(|error| Error::BadAnswer {
        address,
        reason: error.to_string(),
    })?;
    sender.send(address, request, connection, limit).await
}

/// Resumes a stream after its first `offset` tokens, on a new connection.
///
/// # Errors
///
/// As for [`Sender::send`]; [`Error::Status`] with 404 if the engine doesn't know the request.
pub async fn resume<B>(
    sender: &Sender<B>,
    address: SocketAddr,
    request: &RequestId,
    offset: u64,
    limit: Duration,
) -> Result<Events>
where
    B: Body<Data = Bytes> + Default + Send + Unpin + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let path = format!("/v1/streams/{request}?offset={offset}");
    let call = Request::builder()
        .uri(uri(address, &path)?)
        .body(B::default())
        .map_err(|error| Error::BadAnswer {
            address,
            reason: error.to_string(),
        })?;
    let answer = sender.send(address, call, Connection::Fresh, limit).await?;
    let status = answer.status();
    if !status.is_success() {
        return Err(Error::Status { address, status });
    }
    Ok(Events::new(address, answer.into_body()))
}

/// Cancels a request, whether or not the engine still knows it.
///
/// # Errors
///
/// As for [`Control::json`].
pub async fn cancel(control: &Control, address: SocketAddr, request: &RequestId) -> Result<()> {
    let path = format!("/v1/streams/{request}");
    let _done: IgnoredAny = control
        .json(address, Method::DELETE, &path, Bytes::new())
        .await?;
    Ok(())
}

/// Fetches the list of streams that are running on the engine.
///
/// # Errors
///
/// As for [`Control::json`].
pub async fn running(control: &Control, address: SocketAddr) -> Result<RunningList> {
    control
        .json(address, Method::GET, "/v1/running", Bytes::new())
        .await
}

/// Fetches the engine's load report, which lags behind its actual load.
///
/// # Errors
///
/// As for [`Control::json`].
pub async fn load(control: &Control, address: SocketAddr) -> Result<Load> {
    control
        .json(address, Method::GET, "/v1/load", Bytes::new())
        .await
}

#[derive(Debug, Serialize)]
struct Reserve<'a> {
    id: &'a RequestId,
    tokens: Tokens,
}

/// Reserves KV cache memory on a member of a group.
///
/// # Errors
///
/// As for [`Control::json`]; [`Error::Status`] with 507 if there is no room.
pub async fn reserve(
    control: &Control,
    address: SocketAddr,
    id: &RequestId,
    tokens: Tokens,
) -> Result<()> {
    let body = body(&Reserve { id, tokens });
    let _done: IgnoredAny = control
        .json(address, Method::POST, "/v1/kv/reserve", body)
        .await?;
    Ok(())
}

/// Exports the KV cache of a request.
///
/// # Errors
///
/// As for [`Control::json`].
pub async fn export(control: &Control, address: SocketAddr, id: &RequestId) -> Result<Exported> {
    #[derive(Debug, Serialize)]
    struct Export<'a> {
        id: &'a RequestId,
    }
    let body = body(&Export { id });
    control
        .json(address, Method::POST, "/v1/kv/export", body)
        .await
}

/// Imports the KV cache that the engine at `from` exported.
///
/// # Errors
///
/// As for [`Control::json`]; [`Error::Status`] with 507 if there is no room.
pub async fn import(
    control: &Control,
    address: SocketAddr,
    id: &RequestId,
    exported: &Exported,
    from: SocketAddr,
) -> Result<()> {
    #[derive(Debug, Serialize)]
    struct Import<'a> {
        id: &'a RequestId,
        handle: &'a str,
        from: SocketAddr,
        tokens: Tokens,
    }
    let body = body(&Import {
        id,
        handle: &exported.handle,
        from,
        tokens: exported.tokens,
    });
    let _done: IgnoredAny = control
        .json(address, Method::POST, "/v1/kv/import", body)
        .await?;
    Ok(())
}

fn body<T>(value: &T) -> Bytes
where
    T: Serialize,
{
    serde_json::to_vec(value)
        .expect("these types serialize to JSON")
        .into()
}
