//! Passive health checks: an upstream's failure rate, as seen by this node and its peers.
//!
//! An upstream that fails each request immediately looks idle and would attract
//! all requests, even if it passes active health checks. Its health therefore
//! follows the outcomes of its requests, and nodes report to each other how
//! many have failed.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;

/// The weight of the newest outcome in the moving average of failures; a handful in a row make up most of it.
const OUTCOME_WEIGHT: f64 = 0.15;

/// The time in which the failure rate halves without new outcomes, so that the upstream is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// The failure rate from which an upstream gets requests only if no healthy one can take them.
const UNHEALTHY_FAILURE_RATE: f64 = 0.5;

/// The backoff after the first failure to reach an upstream.
const BASE_BACKOFF: Duration = Duration::from_millis(400);

/// The longest backoff; upstreams that crashed are back after some seconds.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// How an upstream failed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// The connection could not be established.
    Unreachable,
    /// It sent nothing within the time limit.
    Silent,
    /// The connection broke off, or the response was malformed.
    Broken,
    /// It refused the request although it seemed to have capacity.
    Refused,
    /// Another upstream that needed it as a helper could not reach it, or got no help from it.
    Absent,
    /// Another upstream listens on its address now.
    Moved,
    /// It ran the request and reported a failure.
    Failed,
}

impl Fault {
    /// The name of the fault in logs and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Refused => "refused",
            Self::Absent => "absent",
            Self::Moved => "moved",
            Self::Failed => "failed",
        }
    }

    /// Whether a broken link to the upstream would look the same.
    #[must_use]
    pub const fn may_be_link(self) -> bool {
        matches!(self, Self::Unreachable | Self::Silent | Self::Broken)
    }

    /// Whether the fault lies with the upstream itself rather than with the network path to it.
    pub(super) const fn is_own(self) -> bool {
        matches!(self, Self::Broken | Self::Failed | Self::Moved)
    }
}

#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(super) struct Health {
    failure_rate: f64,
    updated_at: Time,
    /// Failures to reach the upstream since its last success.
    reach_failures: u32,
    backoff_until: Time,
}

impl Health {
    pub(super) fn on_success(&mut self, now: Time) {
        self.on_outcomes(1, 0, now);
        self.reach_failures = 0;
        self.backoff_until = Time::ZERO;
    }

    pub(super) fn on_fault(&mut self, fault: Fault, now: Time) {
        self.on_outcomes(0, 1, now);
        if matches!(
            fault,
            Fault::Unreachable | Fault::Silent | Fault::Moved | Fault::Absent
        ) {
            // The address certainly belongs to another upstream; the entry is updated once this one is back.
            let backoff = if fault == Fault::Moved {
                MAX_BACKOFF
            } else {
                BASE_BACKOFF * (1 << self.reach_failures.min(4))
            };
            self.reach_failures += 1;
            self.backoff_until = now + backoff.min(MAX_BACKOFF);
        }
    }

    /// Ends the backoff after failures to reach the upstream.
    pub(super) const fn forget_unreachable(&mut self) {
        self.reach_failures = 0;
        self.backoff_until = Time::ZERO;
    }

    /// Adds the requests that succeeded and failed since the last report to the moving average.
    pub(super) fn on_outcomes(&mut self, succeeded: u32, failed: u32, now: Time) {
        let count = succeeded.saturating_add(failed);
        if count == 0 {
            return;
        }
        let old_weight = (1.0 - OUTCOME_WEIGHT).powf(f64::from(count));
        let latest = f64::from(failed) / f64::from(count);
        self.failure_rate = self.failure_rate(now) * old_weight + latest * (1.0 - old_weight);
        self.updated_at = now;
    }

    /// Whether it should be preferred over upstreams that fail or back off.
    pub(super) fn is_healthy(&self, now: Time) -> bool {
        now >= self.backoff_until && self.failure_rate(now) < UNHEALTHY_FAILURE_RATE
    }

    /// The share of requests that fail, as a moving average that decays without new outcomes.
    pub(super) fn failure_rate(&self, now: Time) -> f64 {
        let halvings = now.since(self.updated_at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.failure_rate * (-halvings).exp2()
    }
}
