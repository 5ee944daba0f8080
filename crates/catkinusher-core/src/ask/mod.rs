//! The admission query that a node sends to an upstream's owner for one request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::LengthClass;
use crate::id::{CustomerId, ModelId, RequestId, ServiceId};
use crate::time::Time;
use crate::units::Tokens;

/// A request to be scheduled on an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// The request ID.
    pub request: RequestId,
    /// The customer that sent it.
    pub customer: CustomerId,
    /// The customer's fair-share weight, from the inventory; at least 1.
    pub weight: u32,
    /// The service that it addresses.
    pub service: ServiceId,
    /// The requested model; `None` for a plain service.
    pub model: Option<ModelId>,
    /// The estimated prompt length; zero for a plain service.
    pub prompt: Tokens,
    /// The maximum number of output tokens.
    pub output: Tokens,
    /// Chained hashes of the prompt's prefixes, see [`crate::cache`].
    pub prefix: Vec<u64>,
    /// Which part of the request the upstream is asked to take.
    pub role: Role,
    /// Whether it exceeds its customer's share, see [`crate::admission`].
    pub excess: bool,
    /// The maximum acceptable time to first token, counted from the owner's decision.
    /// If the owner predicts a longer one, it answers
    /// [`Busy`](crate::owner::Reason::Busy) with its prediction. The node then asks
    /// the owner of its second choice: its own predictions rest on load digests,
    /// which lag.
    pub patience: Option<Duration>,
    /// The deadline of the request, by the clock of the process that holds this
    /// value. A message carries [`Ask::left`] beside the ask, and the receiver
    /// overwrites this field with a deadline by its own clock.
    pub deadline: Time,
}

/// The part of a request that an upstream runs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// The whole request.
    #[default]
    Whole,
    /// Runs the request and provides this much memory; the other members of the group provide the rest.
    Lead(Tokens),
    /// Only provides this much memory to the lead of a group.
    Member(Tokens),
}

impl Ask {
    /// The length class of the prompt.
    #[must_use]
    pub fn class(&self) -> LengthClass {
        LengthClass::of(self.prompt)
    }

    /// The KV-cache memory that it needs on an engine, from prefill to the last token.
    #[must_use]
    pub fn memory(&self) -> Tokens {
        match self.role {
            Role::Whole => self.prompt + self.output,
            Role::Lead(memory) | Role::Member(memory) => memory,
        }
    }

    /// Whether the request is split over a group of upstreams.
    #[must_use]
    pub const fn is_grouped(&self) -> bool {
        !matches!(self.role, Role::Whole)
    }

    /// Whether the upstream prefills the prompt.
    #[must_use]
    pub const fn prefills(&self) -> bool {
        !matches!(self.role, Role::Member(_))
    }

    /// The time left until the deadline.
    #[must_use]
    pub fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }
}
