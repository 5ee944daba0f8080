//! The body of a response to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// The response is incomplete; the connection is aborted so that the caller notices.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the response was truncated")]
pub struct Truncated;

/// Sends the chunks of a streamed response body.
pub type ChunkSender = mpsc::Sender<Result<Bytes, Truncated>>;

/// How many chunks are buffered for a slow caller.
const CHUNK_BUFFER: usize = 16;

/// A response body, complete or streamed.
#[derive(Debug)]
pub enum ResponseBody {
    /// The complete body, until it is sent.
    Full(Option<Bytes>),
    /// Its chunks as they arrive; [`Truncated`] aborts the connection.
    Stream(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl ResponseBody {
    /// Creates a complete body.
    #[must_use]
    pub const fn full(bytes: Bytes) -> Self {
        Self::Full(Some(bytes))
    }

    /// Creates a streamed body and the sender of its chunks.
    #[must_use]
    pub fn stream() -> (ChunkSender, Self) {
        let (sender, receiver) = mpsc::channel(CHUNK_BUFFER);
        (sender, Self::Stream(receiver))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(chunks) => chunks
                .poll_recv(cx)
                .map(|chunk| chunk.map(|chunk| chunk.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(_) => SizeHint::default(),
        }
    }
}
