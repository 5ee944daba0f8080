//! The calls of the object API.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use serde::Serialize;
use serde_json::Value;
use tokio::time::{Instant, sleep_until};

use super::count::{Call, Limits};
use super::store::{Condition, Conflict, Object, View};
use super::{Faults, State, VALUE_LIMIT};
use crate::faults::Switches;
use crate::serve::{Answer, Body, Query, Service, json, read_limited, refuse, status, unquote};

/// How long a watch waits if its caller does not say, in milliseconds.
const WATCH_MILLIS: u64 = 30_000;

/// What a caller over its rate is told to wait, in seconds.
const RETRY_AFTER: &str = "1";

#[derive(Debug, Clone)]
pub(super) struct Api(pub(super) Arc<State>);

#[derive(Serialize)]
struct Version {
    version: u64,
}

#[derive(Serialize)]
struct Listing {
    version: u64,
    objects: Vec<Object>,
}

#[derive(Serialize)]
struct Events {
    version: u64,
    events: Vec<Object>,
}

/// What a path names.
enum Target {
    Object { kind: String, name: String },
    Kind(String),
    Watch(String),
}

impl Target {
    fn parse(path: &str) -> Option<Self> {
        let rest = path.strip_prefix("/v1/")?;
        let mut parts = rest.split('/').map(|part| unquote(part).into_owned());
        let target = match (parts.next()?.as_str(), parts.next()?, parts.next()) {
            ("objects", kind, Some(name)) => Self::Object { kind, name },
            ("objects", kind, None) => Self::Kind(kind),
            ("watch", kind, None) => Self::Watch(kind),
            _ => return None,
        };
        parts.next().is_none().then_some(target)
    }

    fn kind(&self) -> &str {
        match self {
            Self::Object { kind, .. } | Self::Kind(kind) | Self::Watch(kind) => kind,
        }
    }

    fn call(&self, method: &Method) -> Option<Call> {
        match (self, method) {
            (Self::Object { .. }, &Method::GET) => Some(Call::Get),
            (Self::Object { .. }, &Method::PUT) => Some(Call::Put),
            (Self::Object { .. }, &Method::DELETE) => Some(Call::Delete),
            (Self::Kind(_), &Method::GET) => Some(Call::List),
            (Self::Watch(_), &Method::GET) => Some(Call::Watch),
            _ => None,
        }
    }
}

impl Service for Api {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.0.switches
    }

    async fn call(&self, request: Request<Incoming>) -> Answer {
        if request.uri().path() == "/_records" {
            return Answer::Reply(json(StatusCode::OK, &self.0.records()));
        }
        let Some(target) = Target::parse(request.uri().path()) else {
            return Answer::Reply(refuse(StatusCode::NOT_FOUND, "no such path"));
        };
        let Some(call) = target.call(request.method()) else {
            return Answer::Reply(status(StatusCode::METHOD_NOT_ALLOWED));
        };
        let faults = self.0.switches.get();
        if faults.outage {
            return Answer::Reply(outage());
        }
        let limits = Limits {
            reads: faults.read_limit,
            writes: faults.write_limit,
        };
        if !self.0.counts().on_call(target.kind(), call, limits) {
            return Answer::Reply(over_rate());
        }
        match target {
            Target::Object { kind, name } if call.is_write() => {
                self.write(&kind, &name, request).await
            }
            Target::Object { kind, name } => Answer::Reply(self.get(&kind, &name)),
            Target::Kind(kind) => Answer::Reply(self.list(&kind, &request)),
            Target::Watch(kind) => Answer::Reply(self.watch(&kind, &request).await),
        }
    }
}

impl Api {
    fn view(&self) -> View {
        let stale = self.0.switches.hit(|faults| &mut faults.stale_reads);
        if stale { View::Stale } else { View::Present }
    }

    fn get(&self, kind: &str, name: &str) -> Response<Body> {
        match self.0.store().get(kind, name, self.view()) {
            Some(object) => json(StatusCode::OK, &object),
            None => status(StatusCode::NOT_FOUND),
        }
    }

    fn list(&self, kind: &str, request: &Request<Incoming>) -> Response<Body> {
        let prefix = Query::new(request.uri()).get("prefix").unwrap_or_default();
        let view = self.view();
        let store = self.0.store();
        let listing = Listing {
            version: store.version(view),
            objects: store.list(kind, &prefix, view),
        };
        json(StatusCode::OK, &listing)
    }

    async fn watch(&self, kind: &str, request: &Request<Incoming>) -> Response<Body> {
        let query = Query::new(request.uri());
        let after = query.number("after").unwrap_or(0);
        let millis = query.number("timeout_ms").unwrap_or(WATCH_MILLIS);
        let deadline = Instant::now() + Duration::from_millis(millis);
        if self.view() == View::Stale {
            return self.stale_events(kind);
        }
        let mut version = self.0.version.subscribe();
        let mut faults = self.0.switches.subscribe();
        loop {
            if faults.borrow_and_update().outage {
                return outage();
            }
            let events = self.events(kind, after);
            if !events.events.is_empty() {
                return json(StatusCode::OK, &events);
            }
            tokio::select! {
                _ = version.changed() => {}
                _ = faults.changed() => {}
                () = sleep_until(deadline) => return json(StatusCode::OK, &events),
            }
        }
    }

    fn events(&self, kind: &str, after: u64) -> Events {
        let store = self.0.store();
        Events {
            version: store.version(View::Present),
            events: store.after(kind, after),
        }
    }

    /// What a lagging replica holds, whatever the caller has seen already.
    fn stale_events(&self, kind: &str) -> Response<Body> {
        let store = self.0.store();
        let events = Events {
            version: store.version(View::Stale),
            events: store.list(kind, "", View::Stale),
        };
        json(StatusCode::OK, &events)
    }

    async fn write(&self, kind: &str, name: &str, request: Request<Incoming>) -> Answer {
        let (head, body) = request.into_parts();
        let Some(condition) = condition(&head.headers) else {
            let error = "If-Match takes a version, If-None-Match an asterisk";
            return Answer::Reply(refuse(StatusCode::BAD_REQUEST, error));
        };
        let Ok(body) = read_limited(body, VALUE_LIMIT).await else {
            return Answer::Reply(status(StatusCode::PAYLOAD_TOO_LARGE));
        };
        if self.0.switches.hit(|faults| &mut faults.drop_writes) {
            return Answer::HangUp;
        }
        let reply = if head.method == Method::PUT {
            self.put(kind, name, &body, condition)
        } else {
            self.delete(kind, name, condition)
        };
        if reply.status() == StatusCode::OK {
            self.0.announce();
            if self.0.switches.hit(|faults| &mut faults.lose_answers) {
                return Answer::HangUp;
            }
        }
        Answer::Reply(reply)
    }

    fn put(&self, kind: &str, name: &str, body: &[u8], condition: Condition) -> Response<Body> {
        let value = match serde_json::from_slice::<Value>(body) {
            Ok(value) => value,
            Err(error) => return refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        };
        match self.0.store().put(kind, name, value, condition) {
            Ok(version) => json(StatusCode::OK, &Version { version }),
            Err(conflict) => failed(conflict),
        }
    }

    fn delete(&self, kind: &str, name: &str, condition: Condition) -> Response<Body> {
        match self.0.store().delete(kind, name, condition) {
            Ok(Some(version)) => json(StatusCode::OK, &Version { version }),
            Ok(None) => status(StatusCode::NOT_FOUND),
            Err(conflict) => failed(conflict),
        }
    }
}

fn condition(headers: &HeaderMap) -> Option<Condition> {
    if let Some(tag) = headers.get(header::IF_MATCH) {
        let version = tag.to_str().ok()?.trim_matches('"').parse().ok()?;
        return Some(Condition::Version(version));
    }
    match headers.get(header::IF_NONE_MATCH) {
        Some(tag) if tag == "*" => Some(Condition::Absent),
        Some(_) => None,
        None => Some(Condition::Any),
    }
}

fn failed(conflict: Conflict) -> Response<Body> {
    let version = Version {
        version: conflict.0,
    };
    json(StatusCode::PRECONDITION_FAILED, &version)
}

fn outage() -> Response<Body> {
    refuse(StatusCode::SERVICE_UNAVAILABLE, "outage")
}

fn over_rate() -> Response<Body> {
    let mut response = refuse(StatusCode::TOO_MANY_REQUESTS, "over the rate");
    let seconds = HeaderValue::from_static(RETRY_AFTER);
    response.headers_mut().insert(header::RETRY_AFTER, seconds);
    response
}
