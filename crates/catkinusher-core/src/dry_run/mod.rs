//! Where a request would go now, and why, as a node tells operators.
//!
//! A [`State`] is a copy of what a node decides by. It holds no API key and no content
//! of requests, so it can be saved to a file and asked later.

mod report;

pub use self::report::{Decision, Outcome, Reason, Report};

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::directory::{Directory, Limits, Route, Service};
use crate::fleet::{Cell, Fleet, Overload, Policy};
use crate::id::{CustomerId, Incarnation, Serial, ServiceId, VmId};
use crate::outcome::Refusal;
use crate::placer::{Ask, Placer, Preview};
use crate::roster::Roster;
use crate::time::Time;
use crate::units::{Span, Tokens};

/// The retry delay given to callers when no upstream is available; upstreams restart within seconds.
pub const NO_UPSTREAM_RETRY_AFTER: Span = Span::from_millis(500);

/// The most unusable upstreams that an ask names.
pub const MAX_AVOIDED: usize = 24;

/// The seed of the random numbers that break ties, so that the same state gives the same answer.
const SEED: u64 = 1;

/// A request about which a state is asked.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Query {
    /// The host.
    pub host: String,
    /// The path.
    pub path: String,
    /// The name of the customer; a node knows it from the API key, too.
    pub customer: Option<String>,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The maximum length of the answer.
    pub answer: Tokens,
}

/// Why there is no answer to a query.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum QueryError {
    /// No route matches.
    #[error("no route for host `{0}` and path `{1}`")]
    UnknownRoute(String, String),
    /// The route needs a customer.
    #[error("route `{0}` needs an API key or the name of a customer")]
    NoCustomer(String),
    /// No customer has this name.
    #[error("there is no customer `{0}`")]
    UnknownCustomer(String),
}

/// The configuration without API keys.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
struct Catalogue {
    revision: u64,
    routes: Vec<Route>,
    services: Vec<Service>,
    /// `None` if callers need no key.
    customers: Option<BTreeSet<CustomerId>>,
}

impl Catalogue {
    fn new(directory: &Directory) -> Self {
        let names = directory.customers().map(|one| one.name.clone());
        Self {
            revision: directory.revision(),
            routes: directory.routes().map(|one| (**one).clone()).collect(),
            services: directory.services().map(|one| (**one).clone()).collect(),
            customers: directory.requires_key().then(|| names.collect()),
        }
    }

    fn directory(&self) -> Directory {
        let (routes, services) = (self.routes.clone(), self.services.clone());
        let customers = self.customers.as_ref().map(|_names| Vec::new());
        Directory::new(
            self.revision,
            routes,
            services,
            customers,
            Limits::default(),
        )
    }

    /// The customer of a request to `route`, if it needs one.
    fn customer(&self, route: &Route, query: &Query) -> Result<Option<CustomerId>, QueryError> {
        if let Some(name) = &query.customer {
            let mut customers = self.customers.iter().flatten();
            let customer = customers.find(|customer| customer.as_str() == name);
            let unknown = || QueryError::UnknownCustomer(name.clone());
            return customer.cloned().map(Some).ok_or_else(unknown);
        }
        if route.public || self.customers.is_none() {
            return Ok(None);
        }
        Err(QueryError::NoCustomer(route.name.to_string()))
    }
}

/// A copy of what a node decides by.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct State {
    node: VmId,
    /// The address of the node for messages of other nodes.
    address: SocketAddr,
    catalogue: Catalogue,
    /// The nodes that place the requests of the cells.
    holders: Vec<(Cell, SocketAddr)>,
    placer: Placer,
    fleet: Fleet,
    policy: Policy,
    now: Time,
}

impl State {
    /// Copies the state of a node at the time `now`; `boot_time` is that of the roster's clock.
    #[must_use]
    pub fn new(
        node: VmId,
        directory: &Directory,
        roster: &Roster,
        placer: Placer,
        fleet: Fleet,
        policy: Policy,
        (now, boot_time): (Time, Time),
    ) -> Self {
        let cells: BTreeSet<Cell> = directory
            .services()
            .flat_map(|service| {
                let mut cells = fleet.open_cells(&service.name);
                cells.insert(fleet.home_cell(&service.name, node.as_str()));
                cells
            })
            .collect();
        let holder = |cell: &Cell| roster.holders(&cell.duty(), 1, boot_time).first().copied();
        Self {
            node,
            address: roster.own(),
            catalogue: Catalogue::new(directory),
            holders: cells
                .into_iter()
                .filter_map(|cell| holder(&cell).map(|holder| (cell, holder)))
                .collect(),
            placer,
            fleet,
            policy,
            now,
        }
    }

    /// What the node would do with a request that has just arrived.
    ///
    /// # Errors
    ///
    /// [`QueryError`] if the route or the customer is unknown.
    pub fn report(&self, query: &Query) -> Result<Report, QueryError> {
        let directory = self.catalogue.directory();
        let route = directory
            .route(&query.host, &query.path)
            .ok_or_else(|| QueryError::UnknownRoute(query.host.clone(), query.path.clone()))?;
        let customer = self.catalogue.customer(route, query)?;
        let decide = |(service, weight): &(ServiceId, f64)| {
            let cell = self.fleet.home_cell(service, self.node.as_str());
            Decision {
                service: service.clone(),
                weight: *weight,
                cell: cell.to_string(),
                outcome: self.decide(&directory, self.ask(route, query, cell)),
            }
        };
        Ok(Report {
            node: self.node.clone(),
            revision: directory.revision(),
            route: route.name.to_string(),
            customer,
            prompt: query.prompt,
            answer: query.answer,
            decisions: route.split.iter().map(decide).collect(),
        })
    }

    /// The ask for a request that has just arrived with the whole time of its route.
    fn ask(&self, route: &Route, query: &Query, cell: Cell) -> Ask {
        let millis = |time: Duration| time.as_millis() as u64;
        let unusable = self.fleet.unusable(self.now).into_iter();
        Ask {
            serial: Serial::new(Incarnation::default(), 0),
            cell,
            forwarded: false,
            prompt: query.prompt,
            answer: query.answer,
            objective: millis(route.objective),
            pause: route.pause().map(millis),
            age: 0,
            patience: millis(route.timeout.min(route.patience())),
            waited: 0,
            left: millis(route.timeout),
            avoid: unusable.take(MAX_AVOIDED).collect(),
        }
    }

    fn decide(&self, directory: &Directory, ask: Ask) -> Outcome {
        let holder = self.holders.iter().find(|(cell, _)| *cell == ask.cell);
        if let Some((_, node)) = holder.filter(|(_, node)| *node != self.address) {
            return Outcome::Elsewhere { node: *node };
        }
        let mut rng = ChaCha8Rng::seed_from_u64(SEED);
        let (fleet, policy, now) = (&self.fleet, &self.policy, self.now);
        let preview = self
            .placer
            .preview(&ask, fleet, directory, policy, now, &mut rng);
        match preview {
            Preview::Placed(placement) => Outcome::Placed(Box::new((*placement).into())),
            Preview::Waiting => Outcome::Waiting,
            Preview::Unable => Outcome::Unknown,
            Preview::Forwarded(cell) => {
                let ask = Ask {
                    cell,
                    forwarded: true,
                    ..ask
                };
                self.decide(directory, ask)
            }
            Preview::Overloaded(overload) => {
                let service = &ask.cell.service;
                let rest = fleet.rest(service, now);
                let left = Duration::from_millis(ask.left);
                let refusal = refusal_for(overload, service, rest, left);
                Outcome::Refused {
                    reason: refusal.slug().to_owned(),
                    detail: refusal.to_string(),
                    retry_after_ms: refusal.wait().map(|wait| wait.as_millis() as u64),
                }
            }
        }
    }
}

/// The refusal for a request that was not sent before, with the time `left`.
///
/// `rest` is the time until the first upstream takes requests of this node again, if all rest.
#[must_use]
pub fn refusal_for(
    overload: Overload,
    service: &ServiceId,
    rest: Option<Duration>,
    left: Duration,
) -> Refusal {
    let service = service.clone();
    match overload {
        Overload::Full(wait) | Overload::Queued(wait) => Refusal::QueueFull {
            service,
            after: Span::new(wait),
        },
        Overload::TooLong => Refusal::QueueFull {
            service,
            after: NO_UPSTREAM_RETRY_AFTER,
        },
        Overload::Late(needs) => Refusal::TooLate {
            predicted: Span::new(needs),
            left: Span::new(left),
            after: NO_UPSTREAM_RETRY_AFTER,
        },
        Overload::None => Refusal::NoUpstream {
            service,
            after: rest.map_or(NO_UPSTREAM_RETRY_AFTER, Span::new),
        },
    }
}
