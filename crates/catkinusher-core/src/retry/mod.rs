//! Whether and when a failed attempt is tried again.
//!
//! Retries multiply load exactly when upstreams are weak, so each service has
//! a [`Budget`] that only fresh traffic fills.

mod budget;

use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

pub use self::budget::Budget;
use crate::id::UpstreamId;
use crate::outcome::Outcome;
use crate::time::Time;
use crate::units::Span;

/// How retries of a service are held back.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// Retries earned by one fresh request.
    pub share: f64,
    /// The most retries that can be saved up.
    pub burst: f64,
    /// The longest wait before the first retry.
    pub base: Span,
    /// The longest wait before any retry.
    pub cap: Span,
    /// The most attempts of one request, the first one counted.
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

/// What is known of a request when an attempt has failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Failure {
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// What its [`AttemptHistory`](crate::outcome::AttemptHistory) proves.
    pub outcome: Outcome,
    /// How often its bytes were handed to a connection.
    pub sends: u32,
    /// Whether a byte of an answer reached the caller.
    pub delivered: bool,
    /// The attempts so far.
    pub attempts: u32,
    /// The upstreams that failed it, oldest first.
    #[serde(rename = "suspects")]
    pub failed_upstreams: Vec<UpstreamId>,
    /// The wait that the upstream asked for.
    #[serde(rename = "wait")]
    pub retry_after: Option<Span>,
    /// How long an attempt takes at the least.
    #[serde(rename = "needs")]
    pub min_attempt: Span,
    /// When the request must have ended.
    pub deadline: Time,
}

/// What to do with a request whose attempt has failed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Decision {
    /// Try again.
    Retry {
        /// When.
        at: Time,
        /// The upstreams not to use.
        avoid: Vec<UpstreamId>,
    },
    /// Fail the request.
    GiveUp {
        /// Why.
        reason: Reason,
    },
}

/// Why a request is not tried again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// It is non-idempotent and was sent once.
    SentOnce,
    /// The caller has part of an answer that another run would not continue.
    Delivered,
    /// It had all its attempts.
    Attempts,
    /// Another attempt would not end before the deadline.
    Deadline,
    /// The service has no retries left.
    Budget,
}

/// Decides whether an attempt is followed by another, and takes it off the budget.
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
    if let Some(reason) = forbidden(policy, failure) {
        return Decision::GiveUp { reason };
    }
    let at = now + wait(policy, failure, rng);
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

fn forbidden(policy: &Policy, failure: &Failure) -> Option<Reason> {
    if !failure.idempotent && (failure.sends > 0 || failure.outcome != Outcome::NotRun) {
        return Some(Reason::SentOnce);
    }
    if failure.delivered {
        return Some(Reason::Delivered);
    }
    (failure.attempts >= policy.attempts).then_some(Reason::Attempts)
}

// Full jitter: callers that failed together do not come back together.
fn wait<R>(policy: &Policy, failure: &Failure, rng: &mut R) -> Duration
where
    R: Rng,
{
    let doublings = failure.attempts.saturating_sub(1).min(16);
    let most = policy.base.get() * (1 << doublings);
    let most = most.min(policy.cap.get()).as_micros() as u64;
    let jitter = Duration::from_micros(rng.random_range(0..=most));
    failure
        .retry_after
        .map_or(jitter, |asked| asked.get() + jitter)
}
