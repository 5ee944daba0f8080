//! One attempt of a plain call on one upstream.

use catkinusher_core::claim::StoredResponse;
use catkinusher_core::outcome::{Evidence, Outcome, Refusal};
use catkinusher_core::owner::{self, Report};
use catkinusher_upstream::Error;
use catkinusher_upstream::open::{FreshConnection, open};
use http::header::{AUTHORIZATION, HOST};
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::headers::{replayable_headers, strip_hop_headers};
use super::holder::TicketGuard;
use super::job::{AttemptResult, Job, RETRY_AFTER};
use crate::forward::sink::{CallerGone, ResponseSink};
use crate::front::head::{REQUEST_HEADER, TIMEOUT_HEADER};
use crate::front::intake::UpstreamBody;
use crate::permit::Lease;
use crate::poison;

/// The size above which no more of a response is captured for replay, in bytes.
const MAX_STORED_BYTES: usize = 64 << 10;

impl Job {
    pub(super) async fn attempt(
        &mut self,
        lease: Lease,
        sink: &mut ResponseSink,
        ticket_guard: &mut Option<TicketGuard>,
    ) -> AttemptResult {
        let connection = match open(lease.address).await {
            Ok(connection) => connection,
            Err(error) => {
                lease.release(Report::new(owner::Outcome::Unreached));
                return self.failure(&error);
            }
        };
        let started = self.now();
        match self.exchange(connection, &lease, sink, ticket_guard).await {
            Ok(incarnation) => {
                let mut report = Report::new(owner::Outcome::Done);
                report.time_to_first_token = Some(self.now().since(started));
                report.incarnation = incarnation;
                lease.release(report);
                AttemptResult::Completed
            }
            Err(ExchangeError::CallerGone) => {
                lease.release(Report::new(owner::Outcome::Cancelled));
                AttemptResult::CallerGone
            }
            Err(ExchangeError::Refused(refusal)) => {
                lease.release(Report::new(owner::Outcome::Cancelled));
                AttemptResult::Failed {
                    refusal,
                    retry_after: None,
                }
            }
            Err(ExchangeError::Upstream(error)) => {
                let outcome = if error.proves_not_run() {
                    owner::Outcome::Refused
                } else {
                    owner::Outcome::Failed
                };
                let mut report = Report::new(outcome);
                if outcome == owner::Outcome::Failed {
                    let check = poison::check_upstream(&self.context.state, &lease).await;
                    check.add_to(&mut report);
                    self.crashes += u32::from(check.is_crash());
                }
                lease.release(report);
                self.failure(&error)
            }
        }
    }

    fn failure(&self, error: &Error) -> AttemptResult {
        let retry_after = match error {
            Error::NotTaken { retry_after, .. } => *retry_after,
            _ => None,
        };
        let refusal = Refusal::UpstreamFailed {
            detail: error.to_string(),
            outcome: self.history.outcome(),
        };
        AttemptResult::Failed {
            refusal,
            retry_after,
        }
    }

    async fn exchange(
        &mut self,
        connection: FreshConnection<UpstreamBody>,
        lease: &Lease,
        sink: &mut ResponseSink,
        ticket_guard: &mut Option<TicketGuard>,
    ) -> Result<Option<catkinusher_core::id::Incarnation>, ExchangeError> {
        let request = self.build_request(lease)?;
        let now = self.now();
        if let Some(ticket_guard) = ticket_guard.as_mut()
            && !ticket_guard.ticket.authorize_send(now)
        {
            return Err(ExchangeError::Refused(Refusal::ClaimLapsed {
                after: RETRY_AFTER,
            }));
        }
        self.history.on_evidence(Evidence::Leaving);
        let left = self.call.ask.left(now);
        let response = tokio::select! {
            response = connection.send(request, left) => response,
            () = sink.caller_gone(), if ticket_guard.is_none() => return Err(ExchangeError::CallerGone),
        };
        let response = response.map_err(|error| {
            if matches!(error, Error::NotTaken { .. }) {
                self.history.on_evidence(Evidence::Refused);
                if let Some(ticket_guard) = ticket_guard.as_mut() {
                    let settlement = ticket_guard.ticket.on_refused();
                    ticket_guard.settle(settlement);
                }
            }
            ExchangeError::Upstream(error)
        })?;
        self.check_request_id(&response)?;
        self.history.on_evidence(Evidence::Answered);
        self.relay(response, lease, sink, ticket_guard).await
    }

    fn build_request(&mut self, lease: &Lease) -> Result<Request<UpstreamBody>, ExchangeError> {
        let unsendable = |detail: String| {
            ExchangeError::Refused(Refusal::UpstreamFailed {
                detail,
                outcome: Outcome::NotRun,
            })
        };
        let body = self.request_body.upstream_body();
        let body = body.ok_or_else(|| unsendable("the body is not kept".to_owned()))?;
        let mut request = Request::builder()
            .method(self.call.parts.method.clone())
            .uri(&self.call.path)
            .body(body)
            .map_err(|error| unsendable(error.to_string()))?;
        let headers = request.headers_mut();
        *headers = self.call.parts.headers.clone();
        strip_hop_headers(headers);
        // The caller's bearer token authenticates it to this node only.
        headers.remove(AUTHORIZATION);
        headers.remove(HOST);
        let left = self.call.ask.left(self.context.state.timers.now());
        headers.insert(TIMEOUT_HEADER, (left.as_millis() as u64).into());
        for (name, value) in [
            (REQUEST_HEADER, lease.permit.request.as_str()),
            (
                HeaderName::from_static("x-customer"),
                self.call.ask.customer.as_str(),
            ),
        ] {
            if let Ok(value) = HeaderValue::from_bytes(value.as_bytes()) {
                headers.insert(name, value);
            }
        }
        Ok(request)
    }

    /// Rejects a response that carries another request ID.
    fn check_request_id(&self, response: &Response<Incoming>) -> Result<(), ExchangeError> {
        let mismatched = response
            .headers()
            .get(REQUEST_HEADER)
            .is_some_and(|value| value.as_bytes() != self.context.id.as_str().as_bytes());
        if mismatched {
            return Err(ExchangeError::Refused(Refusal::AnswerBroken {
                detail: "the answer is for another request".to_owned(),
                outcome: self.history.outcome(),
            }));
        }
        Ok(())
    }

    async fn relay(
        &self,
        response: Response<Incoming>,
        lease: &Lease,
        sink: &mut ResponseSink,
        ticket_guard: &mut Option<TicketGuard>,
    ) -> Result<Option<catkinusher_core::id::Incarnation>, ExchangeError> {
        let (mut parts, mut body) = response.into_parts();
        strip_hop_headers(&mut parts.headers);
        let incarnation = parts
            .headers
            .get("x-incarnation")
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let status = parts.status.as_u16();
        let headers = replayable_headers(&parts.headers);
        sink.send_head(Response::from_parts(parts, ()));
        let mut captured = Vec::new();
        let mut caller_present = true;
        let mut withheld = None;
        while let Some(frame) = body.frame().await {
            let broken = |error: hyper::Error| Error::Broken {
                address: lease.address,
                reason: error.to_string(),
            };
            let Ok(chunk) = frame.map_err(broken)?.into_data() else {
                continue;
            };
            if captured.len() <= MAX_STORED_BYTES {
                captured.extend_from_slice(&chunk);
            }
            // The last chunk is withheld until the response is stored: from then on a caller that
            // repeats its key gets it replayed.
            let ready = if ticket_guard.is_some() {
                withheld.replace(chunk)
            } else {
                Some(chunk)
            };
            if let Some(chunk) = ready {
                caller_present = caller_present && sink.send_chunk(chunk).await.is_ok();
            }
            if !caller_present && ticket_guard.is_none() {
                return Err(ExchangeError::CallerGone);
            }
        }
        if let Some(ticket_guard) = ticket_guard {
            let settlement = ticket_guard
                .ticket
                .on_answer(StoredResponse::new(status, headers, &captured));
            ticket_guard.settle_and_wait(settlement).await;
        }
        if let Some(chunk) = withheld.filter(|_| caller_present) {
            // A caller that has disconnected can get the response by repeating its key.
            let _caller_gone = sink.send_chunk(chunk).await;
        }
        sink.finish();
        Ok(incarnation)
    }
}

/// Why an exchange ended early.
enum ExchangeError {
    CallerGone,
    Refused(Refusal),
    Upstream(Error),
}

impl From<CallerGone> for ExchangeError {
    fn from(_gone: CallerGone) -> Self {
        Self::CallerGone
    }
}

impl From<Error> for ExchangeError {
    fn from(error: Error) -> Self {
        Self::Upstream(error)
    }
}
