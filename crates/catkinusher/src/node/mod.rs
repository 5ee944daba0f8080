//! Questions to one daemon, at its listener for operators.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::header::AUTHORIZATION;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use thiserror::Error;
use tokio::time::timeout;

use catkinusher_platform::error::root_cause;

/// The largest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 4 * 1024 * 1024;

/// Why a daemon gave no answer to build on.
#[derive(Debug, Error)]
pub(crate) enum NodeError {
    /// No answer came.
    #[error("no answer from {0}: {cause}", cause = root_cause(.1))]
    Away(SocketAddr, #[source] hyper_util::client::legacy::Error),
    /// No whole answer came in time.
    #[error("no whole answer from {0} within its time and size")]
    Late(SocketAddr),
    /// It does not know what was asked for.
    #[error("{0} knows nothing of that")]
    Unknown(SocketAddr),
    /// Its answer is none.
    #[error("{0} answers {1}")]
    Status(SocketAddr, StatusCode),
    /// Its answer is no JSON.
    #[error("{0} answers no JSON: {1}")]
    Body(SocketAddr, #[source] serde_json::Error),
    /// It cannot answer, and says why.
    #[error("{0}: {1}")]
    Refused(SocketAddr, String),
    /// The question makes no URI.
    #[error("no question: {0}")]
    Question(#[from] http::Error),
}

/// Asks the daemon whose listener for operators is `addr`.
pub(crate) async fn ask(addr: SocketAddr, path: &str, time: Duration) -> Result<Value, NodeError> {
    let request = Request::get(format!("http://{addr}{path}")).body(Empty::<Bytes>::new())?;
    timeout(time, exchange(addr, request))
        .await
        .map_err(|_elapsed| NodeError::Late(addr))?
}

/// Asks the node whose health address is `addr`, with an API key if there is one.
///
/// A refusal names its reason in the field `error`.
pub(crate) async fn ask_health(
    addr: SocketAddr,
    path: &str,
    key: Option<&str>,
    time: Duration,
) -> Result<Bytes, NodeError> {
    let mut request = Request::get(format!("http://{addr}{path}"));
    if let Some(key) = key {
        request = request.header(AUTHORIZATION, format!("Bearer {key}"));
    }
    let request = request.body(Empty::<Bytes>::new())?;
    let (status, body) = timeout(time, fetch(addr, request))
        .await
        .map_err(|_elapsed| NodeError::Late(addr))??;
    if status == StatusCode::OK {
        return Ok(body);
    }
    let reason = serde_json::from_slice::<Value>(&body).ok();
    let reason = reason.as_ref().and_then(|value| value["error"].as_str());
    Err(match reason {
        Some(reason) => NodeError::Refused(addr, reason.to_owned()),
        None => NodeError::Status(addr, status),
    })
}

async fn exchange(addr: SocketAddr, request: Request<Empty<Bytes>>) -> Result<Value, NodeError> {
    let (status, body) = fetch(addr, request).await?;
    match status {
        StatusCode::OK => {}
        StatusCode::NOT_FOUND => return Err(NodeError::Unknown(addr)),
        status => return Err(NodeError::Status(addr, status)),
    }
    serde_json::from_slice(&body).map_err(|fault| NodeError::Body(addr, fault))
}

async fn fetch(
    addr: SocketAddr,
    request: Request<Empty<Bytes>>,
) -> Result<(StatusCode, Bytes), NodeError> {
    let client = Client::builder(TokioExecutor::new()).build_http();
    let response = client
        .request(request)
        .await
        .map_err(|fault| NodeError::Away(addr, fault))?;
    let status = response.status();
    let body = Limited::new(response.into_body(), ANSWER_LIMIT).collect();
    let body = body.await.map_err(|_cut| NodeError::Late(addr))?;
    Ok((status, body.to_bytes()))
}
