//! The answer to the question where a request would go.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::fleet::{Placement, Ranked};
use crate::id::{CustomerId, ServiceId, UpstreamId, VmId};
use crate::units::Tokens;

/// What a node would do with a request. It holds no API key.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The node that answers.
    pub node: VmId,
    /// The revision of the configuration.
    pub revision: u64,
    /// The name of the route.
    pub route: String,
    /// The customer, unless the route needs none.
    pub customer: Option<CustomerId>,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The maximum length of the answer.
    pub answer: Tokens,
    /// The decision for each service of the route.
    pub decisions: Vec<Decision>,
}

/// What would happen at one service of a route.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Decision {
    /// The service.
    pub service: ServiceId,
    /// Its weight among the services of the route.
    pub weight: f64,
    /// The cell whose upstreams may be chosen.
    pub cell: String,
    /// The outcome.
    #[serde(flatten)]
    pub outcome: Outcome,
}

/// What would happen to the request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "kebab-case")]
pub enum Outcome {
    /// It would be sent.
    Placed(Box<Reason>),
    /// It would wait for other prompts.
    Waiting,
    /// It would be refused.
    Refused {
        /// The reason, as in the response to the caller.
        reason: String,
        /// What the caller would be told.
        detail: String,
        /// When the caller may try again, in milliseconds.
        retry_after_ms: Option<u64>,
    },
    /// Another node places the requests of the cell.
    Elsewhere {
        /// The address of that node for messages of other nodes.
        node: SocketAddr,
    },
    /// The service is not in the configuration.
    Unknown,
}

/// Why a request would go to an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reason {
    /// The upstream that would answer.
    pub upstream: UpstreamId,
    /// The upstreams that would prefill parts of the prompt.
    pub helpers: Vec<UpstreamId>,
    /// The number of upstreams that were considered.
    pub choices: usize,
    /// The number of upstreams for short prompts.
    pub shorts: usize,
    /// The number of upstreams that answer long prompts.
    pub writers: usize,
    /// The age of the newest load report of another node, in milliseconds; `None` if there is none.
    pub age_ms: Option<u64>,
    /// The longest pending prefill among the chosen upstreams, in milliseconds.
    pub wait_ms: u64,
    /// The candidates with their scores, the best first.
    pub candidates: Vec<Ranked>,
}

impl From<Placement> for Reason {
    fn from(placement: Placement) -> Self {
        let basis = placement.basis;
        Self {
            upstream: placement.primary,
            helpers: placement.helpers.into_iter().map(|(id, _)| id).collect(),
            choices: basis.choices,
            shorts: basis.shorts,
            writers: basis.writers,
            age_ms: basis.age.map(|age| age.as_millis() as u64),
            wait_ms: basis.wait.as_millis() as u64,
            candidates: basis.ranking,
        }
    }
}
