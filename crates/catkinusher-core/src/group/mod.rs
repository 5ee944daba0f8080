//! All-or-nothing reservation of several engines for a prompt that exceeds one engine's memory.
//!
//! Members are reserved one after the other in the order of their names. The
//! order is the same on every node, so two groups cannot deadlock. If a member
//! refuses or is lost, the reservations of all others are released.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{RequestId, UpstreamId};
use crate::units::Tokens;

/// Maximum number of engines in a group.
pub const MAX_GROUP_SIZE: usize = 8;

/// An engine and its part of a group's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The engine.
    pub upstream: UpstreamId,
    /// The memory to reserve on it.
    pub memory: Tokens,
}

/// Minimum and maximum fraction of an engine's memory that one group reserves, in twelfths.
const MEMORY_TWELFTHS: [u64; 2] = [3, 4];

/// Maximum memory that one request may get from this number of engines with this memory each.
#[must_use]
pub fn max_group_memory(memory: Tokens, engines: usize) -> Tokens {
    let per_engine = memory.get() * MEMORY_TWELFTHS[1] / 12;
    Tokens::new(per_engine * engines.min(MAX_GROUP_SIZE) as u64)
}

/// An action to carry out for the group.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Reserve a member's part with its owner and on the engine.
    Reserve(Member),
    /// All members are reserved: run the request on `lead`, with the others in its `X-Group`
    /// header.
    Run {
        /// The engine that gets the request.
        lead: UpstreamId,
        /// The other engines, which hold memory for the request.
        others: Vec<UpstreamId>,
    },
    /// Release the reservation of this member.
    Free(UpstreamId),
    /// The group has failed; the request may be retried.
    Failed,
}

/// The state of a group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Reserving,
    Running,
    Ended,
}

/// A group of engines for one request.
#[derive(Debug, Clone)]
pub struct Group {
    request: RequestId,
    lead: UpstreamId,
    plan: BTreeMap<UpstreamId, Tokens>,
    reserved: BTreeSet<UpstreamId>,
    phase: Phase,
}

/// An engine that could become a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The engine.
    pub upstream: UpstreamId,
    /// The memory that it can provide.
    pub free: Tokens,
}

impl Offer {
    /// Creates an offer from the memory known to be free on an engine and its total memory.
    ///
    /// The offer is at least 3/12 and at most 4/12 of the total, so that the engine's other
    /// requests are not starved.
    #[must_use]
    pub fn new(upstream: UpstreamId, free: Tokens, memory: Tokens) -> Self {
        let [min, max] = MEMORY_TWELFTHS.map(|part| Tokens::new(memory.get() * part / 12));
        Self {
            upstream,
            free: free.clamp(min, max),
        }
    }
}

impl Group {
    /// Plans a group for a request that needs this much memory.
    ///
    /// Uses as few engines as possible, those with the largest offers first, and
    /// the one with the largest offer as lead. Returns `None` if all offers
    /// together do not suffice.
    #[must_use]
    pub fn plan(request: RequestId, needed: Tokens, mut offers: Vec<Offer>) -> Option<Self> {
        offers.sort_by(|a, b| {
            b.free
                .cmp(&a.free)
                .then_with(|| a.upstream.cmp(&b.upstream))
        });
        offers.truncate(MAX_GROUP_SIZE);
        let lead = offers.first()?.upstream.clone();
        let mut left = needed;
        let mut plan = BTreeMap::new();
        for offer in offers {
            if left == Tokens::ZERO {
                break;
            }
            let part = offer.free.min(left);
            left -= part;
            if part > Tokens::ZERO {
                plan.insert(offer.upstream, part);
            }
        }
        (left == Tokens::ZERO).then_some(Self {
            request,
            lead,
            plan,
            reserved: BTreeSet::new(),
            phase: Phase::Reserving,
        })
    }

    /// The request that the group is for.
    #[must_use]
    pub const fn request(&self) -> &RequestId {
        &self.request
    }

    /// The members, in the order of their reservation.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.plan.iter().map(|(upstream, memory)| Member {
            upstream: upstream.clone(),
            memory: *memory,
        })
    }

    /// The engine that runs the request.
    #[must_use]
    pub const fn lead(&self) -> &UpstreamId {
        &self.lead
    }

    /// Memory that the engines other than the lead hold for the request.
    #[must_use]
    pub fn memory_outside_lead(&self) -> Tokens {
        let others = self.plan.iter().filter(|(name, _)| **name != self.lead);
        others.map(|(_, memory)| *memory).sum()
    }

    /// The first steps.
    #[must_use]
    pub fn start(&self) -> Vec<Step> {
        self.next_reservation()
    }

    /// Handles a successful reservation of a member.
    pub fn on_reserved(&mut self, upstream: &UpstreamId) -> Vec<Step> {
        if self.phase != Phase::Reserving || !self.plan.contains_key(upstream) {
            // A late answer: the group no longer waits for this reservation.
            return vec![Step::Free(upstream.clone())];
        }
        self.reserved.insert(upstream.clone());
        if self.reserved.len() < self.plan.len() {
            return self.next_reservation();
        }
        self.phase = Phase::Running;
        let others = self.plan.keys().filter(|name| **name != self.lead);
        vec![Step::Run {
            lead: self.lead.clone(),
            others: others.cloned().collect(),
        }]
    }

    /// Handles a member that refused its part or was lost: the others are released.
    pub fn on_lost(&mut self, upstream: &UpstreamId) -> Vec<Step> {
        self.reserved.remove(upstream);
        self.end(true)
    }

    /// Handles the end of the request, whether it succeeded or not.
    pub fn on_ended(&mut self) -> Vec<Step> {
        self.end(false)
    }

    fn next_reservation(&self) -> Vec<Step> {
        let pending = self
            .plan
            .iter()
            .find(|(name, _)| !self.reserved.contains(*name));
        let member = pending.map(|(upstream, memory)| Member {
            upstream: upstream.clone(),
            memory: *memory,
        });
        member.map(Step::Reserve).into_iter().collect()
    }

    fn end(&mut self, failed: bool) -> Vec<Step> {
        if self.phase == Phase::Ended {
            return Vec::new();
        }
        self.phase = Phase::Ended;
        let reserved = std::mem::take(&mut self.reserved);
        let mut steps: Vec<_> = reserved.into_iter().map(Step::Free).collect();
        if failed {
            steps.push(Step::Failed);
        }
        steps
    }
}
