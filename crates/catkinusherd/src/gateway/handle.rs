//! Handling of one request, from its head to its answer.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::directory::{Customer, Directory, Repeat, Route};
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::fleet::Fault;
use catkinusher_core::id::{ServiceId, UpstreamId};
use catkinusher_core::outcome::{AttemptHistory, Refusal};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use http::header::HOST;
use http::request::Parts;
use http::{HeaderMap, Request, Response, StatusCode};
use hyper::body::Incoming;
use tracing::info;

use super::answer::{self, AnswerBody};
use super::attempt::{ActiveAttempt, Source};
use super::body::{self, AnswerError};
use super::detour::{self, Earlier};
use super::dialect::{Ask, Dialect};
use super::front::Origin;
use super::open::{OpenRequest, Stage};
use super::relay;
use super::starting;
use super::state::State;
use super::trials::Trial;
use crate::forward::plain::headers::strip_hop_headers;

/// The retry delay given to callers while this node has no current configuration; another node may have one.
const NO_CONFIGURATION_RETRY_AFTER: Span = Span::from_millis(200);

/// The retry delay given to callers when this node stops; other nodes go on.
pub(super) const STOP_RETRY_AFTER: Span = Span::from_millis(100);

/// A request in progress.
#[derive(Debug)]
pub(super) struct Job<D>
where
    D: Dialect,
{
    pub(super) state: Arc<State<D>>,
    pub(super) directory: Arc<Directory>,
    pub(super) route: Arc<Route>,
    pub(super) customer: Option<Arc<Customer>>,
    pub(super) service: ServiceId,
    pub(super) ask: Ask,
    pub(super) head: Parts,
    pub(super) body: Bytes,
    pub(super) received: Time,
    pub(super) deadline: Time,
    /// How long the caller is assumed to have waited before this request arrived: the route's
    /// timeout minus the time that the caller still waits, 0 if the caller states none.
    ///
    /// A caller that asks for a shorter timeout from the start counts as having waited, too.
    pub(super) prior_wait: Duration,
    /// How long the caller waits for the first part of an answer.
    pub(super) patience: Duration,
    pub(super) history: AttemptHistory,
    /// The upstreams that the request was sent to.
    pub(super) sent_to: BTreeSet<UpstreamId>,
    /// How often the request was sent.
    pub(super) sends: u32,
    /// Whether a peer sent it, which is cut off from all upstreams.
    pub(super) is_detour: bool,
    /// The attempts that the peer made before.
    pub(super) earlier_attempts: u32,
    pub(super) avoid: Vec<UpstreamId>,
    /// The fingerprints of what other requests may have in common with it.
    pub(super) content: Vec<Fingerprint>,
    /// The trial that it is of content which may crash upstreams.
    pub(super) trial: Option<Trial<D>>,
    pub(super) open: OpenRequest,
}

impl<D> Job<D>
where
    D: Dialect,
{
    /// When this node gives the request up: at the deadline, or when it ends.
    pub(super) fn ends_at(&self) -> Time {
        let node_ends = self.state.ends_at().unwrap_or(Time::NEVER);
        self.deadline.min(node_ends)
    }

    /// The time left until this node gives the request up.
    pub(super) fn time_left(&self) -> Duration {
        self.ends_at().since(self.state.now())
    }

    /// Whether this node ends before the deadline.
    pub(super) fn outlives_node(&self) -> bool {
        self.state.ends_at().is_some_and(|at| at < self.deadline)
    }

    /// Whether this node ends before an upstream can be expected to answer.
    ///
    /// How long an engine needs is predicted when the request is placed; other upstreams
    /// are expected to meet the objective.
    pub(super) fn is_too_late(&self) -> bool {
        let service = self.directory.service(&self.service);
        let is_predicted = service.is_some_and(|service| service.engine.is_some());
        self.outlives_node() && !is_predicted && self.time_left() < self.route.objective
    }

    /// Records what the request waits for, for the log of a stop.
    pub(super) fn enter(&self, stage: Stage) {
        self.open.enter(stage, self.state.now());
    }

    /// Whether the request may run more than once.
    pub(super) fn is_repeatable(&self) -> bool {
        self.route.repeat == Repeat::Safe
    }

    /// The request ID, for logs.
    pub(super) fn request_id(&self) -> &str {
        self.ask.id.to_str().unwrap_or("-")
    }

    /// The refusal for a request that this node cannot serve before it ends.
    pub(super) fn stop_refusal(&self) -> Refusal {
        let refusal = Refusal::ShuttingDown {
            after: STOP_RETRY_AFTER,
        };
        refusal.with_outcome(self.history.outcome())
    }

    /// The refusal for a request that has no time left.
    pub(super) fn deadline_refusal(&self) -> Refusal {
        if self.outlives_node() {
            return self.stop_refusal();
        }
        Refusal::DeadlinePassed {
            limit: Span::new(self.deadline.since(self.received)),
            outcome: self.history.outcome(),
        }
    }
}

/// Answers one request; `framed` is the refusal if its framing is ambiguous.
pub(super) async fn handle<D>(
    state: Arc<State<D>>,
    request: Request<Incoming>,
    framed: Result<(), Refusal>,
    origin: Origin,
) -> Response<AnswerBody>
where
    D: Dialect,
{
    let received = state.now();
    let (head, body) = request.into_parts();
    let admitted = match framed {
        Ok(()) => admit(&state, head, body, received, origin).await,
        Err(refusal) => Err((refusal, String::new())),
    };
    let served = match admitted {
        Ok(job) => serve(job).await,
        Err((refusal, id)) => {
            log_refusal(&state, "unknown", &id, &refusal, received);
            Err(refusal)
        }
    };
    let is_detour = origin == Origin::Peers;
    match served {
        Ok(mut response) => {
            if is_detour {
                detour::remove_mark(response.headers_mut());
            }
            response
        }
        Err(refusal) => {
            let mut response = answer::refusal(&state.dialect, &refusal);
            if is_detour {
                detour::mark_refusal(&state, &refusal, response.headers_mut());
            }
            response
        }
    }
}

/// Resolves the route, customer and service of a request, checks whether it may
/// be served, and reads its body.
async fn admit<D>(
    state: &Arc<State<D>>,
    mut head: Parts,
    body: Incoming,
    received: Time,
    origin: Origin,
) -> Result<Job<D>, (Refusal, String)>
where
    D: Dialect,
{
    let ask = state.dialect.parse_head(&head.headers).map_err(|fault| {
        let detail = fault.detail;
        (Refusal::BadHead { detail }, String::new())
    })?;
    let id = ask.id.to_str().unwrap_or("-").to_owned();
    let fail = |refusal| (refusal, id.clone());
    let patience = ask.patience.unwrap_or(Duration::MAX);
    starting::wait(state, received, patience)
        .await
        .map_err(fail)?;
    let trusted = state.trusts_configuration();
    let directory = state.view().directory.clone();
    let no_configuration = || Refusal::NoConfiguration {
        after: NO_CONFIGURATION_RETRY_AFTER,
    };
    let directory = directory
        .filter(|_| trusted)
        .ok_or_else(|| fail(no_configuration()))?;
    let host = head
        .headers
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default();
    let route = directory
        .route(host, head.uri.path())
        .ok_or_else(|| fail(Refusal::UnknownRoute))?;
    let customer = match &ask.key {
        _ if route.public || !directory.requires_key() => None,
        Some(key) => Some(
            directory
                .customer(key)
                .ok_or_else(|| fail(Refusal::Unauthorised))?,
        ),
        None => return Err(fail(Refusal::Unauthorised)),
    };
    let service = route
        .pick_service(&mut rand::rng())
        .ok_or_else(|| fail(no_configuration()))?
        .clone();
    let is_detour = origin == Origin::Peers;
    let earlier = if is_detour {
        detour::take_earlier(&mut head.headers)
    } else {
        Earlier::default()
    };
    let time = ask
        .patience
        .map_or(route.timeout, |patience| patience.min(route.timeout));
    let limit = directory.limits().max_body_bytes;
    let job = Job {
        route: Arc::clone(route),
        customer: customer.cloned(),
        service,
        received,
        deadline: received + time,
        prior_wait: route.timeout.saturating_sub(time),
        patience: time.min(route.patience()),
        history: earlier.history(),
        sent_to: BTreeSet::new(),
        sends: 0,
        is_detour,
        earlier_attempts: earlier.attempts,
        avoid: Vec::new(),
        content: Vec::new(),
        trial: None,
        open: state.open_requests.begin(&ask.id, received),
        body: Bytes::new(),
        state: Arc::clone(state),
        directory,
        ask,
        head,
    };
    // A detour has earned its share of retries at the node of its caller.
    if !is_detour {
        state.with_budget(&job.service, |policy, budget| budget.on_new_request(policy));
    }
    let mut job = job;
    job.body = body::read_body(&job, body, limit).await.map_err(fail)?;
    job.fingerprint_content();
    Ok(job)
}

/// Sends a request until it has an answer.
///
/// # Errors
///
/// The refusal for the caller.
async fn serve<D>(mut job: Job<D>) -> Result<Response<AnswerBody>, Refusal>
where
    D: Dialect,
{
    let state = Arc::clone(&job.state);
    let mut failure = None;
    let refusal = loop {
        let attempt = match job.send(job.ask.resume).await {
            Ok(attempt) => attempt,
            Err(refusal) => {
                // If the retry is refused, the caller gets the error response of the previous attempt,
                // which says more than the refusal.
                if let Some((status, headers, body)) = failure {
                    job.log_answer(status);
                    return Ok(answer::whole(status, headers, body));
                }
                break refusal;
            }
        };
        if job.route.is_streaming() && attempt.response.status() == StatusCode::OK {
            return Ok(relay::start(job, attempt));
        }
        match job.read_answer(attempt).await {
            Ok((source, status, headers, body)) => {
                // A peer has retried on its own as far as that is allowed.
                if let Source::Upstream(upstream) = source
                    && status.is_server_error()
                    && job.authorize_retry(&upstream).is_ok()
                {
                    failure = Some((status, headers, body));
                    continue;
                }
                job.log_answer(status);
                return Ok(answer::whole(status, headers, body));
            }
            Err(Some(refusal)) => break refusal,
            // A retry was authorized.
            Err(None) => {}
        }
    };
    log_refusal(&state, job.kind(), job.request_id(), &refusal, job.received);
    Err(refusal)
}

impl<D> Job<D>
where
    D: Dialect,
{
    /// Reads a complete answer.
    ///
    /// # Errors
    ///
    /// The refusal for the caller, or `None` if another attempt was authorized.
    async fn read_answer(
        &mut self,
        attempt: ActiveAttempt<D>,
    ) -> Result<(Source, StatusCode, HeaderMap, Bytes), Option<Refusal>> {
        let ActiveAttempt {
            response,
            source,
            address,
            sender,
            resources,
        } = attempt;
        let (head, body) = response.into_parts();
        let buffer = self.state.memory.answer_buffer();
        let whole = tokio::select! {
            whole = body::receive_answer(body, buffer) => whole,
            () = self.state.timers.at(self.deadline) => return Err(Some(self.deadline_refusal())),
            () = self.state.ending.cancelled() => return Err(Some(self.stop_refusal())),
        };
        drop(resources);
        match whole {
            Ok(whole) => {
                // An error of an upstream does not show that the content is sound, and neither does
                // a stream that did not begin.
                if let Source::Upstream(upstream) = &source {
                    if !head.status.is_server_error() && !self.route.is_streaming() {
                        self.on_answered();
                    }
                    if head.status.is_server_error() {
                        let status = head.status.as_str();
                        self.record_fault(upstream, address, Fault::Failed, status);
                    } else {
                        self.state.fleet().on_success(upstream, self.state.now());
                    }
                }
                let keep_alive = answer::keep_alive_timeout(&head.headers);
                self.state.return_to_pool(address, sender, keep_alive);
                let mut headers = head.headers;
                strip_hop_headers(&mut headers);
                Ok((source, head.status, headers, whole))
            }
            Err(error) => {
                if let Source::Upstream(upstream) = &source
                    && !matches!(error, AnswerError::TooLong)
                {
                    self.on_broken_off(upstream, true);
                }
                let detail = error.to_string();
                self.on_source_fault(&source, address, Fault::Broken, &detail);
                match self.authorize_retry_after(&source) {
                    Ok(()) => Err(None),
                    Err(_reason) => Err(Some(Refusal::AnswerBroken {
                        detail,
                        outcome: self.history.outcome(),
                    })),
                }
            }
        }
    }

    /// Logs that an upstream's answer is returned to the caller.
    pub(super) fn log_answer(&self, status: StatusCode) {
        let took = self.state.now().since(self.received);
        self.state
            .metrics
            .on_request_end(self.kind(), "answer", took);
        info!(
            event = "answer",
            request = self.request_id(),
            route = &*self.route.name,
            status = status.as_u16(),
            sends = self.sends,
            ms = took.as_millis() as u64,
        );
    }

    /// The kind of the request, for metric labels.
    pub(super) fn kind(&self) -> &'static str {
        match (self.route.is_streaming(), self.is_repeatable()) {
            (true, _) => "stream",
            (false, true) => "safe",
            (false, false) => "once",
        }
    }
}

/// Logs and counts a request that is refused or has failed.
pub(super) fn log_refusal<D>(
    state: &State<D>,
    kind: &'static str,
    id: &str,
    refusal: &Refusal,
    received: Time,
) {
    let took = state.now().since(received);
    state.metrics.on_request_end(kind, refusal.slug(), took);
    info!(
        event = "refusal",
        request = id,
        reason = refusal.slug(),
        detail = %refusal,
        outcome = %refusal.outcome(),
        ms = took.as_millis() as u64,
    );
}
