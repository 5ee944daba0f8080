//! Every reason for which a request is refused or fails.

use serde::{Deserialize, Serialize};
use thiserror::Error;

use super::{Outcome, Problem};
use crate::id::{ModelId, RequestId, ServiceId};
use crate::units::{Bytes, Span, Tokens};

/// Who or what a refusal is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Category {
    /// The request itself is at fault; the same one will be refused again.
    Request,
    /// The caller is unknown or not allowed.
    Access,
    /// The caller or the system is over a limit for now.
    Load,
    /// An upstream failed.
    Upstream,
    /// The platform's store is away.
    Platform,
    /// The idempotency key stands in the way.
    Key,
    /// The node or what it would use is leaving.
    Leaving,
}

/// Why a request was refused or failed, in the words of its problem document.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize, Error)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The head is malformed or could be read in two ways.
    #[error("the request's head is malformed: {detail}")]
    BadHead {
        /// What is wrong with it.
        detail: String,
    },
    /// The head is over its limit.
    #[error("the request's head is over {limit} bytes")]
    HeadTooLarge {
        /// The limit.
        limit: Bytes,
    },
    /// The head or the body came too slowly.
    #[error("the request did not arrive within {limit}")]
    TooSlow {
        /// The limit.
        limit: Span,
    },
    /// The body is not the JSON that the call asks for.
    #[error("the body is not what the call expects: {detail}")]
    BadBody {
        /// What is wrong with it.
        detail: String,
    },
    /// The body is over its limit.
    #[error("the body is over {limit} bytes")]
    BodyTooLarge {
        /// The limit.
        limit: Bytes,
    },
    /// The prompt fits on no engine or group of engines.
    #[error("the prompt needs {needed} tokens of memory, and at most {limit} can be had")]
    PromptTooLong {
        /// What it needs.
        needed: Tokens,
        /// The most there is.
        limit: Tokens,
    },
    /// The caller's timeout is no sensible time.
    #[error("the timeout must be above zero and at most {limit}")]
    BadTimeout {
        /// The service's cap.
        limit: Span,
    },
    /// No service has this name.
    #[error("there is no service `{service}`")]
    UnknownService {
        /// The name asked for.
        service: String,
    },
    /// No service serves this model.
    #[error("there is no model `{model}`")]
    UnknownModel {
        /// The name asked for.
        model: String,
    },
    /// The path or method leads nowhere.
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
        /// When another try makes sense.
        after: Span,
    },
    /// The queue is full.
    #[error("too many requests wait for the service `{service}`")]
    QueueFull {
        /// The service.
        service: ServiceId,
        /// When another try makes sense.
        after: Span,
    },
    /// The request would end after its deadline.
    #[error("the request would take about {predicted} and has {left}")]
    TooLate {
        /// How long it would take.
        predicted: Span,
        /// The time that it has.
        left: Span,
        /// When another try makes sense.
        after: Span,
    },
    /// No upstream of the service can be used.
    #[error("no upstream of the service `{service}` can be used")]
    NoUpstream {
        /// The service.
        service: ServiceId,
        /// When another try makes sense.
        after: Span,
    },
    /// An engine cannot be had for the model at this time.
    #[error("no engine holds the model `{model}`")]
    ModelAway {
        /// The model.
        model: ModelId,
        /// When another try makes sense.
        after: Span,
    },
    /// An upstream failed, and no other try was allowed.
    #[error("the upstream failed: {detail}")]
    UpstreamFailed {
        /// What was seen.
        detail: String,
        /// Whether the request ran.
        outcome: Outcome,
    },
    /// The upstream's answer was cut, crossed or not whole.
    #[error("the answer could not be had whole: {detail}")]
    AnswerBroken {
        /// What was seen.
        detail: String,
        /// Whether the request ran.
        outcome: Outcome,
    },
    /// The deadline passed.
    #[error("the request did not end within its {limit}")]
    DeadlinePassed {
        /// The time that it had.
        limit: Span,
        /// Whether the request ran.
        outcome: Outcome,
    },
    /// The store cannot keep the claim that the call needs.
    #[error("the store is away, and this call may not run without it")]
    StoreAway {
        /// When another try makes sense.
        after: Span,
    },
    /// The claim's time to send ran out before the request left.
    #[error("the claim on the key ran out before the request could leave")]
    ClaimLapsed {
        /// When another try makes sense.
        after: Span,
    },
    /// The idempotency key is empty, too long or holds other than visible characters.
    #[error("the idempotency key must have 1 to {limit} visible ASCII characters")]
    BadKey {
        /// The greatest length, in bytes.
        limit: usize,
    },
    /// The key was used for another request.
    #[error("the idempotency key was used for a request with another body")]
    KeyReused,
    /// A request with the key is under way.
    #[error("a request with the same idempotency key is under way")]
    KeyBusy {
        /// When another try makes sense.
        after: Span,
    },
    /// A request with the key left, and its end was never seen.
    #[error("a request with the same idempotency key may have run; it will not be sent again")]
    KeyUnsettled,
    /// A request with the key ran, and its answer was too large to keep.
    #[error("a request with the same idempotency key ran; its answer was not kept")]
    AnswerNotKept,
    /// The request crashed upstreams.
    #[error("this request made upstreams crash and is refused for {left}")]
    Quarantined {
        /// How long it stays refused.
        left: Span,
    },
    /// The node is stopping.
    #[error("the node is stopping")]
    ShuttingDown {
        /// When another try makes sense.
        after: Span,
    },
    /// The node stopped at its limit while the request was under way.
    #[error("the node reached its stop limit while the request was under way")]
    StopLimit {
        /// Whether the request ran.
        outcome: Outcome,
    },
    /// Operators have taken out everything that could serve the request.
    #[error("operators have drained all upstreams of the service `{service}`")]
    Drained {
        /// The service.
        service: ServiceId,
    },
    /// The node has no configuration, or one too old to be trusted.
    #[error("the node has no current configuration")]
    NoConfiguration {
        /// When another try makes sense.
        after: Span,
    },
}

/// What stands fixed for one kind of refusal.
struct Form {
    slug: &'static str,
    title: &'static str,
    status: u16,
    category: Category,
}

const fn form(slug: &'static str, title: &'static str, status: u16, category: Category) -> Form {
    Form {
        slug,
        title,
        status,
        category,
    }
}

impl Refusal {
    fn form(&self) -> Form {
        use Category::{Access, Key, Leaving, Load, Platform, Request, Upstream};
        match self {
            Self::BadHead { .. } => form("bad-head", "Malformed head", 400, Request),
            Self::HeadTooLarge { .. } => form("head-too-large", "Head too large", 431, Request),
            Self::TooSlow { .. } => form("too-slow", "Request too slow", 408, Request),
            Self::BadBody { .. } => form("bad-body", "Malformed body", 400, Request),
            Self::BodyTooLarge { .. } => form("body-too-large", "Body too large", 413, Request),
            Self::PromptTooLong { .. } => form("prompt-too-long", "Prompt too long", 413, Request),
            Self::BadTimeout { .. } => form("bad-timeout", "Bad timeout", 400, Request),
            Self::UnknownService { .. } => form("unknown-service", "Unknown service", 404, Request),
            Self::UnknownModel { .. } => form("unknown-model", "Unknown model", 404, Request),
            Self::UnknownRoute => form("unknown-route", "Unknown route", 404, Request),
            Self::Unauthorised => form("unauthorised", "Unauthorised", 401, Access),
            Self::Forbidden { .. } => form("forbidden", "Forbidden", 403, Access),
            Self::OverLimit { .. } => form("over-limit", "Over the customer's limit", 429, Load),
            Self::QueueFull { .. } => form("queue-full", "Queue full", 503, Load),
            Self::TooLate { .. } => form("too-late", "Would end too late", 503, Load),
            Self::NoUpstream { .. } => form("no-upstream", "No upstream", 503, Upstream),
            Self::ModelAway { .. } => form("model-away", "Model not loaded", 503, Upstream),
            Self::UpstreamFailed { .. } => {
                form("upstream-failed", "Upstream failed", 502, Upstream)
            }
            Self::AnswerBroken { .. } => form("answer-broken", "Answer not whole", 502, Upstream),
            Self::DeadlinePassed { .. } => {
                form("deadline-passed", "Deadline passed", 504, Upstream)
            }
            Self::StoreAway { .. } => form("store-away", "Store away", 503, Platform),
            Self::ClaimLapsed { .. } => form("claim-lapsed", "Claim ran out", 503, Platform),
            Self::BadKey { .. } => form("bad-key", "Bad idempotency key", 400, Key),
            Self::KeyReused => form("key-reused", "Key used for another body", 422, Key),
            Self::KeyBusy { .. } => form("key-busy", "Key in use", 409, Key),
            Self::KeyUnsettled => form("key-unsettled", "Key not settled", 409, Key),
            Self::AnswerNotKept => form("answer-not-kept", "Answer not kept", 409, Key),
            Self::Quarantined { .. } => form("quarantined", "Quarantined", 422, Request),
            Self::ShuttingDown { .. } => form("shutting-down", "Node stopping", 503, Leaving),
            Self::StopLimit { .. } => form("stop-limit", "Node stopped", 503, Leaving),
            Self::Drained { .. } => form("drained", "Service drained", 503, Leaving),
            Self::NoConfiguration { .. } => {
                form("no-configuration", "No configuration", 503, Platform)
            }
        }
    }

    /// Who or what the refusal is about.
    #[must_use]
    pub fn category(&self) -> Category {
        self.form().category
    }

    /// The short name of the refusal, for logs and counters.
    #[must_use]
    pub fn slug(&self) -> &'static str {
        self.form().slug
    }

    /// The HTTP status.
    #[must_use]
    pub fn status(&self) -> u16 {
        self.form().status
    }

    /// Whether the request ran.
    #[must_use]
    pub const fn outcome(&self) -> Outcome {
        match self {
            Self::UpstreamFailed { outcome, .. }
            | Self::AnswerBroken { outcome, .. }
            | Self::DeadlinePassed { outcome, .. }
            | Self::StopLimit { outcome } => *outcome,
            Self::KeyBusy { .. } | Self::KeyUnsettled | Self::KeyReused => Outcome::MayHaveRun,
            Self::AnswerNotKept => Outcome::Ran,
            _ => Outcome::NotRun,
        }
    }

    /// The refusal as it may be told of a request that had this outcome before it was refused.
    ///
    /// An earlier attempt may have run, and then no later refusal makes it `not-run`.
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

    /// How long the caller should wait before another try, if one makes sense.
    #[must_use]
    pub fn wait(&self) -> Option<std::time::Duration> {
        self.after().map(Span::get)
    }

    const fn after(&self) -> Option<Span> {
        match self {
            Self::OverLimit { after, .. }
            | Self::QueueFull { after, .. }
            | Self::TooLate { after, .. }
            | Self::NoUpstream { after, .. }
            | Self::ModelAway { after, .. }
            | Self::StoreAway { after }
            | Self::ClaimLapsed { after }
            | Self::KeyBusy { after }
            | Self::ShuttingDown { after }
            | Self::NoConfiguration { after } => Some(*after),
            _ => None,
        }
    }

    /// The document that the caller gets.
    #[must_use]
    pub fn problem(&self, request: Option<&RequestId>) -> Problem {
        let form = self.form();
        Problem {
            kind: format!("urn:catkinusher:problem:{}", form.slug),
            title: form.title.to_owned(),
            status: form.status,
            detail: self.to_string(),
            outcome: self.outcome(),
            request: request.cloned(),
            retry_after: self.after().map(whole_seconds),
        }
    }
}

// A wait of nothing would invite a loop, so that a part of a second counts as a whole one.
fn whole_seconds(span: Span) -> u64 {
    (span.get().as_millis() as u64).div_ceil(1000).max(1)
}
