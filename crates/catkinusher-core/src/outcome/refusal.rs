//! The reasons for which a request is refused or fails.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Outcome, Problem};
use crate::id::{ModelId, RequestId, ServiceId};
use crate::units::{Bytes, Span, Tokens};

/// The party or resource that a refusal concerns.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Category {
    /// The request itself is at fault: it is invalid, arrived too slowly or is quarantined.
    Request,
    /// The caller is not authenticated or not authorised.
    Access,
    /// The caller or the system is temporarily over a limit.
    Load,
    /// An upstream failed.
    Upstream,
    /// A service of the platform, such as the store, is unavailable.
    Platform,
    /// The idempotency key does not allow the request.
    Key,
    /// The node is stopping, or the upstreams that it would use are drained.
    Leaving,
}

/// Why a request was refused or failed. The `Display` form is the `detail` of the problem document.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The head is malformed or ambiguous.
    #[error("the request's head is malformed: {detail}")]
    BadHead {
        /// What is wrong with it.
        detail: String,
    },
    /// The head exceeds its size limit.
    #[error("the request's head is over {limit} bytes")]
    HeadTooLarge {
        /// The limit.
        limit: Bytes,
    },
    /// The head or the body arrived too slowly.
    #[error("the request did not arrive within {limit}")]
    TooSlow {
        /// The limit.
        limit: Span,
    },
    /// The body is not the JSON that the call expects.
    #[error("the body is not what the call expects: {detail}")]
    BadBody {
        /// What is wrong with it.
        detail: String,
    },
    /// The body exceeds its size limit.
    #[error("the body is over {limit} bytes")]
    BodyTooLarge {
        /// The limit.
        limit: Bytes,
    },
    /// The prompt fits on no engine and no group of engines.
    #[error("the prompt needs {needed} tokens of memory, and at most {limit} can be had")]
    PromptTooLong {
        /// The memory that the prompt needs.
        needed: Tokens,
        /// The largest memory available.
        limit: Tokens,
    },
    /// The caller's timeout is zero or above the cap.
    #[error("the timeout must be above zero and at most {limit}")]
    BadTimeout {
        /// The service's maximum timeout.
        limit: Span,
    },
    /// No service has this name.
    #[error("there is no service `{service}`")]
    UnknownService {
        /// The requested name.
        service: String,
    },
    /// No service serves this model.
    #[error("there is no model `{model}`")]
    UnknownModel {
        /// The requested name.
        model: String,
    },
    /// No route matches the path and method.
    #[error("there is nothing at this path for this method")]
    UnknownRoute,
    /// The bearer key is missing or belongs to no customer.
    #[error("the bearer key is missing or unknown")]
    Unauthorised,
    /// The customer may not use the service.
    #[error("the customer may not use the service `{service}`")]
    Forbidden {
        /// The service.
        service: ServiceId,
    },
    /// The customer has too many requests open.
    #[error("the customer has {limit} requests open, its limit")]
    OverLimit {
        /// The limit.
        limit: u32,
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// The queue is full.
    #[error("too many requests wait for the service `{service}`")]
    QueueFull {
        /// The service.
        service: ServiceId,
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// The node has no memory for the request's body.
    #[error("the node has no memory for the request's body at present")]
    MemoryFull {
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// The request is predicted to end after its deadline.
    #[error("the request would take about {predicted} and has {left}")]
    TooLate {
        /// The predicted duration.
        predicted: Span,
        /// The time left until the deadline.
        left: Span,
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// No upstream of the service is usable.
    #[error("no upstream of the service `{service}` can be used")]
    NoUpstream {
        /// The service.
        service: ServiceId,
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// No engine is available for the model at present.
    #[error("no engine holds the model `{model}`")]
    ModelAway {
        /// The model.
        model: ModelId,
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// An upstream failed, and no retry was allowed.
    #[error("the upstream failed: {detail}")]
    UpstreamFailed {
        /// What was observed.
        detail: String,
        /// Whether the request ran.
        outcome: Outcome,
    },
    /// The upstream's answer was truncated, mixed with another or incomplete.
    #[error("the answer could not be had whole: {detail}")]
    AnswerBroken {
        /// What was observed.
        detail: String,
        /// Whether the request ran.
        outcome: Outcome,
    },
    /// The deadline of the request has passed.
    #[error("the request did not end within its {limit}")]
    DeadlinePassed {
        /// The time that the request had.
        limit: Span,
        /// Whether the request ran.
        outcome: Outcome,
    },
    /// The store is unavailable and cannot record the claim that the call requires.
    #[error("the store is away, and this call may not run without it")]
    StoreAway {
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// The claim's period for sending expired before the request was sent.
    #[error("the claim on the key ran out before the request could leave")]
    ClaimLapsed {
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// The idempotency key is empty, too long or contains characters that are not visible ASCII.
    #[error("the idempotency key must have 1 to {limit} visible ASCII characters")]
    BadKey {
        /// Maximum length in bytes.
        limit: usize,
    },
    /// The key was used for a request with another body.
    #[error("the idempotency key was used for a request with another body")]
    KeyReused,
    /// A request with the key is in progress.
    #[error("a request with the same idempotency key is under way")]
    KeyBusy {
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// A request with the key was sent, and its end was not observed.
    #[error("a request with the same idempotency key may have run; it will not be sent again")]
    KeyUnsettled,
    /// A request with the key ran, and its answer was too large to keep.
    #[error("a request with the same idempotency key ran; its answer was not kept")]
    AnswerNotKept,
    /// The request crashed upstreams.
    #[error("this request made upstreams crash and is refused for {left}")]
    Quarantined {
        /// Time until the quarantine ends.
        left: Span,
    },
    /// Part of the request's content, or all of it, crashed upstreams in other requests.
    #[error("some of this request's content made upstreams crash and is refused for {left}")]
    QuarantinedContent {
        /// Time until the quarantine ends.
        left: Span,
    },
    /// Part of the request's content may crash upstreams, and another request shows now whether it does.
    #[error(
        "some of this request's content was in requests that made upstreams crash; it is on trial"
    )]
    ContentOnTrial {
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// The node is stopping.
    #[error("the node is stopping")]
    ShuttingDown {
        /// Delay after which a retry is useful.
        after: Span,
    },
    /// The node reached its time limit for stopping while the request was in progress.
    #[error("the node reached its stop limit while the request was under way")]
    StopLimit {
        /// Whether the request ran.
        outcome: Outcome,
    },
    /// Operators have drained all upstreams that could serve the request.
    #[error("operators have drained all upstreams of the service `{service}`")]
    Drained {
        /// The service.
        service: ServiceId,
    },
    /// The node has no configuration, or one that is too old to be trusted.
    #[error("the node has no current configuration")]
    NoConfiguration {
        /// Delay after which a retry is useful.
        after: Span,
    },
}

/// The fixed properties of one kind of refusal.
struct Spec {
    slug: &'static str,
    title: &'static str,
    status: u16,
    category: Category,
}

const fn spec(slug: &'static str, title: &'static str, status: u16, category: Category) -> Spec {
    Spec {
        slug,
        title,
        status,
        category,
    }
}

impl Refusal {
    fn spec(&self) -> Spec {
        use Category::{Access, Key, Leaving, Load, Platform, Request, Upstream};
        match self {
            Self::BadHead { .. } => spec("bad-head", "Malformed head", 400, Request),
            Self::HeadTooLarge { .. } => spec("head-too-large", "Head too large", 431, Request),
            Self::TooSlow { .. } => spec("too-slow", "Request too slow", 408, Request),
            Self::BadBody { .. } => spec("bad-body", "Malformed body", 400, Request),
            Self::BodyTooLarge { .. } => spec("body-too-large", "Body too large", 413, Request),
            Self::PromptTooLong { .. } => spec("prompt-too-long", "Prompt too long", 413, Request),
            Self::BadTimeout { .. } => spec("bad-timeout", "Bad timeout", 400, Request),
            Self::UnknownService { .. } => spec("unknown-service", "Unknown service", 404, Request),
            Self::UnknownModel { .. } => spec("unknown-model", "Unknown model", 404, Request),
            Self::UnknownRoute => spec("unknown-route", "Unknown route", 404, Request),
            Self::Unauthorised => spec("unauthorised", "Unauthorised", 401, Access),
            Self::Forbidden { .. } => spec("forbidden", "Forbidden", 403, Access),
            Self::OverLimit { .. } => spec("over-limit", "Over the customer's limit", 429, Load),
            Self::QueueFull { .. } => spec("queue-full", "Queue full", 503, Load),
            Self::MemoryFull { .. } => spec("memory-full", "Memory full", 503, Load),
            Self::TooLate { .. } => spec("too-late", "Would end too late", 503, Load),
            Self::NoUpstream { .. } => spec("no-upstream", "No upstream", 503, Upstream),
            Self::ModelAway { .. } => spec("model-away", "Model not loaded", 503, Upstream),
            Self::UpstreamFailed { .. } => {
                spec("upstream-failed", "Upstream failed", 502, Upstream)
            }
            Self::AnswerBroken { .. } => spec("answer-broken", "Answer not whole", 502, Upstream),
            Self::DeadlinePassed { .. } => {
                spec("deadline-passed", "Deadline passed", 504, Upstream)
            }
            Self::StoreAway { .. } => spec("store-away", "Store away", 503, Platform),
            Self::ClaimLapsed { .. } => spec("claim-lapsed", "Claim ran out", 503, Platform),
            Self::BadKey { .. } => spec("bad-key", "Bad idempotency key", 400, Key),
            Self::KeyReused => spec("key-reused", "Key used for another body", 422, Key),
            Self::KeyBusy { .. } => spec("key-busy", "Key in use", 409, Key),
            Self::KeyUnsettled => spec("key-unsettled", "Key not settled", 409, Key),
            Self::AnswerNotKept => spec("answer-not-kept", "Answer not kept", 409, Key),
            Self::Quarantined { .. } => spec("quarantined", "Quarantined", 422, Request),
            Self::QuarantinedContent { .. } => {
                spec("quarantined-content", "Content quarantined", 503, Request)
            }
            Self::ContentOnTrial { .. } => {
                spec("content-on-trial", "Content on trial", 503, Request)
            }
            Self::ShuttingDown { .. } => spec("shutting-down", "Node stopping", 503, Leaving),
            Self::StopLimit { .. } => spec("stop-limit", "Node stopped", 503, Leaving),
            Self::Drained { .. } => spec("drained", "Service drained", 503, Leaving),
            Self::NoConfiguration { .. } => {
                spec("no-configuration", "No configuration", 503, Platform)
            }
        }
    }

    /// The party or resource that the refusal concerns.
    #[must_use]
    pub fn category(&self) -> Category {
        self.spec().category
    }

    /// The short name of the refusal, for logs, metrics and problem type URNs.
    #[must_use]
    pub fn slug(&self) -> &'static str {
        self.spec().slug
    }

    /// The HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.spec().status
    }

    /// Whether the request ran.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::UpstreamFailed { outcome, .. }
            | Self::AnswerBroken { outcome, .. }
            | Self::DeadlinePassed { outcome, .. }
            | Self::StopLimit { outcome } => *outcome,
            // The outcome of the request that claimed the key first; this one was not sent.
            Self::KeyBusy { .. } | Self::KeyUnsettled | Self::KeyReused => Outcome::MayHaveRun,
            Self::AnswerNotKept => Outcome::Ran,
            _ => Outcome::NotRun,
        }
    }

    /// The refusal to report for a request that had this outcome before it was refused.
    ///
    /// If an earlier attempt may have run, a later refusal must not report `not-run`.
    /// Most refusals have no field for the outcome, so such a refusal becomes
    /// [`UpstreamFailed`](Self::UpstreamFailed), with its text as the detail.
    #[must_use]
    pub fn with_outcome(self, outcome: Outcome) -> Self {
        if outcome == Outcome::NotRun || self.outcome() != Outcome::NotRun {
            return self;
        }
        Self::UpstreamFailed {
            detail: self.to_string(),
            outcome,
        }
    }

    /// How long the caller should wait before a retry, if a retry is useful.
    #[must_use]
    pub fn wait(&self) -> Option<std::time::Duration> {
        self.after().map(Span::get)
    }

    const fn after(&self) -> Option<Span> {
        match self {
            Self::OverLimit { after, .. }
            | Self::QueueFull { after, .. }
            | Self::MemoryFull { after }
            | Self::TooLate { after, .. }
            | Self::NoUpstream { after, .. }
            | Self::ModelAway { after, .. }
            | Self::StoreAway { after }
            | Self::ClaimLapsed { after }
            | Self::KeyBusy { after }
            | Self::ContentOnTrial { after }
            | Self::ShuttingDown { after }
            | Self::NoConfiguration { after } => Some(*after),
            Self::QuarantinedContent { left } => Some(*left),
            _ => None,
        }
    }

    /// The problem document for the caller.
    #[must_use]
    pub fn problem(&self, request: Option<&RequestId>) -> Problem {
        let spec = self.spec();
        Problem {
            kind: format!("urn:catkinusher:problem:{}", spec.slug),
            title: spec.title.to_owned(),
            status: spec.status,
            detail: self.to_string(),
            outcome: self.outcome(),
            request: request.cloned(),
            retry_after: self.after().map(whole_seconds),
        }
    }
}

// Rounds up to at least one second, because a wait of zero would invite callers to retry in a loop.
fn whole_seconds(span: Span) -> u64 {
    (span.get().as_millis() as u64).div_ceil(1000).max(1)
}
