//! The calls of an engine.

use std::borrow::Cow;
use std::sync::Arc;

use catkinusher_core::id::RequestId;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::orders::{Fenced, Rejection};
use super::sse;
use super::state::State;
use super::stream::{Form, Reader};
use super::{Faults, LoadReport};
use crate::faults::Switches;
use crate::serve::{Answer, Body, Query, Service, json, read_limited, refuse, status, unquote};

/// Names the request, in both directions.
pub(super) const REQUEST_ID: &str = "x-request-id";

/// Names the engine's life.
const INCARNATION: &str = "x-incarnation";

/// The largest body of a call other than a completion, in bytes.
const CALL_LIMIT: usize = 64 * 1024;

#[derive(Debug, Clone)]
pub(super) struct Api(pub(super) Arc<State>);

#[derive(Serialize)]
struct Fence {
    fence: u64,
}

impl Service for Api {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.0.switches
    }

    async fn call(&self, request: Request<Incoming>) -> Answer {
        let id = request.headers().get(REQUEST_ID).cloned();
        match self.route(request).await {
            Answer::Reply(mut reply) => {
                let incarnation = self.0.with(|core, _| core.batch.incarnation());
                let headers = reply.headers_mut();
                headers.insert(INCARNATION, HeaderValue::from(incarnation.get()));
                if let Some(id) = id {
                    headers.insert(REQUEST_ID, id);
                }
                Answer::Reply(reply)
            }
            Answer::HangUp => Answer::HangUp,
        }
    }
}

impl Api {
    async fn route(&self, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let method = request.method().clone();
        let reply = match (&method, path.as_str()) {
            (&Method::POST, "/v1/completions") => return self.complete(request, Form::Text).await,
            (&Method::POST, "/v1/chat/completions") => {
                return self.complete(request, Form::Chat).await;
            }
            (&Method::GET, "/v1/running") => json(StatusCode::OK, &self.0.running()),
            (&Method::GET, "/v1/load") => self.load(),
            (&Method::GET, "/v1/events") => self.events(&request),
            (&Method::POST, "/v1/kv/export") => self.export(request).await,
            (&Method::POST, "/v1/kv/import") => self.import(request).await,
            (&Method::POST, "/v1/kv/reserve") => self.reserve(request).await,
            (&Method::POST, "/v1/orders") => self.order(request).await,
            (&Method::GET, "/v1/orders") => {
                let orders = self.0.with(|core, _| core.orders.report());
                json(StatusCode::OK, &orders)
            }
            (&Method::GET, "/_records") => {
                let records = self.0.with(|core, _| core.records());
                json(StatusCode::OK, &records)
            }
            (method, path) => self.by_name(method, path, &request),
        };
        Answer::Reply(reply)
    }

    /// Calls whose path ends with a name.
    fn by_name(&self, method: &Method, path: &str, request: &Request<Incoming>) -> Response<Body> {
        if let Some(handle) = path.strip_prefix("/v1/kv/") {
            return self.exported(&unquote(handle));
        }
        let Some(id) = path.strip_prefix("/v1/streams/").map(unquote) else {
            return refuse(StatusCode::NOT_FOUND, "no such path");
        };
        let Ok(id) = Cow::into_owned(id).parse::<RequestId>() else {
            return refuse(StatusCode::BAD_REQUEST, "no request id");
        };
        match *method {
            Method::GET => self.resume(&id, request),
            Method::DELETE => self.cancel(&id),
            _ => status(StatusCode::METHOD_NOT_ALLOWED),
        }
    }

    fn resume(&self, id: &RequestId, request: &Request<Incoming>) -> Response<Body> {
        let offset = Query::new(request.uri()).number("offset").unwrap_or(0);
        let stream = self.0.with(|core, _| core.streams.get(id).map(Arc::clone));
        match stream {
            Some(stream) => sse::stream(Reader::new(Arc::clone(&self.0), stream), offset),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn cancel(&self, id: &RequestId) -> Response<Body> {
        self.0.with(|core, now| {
            if let Some(stream) = core.streams.get(id).map(Arc::clone) {
                core.cancel(&stream, now);
            }
            // What remains is memory held for the request.
            core.batch.cancel(id, now);
        });
        status(StatusCode::OK)
    }

    fn load(&self) -> Response<Body> {
        let (age, load) = self.0.with(|core, _| core.report());
        let age_ms = age.as_millis() as u64;
        json(StatusCode::OK, &LoadReport { age_ms, load })
    }

    fn events(&self, request: &Request<Incoming>) -> Response<Body> {
        let after = Query::new(request.uri()).number("after").unwrap_or(0);
        let lag = self.0.event_lag;
        let events = self.0.with(|core, _| core.cache_log.after(after, lag));
        json(StatusCode::OK, &events)
    }

    async fn order(&self, request: Request<Incoming>) -> Response<Body> {
        let order = match parse::<Fenced>(request).await {
            Ok(order) => order,
            Err(reply) => return reply,
        };
        let (outcome, fence) = self.0.with(|core, _| {
            let outcome = core.orders.apply(&order);
            (outcome, core.orders.fence())
        });
        let code = match outcome {
            Ok(()) => StatusCode::OK,
            Err(Rejection::OldFence) => StatusCode::CONFLICT,
            Err(Rejection::NoModel) => StatusCode::NOT_FOUND,
        };
        json(code, &Fence { fence })
    }
}

/// Reads a small JSON body, or answers why it can't be read.
pub(super) async fn parse<T>(request: Request<Incoming>) -> Result<T, Response<Body>>
where
    T: DeserializeOwned,
{
    let bad = |error: &str| refuse(StatusCode::BAD_REQUEST, error);
    let body = read_limited(request.into_body(), CALL_LIMIT).await;
    let body = body.map_err(|error| bad(&error.to_string()))?;
    serde_json::from_slice(&body).map_err(|error| bad(&error.to_string()))
}
