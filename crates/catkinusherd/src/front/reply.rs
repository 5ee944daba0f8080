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
pub struct Cut;

/// Where the pieces of a streamed answer are put.
pub type PieceSender = mpsc::Sender<Result<Bytes, Cut>>;

/// How many pieces may wait for a slow caller.
const PIECES: usize = 16;

/// An answer's body, whole or piece by piece.
#[derive(Debug)]
pub enum ResponseBody {
    /// All of it.
    Whole(Option<Bytes>),
    /// Its pieces as they come; one that is [`Cut`] ends the connection.
    Pieces(mpsc::Receiver<Result<Bytes, Cut>>),
}

impl ResponseBody {
    /// A body that is known.
    #[must_use]
    pub const fn whole(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
    }

    /// A body that comes piece by piece, and where to put them.
    #[must_use]
    pub fn pieces() -> (PieceSender, Self) {
        let (sender, receiver) = mpsc::channel(PIECES);
        (sender, Self::Pieces(receiver))
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => pieces
                .poll_recv(cx)
                .map(|piece| piece.map(|piece| piece.map(Frame::data))),
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}
