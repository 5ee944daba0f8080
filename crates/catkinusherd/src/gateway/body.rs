//! Receiving bodies of requests, and answers that are not streamed.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::outcome::Refusal;
use catkinusher_core::units::{self, Span};
use http::header::{CONTENT_LENGTH, EXPECT};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use thiserror::Error;

use super::dialect::Dialect;
use super::handle::Job;
use super::memory::Buffer;
use super::state::State;

/// The retry delay given to callers when this node has no memory for a body.
///
/// Within this time some held requests end, as most take less; other nodes may have room at once.
const MEMORY_RETRY_AFTER: Span = Span::from_millis(500);

/// How long the rest of a refused body is read and discarded.
///
/// Many callers send the whole body before they read the answer, and a connection that is closed
/// with unread data is reset, so that they would not see the refusal.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(2);

/// The maximum size of an answer that is not streamed, in bytes; it is buffered whole, and a
/// larger one counts as broken.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Why an answer could not be received.
#[derive(Debug, Error)]
pub(super) enum AnswerError {
    /// It is longer than [`MAX_ANSWER_BYTES`].
    #[error("answer exceeds {MAX_ANSWER_BYTES} bytes")]
    TooLong,
    /// The connection broke, or the framing is invalid.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// Receives the body of a request within the limits of size, time and memory.
///
/// # Errors
///
/// The refusal for the caller.
pub(super) async fn read_body<D>(
    job: &Job<D>,
    mut body: Incoming,
    limit: usize,
) -> Result<Bytes, Refusal>
where
    D: Dialect,
{
    let mut buffer = job.state.memory.body_buffer();
    let received = tokio::select! {
        received = receive_body(job, &mut body, limit, &mut buffer) => received,
        () = job.state.timers.at(job.deadline) => Err(Refusal::TooSlow {
            limit: Span::new(job.deadline.since(job.received)),
        }),
        () = job.state.ending.cancelled() => Err(job.stop_refusal()),
    };
    if let Err(Refusal::MemoryFull { .. }) = &received {
        job.state.metrics.on_memory_refusal();
        // A caller that waits for permission to send its body must not get it.
        if !job.head.headers.contains_key(EXPECT) {
            tokio::spawn(drain(Arc::clone(&job.state), body, limit));
        }
    }
    received.map(|()| buffer.freeze())
}

async fn receive_body<D>(
    job: &Job<D>,
    body: &mut Incoming,
    limit: usize,
    buffer: &mut Buffer,
) -> Result<(), Refusal>
where
    D: Dialect,
{
    let too_large = || Refusal::BodyTooLarge {
        limit: units::Bytes::new(limit as u64),
    };
    let memory_full = || Refusal::MemoryFull {
        after: MEMORY_RETRY_AFTER,
    };
    let content_length = job
        .head
        .headers
        .get(CONTENT_LENGTH)
        .and_then(|length| length.to_str().ok())
        .and_then(|length| length.parse::<usize>().ok());
    if let Some(length) = content_length {
        if length > limit {
            return Err(too_large());
        }
        if !buffer.try_reserve(length) {
            return Err(memory_full());
        }
    }
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| Refusal::BadBody {
            detail: error.to_string(),
        })?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > limit {
            return Err(too_large());
        }
        if !buffer.try_reserve(data.len()) {
            return Err(memory_full());
        }
        buffer.push(&data);
    }
    Ok(())
}

/// Reads and discards the rest of a refused body, so that its connection can be used again.
///
/// If the caller sends too much or is too slow, the connection is closed.
async fn drain<D>(state: Arc<State<D>>, mut body: Incoming, limit: usize)
where
    D: Dialect,
{
    let reading = async {
        let mut drained = 0;
        while let Some(Ok(frame)) = body.frame().await {
            drained += frame.data_ref().map_or(0, Bytes::len);
            if drained > limit {
                return;
            }
        }
    };
    tokio::select! {
        () = reading => {}
        () = state.timers.after(DRAIN_TIMEOUT) => {}
        () = state.ending.cancelled() => {}
    }
}

/// Receives an answer; while there is no memory for more of it, nothing is read from its upstream.
///
/// # Errors
///
/// [`AnswerError`] if it is too long or its connection breaks.
pub(super) async fn receive_answer(
    mut body: Incoming,
    mut buffer: Buffer,
) -> Result<Bytes, AnswerError> {
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > MAX_ANSWER_BYTES {
            return Err(AnswerError::TooLong);
        }
        buffer.reserve(data.len()).await;
        buffer.push(&data);
    }
    Ok(buffer.freeze())
}
