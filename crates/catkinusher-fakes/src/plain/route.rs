//! The calls of a plain service.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::Arc;

use http::request::Parts;
use http::{HeaderMap, HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use serde::Serialize;
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;
use tokio::time::sleep;

use super::record::Run;
use super::{Faults, State};
use crate::faults::Switches;
use crate::lag::lock;
use crate::serve::{Answer, Body, Service, json, refuse};

/// Names the request, in both directions.
const REQUEST_ID: &str = "x-request-id";

/// Names the work, over all requests that ask for it.
const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Tells whether a refused call ran.
const OUTCOME: &str = "x-outcome";

#[derive(Debug, Clone)]
pub(super) struct Api(pub(super) Arc<State>);

#[derive(Serialize)]
struct Load {
    incarnation: u64,
    age_ms: u64,
    running: u32,
    limit: u32,
}

#[derive(Serialize)]
struct Runs {
    runs: BTreeMap<String, u32>,
}

/// What a call that ran is answered.
#[derive(Debug, Clone, Serialize)]
pub(super) struct Done {
    service: String,
    method: String,
    path: String,
    key: Option<String>,
    runs: u32,
    body_bytes: u64,
    body_sha256: String,
}

/// An answer with the request it belongs to.
#[derive(Debug, Clone)]
pub(super) struct Reply {
    id: Option<HeaderValue>,
    done: Done,
}

/// What is kept of a body.
struct Digested {
    bytes: u64,
    sha256: String,
}

impl Service for Api {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.0.switches
    }

    async fn call(&self, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/_load" => Answer::Reply(self.load()),
            "/_runs" => {
                let runs = self.0.records().by_key();
                Answer::Reply(json(StatusCode::OK, &Runs { runs }))
            }
            "/_records" => {
                let records = self.0.records().clone();
                Answer::Reply(json(StatusCode::OK, &records))
            }
            _ => self.work(request).await,
        }
    }
}

impl Api {
    fn load(&self) -> Response<Body> {
        let (age, running) = self.0.report();
        let load = Load {
            incarnation: self.0.incarnation().get(),
            age_ms: age.as_millis() as u64,
            running,
            limit: self.0.config.limit,
        };
        json(StatusCode::OK, &load)
    }

    async fn work(&self, request: Request<Incoming>) -> Answer {
        let (parts, body) = request.into_parts();
        let id = parts.headers.get(REQUEST_ID).cloned();
        let Some(body) = digest(body).await else {
            return Answer::HangUp;
        };
        if !self.enter() {
            return Answer::Reply(not_run(id));
        }
        // The work goes on when its caller has left.
        let (done, answer) = oneshot::channel();
        let api = self.clone();
        self.0.tasks.spawn(async move {
            let outcome = api.run(&parts, &body).await;
            api.0.records().running -= 1;
            // A caller that has left needs no answer.
            let _ = done.send(outcome);
        });
        match answer.await {
            Ok(Some(done)) => Answer::Reply(self.answer(Reply { id, done })),
            _ => Answer::HangUp,
        }
    }

    /// Takes a place for a call, if there is one.
    fn enter(&self) -> bool {
        let limit = self.0.config.limit;
        let refuse = self.0.switches.get().refuse;
        let mut records = self.0.records();
        if refuse || (limit > 0 && records.running >= limit) {
            records.refused += 1;
            return false;
        }
        records.running += 1;
        records.peak = records.peak.max(records.running);
        true
    }

    /// Runs a call; nothing if the service died over it.
    async fn run(&self, parts: &Parts, body: &Digested) -> Option<Done> {
        let gate = self.0.switches.gate();
        let life = gate.deaths();
        sleep(self.0.config.work).await;
        self.released().await;
        if gate.deaths() != life {
            self.0.records().lost += 1;
            return None;
        }
        if self.0.switches.hit(|faults| &mut faults.die_before) {
            self.0.records().lost += 1;
            self.die();
            return None;
        }
        let done = self.take_effect(parts, body);
        if self.0.switches.hit(|faults| &mut faults.die_after) {
            self.die();
            return None;
        }
        Some(done)
    }

    /// Waits until no switch holds the work up.
    async fn released(&self) {
        let mut faults = self.0.switches.subscribe();
        // The switches live as long as the service.
        let _ = faults
            .wait_for(|faults| !faults.link.freeze && !faults.hold)
            .await;
    }

    fn take_effect(&self, parts: &Parts, body: &Digested) -> Done {
        let path = parts.uri.path_and_query().map_or("/", |path| path.as_str());
        let run = Run {
            id: text(&parts.headers, REQUEST_ID),
            key: text(&parts.headers, IDEMPOTENCY_KEY),
            method: parts.method.to_string(),
            path: path.to_owned(),
            at: self.0.started.elapsed(),
        };
        let runs = self.0.counter().on_run(&run);
        self.0.records().runs.push(run.clone());
        Done {
            service: self.0.config.service.clone(),
            runs,
            method: run.method,
            path: run.path,
            key: run.key,
            body_bytes: body.bytes,
            body_sha256: body.sha256.clone(),
        }
    }

    fn die(&self) {
        self.0.records().deaths += 1;
        self.0.die();
    }

    /// Answers a call, or answers it as the call before it was.
    fn answer(&self, reply: Reply) -> Response<Body> {
        let mut last = lock(&self.0.last);
        let before = last.replace(reply.clone());
        drop(last);
        let crossed = before.filter(|_| self.0.switches.hit(|faults| &mut faults.cross));
        let shown = crossed.unwrap_or(reply);
        with_id(json(StatusCode::OK, &shown.done), shown.id)
    }
}

fn with_id(mut reply: Response<Body>, id: Option<HeaderValue>) -> Response<Body> {
    if let Some(id) = id {
        reply.headers_mut().insert(REQUEST_ID, id);
    }
    reply
}

fn not_run(id: Option<HeaderValue>) -> Response<Body> {
    let mut reply = refuse(StatusCode::SERVICE_UNAVAILABLE, "over the limit");
    let outcome = HeaderValue::from_static("not-run");
    reply.headers_mut().insert(OUTCOME, outcome);
    with_id(reply, id)
}

fn text(headers: &HeaderMap, name: &str) -> Option<String> {
    let value = headers.get(name)?.to_str().ok()?;
    Some(value.to_owned())
}

/// Counts and hashes a body as it arrives; nothing if it breaks off.
async fn digest(mut body: Incoming) -> Option<Digested> {
    let mut hasher = Sha256::new();
    let mut bytes = 0;
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame.ok()?.into_data() {
            bytes += data.len() as u64;
            hasher.update(&data);
        }
    }
    let mut sha256 = String::new();
    for byte in hasher.finalize() {
        // Writing to a string never fails.
        let _ = write!(sha256, "{byte:02x}");
    }
    Some(Digested { bytes, sha256 })
}
