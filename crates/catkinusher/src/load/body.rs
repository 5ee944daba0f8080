//! A prompt as a request's body, made while it is sent.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use catkinusher_core::id::ModelId;
use catkinusher_core::units::Tokens;

/// How many bytes of text the engines' stand-ins count as a token.
const TOKEN_BYTES: u64 = 4;

/// The size of a piece of filler, in bytes.
const PIECE: usize = 16 * 1024;

/// Filler that every prompt shares, after a beginning of its own.
static FILLER: [u8; PIECE] = [b'a'; PIECE];

/// A completion request whose prompt has a given length.
///
/// The filler is made piece by piece, so that a prompt of a million tokens
/// costs the client no memory.
#[derive(Debug)]
pub(super) struct Prompt {
    head: Option<Bytes>,
    filler: u64,
    tail: Option<Bytes>,
}

impl Prompt {
    pub(super) fn new(model: &ModelId, prompt: Tokens, answer: Tokens, salt: u64) -> Self {
        let model = serde_json::Value::from(model.as_str());
        let salt = format!("{salt:016x}");
        let head =
            format!(r#"{{"model":{model},"stream":true,"max_tokens":{answer},"prompt":"{salt}"#);
        let text = prompt.get() * TOKEN_BYTES;
        Self {
            head: Some(head.into()),
            filler: text.saturating_sub(salt.len() as u64),
            tail: Some(Bytes::from_static(b"\"}")),
        }
    }

    fn left(&self) -> u64 {
        let ends = [&self.head, &self.tail];
        let ends = ends.into_iter().flatten().map(|end| end.len() as u64);
        ends.sum::<u64>() + self.filler
    }

    fn next(&mut self) -> Option<Bytes> {
        if let Some(head) = self.head.take() {
            return Some(head);
        }
        if self.filler == 0 {
            return self.tail.take();
        }
        let size = self.filler.min(PIECE as u64);
        self.filler -= size;
        Some(Bytes::from_static(&FILLER[..size as usize]))
    }
}

impl Body for Prompt {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        Poll::Ready(self.next().map(|piece| Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left() == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left())
    }
}
