//! Stored claims, and the decisions that follow from them.

use std::fmt;
use std::ops::Add;

use serde::{Deserialize, Serialize};

use super::KeyId;
use crate::fingerprint::Fingerprint;
use crate::id::VmId;
use crate::outcome::{Outcome, Refusal};
use crate::units::Span;

/// The maximum size of a stored response in bytes, header names and values plus body.
pub const STORED_RESPONSE_LIMIT: usize = 2048;

/// Seconds since the Unix epoch by a VM's wall clock.
///
/// Used only for times that are stored with a claim, such as the expiry of its
/// key, which must outlive every process. Timing that must be exact uses
/// durations on one monotonic clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// The time this many seconds after the Unix epoch.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs)
    }

    /// Seconds since the Unix epoch.
    #[must_use]
    pub const fn as_secs(self) -> u64 {
        self.0
    }
}

impl Add<Span> for WallTime {
    type Output = Self;

    // Rounds up, so that a key never expires early.
    fn add(self, rhs: Span) -> Self {
        let whole = rhs.get().as_secs();
        let part = u64::from(rhs.get().subsec_nanos() > 0);
        Self(self.0.saturating_add(whole).saturating_add(part))
    }
}

impl fmt::Display for WallTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

/// A random number that identifies one claim, by which its writes are recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(u64);

impl Nonce {
    /// Wraps a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

impl fmt::Display for Nonce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// One header of a stored response.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// A response as stored for repeats of its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredResponse {
    /// The complete response, for replay.
    Whole {
        /// Its HTTP status.
        status: u16,
        /// The headers that are stored.
        headers: Vec<Header>,
        /// Its body.
        body: String,
    },
    /// The status of a response that was too large to store or not UTF-8.
    #[serde(rename = "told")]
    StatusOnly {
        /// Its HTTP status.
        status: u16,
    },
}

impl StoredResponse {
    /// Stores the whole response if it is UTF-8 and within [`STORED_RESPONSE_LIMIT`].
    #[must_use]
    pub fn new(status: u16, headers: Vec<Header>, body: &[u8]) -> Self {
        let head: usize = headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        match std::str::from_utf8(body) {
            Ok(text) if head + text.len() <= STORED_RESPONSE_LIMIT => Self::Whole {
                status,
                headers,
                body: text.to_owned(),
            },
            _ => Self::StatusOnly { status },
        }
    }

    pub(super) fn approx_size(&self) -> usize {
        match self {
            Self::StatusOnly { .. } => 0,
            Self::Whole { headers, body, .. } => headers
                .iter()
                .map(|header| header.name.len() + header.value.len() + 24)
                .fold(body.len(), |sum, part| sum + part),
        }
    }
}

/// The stored state of a claimed request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It may be sent, may have been sent and may have run.
    Claimed,
    /// It ran and got a response.
    Done {
        /// The response.
        kept: StoredResponse,
    },
}

/// One claim as stored.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// The key that is claimed.
    pub ident: KeyId,
    /// The digest of the request's method, path and body.
    pub body: Fingerprint,
    /// The node that may send the request.
    pub holder: VmId,
    /// The nonce of the claim.
    pub nonce: Nonce,
    /// The state of the request.
    pub state: State,
    /// When the request has ended at the latest.
    pub ends: WallTime,
    /// When the key may be reused.
    pub expires: WallTime,
}

impl Record {
    /// Its approximate stored size in bytes.
    pub(super) fn approx_size(&self) -> usize {
        let kept = match &self.state {
            State::Claimed => 0,
            State::Done { kept } => kept.approx_size(),
        };
        220 + self.holder.as_str().len() + kept
    }

    /// Decides another request with the same key.
    pub(super) fn decide(&self, body: Fingerprint, wall: WallTime, skew: Span) -> Decision {
        if self.body != body {
            return Decision::OtherBody;
        }
        match &self.state {
            State::Done { kept } => Decision::Replay { kept: kept.clone() },
            State::Claimed if wall <= self.ends + skew => Decision::InProgress,
            State::Claimed => Decision::MayHaveRun,
        }
    }
}

/// A request to claim an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRequest {
    /// The key that is claimed.
    pub ident: KeyId,
    /// The digest of the request's method, path and body.
    pub body: Fingerprint,
    /// The node that wants to send the request.
    pub holder: VmId,
    /// The nonce of the claim; a repeat of the request has the same one.
    pub nonce: Nonce,
    /// The time left until the deadline of the request.
    pub left: Span,
    /// How long the key is remembered.
    pub life: Span,
}

/// The result of a granted claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settlement {
    /// The key that is claimed.
    pub ident: KeyId,
    /// The nonce of the claim.
    pub nonce: Nonce,
    /// The response, or `None` if the request provably did not run, which frees the key.
    pub kept: Option<StoredResponse>,
}

/// The decision on a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// The claim is stored; the holder may send the request once.
    MaySend,
    /// The request with this key ran; replay its response.
    Replay {
        /// The response.
        kept: StoredResponse,
    },
    /// A request with this key is in progress.
    InProgress,
    /// A request with this key may have been sent, and its result is unknown.
    MayHaveRun,
    /// The key was used for a request with another method, path or body.
    OtherBody,
    /// The store did not accept the claim in time; the request must not be sent.
    StoreAway,
}

impl Decision {
    /// The error for the caller, or `None` if the request may be sent or its response replayed.
    #[must_use]
    pub fn refusal(&self, after: Span) -> Option<Refusal> {
        match self {
            Self::MaySend
            | Self::Replay {
                kept: StoredResponse::Whole { .. },
            } => None,
            Self::Replay {
                kept: StoredResponse::StatusOnly { .. },
            } => Some(Refusal::AnswerNotKept),
            Self::InProgress => Some(Refusal::KeyBusy { after }),
            Self::MayHaveRun => Some(Refusal::KeyUnsettled),
            Self::OtherBody => Some(Refusal::KeyReused),
            Self::StoreAway => Some(Refusal::StoreAway { after }),
        }
    }

    /// A short name for logs and operators.
    #[must_use]
    pub const fn name(&self) -> &'static str {
        match self {
            Self::MaySend => "may-send",
            Self::Replay { .. } => "replay",
            Self::InProgress => "in-progress",
            Self::MayHaveRun => "may-have-run",
            Self::OtherBody => "other-body",
            Self::StoreAway => "store-away",
        }
    }

    /// Whether the request with this key ran, as far as the decision shows.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::MaySend | Self::StoreAway => Outcome::NotRun,
            Self::InProgress | Self::MayHaveRun | Self::OtherBody => Outcome::MayHaveRun,
            Self::Replay { .. } => Outcome::Ran,
        }
    }
}
