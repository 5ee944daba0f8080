//! What an engine asks another: whether it still holds a part of a request.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::id::RequestId;
use catkinusher_core::units::Tokens;
use http::{Request, header};
use http_body_util::{BodyExt, Empty};
use hyper::body::Bytes;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::Running;
use super::kv::Exported;

/// How long an engine waits for another.
const PATIENCE: Duration = Duration::from_secs(1);

/// Memory that an engine holds for a request.
pub(super) async fn held(engine: SocketAddr, id: &RequestId) -> Option<Tokens> {
    let running = get::<Running>(engine, "/v1/running").await?;
    let stream = running.streams.into_iter().find(|held| held.id == *id)?;
    Some(stream.memory)
}

/// Tokens of a KV cache that an engine has exported.
pub(super) async fn exported(engine: SocketAddr, handle: &str) -> Option<u64> {
    let exported = get::<Exported>(engine, &format!("/v1/kv/{handle}")).await?;
    Some(exported.tokens)
}

async fn get<T>(engine: SocketAddr, path: &str) -> Option<T>
where
    T: DeserializeOwned,
{
    let body = timeout(PATIENCE, fetch(engine, path)).await.ok()?;
    serde_json::from_slice(&body.ok()?).ok()
}

async fn fetch(engine: SocketAddr, path: &str) -> io::Result<Bytes> {
    let stream = TcpStream::connect(engine).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    let request = Request::get(path)
        .header(header::HOST, engine.to_string())
        .body(Empty::<Bytes>::new())
        .map_err(io::Error::other)?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        Ok::<_, hyper::Error>(response.into_body().collect().await?.to_bytes())
    };
    tokio::select! {
        body = exchange => body.map_err(io::Error::other),
        ended = connection => Err(ended.err().map_or_else(
            || io::ErrorKind::UnexpectedEof.into(),
            io::Error::other,
        )),
    }
}
