//! The holder's side of a claim: at most one send, and none after the claim's time limit.

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

/// A node's permission to send one non-idempotent request, from the claim request to its settlement.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ticket {
    ident: KeyId,
    nonce: Nonce,
    until: Time,
    stage: Stage,
}

impl Ticket {
    /// Creates the ticket of a claim request that is about to be sent.
    ///
    /// The time limit counts from here on this node's own clock, and therefore
    /// ends before the claim can expire, however late the decision arrives.
    #[must_use]
    pub fn new(ident: KeyId, nonce: Nonce, within: Span, deadline: Time, now: Time) -> Self {
        Self {
            ident,
            nonce,
            until: deadline.min(now + within.get()),
            stage: Stage::Asking,
        }
    }

    /// The nonce of the claim.
    #[must_use]
    pub const fn nonce(&self) -> Nonce {
        self.nonce
    }

    /// The time from which the request must not be sent any more.
    #[must_use]
    pub const fn until(&self) -> Time {
        self.until
    }

    /// Handles the decision on the claim request.
    ///
    /// A claim that the store did not accept in time may be stored nevertheless,
    /// or be written later; the returned settlement releases it.
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

    /// Whether the request may be sent now.
    #[must_use]
    pub fn may_send(&self, now: Time) -> bool {
        self.stage == Stage::Granted && now < self.until
    }

    /// Uses up the permission to send. Call it immediately before writing to the socket.
    ///
    /// Returns `true` at most once. After `false` the request must not be sent.
    pub fn authorize_send(&mut self, now: Time) -> bool {
        let may = self.may_send(now);
        if may {
            self.stage = Stage::Sent;
        }
        may
    }

    /// Ends a request that was not sent; the settlement frees its key.
    pub fn give_up(&mut self) -> Option<Settlement> {
        if self.stage == Stage::Sent {
            return None;
        }
        self.settle(None)
    }

    /// Ends a request that the upstream provably did not run; the settlement frees its key.
    pub fn on_refused(&mut self) -> Option<Settlement> {
        self.settle(None)
    }

    /// Ends a request that ran and got a response.
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
