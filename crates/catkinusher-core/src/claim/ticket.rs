//! The holder's side of a claim: one send at most, and none after its time.

use serde::{Deserialize, Serialize};

use super::{Decision, KeyId, Nonce, Settlement, StoredResponse};
use crate::time::Time;
use crate::units::Span;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum Stage {
    Asking,
    Granted,
    Sent,
    Over,
}

/// What a node holds for a non-idempotent request from its bid to its end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    ident: KeyId,
    nonce: Nonce,
    until: Time,
    stage: Stage,
}

impl Ticket {
    /// A ticket for a bid that is about to go out.
    ///
    /// The time to send counts from here, on this node's own clock, and so
    /// ends before the claim can expire, however late its answer comes.
    #[must_use]
    pub fn new(ident: KeyId, nonce: Nonce, within: Span, deadline: Time, now: Time) -> Self {
        Self {
            ident,
            nonce,
            until: deadline.min(now + within.get()),
            stage: Stage::Asking,
        }
    }

    /// The claim's own number.
    #[must_use]
    pub const fn nonce(&self) -> Nonce {
        self.nonce
    }

    /// The moment from which the request may not leave any more.
    #[must_use]
    pub const fn until(&self) -> Time {
        self.until
    }

    /// Takes in what became of the bid.
    ///
    /// A bid that the store did not take in time may stand there all the same,
    /// or be written late; the settlement takes it back.
    pub fn on_decision(&mut self, decision: &Decision) -> Option<Settlement> {
        if self.stage != Stage::Asking {
            return None;
        }
        match decision {
            Decision::MaySend => self.stage = Stage::Granted,
            Decision::StoreAway => return self.settle(None),
            _ => self.stage = Stage::Over,
        }
        None
    }

    /// Whether the request may leave at this moment.
    #[must_use]
    pub fn may_send(&self, now: Time) -> bool {
        self.stage == Stage::Granted && now < self.until
    }

    /// Takes the one permission to send; to be called at the last step before the socket.
    ///
    /// Says `true` once at most. After `false` the request may not leave.
    pub fn authorize_send(&mut self, now: Time) -> bool {
        let may = self.may_send(now);
        if may {
            self.stage = Stage::Sent;
        }
        may
    }

    /// Ends a request that did not leave; the settlement makes its key free again.
    pub fn give_up(&mut self) -> Option<Settlement> {
        if self.stage == Stage::Sent {
            return None;
        }
        self.settle(None)
    }

    /// Ends a request that the upstream provably did not run.
    pub fn on_refused(&mut self) -> Option<Settlement> {
        self.settle(None)
    }

    /// Ends a request that ran and was answered.
    pub fn on_answer(&mut self, kept: StoredResponse) -> Option<Settlement> {
        if self.stage != Stage::Sent {
            return None;
        }
        self.settle(Some(kept))
    }

    fn settle(&mut self, kept: Option<StoredResponse>) -> Option<Settlement> {
        if self.stage == Stage::Over {
            return None;
        }
        self.stage = Stage::Over;
        Some(Settlement {
            ident: self.ident,
            nonce: self.nonce,
            kept,
        })
    }
}
