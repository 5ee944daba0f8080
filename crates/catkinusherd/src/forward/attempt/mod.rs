//! One attempt of a completion on one engine.

mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::id::{Incarnation, RequestId};
use catkinusher_core::outcome::{Evidence, Refusal};
use catkinusher_core::owner::{self, Report};
use catkinusher_core::progress::{self, Side};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use catkinusher_upstream::Error;
use catkinusher_upstream::engine::{self, Head};
use catkinusher_upstream::send::{Connection, REQUEST_HEADER};
use catkinusher_upstream::stream::Usage;
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tracing::{info, warn};

use super::model::Job;
use super::sink::ResponseSink;
use crate::explain::Step;
use crate::front::reply::ResponseBody;
use crate::node::State;
use crate::permit::Lease;
use crate::poison;

/// The maximum size of a response that isn't streamed, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// How many checks in a row may fail to find a request on its engine before the request counts as lost.
const MAX_MISSES: u32 = 2;

/// How an attempt ended.
#[derive(Debug)]
pub(super) enum AttemptResult {
    /// The complete response was sent to the caller.
    Completed,
    /// The caller disconnected.
    CallerGone,
    /// There is no complete response.
    Failed {
        /// What the caller gets unless there is another attempt.
        refusal: Refusal,
        /// The engine's `Retry-After`.
        retry_after: Option<Duration>,
    },
}

/// A request sent to an engine; cancelled there on drop unless it is known to have ended.
#[derive(Debug)]
struct UpstreamRequest {
    state: Arc<State>,
    address: SocketAddr,
    request: RequestId,
    ended: bool,
}

impl Drop for UpstreamRequest {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let state = Arc::clone(&self.state);
        let address = self.address;
        let request = self.request.clone();
        tokio::spawn(async move {
            if let Err(error) = engine::cancel(&state.control, address, &request).await {
                // Its owner finds it in the engine's list of running requests, and cancels it again.
                info!("route: cannot cancel {request}: {error}");
            }
        });
    }
}

/// An attempt in progress.
pub(super) struct Attempt<'a> {
    job: &'a mut Job,
    lease: Lease,
    group: Vec<SocketAddr>,
    upstream_request: UpstreamRequest,
    started: Time,
    report: Report,
}

impl<'a> Attempt<'a> {
    pub(super) fn new(job: &'a mut Job, lease: Lease, group: Vec<SocketAddr>) -> Self {
        let state = Arc::clone(&job.context.state);
        let started = state.timers.now();
        let upstream_request = UpstreamRequest {
            state,
            address: lease.address,
            request: job.ask.request.clone(),
            ended: true,
        };
        Self {
            job,
            lease,
            group,
            upstream_request,
            started,
            report: Report::new(owner::Outcome::Cancelled),
        }
    }

    fn now(&self) -> Time {
        self.upstream_request.state.timers.now()
    }

    pub(super) async fn run(mut self, sink: &mut ResponseSink) -> AttemptResult {
        let ended = self.send(sink).await;
        match &ended {
            AttemptResult::Completed => {
                self.upstream_request.ended = true;
                self.report.outcome = owner::Outcome::Done;
            }
            AttemptResult::CallerGone => self.report.outcome = owner::Outcome::Cancelled,
            AttemptResult::Failed { refusal, .. } => {
                warn!(request = %self.upstream_request.request, upstream = %self.lease.upstream, "route: attempt failed: {refusal}");
                let step = Step::Failed {
                    upstream: self.lease.upstream.clone(),
                    reason: refusal.to_string(),
                };
                self.upstream_request
                    .state
                    .journal
                    .record(&self.upstream_request.request, step);
            }
        }
        if self.report.outcome == owner::Outcome::Failed {
            self.check_for_crash().await;
        }
        self.lease.release(self.report);
        ended
    }

    /// Checks whether the engine crashed, so that the report tells its owner at once.
    async fn check_for_crash(&mut self) {
        let check = poison::check_upstream(&self.upstream_request.state, &self.lease).await;
        check.add_to(&mut self.report);
        self.job.crashes += u32::from(check.is_crash());
    }

    async fn send(&mut self, sink: &mut ResponseSink) -> AttemptResult {
        let Some(body) = self.job.request_body.upstream_body() else {
            return self.fail("its body is not kept", None);
        };
        let head = self.head();
        let silence = progress::Limits::of(Side::Upstream);
        let state = Arc::clone(&self.upstream_request.state);
        self.upstream_request.ended = false;
        self.job.on_evidence(Evidence::Leaving);
        let left = self.job.ask.left(self.now()).max(silence.silence.get());
        let response = engine::complete(
            &state.sender,
            self.lease.address,
            &head,
            body,
            Connection::Pooled,
            left,
        );
        let response = tokio::select! {
            response = response => response,
            () = sink.caller_gone() => return AttemptResult::CallerGone,
            () = self.until_lost() => return self.fail("it has no trace of the request", None),
        };
        match response {
            Ok(response) => self.read_response(response, sink).await,
            Err(error) => self.on_error(&error),
        }
    }

    /// Completes once the engine is found dead or without the request.
    ///
    /// It is polled on new connections while the response head is awaited.
    async fn until_lost(&self) {
        let state = &self.upstream_request.state;
        let limits = progress::Limits::of(Side::Upstream);
        let mut misses = 0;
        while misses < MAX_MISSES {
            state.timers.after(limits.silence.get()).await;
            let known = engine::running(&state.control, self.lease.address)
                .await
                .is_ok_and(|list| {
                    list.streams
                        .iter()
                        .any(|s| s.id == self.upstream_request.request)
                });
            misses = if known { 0 } else { misses + 1 };
        }
        // While a body is streamed, its own idle timeout applies.
        if !self.job.request_body.is_fully_buffered() {
            std::future::pending::<()>().await;
        }
    }

    fn head(&self) -> Head {
        Head {
            request: self.job.ask.request.clone(),
            path: self.job.path.clone(),
            priority: self.lease.permit.priority,
            left: self.job.ask.left(self.now()),
            length: Some(self.job.request_body.length()),
            group: self.group.clone(),
        }
    }

    fn on_error(&mut self, error: &Error) -> AttemptResult {
        let retry_after = match error {
            Error::NotSent { .. } => {
                self.upstream_request.ended = true;
                self.job.on_evidence(Evidence::Unsent);
                self.report.outcome = owner::Outcome::Unreached;
                None
            }
            Error::NotTaken { retry_after, .. } => {
                self.upstream_request.ended = true;
                self.job.on_evidence(Evidence::Refused);
                self.report.outcome = owner::Outcome::Refused;
                *retry_after
            }
            _ => {
                self.report.outcome = owner::Outcome::Failed;
                None
            }
        };
        self.fail(&error.to_string(), retry_after)
    }

    fn fail(&mut self, detail: &str, retry_after: Option<Duration>) -> AttemptResult {
        let refusal = Refusal::UpstreamFailed {
            detail: detail.to_owned(),
            outcome: self.job.history.outcome(),
        };
        AttemptResult::Failed {
            refusal,
            retry_after,
        }
    }

    async fn read_response(
        &mut self,
        response: Response<Incoming>,
        sink: &mut ResponseSink,
    ) -> AttemptResult {
        self.report.incarnation = response
            .headers()
            .get("x-incarnation")
            .and_then(|value| value.to_str().ok()?.parse::<Incarnation>().ok());
        let mismatched = response.headers().get(REQUEST_HEADER).is_some_and(|value| {
            value.as_bytes() != self.upstream_request.request.as_str().as_bytes()
        });
        if mismatched {
            self.report.outcome = owner::Outcome::Failed;
            return self.fail("the answer is for another request", None);
        }
        self.job.on_evidence(Evidence::Answered);
        let stream = response
            .headers()
            .get(CONTENT_TYPE)
            .is_some_and(|value| value.as_bytes().starts_with(b"text/event-stream"));
        if stream && response.status() == StatusCode::OK {
            return self.relay_stream(response, sink).await;
        }
        self.relay_full(response, sink).await
    }

    /// Relays a response that isn't streamed, once it is complete.
    async fn relay_full(
        &mut self,
        response: Response<Incoming>,
        sink: &mut ResponseSink,
    ) -> AttemptResult {
        let (parts, body) = response.into_parts();
        let collect = Limited::new(body, MAX_RESPONSE_BYTES).collect();
        let bytes = tokio::select! {
            collected = collect => match collected {
                Ok(collected) => collected.to_bytes(),
                Err(error) => {
                    self.report.outcome = owner::Outcome::Failed;
                    return self.fail(&format!("the answer broke off: {error}"), None);
                }
            },
            () = sink.caller_gone() => return AttemptResult::CallerGone,
        };
        if let Some(usage) = parse_usage(&bytes) {
            self.on_usage(usage);
        }
        let mut response = Response::new(ResponseBody::full(bytes));
        *response.status_mut() = parts.status;
        if let Some(kind) = parts.headers.get(CONTENT_TYPE) {
            response.headers_mut().insert(CONTENT_TYPE, kind.clone());
        }
        sink.send_full(response);
        AttemptResult::Completed
    }

    fn on_usage(&mut self, usage: Usage) {
        self.job.on_usage(&usage);
        self.report.usage = Some(owner::Usage {
            prompt: Tokens::new(usage.prompt_tokens),
            cached: Tokens::new(usage.cached_tokens),
            completion: Tokens::new(usage.completion_tokens),
        });
    }
}

fn parse_usage(bytes: &[u8]) -> Option<Usage> {
    #[derive(serde::Deserialize)]
    struct ResponseFields {
        usage: Option<Usage>,
    }
    serde_json::from_slice::<ResponseFields>(bytes).ok()?.usage
}
