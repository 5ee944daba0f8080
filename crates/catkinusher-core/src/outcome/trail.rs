//! Evidence about the attempts of one request.

use serde::{Deserialize, Serialize};

use super::{Outcome, Refusal};

/// Something seen about the present attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Evidence {
    /// The first byte is about to be handed to a connection; told before it is.
    Leaving,
    /// No byte was handed to a connection after all, as when connecting failed.
    Unsent,
    /// The upstream itself said that it took nothing on.
    Refused,
    /// An answer other than a refusal began to arrive.
    Answered,
}

/// What all attempts of one request prove together.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AttemptHistory {
    past: Outcome,
    present: Outcome,
    sends: u32,
}

impl AttemptHistory {
    /// A request that has not left.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            past: Outcome::NotRun,
            present: Outcome::NotRun,
            sends: 0,
        }
    }

    /// Takes in what was seen.
    pub fn on_evidence(&mut self, evidence: Evidence) {
        match evidence {
            Evidence::Leaving => self.open(),
            Evidence::Unsent => self.withdraw(),
            Evidence::Refused => self.refute(),
            Evidence::Answered => self.present = Outcome::Ran,
        }
    }

    fn open(&mut self) {
        self.past = self.past.join(self.present);
        self.present = Outcome::MayHaveRun;
        self.sends += 1;
    }

    fn withdraw(&mut self) {
        if self.present == Outcome::MayHaveRun {
            self.present = Outcome::NotRun;
            self.sends -= 1;
        }
    }

    // A refusal after an answer began is no proof: the upstream contradicts itself.
    fn refute(&mut self) {
        if self.present == Outcome::MayHaveRun {
            self.present = Outcome::NotRun;
        }
    }

    /// What may truthfully be said of the request now.
    #[must_use]
    pub fn outcome(&self) -> Outcome {
        self.past.join(self.present)
    }

    /// What to answer when a further attempt is refused.
    ///
    /// Most refusals say that nothing ran, which an earlier attempt may have
    /// made untrue.
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

    /// How often bytes of the request were handed to a connection.
    #[must_use]
    pub const fn sends(&self) -> u32 {
        self.sends
    }
}
