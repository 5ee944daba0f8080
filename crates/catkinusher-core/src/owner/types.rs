//! What goes into an owner and what comes out.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::id::{Incarnation, RequestId};
use crate::time::Time;
use crate::units::Tokens;

/// How much of an upstream its owner may give out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Share {
    /// All, since no other node holds itself for the owner.
    Full,
    /// Half, for as long as members may disagree on the owner.
    Half,
}

impl Share {
    /// This share of a limit; two halves never sum to more than the whole.
    #[must_use]
    pub const fn of(self, limit: u32) -> u32 {
        match self {
            Self::Full => limit,
            Self::Half => limit / 2,
        }
    }

    /// This share of an amount of memory.
    #[must_use]
    pub const fn of_memory(self, memory: Tokens) -> Tokens {
        match self {
            Self::Full => memory,
            Self::Half => Tokens::new(memory.get() / 2),
        }
    }
}

/// What an owner is told of a request besides what it asks for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RunOptions {
    /// What it is known by should the upstream crash under it.
    #[serde(rename = "print")]
    pub fingerprint: Option<Fingerprint>,
    /// Whether nothing else may run on the upstream meanwhile.
    #[serde(rename = "apart")]
    pub isolated: bool,
}

/// The right to run one request on the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Permit {
    /// The request.
    pub request: RequestId,
    /// The engine priority to send along; 0 is most urgent.
    pub priority: u8,
    /// The memory reserved for it.
    pub memory: Tokens,
    /// Prompt tokens that are probably cached.
    pub cached: Tokens,
    /// The life of the upstream that it holds for.
    pub incarnation: Incarnation,
    /// When the permit ends by itself, by the owner's clock.
    pub expires: Time,
}

/// The answer to an ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// Send it now.
    Granted(Permit),
    /// It waits; an [`Event`] follows.
    Queued,
    /// It does not run here.
    Refused(Refusal),
}

/// Why a request does not run, which is as true as `not-run`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// The cause.
    pub reason: Reason,
    /// After how long another try may succeed.
    pub after: Duration,
}

/// The cause of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It could not end by its deadline.
    Deadline,
    /// The first token would come later than the ask's patience; `after` tells when.
    Busy,
    /// The queue is full.
    QueueFull,
    /// It needs more memory than one engine gives out; a group may take it.
    TooLarge,
    /// The upstream is being drained.
    Drained,
    /// A request of this name is held or waits already.
    Duplicate,
    /// The customer has its limit of requests open.
    OpenLimit,
    /// The customer is over its share while the service is short of capacity.
    OverShare,
    /// No upstream can take it now.
    NoUpstream,
}

/// What became of a queued or granted request without its holder's doing.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A queued request may run now.
    Granted(Permit),
    /// A queued request will not run.
    Refused(RequestId, Refusal),
    /// A permit has run out; the upstream is to be told to cancel the request.
    Expired(RequestId),
}

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It ended whole.
    Done,
    /// It was cancelled, and the upstream told so.
    Cancelled,
    /// The upstream refused it as too much for now.
    Refused,
    /// The upstream failed or the connection to it was lost.
    Failed,
    /// The upstream could not be reached, so the request never got there.
    Unreached,
    /// The upstream broke off, and its process was found ended right after.
    Crashed,
}

/// What an engine counted for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Usage {
    /// Tokens of the prompt.
    pub prompt: Tokens,
    /// Prompt tokens that were cached.
    pub cached: Tokens,
    /// Tokens generated.
    pub completion: Tokens,
}

/// What a holder says when it gives a permit back.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// How the request ended.
    pub outcome: Outcome,
    /// From sending it to the first token, or to the answer of a plain service.
    #[serde(rename = "first")]
    pub time_to_first_token: Option<Duration>,
    /// What the engine counted.
    pub usage: Option<Usage>,
    /// The life of the upstream that answered, if it said so.
    pub incarnation: Option<Incarnation>,
}

impl Report {
    /// A report of this outcome that tells nothing else.
    #[must_use]
    pub const fn new(outcome: Outcome) -> Self {
        Self {
            outcome,
            time_to_first_token: None,
            usage: None,
            incarnation: None,
        }
    }
}

/// A lagging load report of the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The life of the upstream.
    pub incarnation: Incarnation,
    /// How old the report is.
    pub age: Duration,
    /// Streams in its batch.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Memory reserved there.
    pub memory: Tokens,
    /// Prefill that it still has to do.
    pub prefill: Tokens,
}

/// One request in the upstream's exact list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Running {
    /// The request.
    pub request: RequestId,
    /// The memory that it holds.
    pub memory: Tokens,
}

/// What an owner wants done on the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Cancel this request, since nobody answers for it.
    Cancel(RequestId),
}
