//! The inputs and outputs of an owner.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fingerprint::Fingerprint;
use crate::id::{Incarnation, RequestId};
use crate::time::Time;
use crate::units::Tokens;

/// How much of an upstream its owner may grant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Share {
    /// All of it, because no other node considers itself the owner.
    Full,
    /// Half, for as long as members may disagree on the owner.
    Half,
}

impl Share {
    /// This share of a limit; two halves never add up to more than the limit.
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

/// Conditions for running a request, besides what its [`Ask`](crate::ask::Ask) states.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RunOptions {
    // The wire format has other names for these fields than the code.
    /// The fingerprint to blame if the upstream crashes while the request runs.
    #[serde(rename = "print")]
    pub fingerprint: Option<Fingerprint>,
    /// Whether the request must run alone on the upstream.
    #[serde(rename = "apart")]
    pub isolated: bool,
}

/// The right to run one request on the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Permit {
    /// The request.
    pub request: RequestId,
    /// The engine priority to send with the request; 0 is the most urgent.
    pub priority: u8,
    /// The memory reserved for the request.
    pub memory: Tokens,
    /// Prompt tokens that are probably cached.
    pub cached: Tokens,
    /// The incarnation of the upstream for which the permit is valid.
    pub incarnation: Incarnation,
    /// When the permit expires, by the owner's clock.
    pub expires: Time,
}

/// The answer to an ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reply {
    /// The request may be sent now.
    Granted(Permit),
    /// The request is queued; an [`Event`] follows.
    Queued,
    /// The request will not run on this upstream.
    Refused(Refusal),
}

/// Why an ask gets no permit, so that its request must not be sent to the upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Refusal {
    /// The cause.
    pub reason: Reason,
    /// How long to wait before another try may succeed; for [`Reason::Busy`], the
    /// predicted time to first token.
    pub after: Duration,
}

/// The cause of a refusal.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request could not finish by its deadline.
    Deadline,
    /// The first token would come later than the ask's patience allows;
    /// [`Refusal::after`] contains the predicted time to first token.
    Busy,
    /// The queue is full.
    QueueFull,
    /// It needs more memory than one engine grants a request; a group may run it.
    TooLarge,
    /// The upstream is being drained.
    Drained,
    /// A request with this id is already granted or queued.
    Duplicate,
    /// The customer has reached its limit of open requests.
    OpenLimit,
    /// The customer exceeds its share while the service is short of capacity.
    OverShare,
    /// No upstream can take the request now.
    NoUpstream,
}

/// A change to a queued or granted request that its holder did not cause.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// A queued request may run now.
    Granted(Permit),
    /// A queued request will not run.
    Refused(RequestId, Refusal),
    /// A permit has expired; the request must be cancelled at the upstream.
    Expired(RequestId),
}

/// How a granted request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It completed.
    Done,
    /// It was cancelled, and the upstream was told.
    Cancelled,
    /// The upstream refused it because of overload.
    Refused,
    /// The upstream failed or the connection to it was lost.
    Failed,
    /// The upstream could not be reached, so the request was never delivered.
    Unreached,
    /// The upstream broke the connection, and its process was found to have exited right after.
    Crashed,
}

/// The token counts that an engine reported for a request.
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

/// What a holder reports when it returns a permit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Report {
    /// How the request ended.
    pub outcome: Outcome,
    /// Time from sending the request to the first token, or to the response of a plain service.
    #[serde(rename = "first")]
    pub time_to_first_token: Option<Duration>,
    /// The engine's token counts.
    pub usage: Option<Usage>,
    /// The incarnation of the upstream that answered, if it reported one.
    pub incarnation: Option<Incarnation>,
}

impl Report {
    /// A report of this outcome alone.
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

/// A delayed load report of the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// The incarnation of the upstream.
    pub incarnation: Incarnation,
    /// How old the report is.
    pub age: Duration,
    /// Streams in the engine's batch.
    pub running: u32,
    /// Requests queued at the engine.
    pub waiting: u32,
    /// Memory reserved at the engine.
    pub memory: Tokens,
    /// Prefill tokens that the engine still has to process.
    pub prefill: Tokens,
}

/// One entry of the upstream's list of running requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Running {
    /// The request.
    pub request: RequestId,
    /// The memory held by the request.
    pub memory: Tokens,
}

/// What the caller of [`Owner::reconcile`](super::Owner::reconcile) or
/// [`Owner::holder_gone`](super::Owner::holder_gone) is asked to do at the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Cancel this request, which has no known holder.
    Cancel(RequestId),
}
