//! What is kept of a claim, and what it decides.

use std::fmt;
use std::ops::Add;

use serde::{Deserialize, Serialize};

use super::KeyId;
use crate::fingerprint::Fingerprint;
use crate::id::VmId;
use crate::outcome::{Outcome, Refusal};
use crate::units::Span;

/// The greatest body that is kept for a repeated key, in bytes.
pub const KEPT_LIMIT: usize = 2048;

/// Seconds since 1970 by a VM's wall clock.
///
/// Only the expiry of keys reads it, since it must outlive every process;
/// whatever must be exact counts durations on one monotonic clock.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct WallTime(u64);

impl WallTime {
    /// The moment this many seconds after 1970 began.
    #[must_use]
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs)
    }

    /// Seconds since 1970 began.
    #[must_use]
    pub const fn as_secs(self) -> u64 {
        self.0
    }
}

impl Add<Span> for WallTime {
    type Output = Self;

    // Rounded up, so that a key never expires early.
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

/// A number drawn at random for one claim, by which its own writes are known.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(u64);

impl Nonce {
    /// The nonce of this number.
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

/// One header of a kept answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Header {
    /// Its name, in lower case.
    pub name: String,
    /// Its value.
    pub value: String,
}

/// An answer as it is kept for a repeated key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StoredResponse {
    /// The answer, to be given again.
    Whole {
        /// Its HTTP status.
        status: u16,
        /// The headers worth keeping.
        headers: Vec<Header>,
        /// Its body.
        body: String,
    },
    /// That there was one, too large or not text.
    Told {
        /// Its HTTP status.
        status: u16,
    },
}

impl StoredResponse {
    /// Keeps an answer as far as the bounds allow.
    #[must_use]
    pub fn new(status: u16, headers: Vec<Header>, body: &[u8]) -> Self {
        let head: usize = headers
            .iter()
            .map(|header| header.name.len() + header.value.len())
            .sum();
        match std::str::from_utf8(body) {
            Ok(text) if head + text.len() <= KEPT_LIMIT => Self::Whole {
                status,
                headers,
                body: text.to_owned(),
            },
            _ => Self::Told { status },
        }
    }

    pub(super) fn weight(&self) -> usize {
        match self {
            Self::Told { .. } => 0,
            Self::Whole { headers, body, .. } => headers
                .iter()
                .map(|header| header.name.len() + header.value.len() + 24)
                .fold(body.len(), |sum, part| sum + part),
        }
    }
}

/// How far a claimed request has come, as the store knows.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It may leave, may have left and may have run.
    Claimed,
    /// It ran and was answered.
    Done {
        /// The answer.
        kept: StoredResponse,
    },
}

/// One claim as it stands in the store.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Record {
    /// Whose key it is about.
    pub ident: KeyId,
    /// The digest of the request's method, path and body.
    pub body: Fingerprint,
    /// The node that may send the request.
    pub holder: VmId,
    /// The claim's own number.
    pub nonce: Nonce,
    /// How far it has come.
    pub state: State,
    /// When the request has certainly ended.
    pub ends: WallTime,
    /// When the key is forgotten.
    pub expires: WallTime,
}

impl Record {
    /// Its size in the store, roughly, in bytes.
    pub(super) fn weight(&self) -> usize {
        let kept = match &self.state {
            State::Claimed => 0,
            State::Done { kept } => kept.weight(),
        };
        220 + self.holder.as_str().len() + kept
    }

    /// What the claim means for another request with its key.
    pub(super) fn verdict(&self, body: Fingerprint, wall: WallTime, skew: Span) -> Decision {
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

/// A request that wants to claim its key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClaimRequest {
    /// Whose key it is about.
    pub ident: KeyId,
    /// The digest of the request's method, path and body.
    pub body: Fingerprint,
    /// The node that wants to send the request.
    pub holder: VmId,
    /// The claim's own number; the same when the bid is repeated.
    pub nonce: Nonce,
    /// The time that the request still has.
    pub left: Span,
    /// How long the key is kept.
    pub life: Span,
}

/// What a claim that was granted came to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settlement {
    /// Whose key it is about.
    pub ident: KeyId,
    /// The claim's own number.
    pub nonce: Nonce,
    /// The answer, or nothing if the request provably did not run and the key is free again.
    pub kept: Option<StoredResponse>,
}

/// What becomes of a [`ClaimRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// The claim stands: the holder may send the request once.
    MaySend,
    /// The key's request ran; give its answer again.
    Replay {
        /// The answer.
        kept: StoredResponse,
    },
    /// The key's request is under way.
    InProgress,
    /// The key's request left, and its end was never seen.
    MayHaveRun,
    /// The key was used for another request.
    OtherBody,
    /// The store did not take the claim in time; the request may not leave.
    StoreAway,
}

impl Decision {
    /// What the caller is told, unless the request goes on or its answer is at hand.
    #[must_use]
    pub fn refusal(&self, after: Span) -> Option<Refusal> {
        match self {
            Self::MaySend
            | Self::Replay {
                kept: StoredResponse::Whole { .. },
            } => None,
            Self::Replay {
                kept: StoredResponse::Told { .. },
            } => Some(Refusal::AnswerNotKept),
            Self::InProgress => Some(Refusal::KeyBusy { after }),
            Self::MayHaveRun => Some(Refusal::KeyUnsettled),
            Self::OtherBody => Some(Refusal::KeyReused),
            Self::StoreAway => Some(Refusal::StoreAway { after }),
        }
    }

    /// A short name, for logs and operators.
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

    /// Whether the request behind the key ran, as far as this tells.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::MaySend | Self::StoreAway => Outcome::NotRun,
            Self::InProgress | Self::MayHaveRun | Self::OtherBody => Outcome::MayHaveRun,
            Self::Replay { .. } => Outcome::Ran,
        }
    }
}
