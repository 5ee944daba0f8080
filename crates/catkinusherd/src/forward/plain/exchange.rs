//! One attempt of a plain call on one upstream.

use catkinusher_core::claim::StoredResponse;
use catkinusher_core::outcome::{Evidence, Outcome, Refusal};
use catkinusher_core::owner::{self, Report};
use catkinusher_upstream::Error;
use catkinusher_upstream::open::{Opened, open};
use http::header::{AUTHORIZATION, HOST};
use http::{HeaderName, HeaderValue, Request, Response};
use http_body_util::BodyExt;
use hyper::body::Incoming;

use super::headers::{kept_headers, strip_hop_headers};
use super::holder::Holder;
use super::job::{Ended, Job, RETRY_AFTER};
use crate::forward::sink::{Gone, Sink};
use crate::front::head::{REQUEST_HEADER, TIMEOUT_HEADER};
use crate::front::intake::UpstreamBody;
use crate::permit::Lease;
use crate::poison;

/// The most of an answer that is looked at to keep it.
const KEEP_LOOK: usize = 64 << 10;

impl Job {
    pub(super) async fn attempt(
        &mut self,
        lease: Lease,
        sink: &mut Sink,
        holder: &mut Option<Holder>,
    ) -> Ended {
        let opened = match open(lease.address).await {
            Ok(opened) => opened,
            Err(error) => {
                lease.release(Report::new(owner::Outcome::Unreached));
                return self.failed(&error);
            }
        };
        let begun = self.now();
        match self.exchange(opened, &lease, sink, holder).await {
            Ok(incarnation) => {
                let mut report = Report::new(owner::Outcome::Done);
                report.time_to_first_token = Some(self.now().since(begun));
                report.incarnation = incarnation;
                lease.release(report);
                Ended::Whole
            }
            Err(Stopped::Caller) => {
                lease.release(Report::new(owner::Outcome::Cancelled));
                Ended::Abandoned
            }
            Err(Stopped::Refused(refusal)) => {
                lease.release(Report::new(owner::Outcome::Cancelled));
                Ended::Failed {
                    refusal,
                    wait: None,
                }
            }
            Err(Stopped::Upstream(error)) => {
                let outcome = if error.proves_not_run() {
                    owner::Outcome::Refused
                } else {
                    owner::Outcome::Failed
                };
                let mut report = Report::new(outcome);
                if outcome == owner::Outcome::Failed {
                    let look = poison::look(&self.context.state, &lease).await;
                    look.tell(&mut report);
                    self.crashes += u32::from(look.is_crash());
                }
                lease.release(report);
                self.failed(&error)
            }
        }
    }

    fn failed(&self, error: &Error) -> Ended {
        let wait = match error {
            Error::NotTaken { retry_after, .. } => *retry_after,
            _ => None,
        };
        let refusal = Refusal::UpstreamFailed {
            detail: error.to_string(),
            outcome: self.trail.outcome(),
        };
        Ended::Failed { refusal, wait }
    }

    async fn exchange(
        &mut self,
        opened: Opened<UpstreamBody>,
        lease: &Lease,
        sink: &mut Sink,
        holder: &mut Option<Holder>,
    ) -> Result<Option<catkinusher_core::id::Incarnation>, Stopped> {
        let request = self.request(lease)?;
        let now = self.now();
        if let Some(holder) = holder.as_mut()
            && !holder.ticket.authorize_send(now)
        {
            return Err(Stopped::Refused(Refusal::ClaimLapsed {
                after: RETRY_AFTER,
            }));
        }
        self.trail.on_evidence(Evidence::Leaving);
        let left = self.call.ask.left(now);
        let answer = tokio::select! {
            answer = opened.send(request, left) => answer,
            () = sink.gone(), if holder.is_none() => return Err(Stopped::Caller),
        };
        let answer = answer.map_err(|error| {
            if matches!(error, Error::NotTaken { .. }) {
                self.trail.on_evidence(Evidence::Refused);
                if let Some(holder) = holder.as_mut() {
                    let settlement = holder.ticket.on_refused();
                    holder.settle(settlement);
                }
            }
            Stopped::Upstream(error)
        })?;
        self.check(&answer)?;
        self.trail.on_evidence(Evidence::Answered);
        self.pass(answer, lease, sink, holder).await
    }

    fn request(&mut self, lease: &Lease) -> Result<Request<UpstreamBody>, Stopped> {
        let unsendable = |detail: String| {
            Stopped::Refused(Refusal::UpstreamFailed {
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
        // The bearer key is between the caller and this system.
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

    /// Refuses an answer to another request.
    fn check(&self, answer: &Response<Incoming>) -> Result<(), Stopped> {
        let crossed = answer
            .headers()
            .get(REQUEST_HEADER)
            .is_some_and(|value| value.as_bytes() != self.context.id.as_str().as_bytes());
        if crossed {
            return Err(Stopped::Refused(Refusal::AnswerBroken {
                detail: "the answer is for another request".to_owned(),
                outcome: self.trail.outcome(),
            }));
        }
        Ok(())
    }

    async fn pass(
        &self,
        answer: Response<Incoming>,
        lease: &Lease,
        sink: &mut Sink,
        holder: &mut Option<Holder>,
    ) -> Result<Option<catkinusher_core::id::Incarnation>, Stopped> {
        let (mut parts, mut body) = answer.into_parts();
        strip_hop_headers(&mut parts.headers);
        let incarnation = parts
            .headers
            .get("x-incarnation")
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let status = parts.status.as_u16();
        let headers = kept_headers(&parts.headers);
        sink.head(Response::from_parts(parts, ()));
        let mut look = Vec::new();
        let mut caller = true;
        let mut last = None;
        while let Some(frame) = body.frame().await {
            let broken = |error: hyper::Error| Error::Broken {
                address: lease.address,
                reason: error.to_string(),
            };
            let Ok(piece) = frame.map_err(broken)?.into_data() else {
                continue;
            };
            if look.len() <= KEEP_LOOK {
                look.extend_from_slice(&piece);
            }
            // The end of an answer waits until a caller that repeats its key would get it again.
            let ready = if holder.is_some() {
                last.replace(piece)
            } else {
                Some(piece)
            };
            if let Some(piece) = ready {
                caller = caller && sink.piece(piece).await.is_ok();
            }
            if !caller && holder.is_none() {
                return Err(Stopped::Caller);
            }
        }
        if let Some(holder) = holder {
            let settlement = holder
                .ticket
                .on_answer(StoredResponse::new(status, headers, &look));
            holder.settled(settlement).await;
        }
        if let Some(piece) = last.filter(|_| caller) {
            // A caller that left meanwhile can ask for the answer by its key.
            let _gone = sink.piece(piece).await;
        }
        sink.finish();
        Ok(incarnation)
    }
}

/// What ended an exchange early.
enum Stopped {
    Caller,
    Refused(Refusal),
    Upstream(Error),
}

impl From<Gone> for Stopped {
    fn from(_gone: Gone) -> Self {
        Self::Caller
    }
}

impl From<Error> for Stopped {
    fn from(error: Error) -> Self {
        Self::Upstream(error)
    }
}
