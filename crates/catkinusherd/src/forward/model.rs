//! Completion requests, from reading the body to the last token.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::admission::RequestSize;
use catkinusher_core::ask::{Ask, Role};
use catkinusher_core::cache::PrefixHasher;
use catkinusher_core::catalog::Repeat;
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::id::{ModelId, UpstreamId};
use catkinusher_core::outcome::{AttemptHistory, Evidence, Outcome, Refusal};
use catkinusher_core::owner::RunOptions;
use catkinusher_core::retry::Failure;
use catkinusher_core::time::Time;
use catkinusher_core::units::{Bytes as ByteCount, Span, Tokens};
use http::{Request, Response};
use hyper::body::Incoming;
use tracing::{info, warn};

use super::admit::AdmissionGuard;
use super::attempt::{Attempt, AttemptResult};
use super::group::{self, Leases, OtherMembers};
use super::sink::ResponseSink;
use super::{RequestContext, refusal_step};
use crate::explain::Step;
use crate::front::fields::{self, Fields};
use crate::front::head;
use crate::front::intake::RequestBody;
use crate::front::reply::ResponseBody;
use crate::front::route::allowed;
use crate::permit;
use crate::poison;
use crate::router::DEFAULT_OUTPUT_TOKENS;

/// The least time before the deadline in which another attempt is worthwhile.
const MIN_ATTEMPT_TIME: Span = Span::from_millis(50);

/// The cap of a request's output tokens.
const MAX_OUTPUT_TOKENS: u64 = 131_072;

/// Serves a completion: buffers what routing needs of the body, then runs attempts in a task.
///
/// # Errors
///
/// A refusal if the request is rejected before its first attempt.
pub async fn serve(
    context: RequestContext,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Refusal> {
    let (parts, body) = request.into_parts();
    let request_body = context.read_body(body).await?;
    let buffered = request_body.buffered();
    let fields = fields::read(&buffered, request_body.is_fully_buffered()).map_err(|error| {
        Refusal::BadBody {
            detail: error.to_string(),
        }
    })?;
    let job = Job::new(context, &parts, request_body, &fields, &buffered)?;
    let (sink, response) = ResponseSink::new(job.ask.request.clone(), idle_limit(&job));
    tokio::spawn(job.run(sink));
    // The job sends a response on every path; the receiver fails only if the job panics.
    response.await.map_err(|_panicked| Refusal::UpstreamFailed {
        detail: "the request broke off inside the node".to_owned(),
        outcome: Outcome::MayHaveRun,
    })
}

fn idle_limit(job: &Job) -> Duration {
    job.context.state.settings.limits.idle.get()
}

/// A completion in progress.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) context: RequestContext,
    _admission: AdmissionGuard,
    pub(super) ask: Ask,
    pub(super) path: String,
    pub(super) request_body: RequestBody,
    pub(super) history: AttemptHistory,
    pub(super) fingerprint: Fingerprint,
    /// How many upstreams crashed while running it.
    pub(super) crashes: u32,
    model: ModelId,
    repeat: Repeat,
    timeout: Span,
    started: Time,
}

impl Job {
    fn new(
        context: RequestContext,
        parts: &http::request::Parts,
        request_body: RequestBody,
        fields: &Fields,
        buffered: &Bytes,
    ) -> Result<Self, Refusal> {
        let name = fields.model.as_deref().unwrap_or_default();
        let unknown = || Refusal::UnknownModel {
            model: name.to_owned(),
        };
        let service = context.catalog.service_of_model(name).ok_or_else(unknown)?;
        let model: ModelId = name.parse().map_err(|_bad_name| unknown())?;
        if !allowed(&context.customer, service) {
            return Err(Refusal::Forbidden {
                service: service.name.clone(),
            });
        }
        let timeout = head::timeout(&parts.headers, service.timeout, service.timeout_cap)?;
        let path = parts.uri.path().to_owned();
        let repeat = context.catalog.repeat(service, "POST", &path);
        let now = context.state.timers.now();
        let prompt = context.estimate(&model, request_body.length());
        let size = RequestSize {
            prompt,
            output: output(fields),
        };
        let admission = AdmissionGuard::new(&context, service, size)?;
        let ask = Ask {
            request: context.id.clone(),
            customer: context.customer.name.clone(),
            weight: context.customer.weight.max(1),
            service: service.name.clone(),
            model: Some(model.clone()),
            prompt,
            output: size.output,
            prefix: prefix(name, buffered),
            role: Role::Whole,
            excess: admission.excess,
            patience: None,
            deadline: now + timeout,
        };
        let length = request_body.length().to_be_bytes();
        let fingerprint = Fingerprint::of([path.as_bytes(), &length, buffered.as_ref()]);
        Ok(Self {
            context,
            _admission: admission,
            ask,
            path,
            request_body,
            history: AttemptHistory::new(),
            fingerprint,
            crashes: 0,
            model,
            repeat,
            timeout: Span::new(timeout),
            started: now,
        })
    }

    /// Runs attempts until the response is complete, the deadline passes, the node stops or the caller disconnects.
    async fn run(mut self, mut sink: ResponseSink) {
        let state = Arc::clone(&self.context.state);
        let deadline = self.ask.deadline;
        let failure = tokio::select! {
            // No attempt begins once the requests are aborted.
            biased;
            () = state.abort_requests.cancelled() => None,
            ended = self.attempts(&mut sink) => ended.err(),
            () = state.timers.at(deadline) => None,
        };
        match failure {
            Some(refusal) => {
                let refusal = refusal.with_outcome(self.history.outcome());
                warn!(request = %self.ask.request, outcome = %self.history.outcome(), "front: failed: {refusal}");
                self.context.record_step(refusal_step(&refusal));
                sink.fail(&refusal, true).await;
            }
            None if sink.is_ended() => {
                let took = state.timers.now().since(self.started);
                self.context.record_step(Step::Done);
                state.metrics.time("front.took", took);
                info!(request = %self.ask.request, took_ms = took.as_millis() as u64, "front: done");
            }
            None => sink.fail(&self.interruption(), true).await,
        }
    }

    fn interruption(&self) -> Refusal {
        let outcome = self.history.outcome();
        let refusal = if self.context.state.abort_requests.is_cancelled() {
            Refusal::StopLimit { outcome }
        } else {
            Refusal::DeadlinePassed {
                limit: self.timeout,
                outcome,
            }
        };
        warn!(request = %self.ask.request, %outcome, "front: failed: {refusal}");
        self.context.record_step(refusal_step(&refusal));
        refusal
    }

    async fn attempts(&mut self, sink: &mut ResponseSink) -> Result<(), Refusal> {
        let mut failed_upstreams: Vec<UpstreamId> = Vec::new();
        let mut attempts = 0;
        let service = self.ask.service.clone();
        self.context
            .state
            .with_retries(&service, |policy, budget| budget.on_new_request(policy));
        loop {
            attempts += 1;
            let run_options =
                poison::run_options(&self.context.state, self.fingerprint, self.crashes > 0)
                    .map_err(|refusal| self.history.refusal_after_attempts(refusal))?;
            let leases = self.acquire(run_options, &failed_upstreams);
            let Leases { lead, others } = tokio::select! {
                leases = leases => leases.map_err(|refusal| self.history.refusal_after_attempts(refusal))?,
                () = sink.caller_gone() => {
                    self.on_caller_gone(sink);
                    return Ok(());
                }
            };
            let upstream = lead.upstream.clone();
            let ended = Attempt::new(self, lead, others.addresses()).run(sink).await;
            drop(others);
            let (refusal, retry_after) = match ended {
                AttemptResult::Completed => {
                    poison::on_finish(&self.context.state, run_options);
                    return Ok(());
                }
                AttemptResult::CallerGone => {
                    self.on_caller_gone(sink);
                    return Ok(());
                }
                AttemptResult::Failed {
                    refusal,
                    retry_after,
                } => (refusal, retry_after),
            };
            failed_upstreams.push(upstream);
            if !self.request_body.can_send() || self.crashes >= poison::MAX_CRASHES {
                return Err(refusal);
            }
            let failure = Failure {
                idempotent: self.repeat.idempotent,
                outcome: self.history.outcome(),
                sends: self.history.sends(),
                delivered: sink.is_head_sent(),
                attempts,
                failed_upstreams: failed_upstreams.clone(),
                retry_after: retry_after.map(Span::new),
                min_attempt: MIN_ATTEMPT_TIME,
                deadline: self.ask.deadline,
            };
            self.context
                .wait_for_retry(&self.ask.service, &failure, refusal)
                .await?;
        }
    }

    /// Acquires the permit of one engine, or those of a group if the request doesn't fit into one engine's memory.
    async fn acquire(
        &self,
        run_options: RunOptions,
        avoid: &[UpstreamId],
    ) -> Result<Leases, Refusal> {
        let state = &self.context.state;
        let service = self.context.catalog.service(self.ask.service.as_str());
        let engine = service.and_then(|service| service.engine.as_ref());
        if let Some(engine) = engine.filter(|engine| group::is_needed(&self.ask, engine)) {
            return group::acquire(state, &self.ask, engine, run_options, avoid).await;
        }
        let lead = permit::acquire(state, &self.ask, run_options, avoid).await?;
        let others = OtherMembers::default();
        Ok(Leases { lead, others })
    }

    fn on_caller_gone(&self, sink: &mut ResponseSink) {
        info!(request = %self.ask.request, "front: caller disconnected");
        sink.finish();
    }

    /// Updates the token estimator with the engine's count.
    pub(super) fn on_usage(&self, usage: &catkinusher_upstream::stream::Usage) {
        let counted = Tokens::new(usage.prompt_tokens);
        self.context.estimator().on_usage(
            &self.model,
            ByteCount::new(self.request_body.length()),
            counted,
        );
    }

    pub(super) fn on_evidence(&mut self, evidence: Evidence) {
        self.history.on_evidence(evidence);
    }

    pub(super) fn may_restart(&self) -> bool {
        self.repeat.idempotent && self.request_body.can_send()
    }
}

fn output(fields: &Fields) -> Tokens {
    let wanted = fields.max_tokens.unwrap_or(DEFAULT_OUTPUT_TOKENS.get());
    Tokens::new(wanted.min(MAX_OUTPUT_TOKENS))
}

fn prefix(model: &str, buffered: &Bytes) -> Vec<u64> {
    let mut chain = PrefixHasher::new(model);
    chain.update(buffered);
    chain.into_hashes()
}
