//! What a node asks of an upstream's owner on behalf of one request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::class::LengthClass;
use crate::id::{CustomerId, ModelId, RequestId, ServiceId};
use crate::time::Time;
use crate::units::Tokens;

/// One request that wants to run on an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ask {
    /// The request.
    pub request: RequestId,
    /// Who sent it.
    pub customer: CustomerId,
    /// The customer's share against others, from the inventory; at least 1.
    pub weight: u32,
    /// The service that it is for.
    pub service: ServiceId,
    /// The model, unless the service is a plain one.
    pub model: Option<ModelId>,
    /// The estimated length of its prompt; nothing for a plain service.
    pub prompt: Tokens,
    /// The most tokens that its answer may have.
    pub output: Tokens,
    /// Chained hashes of the prompt's beginnings, see [`crate::cache`].
    pub prefix: Vec<u64>,
    /// Which part of the request the upstream is asked to take.
    pub role: Role,
    /// Whether it lies beyond its customer's share, see [`crate::admission`].
    pub excess: bool,
    /// The latest first token with which it is taken here, counted from now;
    /// later, and the owner answers [`Busy`](crate::owner::Reason::Busy) with
    /// what it expects. Digests are late, so this is how two owners are compared.
    pub patience: Option<Duration>,
    /// When the request must have ended, by the clock of the process that
    /// holds this value; a message carries [`Ask::left`] in its place.
    pub deadline: Time,
}

/// Which part of a request an upstream takes.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// All of it.
    #[default]
    Whole,
    /// It runs the request and gives this much memory; a group's others give the rest.
    Lead(Tokens),
    /// It only gives this much memory to a group's lead.
    Member(Tokens),
}

impl Ask {
    /// The class of its prompt.
    #[must_use]
    pub fn class(&self) -> LengthClass {
        LengthClass::of(self.prompt)
    }

    /// The memory that it needs on an engine from prefill to its last token.
    #[must_use]
    pub fn memory(&self) -> Tokens {
        match self.role {
            Role::Whole => self.prompt + self.output,
            Role::Lead(memory) | Role::Member(memory) => memory,
        }
    }

    /// Whether it is one of several that make up a group.
    #[must_use]
    pub const fn is_grouped(&self) -> bool {
        !matches!(self.role, Role::Whole)
    }

    /// Whether the upstream prefills the prompt.
    #[must_use]
    pub const fn prefills(&self) -> bool {
        !matches!(self.role, Role::Member(_))
    }

    /// How long it has left.
    #[must_use]
    pub fn left(&self, now: Time) -> Duration {
        self.deadline.since(now)
    }
}
