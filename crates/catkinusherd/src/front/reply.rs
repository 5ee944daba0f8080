//! The body of an answer on its way to a caller.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use thiserror::Error;
use tokio::sync::mpsc;

/// The answer broke off; the caller must see that it is not whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the answer broke off")]
pub struct Truncated;

/// Where the pieces of a streamed answer are put.
pub type ChunkSender = mpsc::Sender<Result<Bytes, Truncated>>;

/// How many pieces may wait for a slow caller.
const CHUNK_BUFFER: usize = 16;

/// An answer's body, whole or piece by piece.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it.
    Full(Option<Bytes>),
    /// Its pieces as they come; one that is [`Truncated`] ends the connection.
    Stream(mpsc::Receiver<Result<Bytes, Truncated>>),
}

impl ResponseBody {
    /// A body that is known.
    #[must_use]
    pub const fn full(bytes: Bytes) -> Self {
        Self::Full(Some(bytes))
    }

    /// A body that comes piece by piece, and where to put them.
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
