//! Reads the events of a streamed response.

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use eventsource_stream::{EventStream, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::{BodyDataStream, BodyExt};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::{Error, Result};

/// Maximum size of a single event, in bytes.
pub const EVENT_LIMIT: usize = 1 << 20;

/// The data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// The engine's token counts for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Usage {
    /// Tokens in the prompt.
    pub prompt_tokens: u64,
    /// Tokens in the completion.
    pub completion_tokens: u64,
    /// Prompt tokens found in the prefix cache.
    pub cached_tokens: u64,
}

/// An event of a streamed response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// One or more tokens of a completion.
    Token {
        /// The request ID reported by the engine.
        request: String,
        /// Its position in the response, starting at 0.
        seq: u64,
        /// The unmodified event data.
        data: String,
    },
    /// The token counts, sent after the last token.
    Usage {
        /// The request ID reported by the engine.
        request: String,
        /// The counts.
        usage: Usage,
        /// The unmodified event data.
        data: String,
    },
    /// The end of a complete response.
    Done,
}

#[derive(Debug, Deserialize)]
struct Chunk {
    id: String,
    #[serde(default)]
    seq: Option<u64>,
    #[serde(default)]
    usage: Option<Usage>,
}

/// A response body that counts the bytes received since the counter was last reset.
#[derive(Debug)]
struct CountingBody {
    inner: BodyDataStream<Incoming>,
    count: Arc<AtomicUsize>,
}

impl Stream for CountingBody {
    type Item = std::result::Result<Bytes, std::io::Error>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let item = std::task::ready!(self.inner.poll_next_unpin(cx));
        let item = item.map(|piece| piece.map_err(std::io::Error::other));
        if let Some(Ok(bytes)) = &item {
            let so_far = self.count.fetch_add(bytes.len(), Ordering::Relaxed);
            if so_far + bytes.len() > EVENT_LIMIT {
                let error = std::io::Error::other("an event is too large");
                return Poll::Ready(Some(Err(error)));
            }
        }
        Poll::Ready(item)
    }
}

/// The event stream of a response.
pub struct Events {
    address: SocketAddr,
    source: EventStream<CountingBody>,
    count: Arc<AtomicUsize>,
}

impl std::fmt::Debug for Events {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Events")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}

impl Events {
    /// Reads the events of `body`, a response body of the upstream at `address`.
    #[must_use]
    pub fn new(address: SocketAddr, body: Incoming) -> Self {
        let count = Arc::new(AtomicUsize::new(0));
        let body = CountingBody {
            inner: body.into_data_stream(),
            count: Arc::clone(&count),
        };
        Self {
            address,
            source: body.eventsource(),
            count,
        }
    }

    /// Waits at most `limit` for the next event; `None` once the connection is closed.
    ///
    /// # Errors
    ///
    /// [`Error::Silent`] after `limit`, [`Error::Broken`] if the connection
    /// failed, [`Error::BadAnswer`] for an event that violates the protocol.
    pub async fn next(&mut self, limit: Duration) -> Result<Option<Event>> {
        let address = self.address;
        let next = timeout(limit, self.source.next()).await;
        self.count.store(0, Ordering::Relaxed);
        match next {
            Err(_elapsed) => Err(Error::Silent { address }),
            Ok(None) => Ok(None),
            Ok(Some(Err(error))) => Err(Error::Broken {
                address,
                reason: error.to_string(),
            }),
            Ok(Some(Ok(event))) => read(address, event.data).map(Some),
        }
    }
}

fn read(address: SocketAddr, data: String) -> Result<Event> {
    if data == DONE {
        return Ok(Event::Done);
    }
    let chunk: Chunk = serde_json::from_str(&data).map_err(|error| Error::BadAnswer {
        address,
        reason: error.to_string(),
    })?;
    match (chunk.usage, chunk.seq) {
        (Some(usage), _) => Ok(Event::Usage {
            request: chunk.id,
            usage,
            data,
        }),
        (None, Some(seq)) => Ok(Event::Token {
            request: chunk.id,
            seq,
            data,
        }),
        (None, None) => Err(Error::BadAnswer {
            address,
            reason: "an event has neither `seq` nor `usage`".to_owned(),
        }),
    }
}
