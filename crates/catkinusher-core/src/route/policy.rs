//! What every way of choosing has in common.

use std::fmt;
use std::time::Duration;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::View;
use crate::ask::Ask;
use crate::id::UpstreamId;
use crate::time::Time;

/// A way to choose an upstream.
pub trait Policy {
    /// Chooses an upstream for a request, if there is one that may take it.
    fn choose<R>(&mut self, ask: &Ask, view: &View, rng: &mut R, now: Time) -> Option<Choice>
    where
        R: Rng;
}

/// An upstream chosen.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Choice {
    /// The one to ask for.
    pub upstream: UpstreamId,
    /// The one to try next, if it refuses.
    pub second: Option<UpstreamId>,
    /// What to ask the first with as its [`Ask::patience`]: when the second would do.
    pub patience: Option<Duration>,
    /// What decided.
    #[serde(rename = "grounds")]
    pub reason: ChoiceReason,
    /// When the first token is expected; zero if the policy expects nothing.
    pub predicted: Duration,
    /// How many upstreams were looked at.
    pub examined: u32,
}

/// What decided a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChoiceReason {
    /// Its first token is expected soonest.
    Soonest,
    /// It has the prompt's beginning cached and is soon enough.
    Cached,
    /// Those kept for the class were too busy.
    Spilled,
    /// It was the only one.
    Only,
    /// Chance or turn.
    Turn,
    /// It has the fewest requests of this node open.
    Fewest,
    /// It is the one where a suspect runs apart.
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
