//! Detours of requests at a node that is cut off from all upstreams.
//!
//! Its callers cannot choose another node, so it passes their requests to a peer, which serves them
//! like those of its own callers: it checks, places, retries and counts them. A request takes one
//! detour at most. What was weighed is in
//! [docs/incidents/stranded-nodes.md](../../../../docs/incidents/stranded-nodes.md).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::fleet::Fault;
use catkinusher_core::outcome::{AttemptHistory, Evidence, Outcome, Refusal};
use catkinusher_core::roster::Peer;
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::seq::IndexedRandom;
use tracing::info;

use super::attempt::{ActiveAttempt, AttemptResources, MIN_ATTEMPT_TIME, Source};
use super::dialect::{Dialect, ResponseClass};
use super::handle::Job;
use super::open::Stage;
use super::state::State;
use crate::forward::plain::headers::strip_hop_headers;

/// The attempts that a request has used before its detour.
const ATTEMPTS: HeaderName = HeaderName::from_static("catkinusher-attempts");

/// Set if an earlier attempt may have run.
const MAY_HAVE_RUN: HeaderName = HeaderName::from_static("catkinusher-may-have-run");

/// Set in a refusal for a reason that concerns the refusing node alone; the request has not run.
const UNABLE: HeaderName = HeaderName::from_static("catkinusher-unable");

/// The number of peers that one request tries.
const MAX_PEERS: u32 = 4;

/// How long a peer is passed over after it could not serve a detour.
const PASS_OVER: Duration = Duration::from_secs(2);

/// The same after no connection to it could be opened: nodes that were lost for good stay registered.
const UNREACHABLE_PASS_OVER: Duration = Duration::from_secs(10);

/// How long a peer may take to begin an answer, as a multiple of the time that an upstream has: it
/// may send the request to a second one.
const PATIENCE_FACTOR: u32 = 3;

/// The peers of the own data centre that must be unable before others are used: the cut may be that
/// of the data centre.
const MIN_UNABLE: usize = 2;

/// The peers that could not serve a detour, and until when they are passed over.
#[derive(Debug, Default)]
pub(super) struct Detours {
    unable: HashMap<SocketAddr, Time>,
}

impl Detours {
    /// Picks a peer, of the own data centre if possible, in proportion to its capacity.
    fn pick(&mut self, peers: &[Peer], now: Time) -> Option<SocketAddr> {
        self.unable.retain(|_, until| now < *until);
        let is_unable = |peer: &&Peer| self.unable.contains_key(&peer.address);
        let unable_near = peers.iter().filter(|peer| peer.is_near).filter(is_unable);
        let is_far_allowed = unable_near.count() >= MIN_UNABLE;
        let able: Vec<&Peer> = peers.iter().filter(|peer| !is_unable(peer)).collect();
        let near: Vec<&Peer> = able.iter().copied().filter(|peer| peer.is_near).collect();
        let candidates = if is_far_allowed || near.is_empty() {
            able
        } else {
            near
        };
        let weight = |peer: &&Peer| peer.capacity.max(1);
        let picked = candidates.choose_weighted(&mut rand::rng(), weight);
        picked.ok().map(|peer| peer.address)
    }
}

/// The end of an attempt at one peer without an answer.
enum PeerError {
    /// No connection could be opened.
    Unreachable(String),
    /// The peer cannot serve it; it has not run.
    Unable(String),
    /// The peer failed, and the request may have run.
    Lost(String),
    /// The deadline passed, as it does at the peer.
    DeadlinePassed,
}

/// What happened to a request before its detour.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Earlier {
    /// The attempts that the node of its caller made.
    pub(super) attempts: u32,
    may_have_run: bool,
}

impl Earlier {
    /// The history with which the attempts of this node begin.
    pub(super) fn history(self) -> AttemptHistory {
        let mut history = AttemptHistory::new();
        if self.may_have_run {
            history.on_evidence(Evidence::Leaving);
        }
        history
    }
}

/// Takes what happened before from the headers of a detour.
pub(super) fn take_earlier(headers: &mut HeaderMap) -> Earlier {
    let value = headers.remove(ATTEMPTS);
    let attempts = value.and_then(|value| value.to_str().ok()?.parse().ok());
    Earlier {
        attempts: attempts.unwrap_or_default(),
        may_have_run: headers.remove(MAY_HAVE_RUN).is_some(),
    }
}

/// Removes the mark of a refusal from an answer: upstreams must not set it.
pub(super) fn remove_mark(headers: &mut HeaderMap) {
    headers.remove(UNABLE);
}

/// Marks the refusal of a detour if another node may serve the request.
pub(super) fn mark_refusal<D>(state: &State<D>, refusal: &Refusal, headers: &mut HeaderMap) {
    let concerns_node = match refusal {
        Refusal::ShuttingDown { .. }
        | Refusal::NoConfiguration { .. }
        | Refusal::MemoryFull { .. } => true,
        Refusal::NoUpstream { .. } => state.is_cut_off(),
        _ => false,
    };
    if concerns_node && refusal.outcome() == Outcome::NotRun {
        headers.insert(UNABLE, HeaderValue::from_static("1"));
    }
}

impl<D> Job<D>
where
    D: Dialect,
{
    /// Lets a peer serve the request, and returns `None` if no peer can, so that only the own links
    /// are left.
    ///
    /// # Errors
    ///
    /// The refusal for the caller if the request may have run and must not be repeated.
    pub(super) async fn detour(
        &mut self,
        resume: Option<u64>,
    ) -> Result<Option<ActiveAttempt<D>>, Refusal> {
        for _ in 0..MAX_PEERS {
            let now = self.state.now();
            let peers = self.state.roster().reachable();
            let Some(peer) = self.state.detours().pick(&peers, now) else {
                return Ok(None);
            };
            match self.send_to_peer(peer, resume).await {
                Ok(attempt) => return Ok(Some(attempt)),
                Err(PeerError::Unreachable(detail)) => {
                    self.on_peer_fault(peer, Fault::Unreachable, &detail);
                }
                Err(PeerError::Unable(detail)) => {
                    self.on_peer_fault(peer, Fault::Refused, &detail);
                }
                Err(PeerError::DeadlinePassed) => return Err(self.deadline_refusal()),
                Err(PeerError::Lost(detail)) => {
                    self.earlier_attempts += 1;
                    self.on_peer_fault(peer, Fault::Broken, &detail);
                    self.authorize_retry_after(&Source::Peer)
                        .map_err(|_reason| Refusal::UpstreamFailed {
                            detail,
                            outcome: self.history.outcome(),
                        })?;
                }
            }
            if self.time_left() < MIN_ATTEMPT_TIME {
                return Err(self.deadline_refusal());
            }
        }
        Ok(None)
    }

    async fn send_to_peer(
        &mut self,
        peer: SocketAddr,
        resume: Option<u64>,
    ) -> Result<ActiveAttempt<D>, PeerError> {
        self.enter(Stage::Connection);
        // As for an upstream, what must run only once is not sent on a connection that may be
        // about to close.
        let fresh = !self.is_repeatable();
        let now = self.state.now();
        let connection = self.state.pool.get(peer, fresh, now).await;
        let mut connection = connection.map_err(PeerError::Unreachable)?;
        let left = self.time_left();
        let patience = left.min(self.response_timeout() * PATIENCE_FACTOR);
        let request = self.peer_request(left, resume);
        self.on_evidence(Evidence::Leaving);
        self.enter(Stage::Response);
        info!(event = "detour", request = self.request_id(), %peer, left_ms = left.as_millis() as u64);
        let sent = tokio::select! {
            sent = connection.sender.try_send_request(request) => sent,
            () = self.state.timers.after(patience) => {
                return Err(if patience < left {
                    PeerError::Lost(format!("silent for {}", Span::new(patience)))
                } else {
                    PeerError::DeadlinePassed
                });
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(mut fault) => {
                let is_unsent = fault.take_message().is_some();
                let detail = fault.into_error().to_string();
                if is_unsent {
                    self.on_evidence(Evidence::Unsent);
                    return Err(PeerError::Unable(detail));
                }
                return Err(PeerError::Lost(detail));
            }
        };
        if response.headers().contains_key(UNABLE) {
            self.on_evidence(Evidence::Refused);
            return Err(PeerError::Unable("the peer cannot serve it".to_owned()));
        }
        if response.status().is_success() && !self.is_answer(&response, !connection.fresh) {
            return Err(PeerError::Lost("no answer to this request".to_owned()));
        }
        self.on_evidence(Evidence::Answered);
        self.state.metrics.on_call("peer", "answered");
        self.enter(Stage::Answer);
        Ok(ActiveAttempt {
            response,
            source: Source::Peer,
            address: peer,
            sender: connection.sender,
            resources: AttemptResources::none(Arc::clone(&self.state)),
        })
    }

    fn is_answer(&self, response: &Response<Incoming>, reused: bool) -> bool {
        let (status, headers) = (response.status(), response.headers());
        let dialect = &self.state.dialect;
        let class = dialect.classify_response(status, headers, &self.ask.id, reused);
        class == ResponseClass::Answer
    }

    fn peer_request(&self, left: Duration, resume: Option<u64>) -> Request<Full<bytes::Bytes>> {
        let mut headers = self.head.headers.clone();
        strip_hop_headers(&mut headers);
        let mut headers = self.state.dialect.peer_headers(&headers, left, resume);
        headers.insert(ATTEMPTS, self.attempts().into());
        headers.remove(MAY_HAVE_RUN);
        if self.history.outcome() != Outcome::NotRun {
            headers.insert(MAY_HAVE_RUN, HeaderValue::from_static("1"));
        }
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = headers;
        request
    }

    /// Records that a peer could not serve a detour, and passes it over for a while.
    pub(super) fn on_peer_fault(&self, peer: SocketAddr, fault: Fault, detail: &str) {
        let pause = match fault {
            Fault::Unreachable => UNREACHABLE_PASS_OVER,
            _ => PASS_OVER,
        };
        let until = self.state.now() + pause;
        self.state.detours().unable.insert(peer, until);
        self.state.metrics.on_call("peer", fault.name());
        self.state.pool.evict(peer);
        info!(
            event = "detour",
            request = self.request_id(),
            %peer,
            fault = fault.name(),
            detail,
            outcome = %self.history.outcome(),
        );
    }
}
