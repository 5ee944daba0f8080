//! Several engines for one prompt above one engine's memory: all or none.
//!
//! Members are reserved one after the other in the order of their names, the
//! same on every node, so that two groups never wait for each other in a
//! circle. A member that refuses, or is lost midway, frees the rest.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{RequestId, UpstreamId};
use crate::units::Tokens;

/// The most engines in a group.
pub const MAX_GROUP_SIZE: usize = 8;

/// One engine's part of a group's memory.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Member {
    /// The engine.
    pub upstream: UpstreamId,
    /// The memory that it is to hold.
    pub memory: Tokens,
}

/// The least and the most of an engine's memory that one group asks for, in parts of twelve.
const PART: [u64; 2] = [3, 4];

/// The most memory that one request may get of so many engines of this memory.
#[must_use]
pub fn max_group_memory(memory: Tokens, engines: usize) -> Tokens {
    let most = memory.get() * PART[1] / 12;
    Tokens::new(most * engines.min(MAX_GROUP_SIZE) as u64)
}

/// What the group wants done.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Reserve a member's part with its owner and on the engine.
    Reserve(Member),
    /// All are reserved: run the request on `lead`, the others in its `X-Group`.
    Run {
        /// The engine that gets the request.
        lead: UpstreamId,
        /// The others, which hold memory for it.
        others: Vec<UpstreamId>,
    },
    /// Free what this member holds.
    Free(UpstreamId),
    /// The group is over; the request may be tried anew.
    Failed,
}

/// How far a group is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Reserving,
    Running,
    Over,
}

/// A group of engines for one request.
#[derive(Debug, Clone)]
pub struct Group {
    request: RequestId,
    lead: UpstreamId,
    plan: BTreeMap<UpstreamId, Tokens>,
    held: BTreeSet<UpstreamId>,
    phase: Phase,
}

/// One engine that could be a member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// The engine.
    pub upstream: UpstreamId,
    /// The memory that it could give.
    pub free: Tokens,
}

impl Offer {
    /// What an engine of this memory may give, as far as it is known to be free.
    ///
    /// Never so much that the engine's other work would starve.
    #[must_use]
    pub fn new(upstream: UpstreamId, free: Tokens, memory: Tokens) -> Self {
        let [least, most] = PART.map(|part| Tokens::new(memory.get() * part / 12));
        Self {
            upstream,
            free: free.clamp(least, most),
        }
    }
}

impl Group {
    /// Plans a group for a request that needs this much memory.
    ///
    /// Takes the fewest engines, those with most to give first, and the one
    /// with most as lead; `None` if all offers together do not suffice.
    #[must_use]
    pub fn plan(request: RequestId, need: Tokens, mut offers: Vec<Offer>) -> Option<Self> {
        offers.sort_by(|a, b| {
            b.free
                .cmp(&a.free)
                .then_with(|| a.upstream.cmp(&b.upstream))
        });
        offers.truncate(MAX_GROUP_SIZE);
        let lead = offers.first()?.upstream.clone();
        let mut left = need;
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
            held: BTreeSet::new(),
            phase: Phase::Reserving,
        })
    }

    /// The request.
    #[must_use]
    pub const fn request(&self) -> &RequestId {
        &self.request
    }

    /// The engines and their parts, in the order in which they are reserved.
    pub fn members(&self) -> impl Iterator<Item = Member> {
        self.plan.iter().map(|(upstream, memory)| Member {
            upstream: upstream.clone(),
            memory: *memory,
        })
    }

    /// The engine that gets the request itself.
    #[must_use]
    pub const fn lead(&self) -> &UpstreamId {
        &self.lead
    }

    /// Memory that others than the lead hold for the request.
    #[must_use]
    pub fn memory_outside_lead(&self) -> Tokens {
        let others = self.plan.iter().filter(|(name, _)| **name != self.lead);
        others.map(|(_, memory)| *memory).sum()
    }

    /// The first step.
    #[must_use]
    pub fn start(&self) -> Vec<Step> {
        self.next()
    }

    /// A member has reserved its part.
    pub fn on_reserved(&mut self, upstream: &UpstreamId) -> Vec<Step> {
        if self.phase != Phase::Reserving || !self.plan.contains_key(upstream) {
            // It came too late: nobody waits for it any more.
            return vec![Step::Free(upstream.clone())];
        }
        self.held.insert(upstream.clone());
        if self.held.len() < self.plan.len() {
            return self.next();
        }
        self.phase = Phase::Running;
        let others = self.plan.keys().filter(|name| **name != self.lead);
        vec![Step::Run {
            lead: self.lead.clone(),
            others: others.cloned().collect(),
        }]
    }

    /// A member cannot take its part, or was lost: the rest is freed.
    pub fn on_lost(&mut self, upstream: &UpstreamId) -> Vec<Step> {
        self.held.remove(upstream);
        self.end(true)
    }

    /// The request has ended, one way or the other.
    pub fn on_ended(&mut self) -> Vec<Step> {
        self.end(false)
    }

    fn next(&self) -> Vec<Step> {
        let open = self
            .plan
            .iter()
            .find(|(name, _)| !self.held.contains(*name));
        let member = open.map(|(upstream, memory)| Member {
            upstream: upstream.clone(),
            memory: *memory,
        });
        member.map(Step::Reserve).into_iter().collect()
    }

    fn end(&mut self, failed: bool) -> Vec<Step> {
        if self.phase == Phase::Over {
            return Vec::new();
        }
        self.phase = Phase::Over;
        let held = std::mem::take(&mut self.held);
        let mut steps: Vec<_> = held.into_iter().map(Step::Free).collect();
        if failed {
            steps.push(Step::Failed);
        }
        steps
    }
}
