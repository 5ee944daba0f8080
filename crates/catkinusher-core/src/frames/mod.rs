//! Reassembly of streamed answers.
//!
//! Frames can arrive late, duplicated, mixed up with another request's, or not
//! at all. Each is checked for its connection, request and sequence number, so
//! that only the next piece of the right answer is delivered.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::RequestId;

/// The number of a connection within a stream; each new connection has a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Link(u32);

impl Link {
    /// Creates a link with this number.
    #[must_use]
    pub const fn new(number: u32) -> Self {
        Self(number)
    }
}

/// The header data of a received frame.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Frame {
    /// A piece of the answer.
    Piece {
        /// The request that it answers.
        request: RequestId,
        /// Its zero-based index in the answer.
        seq: u64,
    },
    /// The end of the answer, with its number of pieces if the upstream reports it.
    End {
        /// The request that it answers.
        request: RequestId,
        /// The number of pieces in the whole answer.
        pieces: Option<u64>,
    },
    /// The connection was closed or failed.
    Cut,
}

/// A protocol fault on a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// A frame of another request arrived.
    #[error("a frame of another request arrived")]
    Crossed,
    /// A piece is missing before the one that arrived.
    #[error("a piece of the answer is missing")]
    Gap,
    /// The connection ended before the answer was complete.
    #[error("the answer was cut short")]
    Truncated,
    /// The end frame reports fewer pieces than arrived.
    #[error("the answer has more pieces than its end tells")]
    Excess,
}

/// What to do with a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Deliver it to the caller.
    Deliver,
    /// Drop it: it is late or a duplicate.
    Skip,
    /// The answer is complete.
    Finish,
    /// Close the connection and recover by `cure`.
    Close {
        /// The fault found.
        fault: Fault,
        /// How to recover.
        cure: Cure,
    },
}

/// How to recover after a connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cure {
    /// Request the pieces from `offset` on over a new connection.
    Resume {
        /// The first piece to request.
        offset: u64,
        /// The number of the new connection.
        link: Link,
    },
    /// Run the request again; no byte has reached the caller.
    Restart {
        /// The number of the new connection.
        link: Link,
    },
    /// Fail the request.
    Fail,
}

/// The recovery options that the upstream and the call allow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Allowed {
    /// Whether the upstream can resume by offset.
    pub resume: bool,
    /// Whether the call may be run again.
    pub restart: bool,
    /// The maximum number of new connections for one stream.
    pub links: u32,
}

/// The reassembly state of one stream.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Assembly {
    request: RequestId,
    allowed: Allowed,
    link: Link,
    next: u64,
    open: bool,
}

impl Assembly {
    /// Creates a stream that has received no frames; its first connection is [`Link::default`].
    #[must_use]
    pub fn new(request: RequestId, allowed: Allowed) -> Self {
        Self {
            request,
            allowed,
            link: Link::default(),
            next: 0,
            open: true,
        }
    }

    /// The number of pieces delivered.
    #[must_use]
    pub const fn delivered(&self) -> u64 {
        self.next
    }

    /// Whether the stream still expects frames.
    #[must_use]
    pub const fn is_open(&self) -> bool {
        self.open
    }

    /// Handles the next frame of a connection.
    pub fn on_frame(&mut self, link: Link, frame: &Frame) -> Verdict {
        if !self.open || link != self.link {
            return Verdict::Skip;
        }
        match frame {
            Frame::Piece { request, seq } if *request == self.request => self.on_piece(*seq),
            Frame::End { request, pieces } if *request == self.request => self.on_end(*pieces),
            Frame::Piece { .. } | Frame::End { .. } => self.close(Fault::Crossed),
            Frame::Cut => self.close(Fault::Truncated),
        }
    }

    fn on_piece(&mut self, seq: u64) -> Verdict {
        if seq < self.next {
            return Verdict::Skip;
        }
        if seq > self.next {
            return self.close(Fault::Gap);
        }
        self.next += 1;
        Verdict::Deliver
    }

    fn on_end(&mut self, pieces: Option<u64>) -> Verdict {
        match pieces {
            Some(pieces) if pieces > self.next => self.close(Fault::Truncated),
            Some(pieces) if pieces < self.next => self.fail(Fault::Excess),
            _ => {
                self.open = false;
                Verdict::Finish
            }
        }
    }

    fn fail(&mut self, fault: Fault) -> Verdict {
        self.open = false;
        let cure = Cure::Fail;
        Verdict::Close { fault, cure }
    }

    /// Closes the connection for a fault that no frame reports, such as silence.
    pub fn close(&mut self, fault: Fault) -> Verdict {
        if !self.open {
            return Verdict::Skip;
        }
        if self.link.0 >= self.allowed.links {
            return self.fail(fault);
        }
        let link = Link(self.link.0 + 1);
        let offset = self.next;
        let cure = if self.allowed.resume {
            Cure::Resume { offset, link }
        } else if self.allowed.restart && offset == 0 {
            Cure::Restart { link }
        } else {
            return self.fail(fault);
        };
        self.link = link;
        Verdict::Close { fault, cure }
    }

    /// Returns how to recover if the upstream cannot resume after all, for example after it restarted.
    pub fn on_unknown(&mut self) -> Cure {
        self.allowed.resume = false;
        match self.close(Fault::Truncated) {
            Verdict::Close { cure, .. } => cure,
            _ => Cure::Fail,
        }
    }
}
