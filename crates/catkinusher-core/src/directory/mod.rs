//! Which service a caller's request goes to, and who may ask for it.
//!
//! One [`Directory`] is one revision of what operators declared: routes by
//! host and path, services, customers by key and the limits on callers. It is
//! built once per revision and then only read.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use rand::{Rng, RngExt};
use serde::{Deserialize, Serialize};

use crate::engine::EngineProfile;
use crate::id::{CustomerId, ServiceId};
use crate::units::Rate;

/// The least time that callers wait for the first event of a stream.
const LEAST_PATIENCE: Duration = Duration::from_secs(2);

/// What may happen to a request more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Repeat {
    /// It may run any number of times.
    Safe,
    /// It runs at most once.
    Once,
}

/// How the answer of a route comes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Delivery {
    /// Whole.
    Whole,
    /// As a stream of numbered events.
    Events {
        /// The longest pause between events for which an answer is on time.
        pause: Option<Duration>,
    },
}

/// A rule that sends a host's paths to services.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Route {
    /// Its name, for logs.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: String,
    /// The beginning of the paths that it serves.
    pub prefix: String,
    /// Whether a request may run again; a stream that may be resumed may.
    pub repeat: Repeat,
    /// How its answers come.
    pub delivery: Delivery,
    /// The longest time for which a request is kept waiting.
    pub timeout: Duration,
    /// The time within which an answer is on time.
    pub objective: Duration,
    /// Its rank, the lowest first.
    pub priority: u8,
    /// The most upstreams that one request may be sent to.
    pub attempts: u32,
    /// Whether it is served without a key.
    pub public: bool,
    /// The services behind it with their weights.
    pub split: Vec<(ServiceId, f64)>,
}

impl Route {
    /// Draws the service of a request by the weights.
    pub fn pick_service<R>(&self, rng: &mut R) -> Option<&ServiceId>
    where
        R: Rng,
    {
        let total: f64 = self.split.iter().map(|(_, weight)| weight).sum();
        if self.split.len() < 2 || total <= 0.0 {
            return self.split.first().map(|(service, _)| service);
        }
        let mut drawn = rng.random_range(0.0..total);
        for (service, weight) in &self.split {
            if drawn < *weight {
                return Some(service);
            }
            drawn -= weight;
        }
        self.split.last().map(|(service, _)| service)
    }

    /// How long a caller waits for the first event before it leaves.
    ///
    /// Callers tell their deadline but not this; the multiples are those that
    /// the users' pages state.
    #[must_use]
    pub fn patience(&self) -> Duration {
        match self.delivery {
            Delivery::Whole => self.timeout,
            Delivery::Events { pause } => (self.objective * 4)
                .max(pause.unwrap_or_default() * 8)
                .max(LEAST_PATIENCE),
        }
    }

    /// Whether its answers are streams.
    #[must_use]
    pub const fn is_streaming(&self) -> bool {
        matches!(self.delivery, Delivery::Events { .. })
    }
}

/// What is declared of a service.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: ServiceId,
    /// The requests a second that one cold upstream bears, if it starts cold.
    #[serde(rename = "cold")]
    pub cold_rate: Option<Rate>,
    /// How its engines work, if it is a model.
    pub engine: Option<EngineProfile>,
}

/// A customer and its rank.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Customer {
    /// The name that upstreams are told.
    pub name: CustomerId,
    /// Its rank, which goes before that of a route.
    pub priority: Option<u8>,
}

/// What callers may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limits {
    /// The largest head, in bytes.
    #[serde(rename = "head")]
    pub max_head_bytes: usize,
    /// The largest body, in bytes.
    #[serde(rename = "body")]
    pub max_body_bytes: usize,
    /// The longest time that a head may take.
    #[serde(rename = "head_time")]
    pub head_timeout: Duration,
    /// The longest time that a connection may rest between requests.
    #[serde(rename = "idle_time")]
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        // Before a revision is known nothing is served, so these only bound bad input.
        Self {
            max_head_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One revision of what operators declared.
#[derive(Debug, Clone, Default)]
pub struct Directory {
    revision: u64,
    hosts: HashMap<String, Vec<Arc<Route>>>,
    services: BTreeMap<ServiceId, Arc<Service>>,
    keys: HashMap<String, Arc<Customer>>,
    keyed: bool,
    limits: Limits,
}

impl Directory {
    /// A directory of these routes, services and customers with their keys.
    ///
    /// Without customers, callers need no key.
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
        let keyed = customers.is_some();
        let mut keys = HashMap::new();
        for (customer, secrets) in customers.unwrap_or_default() {
            let customer = Arc::new(customer);
            keys.extend(secrets.into_iter().map(|key| (key, Arc::clone(&customer))));
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
            keyed,
            limits,
        }
    }

    /// Its revision, which rises with each change.
    #[must_use]
    pub const fn revision(&self) -> u64 {
        self.revision
    }

    /// The limits on callers.
    #[must_use]
    pub const fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Whether callers need a key where a route is not public.
    #[must_use]
    pub const fn requires_key(&self) -> bool {
        self.keyed
    }

    /// The route with the longest prefix of `path` on a host.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = self.hosts.get(&host.to_ascii_lowercase())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// The customer that holds a key.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Arc<Customer>> {
        self.keys.get(key)
    }

    /// What is declared of a service.
    #[must_use]
    pub fn service(&self, name: &ServiceId) -> Option<&Arc<Service>> {
        self.services.get(name)
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
