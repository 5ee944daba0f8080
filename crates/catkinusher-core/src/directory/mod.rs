//! Lookup of the service and the customer of a request in the operators' configuration.
//!
//! A [`Directory`] holds one revision of that configuration: routes by host and
//! path, services, customers by API key and the limits on requests. It is built
//! once per revision and is immutable afterwards.

use std::collections::{BTreeMap, HashMap};
use std::fmt;
use std::num::ParseFloatError;
use std::str::FromStr;
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::engine::EngineProfile;
use crate::id::{CustomerId, ServiceId};
use crate::units::Rate;

/// The least time for which callers are assumed to wait for the first event of a stream.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

/// The largest weight of a service that is told from a larger one.
const MAX_WEIGHT: f64 = 1e12;

/// Whether a request may be run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It is idempotent and may run any number of times.
    Safe,
    /// It must run at most once.
    Once,
}

/// The form in which a route's responses are delivered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Delivery {
    /// As a complete response.
    Whole,
    /// As a stream of numbered events.
    Events {
        /// The longest pause between events at which a response still meets its objective.
        pause: Option<Duration>,
    },
}

/// The position of requests in the order of service; lower ranks go first.
///
/// Only the order of ranks matters, and operators may use any numbers.
#[derive(Debug, Clone, Copy, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Rank(f64);

impl Rank {
    /// Creates a rank from its number.
    #[must_use]
    pub const fn new(number: f64) -> Self {
        Self(number)
    }
}

impl fmt::Display for Rank {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Rank {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// A rule that maps a host and path prefix to services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// The name in logs.
    pub name: Arc<str>,
    /// The host of the request.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
    /// Whether a request may be run again; resumable streams may.
    pub repeat: Repeat,
    /// The form of its responses.
    pub delivery: Delivery,
    /// The time limit of a request.
    pub timeout: Duration,
    /// The latency objective.
    pub objective: Duration,
    /// The priority of its requests.
    pub priority: Rank,
    /// The maximum number of upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether it is served without an API key.
    pub public: bool,
    /// The services with their weights; if there is none, requests are refused until there is one.
    pub split: Vec<(ServiceId, f64)>,
}

impl Route {
    /// Picks a service at random in proportion to the weights.
    pub fn pick_service<R>(&self, rng: &mut R) -> Option<&ServiceId>
    where
        R: Rng,
    {
        // The sum of weights must be finite.
        let weight = |weight: f64| weight.clamp(0.0, MAX_WEIGHT);
        let total: f64 = self.split.iter().map(|(_, one)| weight(*one)).sum();
        if self.split.len() < 2 || total <= 0.0 {
            return self.split.first().map(|(service, _)| service);
        }
        let mut drawn = rng.random_range(0.0..total);
        for (service, one) in &self.split {
            if drawn < weight(*one) {
                return Some(service);
            }
            drawn -= weight(*one);
        }
        self.split.last().map(|(service, _)| service)
    }

    /// How long a caller waits for the first event before it gives up.
    ///
    /// Callers send their deadline but not this time; the multiples are those
    /// stated in the users' documentation.
    #[must_use]
    pub fn patience(&self) -> Duration {
        match self.delivery {
            Delivery::Whole => self.timeout,
            Delivery::Events { pause } => (self.objective * 4)
                .max(pause.unwrap_or_default() * 8)
                .max(LEAST_PATIENCE),
        }
    }

    /// The longest pause between events that its callers tolerate, if it is known.
    #[must_use]
    pub const fn pause(&self) -> Option<Duration> {
        match self.delivery {
            Delivery::Whole => None,
            Delivery::Events { pause } => pause,
        }
    }

    /// Whether its responses are event streams.
    #[must_use]
    pub const fn is_streaming(&self) -> bool {
        matches!(self.delivery, Delivery::Events { .. })
    }
}

/// The declaration of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// The name of the service.
    pub name: ServiceId,
    /// The requests per second that one cold upstream can handle, if upstreams start cold.
    #[serde(rename = "cold")]
    pub cold_rate: Option<Rate>,
    /// The profile of its engines, if it serves a model.
    pub engine: Option<EngineProfile>,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Customer {
    /// The name that is passed to upstreams.
    pub name: CustomerId,
    /// The priority of its requests, which overrides that of the route.
    pub priority: Option<Rank>,
}

/// The limits on what callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest request head.
    #[serde(rename = "head")]
    pub max_head_bytes: usize,
    /// The largest request body.
    #[serde(rename = "body")]
    pub max_body_bytes: usize,
    /// The longest time for receiving a request head.
    #[serde(rename = "head_time")]
    pub head_timeout: Duration,
    /// The longest time for which a connection may be idle between requests.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        // Nothing is served until a revision is known; until then these only bound invalid input.
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One revision of the operators' configuration.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    revision: u64,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceId, Arc<Service>>,
    keys: HashMap<String, Arc<Customer>>,
    keys_required: bool,
    limits: Limits,
    faults: Vec<String>,
    /// The declared services of which something could not be used.
    unusable: Vec<ServiceId>,
}

impl Directory {
    /// Creates a directory of routes, services, and customers with their API keys.
    ///
    /// If `customers` is `None`, callers need no key.
    #[must_use]
    pub fn new(
        revision: u64,
        routes: Vec<Route>,
        services: Vec<Service>,
        customers: Option<Vec<(Customer, Vec<String>)>>,
        limits: Limits,
    ) -> Self {
        let mut hosts = HashMap::<String, Vec<Arc<Route>>>::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let keys_required = customers.is_some();
        let mut keys = HashMap::new();
        for (customer, api_keys) in customers.unwrap_or_default() {
            let customer = Arc::new(customer);
            keys.extend(api_keys.into_iter().map(|key| (key, Arc::clone(&customer))));
        }
        let services = services
            .into_iter()
            .map(|service| (service.name.clone(), Arc::new(service)))
            .collect();
        Self {
            revision,
            hosts,
            services,
            keys,
            keys_required,
            limits,
            faults: Vec::new(),
            unusable: Vec::new(),
        }
    }

    /// Adds what is wrong with parts of the configuration, and the `services` that are concerned.
    #[must_use]
    pub fn with_faults(mut self, faults: Vec<String>, services: Vec<ServiceId>) -> Self {
        self.faults = faults;
        self.unusable = services;
        self
    }

    /// Takes over the services of the revision in force before that could not be used in this one.
    ///
    /// A service grants nobody access, so its last good declaration is safer than none: without
    /// it, cold upstreams would be overrun. Routes and API keys are never taken over, as the new
    /// revision may have meant to remove them.
    pub fn inherit_services(&mut self, previous: &Self) {
        for name in &self.unusable {
            if let Some(service) = previous.service(name) {
                self.services.insert(name.clone(), Arc::clone(service));
            }
        }
    }

    /// What is wrong with parts of the configuration; the rest of it is in force.
    #[must_use]
    pub fn faults(&self) -> &[String] {
        &self.faults
    }

    /// The revision, which increases with each change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The limits on requests.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Whether callers need an API key for routes that are not public.
    #[must_use]
    pub const fn requires_key(&self) -> bool {
        self.keys_required
    }

    /// The route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The customer that an API key belongs to.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(key)
    }

    /// The declaration of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&Arc<Service>> {
        self.services.get(name)
    }

    /// All routes, those of a host in the order in which they are tried.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten()
    }

    /// The customers that have a key.
    pub fn customers(&self) -> impl Iterator<Item = &Arc<Customer>> {
        self.keys.values()
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Arc<Service>> {
        self.services.values()
    }

    /// The number of routes.
    #[must_use]
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
