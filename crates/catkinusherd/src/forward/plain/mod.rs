//! Calls to plain services, forwarded with method, headers and body.

mod exchange;
pub(crate) mod headers;
mod holder;
mod job;

use std::sync::Arc;

use catkinusher_core::admission::RequestSize;
use catkinusher_core::ask::{Ask, Role};
use catkinusher_core::catalog::Repeat;
use catkinusher_core::claim::IdempotencyKey;
use catkinusher_core::inventory::ServiceKind;
use catkinusher_core::outcome::{AttemptHistory, Outcome, Refusal};
use catkinusher_core::units::{Span, Tokens};
use http::header::HeaderMap;
use http::request::Parts;
use http::{Request, Response};
use hyper::body::Incoming;

use self::job::Job;
use super::RequestContext;
use super::admit::AdmissionGuard;
use super::sink::ResponseSink;
use crate::front::head::{self, IDEMPOTENCY_KEY_HEADER};
use crate::front::reply::ResponseBody;
use crate::front::route::allowed;

/// The size of a plain call, which uses no tokens.
const NO_TOKENS: RequestSize = RequestSize {
    prompt: Tokens::ZERO,
    output: Tokens::ZERO,
};

/// Serves a call to `service`; `rest` is the path after the service's name.
///
/// # Errors
///
/// A refusal if the call is rejected before its first attempt.
pub async fn serve(
    context: RequestContext,
    request: Request<Incoming>,
    service: &str,
    rest: &str,
) -> Result<Response<ResponseBody>, Refusal> {
    let (parts, body) = request.into_parts();
    let state = Arc::clone(&context.state);
    let limits = &state.settings.limits;
    let call = Call::new(&context, parts, service, rest)?;
    let request_body = context.read_body(body).await?;
    if call.key.is_some() && !request_body.is_fully_buffered() {
        return Err(Refusal::BodyTooLarge { limit: limits.keep });
    }
    let (sink, response) = ResponseSink::new(context.id.clone(), limits.idle.get());
    let job = Job {
        context,
        call,
        request_body,
        history: AttemptHistory::new(),
        crashes: 0,
    };
    tokio::spawn(job.run(sink));
    response.await.map_err(|_panicked| Refusal::UpstreamFailed {
        detail: "the call broke off inside the node".to_owned(),
        outcome: Outcome::MayHaveRun,
    })
}

/// A parsed and admitted call.
#[derive(Debug)]
struct Call {
    _admission: AdmissionGuard,
    parts: Parts,
    path: String,
    ask: Ask,
    repeat: Repeat,
    key: Option<IdempotencyKey>,
    timeout: Span,
}

impl Call {
    fn new(
        context: &RequestContext,
        parts: Parts,
        service: &str,
        rest: &str,
    ) -> Result<Self, Refusal> {
        let unknown = || Refusal::UnknownService {
            service: service.to_owned(),
        };
        let service = context
            .catalog
            .service(service)
            .filter(|service| service.kind == ServiceKind::Plain)
            .ok_or_else(unknown)?;
        if !allowed(&context.customer, service) {
            return Err(Refusal::Forbidden {
                service: service.name.clone(),
            });
        }
        let timeout = head::timeout(&parts.headers, service.timeout, service.timeout_cap)?;
        let rest = if rest.is_empty() { "/" } else { rest };
        let repeat = context.catalog.repeat(service, parts.method.as_str(), rest);
        let key = idempotency_key(&parts.headers)?.filter(|_key| !repeat.idempotent);
        let path = match parts.uri.query() {
            Some(query) => format!("{rest}?{query}"),
            None => rest.to_owned(),
        };
        let admission = AdmissionGuard::new(context, service, NO_TOKENS)?;
        let ask = Ask {
            request: context.id.clone(),
            customer: context.customer.name.clone(),
            weight: context.customer.weight.max(1),
            service: service.name.clone(),
            model: None,
            prompt: Tokens::ZERO,
            output: Tokens::ZERO,
            prefix: Vec::new(),
            role: Role::Whole,
            excess: admission.excess,
            patience: None,
            deadline: context.state.timers.now() + timeout,
        };
        Ok(Self {
            _admission: admission,
            parts,
            path,
            ask,
            repeat,
            key,
            timeout: Span::new(timeout),
        })
    }
}

fn idempotency_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, Refusal> {
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    let bad = || Refusal::BadKey {
        limit: catkinusher_core::claim::KEY_LIMIT,
    };
    let text = value.to_str().map_err(|_not_text| bad())?;
    text.parse().map(Some).map_err(|_bad_key| bad())
}
