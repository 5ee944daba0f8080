//! Evidence about whether the attempts of one request ran.

use serde::{Deserialize, Serialize};

use super::{Outcome, Refusal};

/// An observation about the current attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// The first byte is about to be written to a connection. Must be recorded before the write.
    Leaving,
    /// No byte was written to a connection after all, for example because connecting failed.
    Unsent,
    /// The upstream itself reported that it did not accept the request.
    Refused,
    /// An answer other than a refusal started to arrive.
    Answered,
}

/// The combined evidence of all attempts of one request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptHistory {
    /// The joined outcome of all attempts before the current one.
    past: Outcome,
    /// The outcome of the current attempt.
    present: Outcome,
    sends: u32,
}

impl AttemptHistory {
    /// Creates the history of a request that has not been sent.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            past: Outcome::NotRun,
            present: Outcome::NotRun,
            sends: 0,
        }
    }

    /// Records an observation.
    pub fn on_evidence(&mut self, evidence: Evidence) {
        match evidence {
            Evidence::Leaving => self.start_attempt(),
            Evidence::Unsent => self.cancel_attempt(),
            Evidence::Refused => self.record_refusal(),
            Evidence::Answered => self.present = Outcome::Ran,
        }
    }

    fn start_attempt(&mut self) {
        self.past = self.past.join(self.present);
        self.present = Outcome::MayHaveRun;
        self.sends += 1;
    }

    fn cancel_attempt(&mut self) {
        if self.present == Outcome::MayHaveRun {
            self.present = Outcome::NotRun;
            self.sends -= 1;
        }
    }

    // A refusal after the start of an answer proves nothing, because the upstream contradicts
    // itself.
    fn record_refusal(&mut self) {
        if self.present == Outcome::MayHaveRun {
            self.present = Outcome::NotRun;
        }
    }

    /// The outcome of the request that the evidence supports.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.past.join(self.present)
    }

    /// The refusal to send to the caller when a further attempt is refused.
    ///
    /// Most refusals report `not-run`, which is wrong if an earlier attempt may
    /// have run.
    #[must_use]
    pub fn refusal_after_attempts(&self, refusal: Refusal) -> Refusal {
        match self.outcome() {
            Outcome::NotRun => refusal,
            outcome => Refusal::UpstreamFailed {
                detail: format!("it failed before, and now {refusal}"),
                outcome,
            },
        }
    }

    /// How often the request was sent, at least in part, on a connection.
    #[must_use]
    pub const fn sends(&self) -> u32 {
        self.sends
    }
}
