//! Routing of requests by method and path.

use std::sync::Arc;

use catkinusher_core::inventory::{Customer, Service};
use catkinusher_core::outcome::Refusal;
use catkinusher_core::units::Span;
use http::header::CONNECTION;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use tracing::info;

use super::reply::ResponseBody;
use super::{answer, head};
use crate::forward::{RequestContext, model, plain, refusal_step};
use crate::node::State;

/// The `Retry-After` of requests refused while the node starts or stops.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Serves one request; `framing` is the refusal if its message framing is ambiguous.
pub async fn handle(
    state: Arc<State>,
    request: Request<Incoming>,
    framing: Result<(), Refusal>,
) -> Response<ResponseBody> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/healthz") => answer::text(StatusCode::OK, "ok\n"),
        (&Method::GET, "/readyz") => ready(&state),
        _ => dispatch(state, request, framing).await,
    }
}

fn ready(state: &State) -> Response<ResponseBody> {
    match state.unready_reason() {
        None => answer::text(StatusCode::OK, "ready\n"),
        Some(reason) => answer::text(StatusCode::SERVICE_UNAVAILABLE, reason),
    }
}

async fn dispatch(
    state: Arc<State>,
    request: Request<Incoming>,
    framing: Result<(), Refusal>,
) -> Response<ResponseBody> {
    let id = state.new_request();
    let refuse = |refusal: &Refusal| {
        info!(request = %id, refusal = refusal.slug(), "front: refused");
        state.metrics.count("front.refused");
        answer::problem(refusal, Some(&id))
    };
    let Some(open) = state.stopping.begin_request(&state) else {
        return refuse(&Refusal::ShuttingDown { after: RETRY_AFTER });
    };
    if let Err(refusal) = framing.and_then(|()| head::check_duplicates(&request)) {
        let mut refused = refuse(&refusal);
        // After an ambiguous head the start of the next request is uncertain, so the connection closes.
        let close = HeaderValue::from_static("close");
        refused.headers_mut().insert(CONNECTION, close);
        return refused;
    }
    let catalog = state.catalog();
    if state.config.borrow().version == 0 {
        return refuse(&Refusal::NoConfiguration { after: RETRY_AFTER });
    }
    let customer = head::bearer_token(request.headers()).and_then(|key| catalog.customer(key));
    let Some(customer) = customer.cloned() else {
        return refuse(&Refusal::Unauthorised);
    };
    let context = RequestContext {
        state: Arc::clone(&state),
        id: id.clone(),
        customer,
        catalog,
        open,
    };
    let path = request.uri().path().to_owned();
    let served = match (request.method(), path.as_str()) {
        (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
            model::serve(context, request).await
        }
        (_, "/v1/completions" | "/v1/chat/completions") => Err(Refusal::UnknownRoute),
        (&Method::GET, "/v1/models") => Ok(models(&context)),
        (_, path) => match plain_service(path) {
            Some((service, rest)) => plain::serve(context, request, service, rest).await,
            None => Err(Refusal::UnknownRoute),
        },
    };
    served.unwrap_or_else(|refusal| {
        state.journal.record(&id, refusal_step(&refusal));
        refuse(&refusal)
    })
}

/// Splits `/service/rest` into the service's name and the remaining path.
fn plain_service(path: &str) -> Option<(&str, &str)> {
    let path = path.strip_prefix('/')?;
    let end = path.find('/').unwrap_or(path.len());
    let (service, rest) = path.split_at(end);
    (!service.is_empty()).then_some((service, rest))
}

#[derive(Debug, Serialize)]
struct Model<'a> {
    id: &'a str,
    object: &'a str,
    owned_by: &'a str,
}

#[derive(Debug, Serialize)]
struct ModelList<'a> {
    object: &'a str,
    data: Vec<Model<'a>>,
}

fn models(context: &RequestContext) -> Response<ResponseBody> {
    let services = &context.catalog.inventory().services;
    let models = services
        .iter()
        .filter(|service| allowed(&context.customer, service))
        .flat_map(|service| {
            service.models.iter().map(|model| Model {
                id: model.as_str(),
                object: "model",
                owned_by: service.name.as_str(),
            })
        });
    let list = ModelList {
        object: "list",
        data: models.collect(),
    };
    let mut response = answer::json(StatusCode::OK, &list);
    answer::set_request_id(&mut response, Some(&context.id));
    response
}

/// Whether a customer may use a service; an empty list permits all services.
#[must_use]
pub fn allowed(customer: &Customer, service: &Service) -> bool {
    customer.services.is_empty() || customer.services.contains(&service.name)
}
