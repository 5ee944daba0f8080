//! A connection opened in advance, for a request that may be sent only once.
//!
//! If opening fails, nothing has been sent. The connection is therefore opened
//! before the last check of a claim, so that nothing blocks between that check
//! and the write to the socket.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;
use tracing::debug;

use crate::send::{CONNECT_LIMIT, refusal};
use crate::{Error, Result};

/// A connection on which nothing has been sent.
#[derive(Debug)]
pub struct FreshConnection<B> {
    address: SocketAddr,
    sender: SendRequest<B>,
}

/// Opens a connection to the upstream at `address`.
///
/// # Errors
///
/// [`Error::NotSent`]; nothing can have left this process.
pub async fn open<B>(address: SocketAddr) -> Result<FreshConnection<B>>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    let failed = |reason: String| Error::NotSent { address, reason };
    let stream = match timeout(CONNECT_LIMIT, TcpStream::connect(address)).await {
        Ok(stream) => stream.map_err(|error| failed(error.to_string()))?,
        Err(_elapsed) => return Err(failed("no answer to the opening".to_owned())),
    };
    stream
        .set_nodelay(true)
        .map_err(|error| failed(error.to_string()))?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|error| failed(error.to_string()))?;
    tokio::spawn(async move {
        if let Err(error) = connection.await {
            debug!("upstream: connection to {address} ended: {error}");
        }
    });
    Ok(FreshConnection { address, sender })
}

impl<B> FreshConnection<B>
where
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: std::error::Error + Send + Sync + 'static,
{
    /// Sends the only request of this connection and waits at most `limit` for the response head.
    ///
    /// # Errors
    ///
    /// [`Error::NotTaken`] if the upstream refused and states that nothing ran;
    /// after any other error the request may have run.
    pub async fn send(
        mut self,
        mut request: Request<B>,
        limit: Duration,
    ) -> Result<Response<Incoming>> {
        let address = self.address;
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            request.headers_mut().insert(http::header::HOST, host);
        }
        let answer = match timeout(limit, self.sender.send_request(request)).await {
            Ok(answer) => answer,
            Err(_elapsed) => return Err(Error::Silent { address }),
        };
        let answer = answer.map_err(|error| Error::Broken {
            address,
            reason: error.to_string(),
        })?;
        refusal(address, &answer).map_or(Ok(answer), Err)
    }
}
