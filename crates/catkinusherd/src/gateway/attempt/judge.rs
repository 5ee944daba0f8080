//! Decisions on an attempt: how long to wait for it, and whether to retry.

use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::directory::Delivery;
use catkinusher_core::fleet::Fault;
use catkinusher_core::id::UpstreamId;
use catkinusher_core::retry::{self, Decision, Failure, Reason};
use catkinusher_core::units::Span;
use tracing::info;

use super::{MIN_ATTEMPT_TIME, Source};
use crate::gateway::dialect::Dialect;
use crate::gateway::handle::Job;

/// The shortest response timeout, a few forward passes of a busy engine.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);

/// The response timeout as a multiple of the route's objective.
const TIMEOUT_FACTOR: u32 = 2;

/// The number of resends to one upstream that do not count as attempts, as its helpers may have failed.
const EXTRA_SENDS: u32 = 2;

/// The objective above which a prompt counts as long.
const LONG_OBJECTIVE: Duration = Duration::from_secs(1);

/// The response timeout of a long prompt.
///
/// Restarting it discards the prefill done so far, but a helper that went down
/// silently holds it up for good. Together with a lease of memory it stays below
/// the time for which memory may be set aside unused.
const LONG_RESPONSE_TIMEOUT: Duration = Duration::from_millis(5500);

impl<D> Job<D>
where
    D: Dialect,
{
    /// The number of attempts: the upstreams that the request was sent to, or more
    /// if one of them received it repeatedly.
    pub(in crate::gateway) fn attempts(&self) -> u32 {
        let upstreams = self.sent_to.len() as u32;
        self.earlier_attempts + upstreams.max(self.sends.saturating_sub(EXTRA_SENDS))
    }

    /// How long to wait for the head of a response before another upstream is tried.
    pub(in crate::gateway) fn response_timeout(&self) -> Duration {
        let left = self.time_left();
        let attempts = self.earlier_attempts + self.sent_to.len() as u32;
        if !self.is_repeatable() || attempts >= self.route.attempts {
            return left;
        }
        let objective = self.route.objective;
        let patience = match self.route.delivery {
            Delivery::Whole => objective * 3 / 2,
            Delivery::Events { .. } if objective > LONG_OBJECTIVE => LONG_RESPONSE_TIMEOUT,
            Delivery::Events { .. } => (objective * TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT),
        };
        patience.min(left)
    }

    /// Records that an upstream failed this request, and avoids it from now on.
    pub(in crate::gateway) fn record_fault(
        &mut self,
        upstream: &UpstreamId,
        address: SocketAddr,
        fault: Fault,
        detail: &str,
    ) {
        let now = self.state.now();
        // Behind a cut of its own a node learns nothing of upstreams that other nodes should hear.
        if !(self.state.is_cut_off() && fault.may_be_link()) {
            self.state.fleet().on_fault(upstream, fault, now);
        }
        self.state.metrics.on_call("upstream", fault.name());
        if !matches!(fault, Fault::Refused | Fault::Absent | Fault::Failed) {
            self.state.pool.evict(address);
        }
        if !self.avoid.contains(upstream) {
            self.avoid.push(upstream.clone());
        }
        info!(
            event = "fault",
            request = self.request_id(),
            upstream = %upstream,
            fault = fault.name(),
            detail,
            outcome = %self.history.outcome(),
        );
    }

    /// Records that the source of an answer failed this request.
    pub(in crate::gateway) fn on_source_fault(
        &mut self,
        source: &Source,
        address: SocketAddr,
        fault: Fault,
        detail: &str,
    ) {
        match source {
            Source::Upstream(upstream) => self.record_fault(upstream, address, fault, detail),
            Source::Peer => self.on_peer_fault(address, fault, detail),
        }
    }

    /// Records that the source of an answer has served this request.
    pub(in crate::gateway) fn on_source_success(&self, source: &Source) {
        if let Source::Upstream(upstream) = source {
            let now = self.state.now();
            self.state.fleet().on_success(upstream, now);
        }
    }

    /// Takes a retry from the service's budget for a request that has provably not run.
    pub(super) fn take_retry_budget(&self) -> bool {
        self.state
            .with_budget(&self.service, |policy, budget| budget.take(policy))
    }

    /// Decides on another attempt, and takes it from the service's retry budget.
    ///
    /// # Errors
    ///
    /// Why the request must not be retried.
    pub(in crate::gateway) fn authorize_retry(&self, upstream: &UpstreamId) -> Result<(), Reason> {
        self.decide_retry(upstream.as_str())
    }

    /// As [`Self::authorize_retry`], after the source of an answer has failed.
    ///
    /// # Errors
    ///
    /// Why the request must not be retried.
    pub(in crate::gateway) fn authorize_retry_after(&self, source: &Source) -> Result<(), Reason> {
        match source {
            Source::Upstream(upstream) => self.authorize_retry(upstream),
            Source::Peer => self.decide_retry("peer"),
        }
    }

    fn decide_retry(&self, failed: &str) -> Result<(), Reason> {
        let failure = Failure {
            idempotent: self.is_repeatable(),
            outcome: self.history.outcome(),
            sends: self.sends,
            delivered: false,
            attempts: self.attempts(),
            failed_upstreams: self.avoid.clone(),
            retry_after: None,
            min_attempt: Span::new(MIN_ATTEMPT_TIME),
            deadline: self.ends_at(),
        };
        let now = self.state.now();
        let decision = self.state.with_budget(&self.service, |policy, budget| {
            let policy = retry::Policy {
                attempts: self.route.attempts,
                ..policy.clone()
            };
            retry::decide(&policy, budget, &failure, now, &mut rand::rng())
        });
        match decision {
            Decision::Retry { .. } => Ok(()),
            Decision::GiveUp { reason } => {
                info!(
                    event = "give-up",
                    request = self.request_id(),
                    upstream = failed,
                    reason = ?reason,
                    sends = self.sends,
                );
                Err(reason)
            }
        }
    }
}
