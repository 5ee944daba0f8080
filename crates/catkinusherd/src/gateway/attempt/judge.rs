//! Judging an attempt: how long to wait for it, and whether another follows.

use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::directory::Delivery;
use catkinusher_core::fleet::Fault;
use catkinusher_core::id::UpstreamId;
use catkinusher_core::retry::{self, Decision, Failure, Reason};
use catkinusher_core::units::Span;
use tracing::info;

use super::MIN_ATTEMPT_TIME;
use crate::gateway::dialect::Dialect;
use crate::gateway::handle::Job;

/// The least time after which a silent upstream is taken for lost, a few passes of a busy engine.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(1200);

/// The multiple of the objective after which a silent upstream is taken for lost.
const TIMEOUT_FACTOR: u32 = 2;

/// The sends beyond the first that one upstream may get while its helpers fail.
const EXTRA_SENDS: u32 = 2;

/// The objective above which a prompt is not started anew for silence; keep-alive probes find dead upstreams sooner.
const LONG_OBJECTIVE: Duration = Duration::from_secs(1);

impl<D> Job<D>
where
    D: Dialect,
{
    /// The upstreams it was sent to, or more if one got it again and again.
    fn attempts(&self) -> u32 {
        let upstreams = self.sent_to.len() as u32;
        upstreams.max(self.sends.saturating_sub(EXTRA_SENDS))
    }

    /// How long an upstream may be silent before another is tried.
    pub(super) fn response_timeout(&self) -> Duration {
        let left = self.time_left();
        if !self.is_repeatable() || self.sent_to.len() >= self.route.attempts as usize {
            return left;
        }
        let objective = self.route.objective;
        let patience = match self.route.delivery {
            Delivery::Whole => objective * 3 / 2,
            // A long prompt that starts anew loses all that was read of it.
            Delivery::Events { .. } if objective > LONG_OBJECTIVE => return left,
            Delivery::Events { .. } => (objective * TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT),
        };
        patience.min(left)
    }

    /// Notes that an upstream failed this request.
    pub(in crate::gateway) fn record_fault(
        &mut self,
        upstream: &UpstreamId,
        address: SocketAddr,
        fault: Fault,
        detail: &str,
    ) {
        let now = self.state.now();
        self.state.fleet().on_fault(upstream, fault, now);
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

    /// Takes another upstream for a request that has provably not run off the service's budget.
    pub(super) fn take_retry_budget(&self) -> bool {
        self.state
            .with_budget(&self.service, |policy, budget| budget.take(policy))
    }

    /// Decides on another attempt, and takes it off the service's budget.
    pub(in crate::gateway) fn authorize_retry(&self, upstream: &UpstreamId) -> Result<(), Reason> {
        let failure = Failure {
            idempotent: self.is_repeatable(),
            outcome: self.history.outcome(),
            sends: self.sends,
            delivered: false,
            attempts: self.attempts(),
            failed_upstreams: self.avoid.clone(),
            retry_after: None,
            min_attempt: Span::new(MIN_ATTEMPT_TIME),
            deadline: self.deadline,
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
                    upstream = %upstream,
                    reason = ?reason,
                    sends = self.sends,
                );
                Err(reason)
            }
        }
    }
}
