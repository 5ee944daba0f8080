//! Admission control at an entry node: limits on open requests and fair shares between customers.
//!
//! A customer's share applies to the whole fleet. A single upstream sees too
//! few of a customer's requests to enforce it, whereas every node sees its
//! fraction of all of them, because the load balancer distributes callers
//! evenly. Nodes therefore mark the requests that exceed a share, and upstream
//! owners queue those behind all others. See
//! [docs/design/decisions.md](../../../../docs/design/decisions.md).

use std::collections::BTreeMap;
use std::time::Duration;

use crate::class::LengthClass;
use crate::fair::{FairShareLimiter, Meter};
use crate::id::CustomerId;
use crate::owner::{Reason, Refusal};
use crate::time::Time;
use crate::units::Tokens;

/// Retry delay reported to a customer that has reached its limit on open requests.
pub const OPEN_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Prompt tokens that an engine could prefill in the engine time used by one
/// generated token on one of its streams.
const PROMPT_TOKENS_PER_OUTPUT_TOKEN: f64 = 24.0;

/// Averaging window for the ratio of bulky to other prompts.
const MIX_WINDOW: Duration = Duration::from_mins(1);

/// Burst size of a customer's bucket for short and medium prompts, in prompt tokens.
const BUCKET_DEPTH: f64 = 100_000.0;

/// Burst size for bulky prompts, in prompt tokens; larger, because they are few.
const BULK_BUCKET_DEPTH: f64 = 250_000.0;

/// A customer's limits, as set in the inventory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CustomerLimits {
    /// Weight of its fair share relative to other customers.
    pub weight: u32,
    /// Maximum number of open requests over all nodes.
    pub limit: Option<u32>,
    /// Number of entry nodes among which callers are distributed.
    pub nodes: u32,
}

/// The size of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestSize {
    /// Length of the prompt.
    pub prompt: Tokens,
    /// Maximum length of the answer.
    pub output: Tokens,
}

impl RequestSize {
    /// Engine cost in prompt tokens: the prefill or the time that the request
    /// occupies a stream, whichever is greater.
    #[must_use]
    pub fn cost(self) -> f64 {
        let decode = self.output.get() as f64 * PROMPT_TOKENS_PER_OUTPUT_TOKEN;
        decode.max(self.prompt.get() as f64)
    }
}

/// Whether an admitted request exceeds its customer's fair share.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShareStatus {
    /// It is within the share, or there is enough capacity for all demand.
    Within,
    /// It exceeds the share and only gets leftover capacity.
    Exceeded,
}

/// Admission state for the customers of one service at one node.
#[derive(Debug, Clone)]
pub struct Admission {
    open: BTreeMap<CustomerId, u32>,
    other: FairShareLimiter,
    bulk: FairShareLimiter,
    /// Cost rates of other and bulky prompts, over a longer window because bulky prompts are few.
    mix: [Meter; 2],
}

impl Default for Admission {
    fn default() -> Self {
        Self {
            open: BTreeMap::new(),
            other: FairShareLimiter::new(BUCKET_DEPTH),
            bulk: FairShareLimiter::new(BULK_BUCKET_DEPTH),
            mix: [Meter::new(MIX_WINDOW, Time::ZERO); 2],
        }
    }
}

impl Admission {
    /// Admits a request of this size, or refuses it.
    ///
    /// `capacity` is the total prefill rate of the service's upstreams in tokens
    /// per second; 0 if it is unknown or the service is a plain one.
    ///
    /// # Errors
    ///
    /// The customer has reached its limit on open requests. The request has not
    /// run, so the outcome `not-run` holds.
    pub fn admit(
        &mut self,
        customer: &CustomerId,
        limits: CustomerLimits,
        size: RequestSize,
        capacity: f64,
        now: Time,
    ) -> Result<ShareStatus, Refusal> {
        let open = self.open.get(customer).copied().unwrap_or(0);
        if limits
            .limit
            .is_some_and(|limit| open >= per_node_limit(limit, limits.nodes))
        {
            return Err(Refusal {
                reason: Reason::OpenLimit,
                after: OPEN_LIMIT_RETRY_AFTER,
            });
        }
        *self.open.entry(customer.clone()).or_default() += 1;
        Ok(self.share_status(customer, limits, size, capacity, now))
    }

    /// Records the end of an admitted request.
    pub fn on_ended(&mut self, customer: &CustomerId) {
        let Some(open) = self.open.get_mut(customer) else {
            return;
        };
        *open = open.saturating_sub(1);
        if *open == 0 {
            self.open.remove(customer);
        }
    }

    fn share_status(
        &mut self,
        customer: &CustomerId,
        limits: CustomerLimits,
        size: RequestSize,
        capacity: f64,
        now: Time,
    ) -> ShareStatus {
        if capacity <= 0.0 {
            return ShareStatus::Within;
        }
        let node_capacity = capacity / f64::from(limits.nodes.max(1));
        let cost = size.cost();
        let bulky = LengthClass::of(size.prompt).is_bulky();
        self.mix[usize::from(bulky)].add(cost, now);
        let total = self.mix.iter().map(|rate| rate.at(now)).sum::<f64>();
        // Bulky and other prompts divide the capacity in proportion to their demand.
        let fraction = self.mix[usize::from(bulky)].at(now) / total;
        let class_capacity = node_capacity * fraction.max(MIN_FRACTION);
        let limiter = if bulky {
            &mut self.bulk
        } else {
            &mut self.other
        };
        if limiter.record(customer, limits.weight, cost, class_capacity, now) {
            ShareStatus::Within
        } else {
            ShareStatus::Exceeded
        }
    }
}

/// Minimum fraction of the capacity assigned to either kind of prompt.
const MIN_FRACTION: f64 = 0.05;

/// One node's part of a limit that applies over all nodes; at least one.
fn per_node_limit(limit: u32, nodes: u32) -> u32 {
    (limit / nodes.max(1)).max(1)
}
