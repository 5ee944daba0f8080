//! What an entry node lets in: open limits and fair shares between customers.
//!
//! A customer's share is of the whole fleet, and an upstream sees too few of a
//! customer's requests to judge; a node sees its part of all of them, for the
//! balancer spreads callers. So nodes mark what lies beyond a share, and
//! owners put it behind all else. See
//! [docs/design/decisions.md](../../../../docs/design/decisions.md).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::class::LengthClass;
use crate::fair::{FairShareLimiter, Meter};
use crate::id::CustomerId;
use crate::owner::{Reason, Refusal};
use crate::time::Time;
use crate::units::Tokens;

/// How long a customer at its open limit is told to wait.
pub const RETRY: Duration = Duration::from_secs(1);

/// Prompt tokens that an engine prefills in the part of its time that one
/// generated token takes of one of its streams.
const STREAM_COST: f64 = 24.0;

/// The time over which the mix of long and other prompts is averaged.
const MIX_WINDOW: Duration = Duration::from_mins(1);

/// What a customer may ask for at once, in prompt tokens, of ordinary prompts.
const DEPTH: f64 = 100_000.0;

/// The same of long prompts, which are few.
const BULK_DEPTH: f64 = 250_000.0;

/// What a customer may do, from the inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerLimits {
    /// Its share against others.
    pub weight: u32,
    /// The most requests open over all nodes.
    pub limit: Option<u32>,
    /// How many entry nodes share the callers.
    pub nodes: u32,
}

/// How large a request is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSize {
    /// Its prompt.
    pub prompt: Tokens,
    /// The most tokens of its answer.
    pub output: Tokens,
}

impl RequestSize {
    /// What it takes of an engine, in prompt tokens: the greater of its prefill
    /// and of the time that it holds one of the streams.
    #[must_use]
    pub fn cost(self) -> f64 {
        let held = self.output.get() as f64 * STREAM_COST;
        held.max(self.prompt.get() as f64)
    }
}

/// How an admitted request stands to its customer's share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareStatus {
    /// Within it, or there is enough for all.
    Within,
    /// Beyond it: it gets what is left.
    Exceeded,
}

/// The customers of one service, as one node sees them.
#[derive(Debug, Clone)]
pub struct Admission {
    open: BTreeMap<CustomerId, u32>,
    rest: FairShareLimiter,
    bulk: FairShareLimiter,
    /// What either asks for, over a longer time, for long prompts are few.
    mix: [Meter; 2],
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            open: BTreeMap::new(),
            rest: FairShareLimiter::new(DEPTH),
            bulk: FairShareLimiter::new(BULK_DEPTH),
            mix: [Meter::new(MIX_WINDOW, Time::ZERO); 2],
        }
    }
}

impl Admission {
    /// Lets a request of this size in, or says why not.
    ///
    /// `capacity` is what the service's upstreams prefill a second, all together;
    /// 0 if nothing is known of it, or the service is a plain one.
    ///
    /// # Errors
    ///
    /// The customer has its limit of requests open; true as `not-run`.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        terms: CustomerLimits,
        size: RequestSize,
        capacity: f64,
        now: Time,
    ) -> Result<ShareStatus, Refusal> {
        let open = self.open.get(customer).copied().unwrap_or(0);
        if terms
            .limit
            .is_some_and(|limit| open >= part_of(limit, terms.nodes))
        {
            return Err(Refusal {
                reason: Reason::OpenLimit,
                after: RETRY,
            });
        }
        *self.open.entry(customer.clone()).or_default() += 1;
        Ok(self.standing(customer, terms, size, capacity, now))
    }

    /// Notes that an admitted request has ended.
    pub fn on_ended(&mut self, customer: &CustomerId) {
        let Some(open) = self.open.get_mut(customer) else {
            return;
        };
        *open = open.saturating_sub(1);
        if *open == 0 {
            self.open.remove(customer);
        }
    }

    fn standing(
        &mut self,
        customer: &CustomerId,
        terms: CustomerLimits,
        size: RequestSize,
        capacity: f64,
        now: Time,
    ) -> ShareStatus {
        if capacity <= 0.0 {
            return ShareStatus::Within;
        }
        let mine = capacity / f64::from(terms.nodes.max(1));
        let cost = size.cost();
        let bulky = LengthClass::of(size.prompt).is_bulky();
        self.mix[usize::from(bulky)].add(cost, now);
        let all = self.mix.iter().map(|part| part.at(now)).sum::<f64>();
        // Long and other prompts divide the capacity as they are asked for.
        let part = self.mix[usize::from(bulky)].at(now) / all;
        let part = mine * part.max(LEAST_PART);
        let demand = if bulky {
            &mut self.bulk
        } else {
            &mut self.rest
        };
        if demand.record(customer, terms.weight, cost, part, now) {
            ShareStatus::Within
        } else {
            ShareStatus::Exceeded
        }
    }
}

/// The least part of the capacity that either kind of prompt is taken to have.
const LEAST_PART: f64 = 0.05;

/// One node's part of a limit that holds over all nodes; at least one.
fn part_of(limit: u32, nodes: u32) -> u32 {
    (limit / nodes.max(1)).max(1)
}
