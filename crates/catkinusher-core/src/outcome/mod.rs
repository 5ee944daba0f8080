//! What is true of a request's run, and how a refusal says it.
//!
//! A refusal that says `not-run` must be true under every fault (see
//! [docs/design/outcomes.md](../../../../docs/design/outcomes.md)), so the
//! word is worked out from evidence by a [`AttemptHistory`] and never written by hand.

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
/// The order is that of the join: of several attempts, the one that says most
/// about a run speaks for the request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// It provably did not run.
    #[default]
    NotRun,
    /// It left for an upstream, and nobody can tell.
    MayHaveRun,
    /// An upstream provably began to work on it.
    Ran,
}

impl Outcome {
    /// What is true of a request of which both were true for separate attempts.
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
