//! Decides whether and when a failed attempt is retried.
//!
//! Retries multiply load exactly when upstreams are overloaded, so each service
//! has a [`Budget`] that only new requests refill.

mod budget;

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

pub use self::budget::Budget;
use crate::id::UpstreamId;
use crate::outcome::Outcome;
use crate::time::Time;
use crate::units::Span;

/// The retry limits of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Retries earned by one new request.
    pub share: f64,
    /// The maximum number of retries in the budget.
    pub burst: f64,
    /// The maximum delay before the first retry; it doubles with each attempt.
    pub base: Span,
    /// The maximum delay before any retry.
    pub cap: Span,
    /// The maximum number of attempts per request, the first one included.
    pub attempts: u32,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            share: 0.1,
            burst: 20.0,
            base: Span::from_millis(25),
            cap: Span::from_secs(2),
            attempts: 4,
        }
    }
}

/// The state of a request after a failed attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// What its [`AttemptHistory`](crate::outcome::AttemptHistory) proves.
    pub outcome: Outcome,
    /// How often its bytes were written to a connection.
    pub sends: u32,
    /// Whether the caller received any byte of a response.
    pub delivered: bool,
    /// The number of attempts so far.
    pub attempts: u32,
    /// The upstreams that failed it, oldest first.
    #[serde(rename = "suspects")]
    pub failed_upstreams: Vec<UpstreamId>,
    /// The delay that the upstream asked for.
    #[serde(rename = "wait")]
    pub retry_after: Option<Span>,
    /// The minimum duration of an attempt.
    #[serde(rename = "needs")]
    pub min_attempt: Span,
    /// The deadline of the request.
    pub deadline: Time,
}

/// What to do with a request whose attempt has failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Retry the request.
    Retry {
        /// When to retry.
        at: Time,
        /// The upstreams to avoid.
        avoid: Vec<UpstreamId>,
    },
    /// Fail the request.
    GiveUp {
        /// Why the request is not retried.
        reason: Reason,
    },
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// The request is not idempotent and was already sent.
    SentOnce,
    /// The caller received part of a response, which another run would not continue.
    Delivered,
    /// All attempts are used up.
    Attempts,
    /// Another attempt would not finish before the deadline.
    Deadline,
    /// The retry budget of the service is exhausted.
    Budget,
}

/// Decides whether a failed attempt is retried, and charges a retry to the budget.
pub fn decide<R>(
    policy: &Policy,
    budget: &mut Budget,
    failure: &Failure,
    now: Time,
    rng: &mut R,
) -> Decision
where
    R: Rng,
{
    if let Some(reason) = give_up_reason(policy, failure) {
        return Decision::GiveUp { reason };
    }
    let at = now + retry_delay(policy, failure, rng);
    if at + failure.min_attempt.get() >= failure.deadline {
        let reason = Reason::Deadline;
        return Decision::GiveUp { reason };
    }
    if !budget.take(policy) {
        let reason = Reason::Budget;
        return Decision::GiveUp { reason };
    }
    let avoid = failure.failed_upstreams.clone();
    Decision::Retry { at, avoid }
}

fn give_up_reason(policy: &Policy, failure: &Failure) -> Option<Reason> {
    if !failure.idempotent && (failure.sends > 0 || failure.outcome != Outcome::NotRun) {
        return Some(Reason::SentOnce);
    }
    if failure.delivered {
        return Some(Reason::Delivered);
    }
    (failure.attempts >= policy.attempts).then_some(Reason::Attempts)
}

// Full jitter, so that requests that failed together are not retried together.
fn retry_delay<R>(policy: &Policy, failure: &Failure, rng: &mut R) -> Duration
where
    R: Rng,
{
    let doublings = failure.attempts.saturating_sub(1).min(16);
    let max_wait = policy.base.get() * (1 << doublings);
    let max_wait = max_wait.min(policy.cap.get()).as_micros() as u64;
    let jitter = Duration::from_micros(rng.random_range(0..=max_wait));
    failure
        .retry_after
        .map_or(jitter, |requested| requested.get() + jitter)
}
