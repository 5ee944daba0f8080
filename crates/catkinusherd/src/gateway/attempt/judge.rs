//! Judging an attempt: how long to wait for it, and whether another follows.

use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::directory::Delivery;
use catkinusher_core::fleet::Fault;
use catkinusher_core::id::UpstreamId;
use catkinusher_core::retry::{self, Decision, Failure, Reason};
use catkinusher_core::units::Span;
use tracing::info;

use super::LEAST_TIME;
use crate::gateway::dialect::Dialect;
use crate::gateway::handle::Job;

/// The least time after which a silent upstream is taken for lost, a few passes of a busy engine.
const LEAST_SILENCE: Duration = Duration::from_millis(1200);

/// The multiple of the objective after which a silent upstream is taken for lost.
const SILENCE: u32 = 2;

/// The sends beyond the first that one upstream may get while its helpers fail.
const REPEATS: u32 = 2;

/// The objective above which a prompt is not started anew for silence; keep-alive probes find dead upstreams sooner.
const LONG_OBJECTIVE: Duration = Duration::from_secs(1);

impl<D> Job<D>
where
    D: Dialect,
{
    /// The upstreams it was sent to, or more if one got it again and again.
    fn attempts(&self) -> u32 {
        let upstreams = self.sent.len() as u32;
        upstreams.max(self.sends.saturating_sub(REPEATS))
    }

    /// How long an upstream may be silent before another is tried.
    pub(super) fn silence(&self) -> Duration {
        let left = self.left();
        if !self.repeats() || self.sent.len() >= self.route.attempts as usize {
            return left;
        }
        let objective = self.route.objective;
        let patience = match self.route.delivery {
            Delivery::Whole => objective * 3 / 2,
            // A long prompt that starts anew loses all that was read of it.
            Delivery::Events { .. } if objective > LONG_OBJECTIVE => return left,
            Delivery::Events { .. } => (objective * SILENCE).max(LEAST_SILENCE),
        };
        patience.min(left)
    }

    /// Notes that an upstream failed this request.
    pub(in crate::gateway) fn fail(
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
            self.state.pool.forget(address);
        }
        if !self.avoid.contains(upstream) {
            self.avoid.push(upstream.clone());
        }
        info!(
            event = "fault",
            request = self.name(),
            upstream = %upstream,
            fault = fault.name(),
            detail,
            outcome = %self.trail.outcome(),
        );
    }

    /// Takes another upstream for a request that has provably not run off the service's budget.
    pub(super) fn affords_detour(&self) -> bool {
        self.state
            .with_budget(&self.service, |policy, budget| budget.take(policy))
    }

    /// Decides on another attempt, and takes it off the service's budget.
    pub(in crate::gateway) fn again(&self, upstream: &UpstreamId) -> Result<(), Reason> {
        let failure = Failure {
            idempotent: self.repeats(),
            outcome: self.trail.outcome(),
            sends: self.sends,
            delivered: false,
            attempts: self.attempts(),
            failed_upstreams: self.avoid.clone(),
            retry_after: None,
            min_attempt: Span::new(LEAST_TIME),
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
                    request = self.name(),
                    upstream = %upstream,
                    reason = ?reason,
                    sends = self.sends,
                );
                Err(reason)
            }
        }
    }
}
