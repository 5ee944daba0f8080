//! The interface of all routing policies.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::View;
use crate::ask::Ask;
use crate::id::UpstreamId;
use crate::time::Time;

/// A routing policy.
pub trait Policy {
    /// Chooses an upstream for a request, if any is open.
    fn choose<R>(&mut self, ask: &Ask, view: &View, rng: &mut R, now: Time) -> Option<Choice>
    where
        R: Rng;
}

/// The result of a routing decision.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choice {
    /// The chosen upstream.
    pub upstream: UpstreamId,
    /// The upstream to try next if the chosen one refuses.
    pub second: Option<UpstreamId>,
    /// The [`Ask::patience`] for the chosen upstream: the time to first token beyond which the
    /// second one is preferable.
    pub patience: Option<Duration>,
    /// Why this upstream was chosen.
    #[serde(rename = "grounds")]
    pub reason: ChoiceReason,
    /// The predicted time to first token; zero if the policy makes no prediction.
    pub predicted: Duration,
    /// The number of upstreams examined.
    pub examined: u32,
}

/// Why an upstream was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceReason {
    /// It has the shortest predicted time to first token.
    Soonest,
    /// It probably has a prefix of the prompt cached, and has the shortest predicted time.
    Cached,
    /// The upstreams of the pool for the prompt's class were too busy.
    Spilled,
    /// It was the only open upstream.
    Only,
    /// It was chosen at random or in turn.
    Turn,
    /// It has the fewest open requests of this node.
    Fewest,
    /// It is the upstream for a suspect that must run in isolation.
    Apart,
}

impl fmt::Display for ChoiceReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Soonest => "soonest",
            Self::Cached => "cached",
            Self::Spilled => "spilled",
            Self::Only => "only",
            Self::Turn => "turn",
            Self::Fewest => "fewest",
            Self::Apart => "apart",
        })
    }
}
