//! Answers to callers: those of upstreams, and refusals.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::outcome::Refusal;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

use super::dialect::Dialect;
use crate::forward::plain::headers::strip_hop_headers;

/// A stream that ended before its last event; the caller's connection is closed.
#[derive(Debug, Clone, Copy, Error)]
#[error("upstream stream ended before its last event")]
pub(super) struct StreamInterrupted;

/// The number of events queued for a slow caller before reading from its upstream pauses.
const EVENT_QUEUE: usize = 16;

/// The body of an answer.
#[derive(Debug)]
pub(super) enum AnswerBody {
    /// The complete body.
    Whole(Option<Bytes>),
    /// Events, forwarded as they arrive.
    Events(EventStream),
}

/// The events of a stream that are yet to be sent to the caller.
#[derive(Debug)]
pub(super) struct EventStream {
    queue: mpsc::Receiver<Bytes>,
    /// Whether the queued events include the last one.
    is_whole: Arc<AtomicBool>,
    has_ended: bool,
}

/// Queues the events of a stream for the caller.
///
/// If it is dropped before [`finish`](Self::finish), the stream is interrupted after the queued
/// events. This needs no room in the queue, so it does not wait for a caller that does not read.
#[derive(Debug)]
pub(super) struct EventSender {
    queue: mpsc::Sender<Bytes>,
    is_whole: Arc<AtomicBool>,
}

impl EventSender {
    /// Creates a sender and the body that sends its events.
    pub(super) fn new() -> (Self, AnswerBody) {
        let (sender, queue) = mpsc::channel(EVENT_QUEUE);
        let is_whole = Arc::<AtomicBool>::default();
        let sender = Self {
            queue: sender,
            is_whole: Arc::clone(&is_whole),
        };
        let stream = EventStream {
            queue,
            is_whole,
            has_ended: false,
        };
        (sender, AnswerBody::Events(stream))
    }

    /// Queues events once there is room, and returns whether the caller is still there.
    pub(super) async fn send(&self, events: Bytes) -> bool {
        self.queue.send(events).await.is_ok()
    }

    /// Whether queued events have not been taken for the caller yet.
    pub(super) fn has_unread(&self) -> bool {
        self.queue.capacity() < self.queue.max_capacity()
    }

    /// Waits until the caller has left.
    pub(super) async fn closed(&self) {
        self.queue.closed().await;
    }

    /// Ends the stream as complete.
    pub(super) fn finish(self) {
        self.is_whole.store(true, Ordering::Release);
    }
}

impl EventStream {
    fn poll_event(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        if self.has_ended {
            return Poll::Ready(None);
        }
        if let Some(events) = ready!(self.queue.poll_recv(cx)) {
            return Poll::Ready(Some(Ok(Frame::data(events))));
        }
        self.has_ended = true;
        let is_whole = self.is_whole.load(Ordering::Acquire);
        Poll::Ready((!is_whole).then_some(Err(StreamInterrupted)))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamInterrupted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamInterrupted>>> {
        match &mut *self {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(stream) => stream.poll_event(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(Some(bytes)) => SizeHint::with_exact(bytes.len() as u64),
            Self::Whole(None) => SizeHint::with_exact(0),
            Self::Events(_) => SizeHint::default(),
        }
    }
}

/// Builds an answer with a complete body.
pub(super) fn whole(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<AnswerBody> {
    let content = (!body.is_empty()).then_some(body);
    let mut response = Response::new(AnswerBody::Whole(content));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Builds the answer to a request that is refused or has failed.
pub(super) fn refusal<D>(dialect: &D, refusal: &Refusal) -> Response<AnswerBody>
where
    D: Dialect,
{
    let problem = refusal.problem(None);
    let status =
        StatusCode::from_u16(refusal.status()).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    // Serializing a problem document cannot fail; the title is a fallback that says the same.
    let body = serde_json::to_vec(&problem).unwrap_or_else(|_| problem.title.into_bytes());
    let mut headers = HeaderMap::new();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    if let Some(wait) = refusal.wait() {
        dialect.set_retry_after(&mut headers, wait);
    }
    whole(status, headers, body.into())
}

/// Removes connection-specific headers, and the length, as the stream to the caller has its own framing.
pub(super) fn strip_for_stream(headers: &mut HeaderMap) {
    strip_hop_headers(headers);
    headers.remove(CONTENT_LENGTH);
}

/// The keep-alive timeout that an upstream states in its answer.
pub(super) fn keep_alive_timeout(headers: &HeaderMap) -> Option<Duration> {
    headers
        .get("keep-alive")?
        .to_str()
        .ok()?
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))
        .and_then(|secs| secs.trim().parse().ok())
        .map(Duration::from_secs)
}
