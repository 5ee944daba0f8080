//! Waiting for a place, and what a request holds there.

use std::net::SocketAddr;
use std::sync::Arc;

use catkinusher_core::fleet::{Cost, Demand, Overload, Placement};
use catkinusher_core::id::UpstreamId;
use catkinusher_core::outcome::Refusal;
use catkinusher_core::units::Span;
use tracing::info;

use super::{Held, NONE_WAIT};
use crate::gateway::dialect::Dialect;
use crate::gateway::handle::Job;

impl<D> Job<D>
where
    D: Dialect,
{
    /// The refusal of a request that could not be placed, as true as earlier attempts allow.
    pub(super) fn refused(&self, after: Span) -> Refusal {
        self.trail.refusal_after_attempts(Refusal::NoUpstream {
            service: self.service.clone(),
            after,
        })
    }

    /// Waits until the request may be placed.
    pub(super) async fn turn(&self) -> Result<(Placement, SocketAddr), Refusal> {
        loop {
            let refused = match self.place() {
                Ok(placed) => return Ok(placed),
                Err(Overload::Queued(pause)) => {
                    self.state.timers.after(pause).await;
                    continue;
                }
                Err(refused) => refused,
            };
            self.note_overload(refused);
            return Err(self.overloaded(refused));
        }
    }

    /// What the caller is told of an overload.
    fn overloaded(&self, overload: Overload) -> Refusal {
        let full = |after| Refusal::QueueFull {
            service: self.service.clone(),
            after,
        };
        match overload {
            Overload::Full(wait) | Overload::Queued(wait) => {
                self.trail.refusal_after_attempts(full(Span::new(wait)))
            }
            Overload::TooLong => self.trail.refusal_after_attempts(full(NONE_WAIT)),
            Overload::Late(needs) => self.trail.refusal_after_attempts(Refusal::TooLate {
                predicted: Span::new(needs),
                left: Span::new(self.left()),
                after: NONE_WAIT,
            }),
            Overload::None => self.refused(NONE_WAIT),
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
            age: self.age + self.state.now().since(self.received),
            patience: self.patience,
            waited: self.state.now().since(self.received),
            time_left: self.left(),
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

    pub(super) fn hold(&self, placement: &Placement) -> Held<D> {
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
        self.state.changed.notify_one();
        Held {
            state: Arc::clone(&self.state),
            works,
            reserved: Vec::new(),
        }
    }

    /// Logs what a request was refused by.
    fn note_overload(&self, overload: Overload) {
        let fleet = self.state.fleet();
        let (upstreams, nodes) = (fleet.len(), fleet.live_nodes(self.state.now()));
        drop(fleet);
        info!(
            event = "overload",
            request = self.name(),
            service = %self.service,
            overload = ?overload,
            prompt = self.ask.prompt.get(),
            revision = self.directory.revision(),
            upstreams,
            nodes,
            waited_ms = self.state.now().since(self.received).as_millis() as u64,
            left_ms = self.left().as_millis() as u64,
        );
    }

    pub(super) fn note_memory(&self, detail: &str) {
        self.state.metrics.on_call("upstream", "no-memory");
        info!(
            event = "memory",
            request = self.name(),
            outcome = "refused",
            detail
        );
    }
}
