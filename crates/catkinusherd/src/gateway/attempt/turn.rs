//! Placement of a request, and the load that it adds to upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use catkinusher_core::fleet::{Cost, Demand, Overload, Placement};
use catkinusher_core::id::UpstreamId;
use catkinusher_core::outcome::Refusal;
use catkinusher_core::units::Span;
use tracing::info;

use super::{AttemptResources, NO_UPSTREAM_RETRY_AFTER};
use crate::gateway::dialect::Dialect;
use crate::gateway::handle::Job;

impl<D> Job<D>
where
    D: Dialect,
{
    /// The refusal of a request that could not be placed, with the outcome that its earlier attempts prove.
    pub(super) fn no_upstream_refusal(&self, after: Span) -> Refusal {
        self.history.refusal_after_attempts(Refusal::NoUpstream {
            service: self.service.clone(),
            after,
        })
    }

    /// Waits until the request can be placed.
    ///
    /// # Errors
    ///
    /// The refusal for the caller if no upstream can serve the request in time.
    pub(super) async fn wait_for_placement(&self) -> Result<(Placement, SocketAddr), Refusal> {
        loop {
            let refused = match self.place() {
                Ok(placed) => return Ok(placed),
                Err(Overload::Queued(pause)) => {
                    self.state.timers.after(pause).await;
                    continue;
                }
                Err(refused) => refused,
            };
            self.log_overload(refused);
            return Err(self.overload_refusal(refused));
        }
    }

    /// The refusal for an overload.
    fn overload_refusal(&self, overload: Overload) -> Refusal {
        let full = |after| Refusal::QueueFull {
            service: self.service.clone(),
            after,
        };
        match overload {
            Overload::Full(wait) | Overload::Queued(wait) => {
                self.history.refusal_after_attempts(full(Span::new(wait)))
            }
            Overload::TooLong => self
                .history
                .refusal_after_attempts(full(NO_UPSTREAM_RETRY_AFTER)),
            Overload::Late(needs) => self.history.refusal_after_attempts(Refusal::TooLate {
                predicted: Span::new(needs),
                left: Span::new(self.time_left()),
                after: NO_UPSTREAM_RETRY_AFTER,
            }),
            Overload::None => self.no_upstream_refusal(NO_UPSTREAM_RETRY_AFTER),
        }
    }

    fn place(&self) -> Result<(Placement, SocketAddr), Overload> {
        let service = self
            .directory
            .service(&self.service)
            .ok_or(Overload::None)?;
        let demand = Demand {
            prompt: self.ask.prompt,
            answer: self.ask.answer,
            objective: self.route.objective,
            age: self.prior_wait + self.state.now().since(self.received),
            patience: self.patience,
            waited: self.state.now().since(self.received),
            time_left: self.time_left(),
            avoid: self.avoid.clone(),
        };
        let now = self.state.now();
        let policy = &self.state.settings.placing;
        let mut fleet = self.state.fleet();
        let placed = fleet.place(service, &demand, policy, now, &mut rand::rng());
        let placement = placed?;
        let first = fleet.get(&placement.primary).ok_or(Overload::None)?.address;
        drop(fleet);
        Ok((placement, first))
    }

    pub(super) fn begin_work(&self, placement: &Placement) -> AttemptResources<D> {
        let now = self.state.now();
        let mut fleet = self.state.fleet();
        let first = (&placement.primary, placement.cost);
        let works = placement
            .helpers
            .iter()
            .map(|(id, cost)| (id, *cost))
            .chain([first])
            .map(|(id, cost): (&UpstreamId, Cost)| fleet.begin(id, cost, now))
            .collect();
        drop(fleet);
        self.state.load_changed.notify_one();
        AttemptResources {
            state: Arc::clone(&self.state),
            works,
            reservations: Vec::new(),
        }
    }

    /// Logs the overload that a request was refused for.
    fn log_overload(&self, overload: Overload) {
        let fleet = self.state.fleet();
        let (upstreams, nodes) = (fleet.len(), fleet.live_nodes(self.state.now()));
        drop(fleet);
        info!(
            event = "overload",
            request = self.request_id(),
            service = %self.service,
            overload = ?overload,
            prompt = self.ask.prompt.get(),
            revision = self.directory.revision(),
            upstreams,
            nodes,
            waited_ms = self.state.now().since(self.received).as_millis() as u64,
            left_ms = self.time_left().as_millis() as u64,
        );
    }

    pub(super) fn log_memory_refusal(&self, detail: &str) {
        self.state.metrics.on_call("upstream", "no-memory");
        info!(
            event = "memory",
            request = self.request_id(),
            outcome = "refused",
            detail
        );
    }
}
