//! A plain call, from claiming its idempotency key to its last attempt.

use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::claim::{ClaimRequest, Decision, KeyId, Nonce, StoredResponse, Ticket};
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::id::UpstreamId;
use catkinusher_core::outcome::{AttemptHistory, Outcome, Refusal};
use catkinusher_core::retry::Failure;
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use tracing::{info, warn};

use super::Call;
use super::headers::replay_response;
use super::holder::TicketGuard;
use crate::claims;
use crate::explain::Step;
use crate::forward::sink::ResponseSink;
use crate::forward::{RequestContext, refusal_step};
use crate::front::intake::RequestBody;
use crate::permit;
use crate::poison;

/// The least time before the deadline in which another attempt is worthwhile.
const MIN_ATTEMPT_TIME: Span = Span::from_millis(10);

/// The `Retry-After` while a key is busy or the store is unavailable.
pub(super) const RETRY_AFTER: Span = Span::from_secs(1);

/// How an attempt ended.
pub(super) enum AttemptResult {
    Completed,
    CallerGone,
    Failed {
        refusal: Refusal,
        retry_after: Option<Duration>,
    },
}

/// A call in progress.
pub(super) struct Job {
    pub(super) context: RequestContext,
    pub(super) call: Call,
    pub(super) request_body: RequestBody,
    pub(super) history: AttemptHistory,
    /// How many upstreams crashed while running it.
    pub(super) crashes: u32,
}

impl Job {
    pub(super) fn now(&self) -> Time {
        self.context.state.timers.now()
    }

    pub(super) async fn run(mut self, mut sink: ResponseSink) {
        let state = Arc::clone(&self.context.state);
        let deadline = self.call.ask.deadline;
        let failure = tokio::select! {
            // No attempt begins once the requests are aborted.
            biased;
            () = state.abort_requests.cancelled() => Some(Refusal::StopLimit { outcome: Outcome::NotRun }),
            ended = self.claim_and_run(&mut sink) => ended.err(),
            () = state.timers.at(deadline) => Some(self.deadline_passed()),
        };
        let Some(refusal) = failure else {
            info!(request = %self.context.id, "front: done");
            self.context.record_step(Step::Done);
            return;
        };
        let refusal = self.with_current_outcome(refusal);
        warn!(request = %self.context.id, outcome = %refusal.outcome(), "front: failed: {refusal}");
        self.context.record_step(refusal_step(&refusal));
        sink.fail(&refusal, false).await;
    }

    fn deadline_passed(&self) -> Refusal {
        Refusal::DeadlinePassed {
            limit: self.call.timeout,
            outcome: Outcome::NotRun,
        }
    }

    /// The refusal with the current knowledge of whether the call ran.
    fn with_current_outcome(&self, refusal: Refusal) -> Refusal {
        let outcome = self.history.outcome();
        match refusal {
            Refusal::DeadlinePassed { limit, .. } => Refusal::DeadlinePassed { limit, outcome },
            Refusal::StopLimit { .. } => Refusal::StopLimit { outcome },
            other => other.with_outcome(outcome),
        }
    }

    /// Claims the call's idempotency key if it has one, then runs the call.
    async fn claim_and_run(&mut self, sink: &mut ResponseSink) -> Result<(), Refusal> {
        let Some(key) = self.call.key.clone() else {
            return self.attempts(sink, None).await;
        };
        let state = Arc::clone(&self.context.state);
        let ident = KeyId::new(&self.call.ask.customer, &self.call.ask.service, &key);
        let left = Span::new(self.call.ask.left(self.now()));
        let nonce = Nonce::new(rand::random());
        let ticket = Ticket::new(ident, nonce, left, self.call.ask.deadline, self.now());
        let mut ticket_guard = TicketGuard {
            state: Arc::clone(&state),
            ticket,
        };
        let claim_request = ClaimRequest {
            ident,
            body: self.request_fingerprint(),
            holder: state.settings.node.name.clone(),
            nonce,
            left,
            life: self.call.repeat.key_life,
        };
        let decision = claims::request_claim(&state, claim_request).await;
        info!(request = %self.context.id, ?decision, "claim: decision received");
        self.context.record_step(Step::Claimed {
            decision: decision.name().to_owned(),
        });
        let settlement = ticket_guard.ticket.on_decision(&decision);
        ticket_guard.settle(settlement);
        if let Decision::Replay {
            kept:
                StoredResponse::Whole {
                    status,
                    headers,
                    body,
                },
        } = decision
        {
            sink.send_full(replay_response(status, &headers, body));
            return Ok(());
        }
        if let Some(refusal) = decision.refusal(RETRY_AFTER) {
            return Err(refusal);
        }
        self.attempts(sink, Some(ticket_guard)).await
    }

    /// Identifies the call in the quarantine if an upstream crashes while running it.
    fn crash_fingerprint(&self) -> Fingerprint {
        let service = self.call.ask.service.as_str().as_bytes();
        let method = self.call.parts.method.as_str().as_bytes();
        let path = self.call.path.as_bytes();
        Fingerprint::of([service, method, path, self.request_body.buffered().as_ref()])
    }

    fn request_fingerprint(&self) -> Fingerprint {
        let method = self.call.parts.method.as_str().as_bytes();
        let path = self.call.path.as_bytes();
        Fingerprint::of([method, path, self.request_body.buffered().as_ref()])
    }

    async fn attempts(
        &mut self,
        sink: &mut ResponseSink,
        mut ticket_guard: Option<TicketGuard>,
    ) -> Result<(), Refusal> {
        let state = Arc::clone(&self.context.state);
        let mut failed_upstreams: Vec<UpstreamId> = Vec::new();
        let mut attempts = 0;
        let service = self.call.ask.service.clone();
        let fingerprint = self.crash_fingerprint();
        state.with_retries(&service, |policy, budget| budget.on_new_request(policy));
        loop {
            attempts += 1;
            let run_options = poison::run_options(&state, fingerprint, self.crashes > 0)?;
            let lease = permit::acquire(&state, &self.call.ask, run_options, &failed_upstreams);
            let lease = tokio::select! {
                lease = lease => lease.map_err(|refusal| self.history.refusal_after_attempts(refusal))?,
                () = sink.caller_gone() => return Ok(()),
            };
            let upstream = lease.upstream.clone();
            failed_upstreams.push(upstream.clone());
            let (refusal, retry_after) = match self.attempt(lease, sink, &mut ticket_guard).await {
                AttemptResult::Completed => {
                    poison::on_finish(&state, run_options);
                    return Ok(());
                }
                AttemptResult::CallerGone => return Ok(()),
                AttemptResult::Failed {
                    refusal,
                    retry_after,
                } => (refusal, retry_after),
            };
            self.context.record_step(Step::Failed {
                upstream,
                reason: refusal.to_string(),
            });
            if !self.request_body.can_send() || self.crashes >= poison::MAX_CRASHES {
                return Err(refusal);
            }
            let failure = Failure {
                idempotent: self.call.repeat.idempotent,
                outcome: self.history.outcome(),
                sends: self.history.sends(),
                delivered: sink.is_head_sent(),
                attempts,
                failed_upstreams: failed_upstreams.clone(),
                retry_after: retry_after.map(Span::new),
                min_attempt: MIN_ATTEMPT_TIME,
                deadline: self.call.ask.deadline,
            };
            self.context
                .wait_for_retry(&service, &failure, refusal)
                .await?;
        }
    }
}
