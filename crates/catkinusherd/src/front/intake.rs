//! Buffering of request bodies, bounded by a budget for the whole node.
//!
//! A body of up to [`Limits::keep`] is buffered whole while the node's buffer
//! budget allows it, so that a retry can send it again. Of a larger one only the
//! first [`Limits::peek`] is buffered, and the rest is streamed with the
//! upstream's backpressure, so that memory use doesn't grow with the traffic.

use std::collections::VecDeque;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use thiserror::Error;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::{Instant, Sleep, sleep, timeout};

use crate::settings::Limits;

/// The bytes that one unit of the buffer budget stands for; reservations are rounded up to it.
const BUDGET_UNIT: u64 = 1024;

/// Why a request body can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum BodyError {
    /// It exceeds the size limit.
    #[error("the body has more than {0} bytes")]
    TooLarge(u64),
    /// It is too large to buffer, and has no `Content-Length`.
    #[error("a body over {0} bytes must come with its Content-Length")]
    LengthMissing(u64),
    /// The caller sent nothing within the idle timeout.
    #[error("the body stopped coming")]
    Idle,
    /// The connection ended before the body was complete.
    #[error("the body was cut off")]
    Truncated,
}

/// The node's budget for buffered request bodies.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    units: Arc<Semaphore>,
}

impl BufferBudget {
    /// Creates a budget of [`Limits::kept`] bytes.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        let units = limits.kept.get() / BUDGET_UNIT;
        Self {
            units: Arc::new(Semaphore::new(units as usize)),
        }
    }

    /// How many bytes are still available.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.units.available_permits() as u64 * BUDGET_UNIT
    }

    fn try_reserve(&self, bytes: u64) -> Option<OwnedSemaphorePermit> {
        let units = u32::try_from(bytes.div_ceil(BUDGET_UNIT)).ok()?;
        Arc::clone(&self.units).try_acquire_many_owned(units).ok()
    }
}

/// A caller's request body, buffered whole or in part.
#[derive(Debug)]
pub struct RequestBody {
    chunks: Vec<Bytes>,
    size: u64,
    length: Option<u64>,
    unread: Option<Incoming>,
    idle: Duration,
    limit: u64,
    budget_permit: Option<OwnedSemaphorePermit>,
}

impl RequestBody {
    /// Buffers `body` up to what the limits and the budget allow.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if the body is too large, idle, truncated or of unknown length.
    pub async fn read(
        body: Incoming,
        limits: &Limits,
        budget: &BufferBudget,
    ) -> Result<Self, BodyError> {
        let limit = limits.body.get();
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > limit) {
            return Err(BodyError::TooLarge(limit));
        }
        let reserve = length.unwrap_or(limits.keep.get()).min(limits.keep.get());
        let fits = length.is_none_or(|length| length <= limits.keep.get());
        let budget_permit = fits.then(|| budget.try_reserve(reserve)).flatten();
        let mut request_body = Self {
            chunks: Vec::new(),
            size: 0,
            length,
            unread: Some(body),
            idle: limits.idle.get(),
            limit,
            budget_permit,
        };
        let buffer_limit = if request_body.budget_permit.is_some() {
            limits.keep.get()
        } else {
            limits.peek.get()
        };
        request_body.fill(buffer_limit).await?;
        if request_body.unread.is_some() && length.is_none() {
            return Err(BodyError::LengthMissing(buffer_limit));
        }
        Ok(request_body)
    }

    async fn fill(&mut self, buffer_limit: u64) -> Result<(), BodyError> {
        while self.size < buffer_limit {
            let Some(body) = self.unread.as_mut() else {
                return Ok(());
            };
            let frame = timeout(self.idle, body.frame())
                .await
                .map_err(|_elapsed| BodyError::Idle)?;
            match frame {
                None => {
                    self.unread = None;
                    self.length = Some(self.size);
                }
                Some(Err(_error)) => return Err(BodyError::Truncated),
                Some(Ok(frame)) => self.push(frame)?,
            }
        }
        let ended = self.unread.as_ref().is_some_and(Body::is_end_stream);
        if ended {
            self.unread = None;
            self.length = Some(self.size);
        }
        Ok(())
    }

    fn push(&mut self, frame: Frame<Bytes>) -> Result<(), BodyError> {
        let Ok(chunk) = frame.into_data() else {
            return Ok(());
        };
        self.size += chunk.len() as u64;
        if self.size > self.limit {
            return Err(BodyError::TooLarge(self.limit));
        }
        self.chunks.push(chunk);
        Ok(())
    }

    /// Whether no part of the body is left to read from the connection.
    #[must_use]
    pub const fn is_fully_buffered(&self) -> bool {
        self.unread.is_none()
    }

    /// The length of the whole body, from `Content-Length` or once it is read.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length.unwrap_or(self.size)
    }

    /// The buffered part as one chunk.
    #[must_use]
    pub fn buffered(&self) -> Bytes {
        match self.chunks.as_slice() {
            [] => Bytes::new(),
            [chunk] => chunk.clone(),
            chunks => chunks.concat().into(),
        }
    }

    /// The body to send to an upstream: a copy if it is buffered whole, otherwise
    /// the buffered part followed by the rest of the stream.
    ///
    /// A streamed body can be handed out only once; check [`can_send`](Self::can_send) first.
    pub fn upstream_body(&mut self) -> Option<UpstreamBody> {
        if self.is_fully_buffered() {
            return Some(UpstreamBody::buffered(
                self.chunks.iter().cloned().collect(),
            ));
        }
        let unread = self.unread.take()?;
        // A streamed body can't be sent again, so its buffer budget is released.
        let chunks: VecDeque<_> = std::mem::take(&mut self.chunks).into();
        self.budget_permit = None;
        let left = self.length() - self.size;
        Some(UpstreamBody::streamed(chunks, unread, left, self.idle))
    }

    /// Whether [`upstream_body`](Self::upstream_body) can hand out a body.
    #[must_use]
    pub const fn can_send(&self) -> bool {
        self.unread.is_some() || !self.chunks.is_empty() || self.size == 0
    }

    /// Frees the buffer that was kept for a retry.
    pub fn release_buffer(&mut self) {
        self.chunks = Vec::new();
        self.budget_permit = None;
        // With a size of 0, `can_send` would take the freed body for an empty one.
        self.size = self.size.max(1);
    }
}

/// A request body sent to an upstream.
#[derive(Debug, Default)]
pub struct UpstreamBody {
    chunks: VecDeque<Bytes>,
    streamed: Option<Box<StreamedRest>>,
}

#[derive(Debug)]
struct StreamedRest {
    unread: Incoming,
    left: u64,
    idle: Duration,
    idle_timer: Pin<Box<Sleep>>,
}

impl UpstreamBody {
    const fn buffered(chunks: VecDeque<Bytes>) -> Self {
        Self {
            chunks,
            streamed: None,
        }
    }

    fn streamed(chunks: VecDeque<Bytes>, unread: Incoming, left: u64, idle: Duration) -> Self {
        let idle_timer = Box::pin(sleep(idle));
        let streamed = StreamedRest {
            unread,
            left,
            idle,
            idle_timer,
        };
        Self {
            chunks,
            streamed: Some(Box::new(streamed)),
        }
    }

    fn buffered_bytes(&self) -> u64 {
        self.chunks.iter().map(|chunk| chunk.len() as u64).sum()
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(chunk) = self.chunks.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        let Some(streamed) = self.streamed.as_mut() else {
            return Poll::Ready(None);
        };
        streamed.poll(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.chunks.is_empty() && self.streamed.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.streamed.as_ref().map_or(0, |streamed| streamed.left);
        SizeHint::with_exact(self.buffered_bytes() + left)
    }
}

impl StreamedRest {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.unread).poll_frame(cx) else {
            ready!(self.idle_timer.as_mut().poll(cx));
            return Poll::Ready(Some(Err(BodyError::Idle)));
        };
        self.idle_timer.as_mut().reset(Instant::now() + self.idle);
        match frame {
            None => Poll::Ready(None),
            Some(Err(_error)) => Poll::Ready(Some(Err(BodyError::Truncated))),
            Some(Ok(frame)) => {
                let size = frame.data_ref().map_or(0, |data| data.len() as u64);
                self.left = self.left.saturating_sub(size);
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }
}
