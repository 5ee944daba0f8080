//! The owner's side of a partition: bids in, one conditional update for many.

use serde::{Deserialize, Serialize};

use super::head::{Sealed, Value};
use super::seal::Draft;
use super::{ClaimRequest, Decision, Head, Nonce, Segment, Settlement, WallTime};
use crate::object::{Answer, Call, Version};
use crate::time::Time;
use crate::units::{Bytes, Span};

/// The times and bounds of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How long the first bid of an update waits for others.
    pub window: Span,
    /// How long a settlement waits for an update that it can ride on.
    pub settle: Span,
    /// How long a bid waits for the store before it is refused.
    pub patience: Span,
    /// How long the store is left alone after it refused a call or lost an answer.
    pub pause: Span,
    /// The size of the head above which final claims move to a segment.
    pub seal: Bytes,
    /// How far wall clocks may differ.
    pub skew: Span,
    /// The most settlements that wait; above it the oldest is forgotten.
    pub settlements: usize,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            window: Span::from_millis(0),
            settle: Span::from_millis(1_000),
            patience: Span::from_millis(1_000),
            pause: Span::from_millis(100),
            seal: Bytes::new(16_384),
            skew: Span::from_secs(120),
            settlements: 4_096,
        }
    }
}

/// What a partition asks of its surroundings.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Make this call to the store and hand the answer to [`Partition::on_answer`].
    Call {
        /// The call.
        call: Call<Value>,
    },
    /// Tell the holder what became of its bid.
    Decided {
        /// The bid's number.
        nonce: Nonce,
        /// What became of it.
        decision: Decision,
    },
    /// Tell the holder that its settlement need not be sent again.
    Settled {
        /// The claim's number.
        nonce: Nonce,
        /// Whether the store has it; if not, the claim did not stand there.
        kept: bool,
    },
}

/// A bid and when it came.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Waiting {
    pub(super) bid: ClaimRequest,
    pub(super) since: Time,
}

impl Waiting {
    pub(super) const fn decide(&self, decision: Decision) -> Step {
        Step::Decided {
            nonce: self.bid.nonce,
            decision,
        }
    }
}

/// A settlement and when it came.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Owed {
    pub(super) settlement: Settlement,
    pub(super) since: Time,
}

/// The head as last read or written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Seen {
    pub(super) version: Version,
    pub(super) head: Head,
    pub(super) at: Time,
}

/// A segment that was read to judge a bid.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Looked {
    pub(super) name: String,
    pub(super) segment: Option<Segment>,
}

/// An update that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Batch {
    pub(super) head: Head,
    pub(super) bids: Vec<Waiting>,
    pub(super) owed: Vec<Owed>,
    pub(super) sealed: Option<Sealed>,
}

/// The call that is under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum Under {
    ReadHead { sent: Time },
    Walk { name: String },
    Look { name: String },
    Seal { draft: Draft },
    Commit { batch: Batch },
    Delete,
}

/// One partition of claims, as one of its owners runs it.
///
/// After any event call [`next`](Self::next) and carry out its steps; call it
/// again at [`wake`](Self::wake). At most one call is under way.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Partition {
    pub(super) name: String,
    pub(super) policy: Policy,
    pub(super) seen: Option<Seen>,
    pub(super) sealed: Vec<Sealed>,
    pub(super) walked: Vec<Sealed>,
    pub(super) walk: Option<String>,
    pub(super) looked: Vec<Looked>,
    pub(super) draft: Option<Draft>,
    pub(super) bids: Vec<Waiting>,
    pub(super) owed: Vec<Owed>,
    pub(super) under: Option<Under>,
    pub(super) rest: Time,
    pub(super) follow: bool,
    pub(super) writes: bool,
}

impl Partition {
    /// A partition of which this node knows nothing yet.
    #[must_use]
    pub const fn new(name: String, policy: Policy) -> Self {
        Self {
            name,
            policy,
            seen: None,
            sealed: Vec::new(),
            walked: Vec::new(),
            walk: None,
            looked: Vec::new(),
            draft: None,
            bids: Vec::new(),
            owed: Vec::new(),
            under: None,
            rest: Time::ZERO,
            follow: false,
            writes: false,
        }
    }

    /// A partition that probably has no object yet, so that reading it first is a waste.
    #[must_use]
    pub fn assume_empty(name: String, policy: Policy) -> Self {
        let seen = Seen {
            version: Version::NONE,
            head: Head::default(),
            at: Time::ZERO,
        };
        Self {
            seen: Some(seen),
            ..Self::new(name, policy)
        }
    }

    /// Takes in a bid; one that is repeated while it waits counts once.
    pub fn on_claim_request(&mut self, bid: ClaimRequest, now: Time) {
        let twice = self.bids.iter().any(|other| other.bid.nonce == bid.nonce);
        if !twice && !self.is_committing(bid.nonce) {
            self.bids.push(Waiting { bid, since: now });
        }
    }

    fn is_committing(&self, nonce: Nonce) -> bool {
        let Some(Under::Commit { batch }) = &self.under else {
            return false;
        };
        batch.bids.iter().any(|other| other.bid.nonce == nonce)
    }

    /// Takes in what a claim came to; one that is repeated while it waits counts once.
    pub fn on_settlement(&mut self, settlement: Settlement, now: Time) {
        if self.owed.iter().any(|owed| owed.settlement == settlement) {
            return;
        }
        if self.owed.len() >= self.policy.settlements {
            self.owed.remove(0);
        }
        self.owed.push(Owed {
            settlement,
            since: now,
        });
    }

    /// Reads what other owners wrote, so that taking over later costs little.
    pub fn on_follow(&mut self) {
        self.follow = true;
        self.writes = false;
    }

    /// Whether bids or settlements are left.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.bids.is_empty() && self.owed.is_empty() && self.under.is_none()
    }

    /// When to call [`next`](Self::next) without an event.
    #[must_use]
    pub fn wake(&self) -> Time {
        let patience = self.policy.patience.get();
        let give_up = self.all_bids().map(|waiting| waiting.since + patience);
        let give_up = give_up.min().unwrap_or(Time::NEVER);
        if self.under.is_some() {
            return give_up;
        }
        let due = self.due().max(self.rest);
        due.min(give_up)
    }

    fn all_bids(&self) -> impl Iterator<Item = &Waiting> {
        let flying = match &self.under {
            Some(Under::Commit { batch }) => batch.bids.as_slice(),
            _ => &[],
        };
        self.bids.iter().chain(flying)
    }

    /// When the next update should leave.
    pub(super) fn due(&self) -> Time {
        if self.follow || self.walk.is_some() {
            return Time::ZERO;
        }
        let bid = self.bids.first();
        let bid = bid.map_or(Time::NEVER, |bid| bid.since + self.policy.window.get());
        let owed = self.owed.first();
        let owed = owed.map_or(Time::NEVER, |owed| owed.since + self.policy.settle.get());
        bid.min(owed)
    }

    /// Says what to do now.
    pub fn next(&mut self, now: Time, wall: WallTime) -> Vec<Step> {
        let mut steps = self.give_up(now);
        if self.under.is_some() || now < self.rest {
            return steps;
        }
        let call = self
            .load(now)
            .or_else(|| self.sift(wall, &mut steps))
            .or_else(|| self.seal(wall))
            .or_else(|| self.commit(now, wall, &mut steps))
            .or_else(|| self.prune(wall));
        steps.extend(call.map(|call| Step::Call { call }));
        steps
    }

    // A bid that waited too long is refused. The claim may stand all the same; only its
    // holder can take it back, since it alone knows that the request will never leave.
    fn give_up(&mut self, now: Time) -> Vec<Step> {
        let patience = self.policy.patience.get();
        let late = |waiting: &mut Waiting| now >= waiting.since + patience;
        let mut lost: Vec<Waiting> = self.bids.extract_if(.., late).collect();
        if let Some(Under::Commit { batch }) = &mut self.under {
            lost.extend(batch.bids.extract_if(.., late));
        }
        lost.iter()
            .map(|waiting| waiting.decide(Decision::StoreAway))
            .collect()
    }

    /// Takes in the answer to the last call; call [`next`](Self::next) after it.
    pub fn on_answer(&mut self, answer: Answer<Value>, now: Time) -> Vec<Step> {
        let Some(under) = self.under.take() else {
            return Vec::new();
        };
        if matches!(answer, Answer::Lost | Answer::Away) {
            self.rest = now + self.policy.pause.get();
        }
        match under {
            Under::ReadHead { sent } => self.on_head(answer, sent),
            Under::Walk { name } => self.on_walk(name, answer),
            Under::Look { name } => self.on_look(name, answer),
            Under::Seal { draft } => self.on_seal(draft, &answer),
            Under::Commit { batch } => return self.on_commit(batch, &answer, now),
            Under::Delete => {}
        }
        Vec::new()
    }
}
