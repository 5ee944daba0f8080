//! Whether a request ran at an upstream, and how a refusal reports it.
//!
//! A refusal that reports `not-run` must be correct under every fault (see
//! [docs/design/outcomes.md](../../../../docs/design/outcomes.md)). The outcome
//! is therefore derived from evidence by an [`AttemptHistory`] and never set by
//! hand.

mod problem;
mod refusal;
mod trail;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use self::problem::{PROBLEM_CONTENT_TYPE, Problem};
pub use self::refusal::{Category, Refusal};
pub use self::trail::{AttemptHistory, Evidence};

/// Whether a request ran at an upstream.
///
/// The variants are ordered for [`join`](Self::join): the outcome of a request
/// is the greatest outcome of its attempts.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The request provably did not run.
    #[default]
    NotRun,
    /// The request was sent to an upstream, and it is unknown whether it ran.
    MayHaveRun,
    /// An upstream provably started to process the request.
    Ran,
}

impl Outcome {
    /// Combines the outcomes of two attempts of the same request.
    #[must_use]
    pub fn join(self, other: Self) -> Self {
        self.max(other)
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
            Self::Ran => "ran",
        })
    }
}
