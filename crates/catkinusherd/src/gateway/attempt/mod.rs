//! Sending a request to an upstream, and deciding on another attempt.

mod judge;
mod turn;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::directory::Repeat;
use catkinusher_core::fleet::{Fault, Placement, WorkId};
use catkinusher_core::id::UpstreamId;
use catkinusher_core::outcome::{Evidence, Refusal};
use catkinusher_core::units::Span;
use http::{Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use tracing::info;

use crate::forward::plain::headers::strip;
use crate::gateway::dialect::{Dialect, Dispatch, FailedUpstream, Helper, ResponseClass};
use crate::gateway::handle::Job;
use crate::gateway::pool::Link;
use crate::gateway::reserve::Reservation;
use crate::gateway::state::State;

/// The least time for which an attempt is worth starting: a hop and a short pass.
const LEAST_TIME: Duration = Duration::from_millis(20);

/// Upstreams that may turn out unreachable or moved before a request is given up; nothing was sent to them.
const DETOURS: u32 = 4;

/// When to come back if no upstream can be had: they restart within seconds.
const NONE_WAIT: Span = Span::from_millis(500);

/// When to come back after an upstream refused.
const REFUSED_WAIT: Span = Span::from_millis(300);

/// The pause before memory is asked for again, a few passes.
const MEMORY_PAUSE: Duration = Duration::from_millis(200);

/// How long a connection may take to be free after its answer; the request may still be on its way.
const FREE_LIMIT: Duration = Duration::from_millis(500);

/// What an attempt holds at upstreams, given back when it is dropped.
#[derive(Debug)]
pub(in crate::gateway) struct Held<D> {
    state: Arc<State<D>>,
    works: Vec<WorkId>,
    reserved: Vec<Reservation>,
}

impl<D> Held<D> {
    /// Notes that the prompt is read.
    pub(in crate::gateway) fn on_read(&self) {
        let mut fleet = self.state.fleet();
        for work in &self.works {
            fleet.on_prefill_done(*work);
        }
        drop(fleet);
        self.state.changed.notify_one();
    }
}

impl<D> Drop for Held<D> {
    fn drop(&mut self) {
        let mut fleet = self.state.fleet();
        for work in self.works.drain(..) {
            fleet.end(work);
        }
        drop(fleet);
        self.state.changed.notify_one();
    }
}

/// An attempt whose answer has begun.
#[derive(Debug)]
pub(in crate::gateway) struct Live<D>
where
    D: Dialect,
{
    pub(in crate::gateway) response: Response<Incoming>,
    pub(in crate::gateway) upstream: UpstreamId,
    pub(in crate::gateway) address: SocketAddr,
    pub(in crate::gateway) sender: SendRequest<Full<Bytes>>,
    pub(in crate::gateway) held: Held<D>,
}

/// How an attempt ended without an answer.
enum Miss {
    /// Nothing was sent; another upstream may be tried.
    Unsent(String),
    /// The upstream refused, and did not run it, perhaps as another one failed it.
    Refused(Option<UpstreamId>),
    /// Nothing was sent, as a helper did not set memory aside.
    NoMemory(String),
    /// Another upstream has the address.
    Moved,
    /// It may have run.
    Lost(Fault, String),
    /// The deadline came.
    Late,
}

impl<D> State<D>
where
    D: Dialect,
{
    /// The upstream that another one names as at fault.
    fn culprit(&self, culprit: &FailedUpstream) -> Option<UpstreamId> {
        let fleet = self.fleet();
        match culprit {
            FailedUpstream::Id(id) => fleet.get(id).map(|one| one.id.clone()),
            FailedUpstream::Address(address) => fleet.find_by_address(*address).cloned(),
        }
    }

    /// Keeps a connection once its request has left it whole.
    pub(in crate::gateway) fn keep(
        self: &Arc<Self>,
        address: SocketAddr,
        mut sender: SendRequest<Full<Bytes>>,
        life: Option<Duration>,
    ) {
        if sender.is_ready() {
            self.pool.put(address, sender, life, self.now());
            return;
        }
        let state = Arc::clone(self);
        tokio::spawn(async move {
            let free = tokio::time::timeout(FREE_LIMIT, sender.ready()).await;
            if matches!(free, Ok(Ok(()))) {
                state.pool.put(address, sender, life, state.now());
            }
        });
    }
}

impl<D> Job<D>
where
    D: Dialect,
{
    /// Sends the request until an upstream begins to answer.
    ///
    /// # Errors
    ///
    /// The refusal for the caller.
    pub(in crate::gateway) async fn send(
        &mut self,
        resume: Option<u64>,
    ) -> Result<Live<D>, Refusal> {
        let mut detours = 0;
        loop {
            if self.left() < LEAST_TIME {
                return Err(self.late());
            }
            let (placement, address) = self.turn().await?;
            let upstream = placement.primary.clone();
            let held = self.hold(&placement);
            match self.exchange(&placement, address, held, resume).await {
                Ok(live) => return Ok(live),
                Err(Miss::Late) => return Err(self.late()),
                Err(Miss::Unsent(detail)) => {
                    self.fail(&upstream, address, Fault::Unreachable, &detail);
                    detours += 1;
                }
                Err(Miss::NoMemory(detail)) => {
                    self.note_memory(&detail);
                    self.state.timers.after(MEMORY_PAUSE).await;
                    detours += 1;
                }
                Err(Miss::Moved) => {
                    self.fail(&upstream, address, Fault::Moved, "another has the address");
                    detours += 1;
                    // It arrived at an upstream all the same, and so counts as a retry.
                    if !self.affords_detour() {
                        return Err(self.refused(NONE_WAIT));
                    }
                }
                Err(Miss::Refused(Some(culprit))) => {
                    // The same upstream may still serve it, with other helpers.
                    self.fail(&culprit, address, Fault::Absent, "it failed as a helper");
                    self.again(&culprit)
                        .map_err(|_reason| self.refused(REFUSED_WAIT))?;
                }
                Err(Miss::Refused(None)) => {
                    self.fail(&upstream, address, Fault::Refused, "it refused");
                    self.again(&upstream)
                        .map_err(|_reason| self.refused(REFUSED_WAIT))?;
                }
                Err(Miss::Lost(fault, detail)) => {
                    self.fail(&upstream, address, fault, &detail);
                    self.again(&upstream)
                        .map_err(|_reason| Refusal::UpstreamFailed {
                            detail,
                            outcome: self.trail.outcome(),
                        })?;
                }
            }
            if detours > DETOURS {
                return Err(self.refused(NONE_WAIT));
            }
        }
    }

    async fn exchange(
        &mut self,
        placement: &Placement,
        address: SocketAddr,
        mut held: Held<D>,
        resume: Option<u64>,
    ) -> Result<Live<D>, Miss> {
        let upstream = &placement.primary;
        let (helpers, reserved) = self
            .state
            .reserve(&placement.helpers)
            .await
            .map_err(Miss::NoMemory)?;
        held.reserved = reserved;
        // A kept connection may be closed by the other side at any moment, which nothing proves afterwards.
        let fresh = self.route.repeat == Repeat::Once;
        let now = self.state.now();
        let link = self.state.pool.get(address, fresh, now).await;
        let Link { mut sender, fresh } = link.map_err(Miss::Unsent)?;
        let left = self.left();
        if left < LEAST_TIME {
            return Err(Miss::Late);
        }
        // Waiting for the connection took time in which both may have changed.
        if !self.state.fleet().accepts_requests(upstream) || !self.state.trusted() {
            return Err(Miss::Unsent("it left meanwhile".to_owned()));
        }
        let request = self.request(upstream, left, &helpers, resume);
        self.trail.on_evidence(Evidence::Leaving);
        let first = self.sent.insert(upstream.clone());
        self.sends += 1;
        let silence = self.silence();
        let basis = &placement.basis;
        info!(
            event = "send",
            request = self.name(),
            revision = self.directory.revision(),
            upstream = %upstream,
            attempt = self.sends,
            helpers = ?placement.helpers.iter().map(|(id, _)| id.as_str()).collect::<Vec<_>>(),
            fresh,
            choices = basis.choices,
            shorts = basis.shorts,
            writers = basis.writers,
            answers = basis.load.active_requests(),
            parts = basis.load.parts,
            wait_ms = basis.wait.as_millis() as u64,
            left_ms = left.as_millis() as u64,
        );
        let sent = tokio::select! {
            sent = sender.try_send_request(request) => sent,
            () = self.state.timers.after(silence) => {
                let detail = format!("silent for {}", Span::new(silence));
                return Err(if silence >= left { Miss::Late } else { Miss::Lost(Fault::Silent, detail) });
            }
        };
        let response = match sent {
            Ok(response) => response,
            Err(mut fault) => {
                let unsent = fault.take_message().is_some();
                let detail = fault.into_error().to_string();
                if unsent {
                    self.trail.on_evidence(Evidence::Unsent);
                    self.sends -= 1;
                    if first {
                        self.sent.remove(upstream);
                    }
                    return Err(Miss::Unsent(detail));
                }
                return Err(Miss::Lost(Fault::Broken, detail));
            }
        };
        let class = self.state.dialect.classify_response(
            response.status(),
            response.headers(),
            &self.ask.id,
        );
        match class {
            ResponseClass::Answer => {
                self.trail.on_evidence(Evidence::Answered);
                self.state.metrics.on_call("upstream", "answered");
                Ok(Live {
                    response,
                    upstream: upstream.clone(),
                    address,
                    sender,
                    held,
                })
            }
            ResponseClass::NotRun(culprit) => {
                self.trail.on_evidence(Evidence::Refused);
                let culprit = culprit.and_then(|culprit| self.state.culprit(&culprit));
                Err(Miss::Refused(culprit.filter(|culprit| culprit != upstream)))
            }
            ResponseClass::Moved => {
                self.trail.on_evidence(Evidence::Refused);
                Err(Miss::Moved)
            }
            ResponseClass::Mismatched => {
                let detail = format!("no answer to this request: status {}", response.status());
                Err(Miss::Lost(Fault::Broken, detail))
            }
        }
    }

    fn request(
        &self,
        upstream: &UpstreamId,
        timeout: Duration,
        helpers: &[Helper],
        resume: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let dispatch = Dispatch {
            upstream,
            timeout,
            customer: self.customer.as_ref().map(|customer| &customer.name),
            helpers,
            urgency: None,
            resume,
        };
        let mut headers = self.head.headers.clone();
        strip(&mut headers);
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.head.method.clone();
        *request.uri_mut() = self.head.uri.clone();
        *request.headers_mut() = self.state.dialect.upstream_headers(&headers, &dispatch);
        request
    }
}
