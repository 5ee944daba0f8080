//! Placement of a request, and the load that it adds to upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::dry_run::{MAX_AVOIDED, refusal_for};
use catkinusher_core::fleet::{Authority, Cell, Demand, Fleet, Overload, Placement};
use catkinusher_core::id::Serial;
use catkinusher_core::outcome::Refusal;
use catkinusher_core::placer::Ask;
use catkinusher_core::units::Span;
use tracing::info;

use crate::gateway::dialect::Dialect;
use crate::gateway::handle::Job;
use crate::gateway::open::Stage;
use crate::gateway::placing::{self, NotPlaced, Placed};

impl<D> Job<D>
where
    D: Dialect,
{
    /// The refusal of a request that could not be placed, with the outcome that its earlier attempts prove.
    ///
    /// The caller may return after the time `after`, or when the first upstream
    /// takes requests again if all turn this node away.
    pub(super) fn no_upstream_refusal(&self, after: Span) -> Refusal {
        let rest = self.state.fleet().rest(&self.service, self.state.now());
        self.history.refusal_after_attempts(Refusal::NoUpstream {
            service: self.service.clone(),
            after: rest.map_or(after, Span::new),
        })
    }

    /// Waits until the request is placed, and counts its load.
    ///
    /// # Errors
    ///
    /// The refusal for the caller if no upstream can serve the request in time.
    pub(super) async fn wait_for_placement(&self) -> Result<Placed<D>, Refusal> {
        let cell = self
            .state
            .fleet()
            .home_cell(&self.service, self.state.settings.node.as_str());
        let waiting = placing::ask(&self.state, &cell, self.request_id(), |serial, unusable| {
            self.describe(serial, cell.clone(), unusable)
        });
        self.enter(Stage::Placement);
        let answer = tokio::select! {
            answer = waiting => answer,
            () = self.state.timers.at(self.deadline) => return Err(self.deadline_refusal()),
        };
        let refused = match answer {
            Ok(placed) => return Ok(placed),
            Err(NotPlaced::Overloaded(refused)) => refused,
            Err(NotPlaced::Unanswered) => match self.place_alone().await {
                Ok(placed) => return Ok(placed),
                Err(refused) => refused,
            },
        };
        self.log_overload(refused);
        Err(self.overload_refusal(refused))
    }

    /// Places the request by what this node alone knows.
    async fn place_alone(&self) -> Result<Placed<D>, Overload> {
        loop {
            match self.place() {
                Ok((placement, address)) => {
                    let resources = self.state.begin_work(&placement);
                    return Ok(Placed {
                        placement,
                        address,
                        resources,
                    });
                }
                Err(Overload::Queued(pause)) => self.state.timers.after(pause).await,
                Err(refused) => return Err(refused),
            }
        }
    }

    /// The ask for this request at the present moment.
    fn describe(&self, serial: Serial, cell: Cell, unusable: &[u32]) -> Ask {
        let now = self.state.now();
        let waited = now.since(self.received);
        let mut avoid = unusable.to_vec();
        avoid.extend(self.avoid.iter().map(Fleet::short_id));
        let unusable = self.state.fleet().unusable(now);
        avoid.extend(unusable.into_iter().take(MAX_AVOIDED));
        let millis = |time: Duration| time.as_millis() as u64;
        Ask {
            serial,
            cell,
            forwarded: false,
            prompt: self.ask.prompt,
            answer: self.ask.answer,
            objective: millis(self.route.objective),
            pause: self.route.pause().map(millis),
            age: millis(self.prior_wait + waited),
            patience: millis(self.patience),
            waited: millis(waited),
            left: millis(self.time_left()),
            avoid,
        }
    }

    /// The refusal for an overload.
    fn overload_refusal(&self, overload: Overload) -> Refusal {
        if matches!(overload, Overload::Late(_)) && self.outlives_node() {
            return self.stop_refusal();
        }
        let rest = self.state.fleet().rest(&self.service, self.state.now());
        let refusal = refusal_for(overload, &self.service, rest, self.time_left());
        self.history.refusal_after_attempts(refusal)
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
            pause: self.route.pause(),
            age: self.prior_wait + self.state.now().since(self.received),
            patience: self.patience,
            waited: self.state.now().since(self.received),
            time_left: self.time_left(),
            avoid: self.avoid.clone(),
            within: None,
            authority: Authority::Own,
            trace: false,
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

    /// Logs the overload that a request was refused for.
    fn log_overload(&self, overload: Overload) {
        let fleet = self.state.fleet();
        let (upstreams, nodes) = (fleet.len(), self.state.roster().len());
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
