//! Reading a caller's body: as much as a choice needs, and no more than the
//! node may keep.
//!
//! A body of up to [`Limits::keep`] is read whole while the node's budget for
//! kept bodies lasts, and can be sent again. Of a larger one only the first
//! [`Limits::peek`] is held, and the rest passes through as the upstream takes
//! it, so a node's memory doesn't grow with what passes through it.

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

/// The unit in which the budget for kept bodies is counted, in bytes.
const KEEP_UNIT: u64 = 1024;

/// Why a body can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum IntakeError {
    /// It has more bytes than this node takes.
    #[error("the body has more than {0} bytes")]
    TooLarge(u64),
    /// It is large, and its length isn't given beforehand.
    #[error("a body over {0} bytes must come with its Content-Length")]
    LengthMissing(u64),
    /// The caller sent nothing for too long.
    #[error("the body stopped coming")]
    Idle,
    /// The connection ended before the body did.
    #[error("the body was cut off")]
    Cut,
}

/// The node's budget for kept bodies.
#[derive(Debug, Clone)]
pub struct BufferBudget {
    units: Arc<Semaphore>,
}

impl BufferBudget {
    /// A budget as the limits give it.
    #[must_use]
    pub fn new(limits: &Limits) -> Self {
        let units = limits.kept.get() / KEEP_UNIT;
        Self {
            units: Arc::new(Semaphore::new(units as usize)),
        }
    }

    /// How many bytes may still be kept.
    #[must_use]
    pub fn left(&self) -> u64 {
        self.units.available_permits() as u64 * KEEP_UNIT
    }

    fn take(&self, bytes: u64) -> Option<OwnedSemaphorePermit> {
        let units = u32::try_from(bytes.div_ceil(KEEP_UNIT)).ok()?;
        Arc::clone(&self.units).try_acquire_many_owned(units).ok()
    }
}

/// A body as far as it has been read.
#[derive(Debug)]
pub struct Intake {
    pieces: Vec<Bytes>,
    size: u64,
    length: Option<u64>,
    rest: Option<Incoming>,
    idle: Duration,
    limit: u64,
    kept: Option<OwnedSemaphorePermit>,
}

impl Intake {
    /// Reads `body` up to what the limits let the node hold.
    ///
    /// # Errors
    ///
    /// [`IntakeError`] says what is wrong with the body.
    pub async fn read(
        body: Incoming,
        limits: &Limits,
        budget: &BufferBudget,
    ) -> Result<Self, IntakeError> {
        let limit = limits.body.get();
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > limit) {
            return Err(IntakeError::TooLarge(limit));
        }
        let wanted = length.unwrap_or(limits.keep.get()).min(limits.keep.get());
        let fits = length.is_none_or(|length| length <= limits.keep.get());
        let kept = fits.then(|| budget.take(wanted)).flatten();
        let mut intake = Self {
            pieces: Vec::new(),
            size: 0,
            length,
            rest: Some(body),
            idle: limits.idle.get(),
            limit,
            kept,
        };
        let hold = if intake.kept.is_some() {
            limits.keep.get()
        } else {
            limits.peek.get()
        };
        intake.fill(hold).await?;
        if intake.rest.is_some() && length.is_none() {
            return Err(IntakeError::LengthMissing(hold));
        }
        Ok(intake)
    }

    async fn fill(&mut self, hold: u64) -> Result<(), IntakeError> {
        while self.size < hold {
            let Some(body) = self.rest.as_mut() else {
                return Ok(());
            };
            let frame = timeout(self.idle, body.frame())
                .await
                .map_err(|_elapsed| IntakeError::Idle)?;
            match frame {
                None => {
                    self.rest = None;
                    self.length = Some(self.size);
                }
                Some(Err(_error)) => return Err(IntakeError::Cut),
                Some(Ok(frame)) => self.push(frame)?,
            }
        }
        let ended = self.rest.as_ref().is_some_and(Body::is_end_stream);
        if ended {
            self.rest = None;
            self.length = Some(self.size);
        }
        Ok(())
    }

    fn push(&mut self, frame: Frame<Bytes>) -> Result<(), IntakeError> {
        let Ok(piece) = frame.into_data() else {
            return Ok(());
        };
        self.size += piece.len() as u64;
        if self.size > self.limit {
            return Err(IntakeError::TooLarge(self.limit));
        }
        self.pieces.push(piece);
        Ok(())
    }

    /// Whether the whole body is held.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.rest.is_none()
    }

    /// The length of the whole body; known from the start or once it is read.
    #[must_use]
    pub fn length(&self) -> u64 {
        self.length.unwrap_or(self.size)
    }

    /// What is held so far, in one piece.
    #[must_use]
    pub fn held(&self) -> Bytes {
        match self.pieces.as_slice() {
            [] => Bytes::new(),
            [piece] => piece.clone(),
            pieces => pieces.concat().into(),
        }
    }

    /// A body to send: a copy if the whole is held, else the only one there is.
    ///
    /// `None` once a body that isn't held whole has been handed out.
    pub fn outgoing(&mut self) -> Option<UpstreamBody> {
        if self.is_whole() {
            return Some(UpstreamBody::held(self.pieces.iter().cloned().collect()));
        }
        let rest = self.rest.take()?;
        // From here on there is nothing to send again, so nothing is kept.
        let pieces: VecDeque<_> = std::mem::take(&mut self.pieces).into();
        self.kept = None;
        let left = self.length() - self.size;
        Some(UpstreamBody::piped(pieces, rest, left, self.idle))
    }

    /// Whether [`outgoing`](Self::outgoing) can hand out a body.
    #[must_use]
    pub const fn can_send(&self) -> bool {
        self.rest.is_some() || !self.pieces.is_empty() || self.size == 0
    }

    /// Lets go of what was kept for a retry.
    pub fn forget(&mut self) {
        self.pieces = Vec::new();
        self.kept = None;
        self.size = self.size.max(1);
    }
}

/// A body on its way to an upstream.
#[derive(Debug, Default)]
pub struct UpstreamBody {
    pieces: VecDeque<Bytes>,
    piped: Option<Box<Piped>>,
}

#[derive(Debug)]
struct Piped {
    rest: Incoming,
    left: u64,
    idle: Duration,
    alarm: Pin<Box<Sleep>>,
}

impl UpstreamBody {
    const fn held(pieces: VecDeque<Bytes>) -> Self {
        Self {
            pieces,
            piped: None,
        }
    }

    fn piped(pieces: VecDeque<Bytes>, rest: Incoming, left: u64, idle: Duration) -> Self {
        let alarm = Box::pin(sleep(idle));
        let piped = Piped {
            rest,
            left,
            idle,
            alarm,
        };
        Self {
            pieces,
            piped: Some(Box::new(piped)),
        }
    }

    fn held_bytes(&self) -> u64 {
        self.pieces.iter().map(|piece| piece.len() as u64).sum()
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = IntakeError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IntakeError>>> {
        if let Some(piece) = self.pieces.pop_front() {
            return Poll::Ready(Some(Ok(Frame::data(piece))));
        }
        let Some(piped) = self.piped.as_mut() else {
            return Poll::Ready(None);
        };
        piped.poll(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.pieces.is_empty() && self.piped.is_none()
    }

    fn size_hint(&self) -> SizeHint {
        let left = self.piped.as_ref().map_or(0, |piped| piped.left);
        SizeHint::with_exact(self.held_bytes() + left)
    }
}

impl Piped {
    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, IntakeError>>> {
        let Poll::Ready(frame) = Pin::new(&mut self.rest).poll_frame(cx) else {
            ready!(self.alarm.as_mut().poll(cx));
            return Poll::Ready(Some(Err(IntakeError::Idle)));
        };
        self.alarm.as_mut().reset(Instant::now() + self.idle);
        match frame {
            None => Poll::Ready(None),
            Some(Err(_error)) => Poll::Ready(Some(Err(IntakeError::Cut))),
            Some(Ok(frame)) => {
                let size = frame.data_ref().map_or(0, |data| data.len() as u64);
                self.left = self.left.saturating_sub(size);
                Poll::Ready(Some(Ok(frame)))
            }
        }
    }
}
