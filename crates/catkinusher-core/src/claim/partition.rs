//! The owner's side of a partition: batches claim requests into conditional updates.

use serde::{Deserialize, Serialize};

use super::head::{SegmentSummary, Value};
use super::seal::DraftSegment;
use super::{ClaimRequest, Decision, Head, Nonce, Segment, Settlement, WallTime};
use crate::object::{Answer, Call, Version};
use crate::time::Time;
use crate::units::{Bytes, Span};

/// Durations and limits of a partition.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How long the first claim request of an update waits for others to join the batch.
    pub window: Span,
    /// How long a settlement waits for an update that it can be written with.
    pub settle: Span,
    /// How long a claim request waits for the store before it is refused.
    pub patience: Span,
    /// The pause before the next call after the store refused one or its answer was lost.
    pub pause: Span,
    /// The size of the head above which final claims are moved to a segment.
    pub seal: Bytes,
    /// The maximum difference between the wall clocks of VMs.
    pub skew: Span,
    /// The maximum number of pending settlements; beyond it the oldest is dropped.
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

/// An action that a partition requests from its caller.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Step {
    /// Make this call to the store and pass the answer to [`Partition::on_answer`].
    Call {
        /// The call.
        call: Call<Value>,
    },
    /// Send the holder the decision on its claim request.
    Decided {
        /// The nonce of the request.
        nonce: Nonce,
        /// The decision.
        decision: Decision,
    },
    /// Tell the holder that it need not send its settlement again.
    Settled {
        /// The nonce of the claim.
        nonce: Nonce,
        /// Whether the settlement was stored; if not, the claim was not in the store.
        kept: bool,
    },
}

/// A claim request and its arrival time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingClaim {
    pub(super) request: ClaimRequest,
    pub(super) since: Time,
}

impl PendingClaim {
    pub(super) const fn decide(&self, decision: Decision) -> Step {
        Step::Decided {
            nonce: self.request.nonce,
            decision,
        }
    }
}

/// A settlement and its arrival time.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct PendingSettlement {
    pub(super) settlement: Settlement,
    pub(super) since: Time,
}

/// The head as last read or written.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct CachedHead {
    pub(super) version: Version,
    pub(super) head: Head,
    pub(super) at: Time,
}

/// A segment that was read to decide a request; `None` if it no longer exists.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct LoadedSegment {
    pub(super) name: String,
    pub(super) segment: Option<Segment>,
}

/// An update that is in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Batch {
    pub(super) head: Head,
    pub(super) claims: Vec<PendingClaim>,
    pub(super) settlements: Vec<PendingSettlement>,
    pub(super) sealed: Option<SegmentSummary>,
}

/// The store call that is in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) enum InFlight {
    ReadHead { sent: Time },
    ReadChain { name: String },
    ReadSegment { name: String },
    Seal { draft: DraftSegment },
    Commit { batch: Batch },
    Delete,
}

/// The state machine of one owner of a partition of claims.
///
/// After any event call [`next`](Self::next) and carry out its steps; call it
/// again at [`wake`](Self::wake). At most one store call is in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Partition {
    pub(super) name: String,
    pub(super) policy: Policy,
    pub(super) cached: Option<CachedHead>,
    pub(super) segments: Vec<SegmentSummary>,
    pub(super) new_segments: Vec<SegmentSummary>,
    pub(super) next_segment: Option<String>,
    pub(super) loaded: Vec<LoadedSegment>,
    pub(super) draft: Option<DraftSegment>,
    pub(super) claims: Vec<PendingClaim>,
    pub(super) settlements: Vec<PendingSettlement>,
    pub(super) in_flight: Option<InFlight>,
    pub(super) paused_until: Time,
    pub(super) follow: bool,
    pub(super) has_written: bool,
}

impl Partition {
    /// Creates a partition whose stored state is not yet known.
    #[must_use]
    pub const fn new(name: String, policy: Policy) -> Self {
        Self {
            name,
            policy,
            cached: None,
            segments: Vec::new(),
            new_segments: Vec::new(),
            next_segment: None,
            loaded: Vec::new(),
            draft: None,
            claims: Vec::new(),
            settlements: Vec::new(),
            in_flight: None,
            paused_until: Time::ZERO,
            follow: false,
            has_written: false,
        }
    }

    /// Creates a partition that probably has no object yet, which saves the initial read.
    #[must_use]
    pub fn assume_empty(name: String, policy: Policy) -> Self {
        let cached = CachedHead {
            version: Version::NONE,
            head: Head::default(),
            at: Time::ZERO,
        };
        Self {
            cached: Some(cached),
            ..Self::new(name, policy)
        }
    }

    /// Handles a claim request; a repeat of a pending request is ignored.
    pub fn on_claim_request(&mut self, request: ClaimRequest, now: Time) {
        let duplicate = self
            .claims
            .iter()
            .any(|other| other.request.nonce == request.nonce);
        if !duplicate && !self.is_committing(request.nonce) {
            self.claims.push(PendingClaim {
                request,
                since: now,
            });
        }
    }

    fn is_committing(&self, nonce: Nonce) -> bool {
        let Some(InFlight::Commit { batch }) = &self.in_flight else {
            return false;
        };
        batch
            .claims
            .iter()
            .any(|other| other.request.nonce == nonce)
    }

    /// Handles a settlement; a repeat of a pending settlement is ignored.
    pub fn on_settlement(&mut self, settlement: Settlement, now: Time) {
        if self
            .settlements
            .iter()
            .any(|pending| pending.settlement == settlement)
        {
            return;
        }
        if self.settlements.len() >= self.policy.settlements {
            self.settlements.remove(0);
        }
        self.settlements.push(PendingSettlement {
            settlement,
            since: now,
        });
    }

    /// Schedules a read of what other owners wrote, which keeps a later takeover cheap.
    pub fn on_follow(&mut self) {
        self.follow = true;
        self.has_written = false;
    }

    /// Whether no claim request, settlement or store call is pending.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.claims.is_empty() && self.settlements.is_empty() && self.in_flight.is_none()
    }

    /// When to call [`next`](Self::next) if no event occurs before.
    #[must_use]
    pub fn wake(&self) -> Time {
        let patience = self.policy.patience.get();
        let expiry = self.all_claims().map(|claim| claim.since + patience);
        let expiry = expiry.min().unwrap_or(Time::NEVER);
        if self.in_flight.is_some() {
            return expiry;
        }
        let due = self.due().max(self.paused_until);
        due.min(expiry)
    }

    fn all_claims(&self) -> impl Iterator<Item = &PendingClaim> {
        let committing = match &self.in_flight {
            Some(InFlight::Commit { batch }) => batch.claims.as_slice(),
            _ => &[],
        };
        self.claims.iter().chain(committing)
    }

    /// When the next call to the store is due.
    pub(super) fn due(&self) -> Time {
        if self.follow || self.next_segment.is_some() {
            return Time::ZERO;
        }
        let claim = self.claims.first();
        let claim = claim.map_or(Time::NEVER, |claim| claim.since + self.policy.window.get());
        let settlement = self.settlements.first();
        let settlement = settlement.map_or(Time::NEVER, |s| s.since + self.policy.settle.get());
        claim.min(settlement)
    }

    /// Returns the steps to carry out now.
    pub fn next(&mut self, now: Time, wall: WallTime) -> Vec<Step> {
        let mut steps = self.expire_claims(now);
        if self.in_flight.is_some() || now < self.paused_until {
            return steps;
        }
        let call = self
            .load(now)
            .or_else(|| self.decide_known(wall, &mut steps))
            .or_else(|| self.seal(wall))
            .or_else(|| self.commit(now, wall, &mut steps))
            .or_else(|| self.prune(wall));
        steps.extend(call.map(|call| Step::Call { call }));
        steps
    }

    // Refuses requests that waited too long. The claim may still get stored; only its holder
    // may release it, because no one else knows that the request will never be sent.
    fn expire_claims(&mut self, now: Time) -> Vec<Step> {
        let patience = self.policy.patience.get();
        let is_late = |claim: &mut PendingClaim| now >= claim.since + patience;
        let mut expired: Vec<PendingClaim> = self.claims.extract_if(.., is_late).collect();
        if let Some(InFlight::Commit { batch }) = &mut self.in_flight {
            expired.extend(batch.claims.extract_if(.., is_late));
        }
        expired
            .iter()
            .map(|claim| claim.decide(Decision::StoreAway))
            .collect()
    }

    /// Handles the answer to the last store call; call [`next`](Self::next) afterwards.
    pub fn on_answer(&mut self, answer: Answer<Value>, now: Time) -> Vec<Step> {
        let Some(in_flight) = self.in_flight.take() else {
            return Vec::new();
        };
        if matches!(answer, Answer::Lost | Answer::Away) {
            self.paused_until = now + self.policy.pause.get();
        }
        match in_flight {
            InFlight::ReadHead { sent } => self.on_head_read(answer, sent),
            InFlight::ReadChain { name } => self.on_chain_read(name, answer),
            InFlight::ReadSegment { name } => self.on_segment_read(name, answer),
            InFlight::Seal { draft } => self.on_seal(draft, &answer),
            InFlight::Commit { batch } => return self.on_commit(batch, &answer, now),
            InFlight::Delete => {}
        }
        Vec::new()
    }
}
