//! A plain call from its claim to its last attempt.

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
use super::headers::replay;
use super::holder::Holder;
use crate::claims;
use crate::explain::Step;
use crate::forward::sink::Sink;
use crate::forward::{RequestContext, refusal_step};
use crate::front::intake::RequestBody;
use crate::permit;
use crate::poison;

/// The least time that another attempt needs.
const ATTEMPT_LEAST: Span = Span::from_millis(10);

/// What a caller is told to wait while its key is busy or the store away.
pub(super) const RETRY_AFTER: Span = Span::from_secs(1);

/// How an attempt ended.
pub(super) enum Ended {
    Whole,
    Abandoned,
    Failed {
        refusal: Refusal,
        wait: Option<Duration>,
    },
}

/// A call under way.
pub(super) struct Job {
    pub(super) context: RequestContext,
    pub(super) call: Call,
    pub(super) request_body: RequestBody,
    pub(super) trail: AttemptHistory,
    /// How many upstreams crashed under it.
    pub(super) crashes: u32,
}

impl Job {
    pub(super) fn now(&self) -> Time {
        self.context.state.timers.now()
    }

    pub(super) async fn run(mut self, mut sink: Sink) {
        let state = Arc::clone(&self.context.state);
        let deadline = self.call.ask.deadline;
        let failure = tokio::select! {
            ended = self.claimed(&mut sink) => ended.err(),
            () = state.timers.at(deadline) => Some(self.passed()),
            () = state.cut.cancelled() => Some(Refusal::StopLimit { outcome: Outcome::NotRun }),
        };
        let Some(refusal) = failure else {
            info!(request = %self.context.id, "front: done");
            self.context.record_step(Step::Done);
            return;
        };
        let refusal = self.told(refusal);
        warn!(request = %self.context.id, outcome = %refusal.outcome(), "front: failed: {refusal}");
        self.context.record_step(refusal_step(&refusal));
        sink.fail(&refusal, false).await;
    }

    fn passed(&self) -> Refusal {
        Refusal::DeadlinePassed {
            limit: self.call.limit,
            outcome: Outcome::NotRun,
        }
    }

    /// The refusal with what is known by now of whether the call ran.
    fn told(&self, refusal: Refusal) -> Refusal {
        let outcome = self.trail.outcome();
        match refusal {
            Refusal::DeadlinePassed { limit, .. } => Refusal::DeadlinePassed { limit, outcome },
            Refusal::StopLimit { .. } => Refusal::StopLimit { outcome },
            other => other.with_outcome(outcome),
        }
    }

    /// Gets the claim on the call's key if it needs one, then runs it.
    async fn claimed(&mut self, sink: &mut Sink) -> Result<(), Refusal> {
        let Some(key) = self.call.key.clone() else {
            return self.attempts(sink, None).await;
        };
        let state = Arc::clone(&self.context.state);
        let ident = KeyId::new(&self.call.ask.customer, &self.call.ask.service, &key);
        let left = Span::new(self.call.ask.left(self.now()));
        let nonce = Nonce::new(rand::random());
        let ticket = Ticket::new(ident, nonce, left, self.call.ask.deadline, self.now());
        let mut holder = Holder {
            state: Arc::clone(&state),
            ticket,
        };
        let bid = ClaimRequest {
            ident,
            body: self.print(),
            holder: state.settings.node.name.clone(),
            nonce,
            left,
            life: self.call.repeat.key_life,
        };
        let decision = claims::bid(&state, bid).await;
        info!(request = %self.context.id, ?decision, "claim: answered");
        self.context.record_step(Step::Claimed {
            decision: decision.name().to_owned(),
        });
        let settlement = holder.ticket.on_decision(&decision);
        holder.settle(settlement);
        if let Decision::Replay {
            kept:
                StoredResponse::Whole {
                    status,
                    headers,
                    body,
                },
        } = decision
        {
            sink.whole(replay(status, &headers, body));
            return Ok(());
        }
        if let Some(refusal) = decision.refusal(RETRY_AFTER) {
            return Err(refusal);
        }
        self.attempts(sink, Some(holder)).await
    }

    /// What the call is known by should an upstream crash under it.
    fn suspect_print(&self) -> Fingerprint {
        let service = self.call.ask.service.as_str().as_bytes();
        let method = self.call.parts.method.as_str().as_bytes();
        let path = self.call.path.as_bytes();
        Fingerprint::of([service, method, path, self.request_body.buffered().as_ref()])
    }

    fn print(&self) -> Fingerprint {
        let method = self.call.parts.method.as_str().as_bytes();
        let path = self.call.path.as_bytes();
        Fingerprint::of([method, path, self.request_body.buffered().as_ref()])
    }

    async fn attempts(
        &mut self,
        sink: &mut Sink,
        mut holder: Option<Holder>,
    ) -> Result<(), Refusal> {
        let state = Arc::clone(&self.context.state);
        let mut suspects: Vec<UpstreamId> = Vec::new();
        let mut attempts = 0;
        let service = self.call.ask.service.clone();
        let print = self.suspect_print();
        state.with_retries(&service, |policy, budget| budget.on_new_request(policy));
        loop {
            attempts += 1;
            let terms = poison::terms(&state, print, self.crashes > 0)?;
            let lease = permit::acquire(&state, &self.call.ask, terms, &suspects);
            let lease = tokio::select! {
                lease = lease => lease.map_err(|refusal| self.trail.refusal_after_attempts(refusal))?,
                () = sink.gone() => return Ok(()),
            };
            let upstream = lease.upstream.clone();
            suspects.push(upstream.clone());
            let (refusal, wait) = match self.attempt(lease, sink, &mut holder).await {
                Ended::Whole => {
                    poison::on_finish(&state, terms);
                    return Ok(());
                }
                Ended::Abandoned => return Ok(()),
                Ended::Failed { refusal, wait } => (refusal, wait),
            };
            self.context.record_step(Step::Failed {
                upstream,
                reason: refusal.to_string(),
            });
            if !self.request_body.can_send() || self.crashes >= poison::CRASHES {
                return Err(refusal);
            }
            let failure = Failure {
                idempotent: self.call.repeat.idempotent,
                outcome: self.trail.outcome(),
                sends: self.trail.sends(),
                delivered: sink.is_open(),
                attempts,
                failed_upstreams: suspects.clone(),
                retry_after: wait.map(Span::new),
                min_attempt: ATTEMPT_LEAST,
                deadline: self.call.ask.deadline,
            };
            self.context
                .wait_for_retry(&service, &failure, refusal)
                .await?;
        }
    }
}
