//! Lookup indexes over an inventory.
//!
//! The inventory is a document in the order in which operators wrote it; the
//! request path looks entries up by key, model, path or upstream. A [`Catalog`]
//! is built once per revision and is immutable.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;

use sha2::{Digest, Sha256};

use crate::id::{CustomerId, DataCentreId, ModelId, RegionId, ServiceId, UpstreamId};
use crate::inventory::{Customer, Inventory, Rule, Service, ServiceKind};
use crate::units::Span;

/// An upstream, with the attributes it takes from its VM and data centre.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Its name.
    pub name: UpstreamId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// The address it listens on.
    pub address: SocketAddr,
    /// The data centre of its VM.
    pub data_centre: DataCentreId,
    /// The region of its data centre.
    pub region: RegionId,
    /// Whether it, its VM or its data centre is drained.
    pub drained: bool,
}

/// Whether a call may be retried, and how long its idempotency key is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Repeat {
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// How long the outcome of its idempotency key is kept.
    pub key_life: Span,
}

/// The default retention time for the outcome of an idempotency key.
pub const KEY_LIFE: Span = Span::from_secs(24 * 3600);

/// An inventory with lookup indexes.
#[derive(Debug, Clone, Default)]
pub struct Catalog {
    inventory: Inventory,
    customers: HashMap<String, usize>,
    services: HashMap<ServiceId, usize>,
    models: HashMap<ModelId, ServiceId>,
    servers: BTreeMap<UpstreamId, Server>,
    members: HashMap<ServiceId, Vec<UpstreamId>>,
    regions: HashMap<DataCentreId, RegionId>,
}

impl Catalog {
    /// Builds the indexes of `inventory`.
    ///
    /// An upstream whose VM, data centre or service isn't declared is skipped;
    /// inventory validation reports it to operators.
    #[must_use]
    pub fn new(inventory: Inventory) -> Self {
        let mut catalog = Self {
            inventory,
            ..Self::default()
        };
        catalog.index_names();
        catalog.index_servers();
        catalog
    }

    fn index_names(&mut self) {
        for (place, customer) in self.inventory.customers.iter().enumerate() {
            self.customers
                .insert(customer.key_sha256.to_ascii_lowercase(), place);
        }
        for (place, service) in self.inventory.services.iter().enumerate() {
            self.services.insert(service.name.clone(), place);
            for model in &service.models {
                self.models.insert(model.clone(), service.name.clone());
            }
        }
        for centre in &self.inventory.data_centres {
            self.regions
                .insert(centre.name.clone(), centre.region.clone());
        }
    }

    fn index_servers(&mut self) {
        let centres: HashMap<_, _> = self
            .inventory
            .data_centres
            .iter()
            .map(|centre| (&centre.name, centre))
            .collect();
        let vms: HashMap<_, _> = self.inventory.vms.iter().map(|vm| (&vm.name, vm)).collect();
        for upstream in &self.inventory.upstreams {
            let Some(vm) = vms.get(&upstream.vm) else {
                continue;
            };
            let Some(centre) = centres.get(&vm.data_centre) else {
                continue;
            };
            if !self.services.contains_key(&upstream.service) {
                continue;
            }
            let server = Server {
                name: upstream.name.clone(),
                service: upstream.service.clone(),
                address: upstream.address,
                data_centre: centre.name.clone(),
                region: centre.region.clone(),
                drained: upstream.drained || vm.drained || centre.drained,
            };
            self.members
                .entry(server.service.clone())
                .or_default()
                .push(server.name.clone());
            self.servers.insert(server.name.clone(), server);
        }
    }

    /// The underlying inventory.
    #[must_use]
    pub const fn inventory(&self) -> &Inventory {
        &self.inventory
    }

    /// The customer that this bearer key identifies.
    #[must_use]
    pub fn customer(&self, key: &str) -> Option<&Customer> {
        let place = self.customers.get(&key_digest(key))?;
        self.inventory.customers.get(*place)
    }

    /// All customers with their names, in the order of the inventory.
    pub fn customers(&self) -> impl Iterator<Item = (&CustomerId, &Customer)> {
        self.inventory.customers.iter().map(|c| (&c.name, c))
    }

    /// The service of this name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        let place = self.services.get(name)?;
        self.inventory.services.get(*place)
    }

    /// The service that serves this model.
    #[must_use]
    pub fn service_of_model(&self, model: &str) -> Option<&Service> {
        let service = self.models.get(model)?;
        self.service(service.as_str())
    }

    /// The region of a data centre.
    #[must_use]
    pub fn region(&self, data_centre: &str) -> Option<&RegionId> {
        self.regions.get(data_centre)
    }

    /// The upstream of this name.
    #[must_use]
    pub fn server(&self, name: &str) -> Option<&Server> {
        self.servers.get(name)
    }

    /// All upstreams, sorted by name.
    pub fn servers(&self) -> impl Iterator<Item = &Server> {
        self.servers.values()
    }

    /// The upstreams of a service in the order of the inventory.
    pub fn servers_of(&self, service: &str) -> impl Iterator<Item = &Server> {
        self.members
            .get(service)
            .into_iter()
            .flatten()
            .filter_map(|name| self.servers.get(name))
    }

    /// The retry policy of a call: from the first matching rule, else from the HTTP semantics of its method.
    ///
    /// A completion has no side effect, so it may be retried unless a rule says otherwise.
    #[must_use]
    pub fn repeat(&self, service: &Service, method: &str, path: &str) -> Repeat {
        let rule = self
            .inventory
            .rules
            .iter()
            .find(|rule| fits(rule, service, method, path));
        if let Some(rule) = rule {
            return Repeat {
                idempotent: rule.idempotent,
                key_life: rule.key_life,
            };
        }
        let safe = matches!(
            method,
            "GET" | "HEAD" | "OPTIONS" | "TRACE" | "PUT" | "DELETE"
        );
        Repeat {
            idempotent: safe || service.kind == ServiceKind::Model,
            key_life: KEY_LIFE,
        }
    }
}

fn fits(rule: &Rule, service: &Service, method: &str, path: &str) -> bool {
    let method_fits = rule
        .method
        .as_ref()
        .is_none_or(|wanted| wanted.eq_ignore_ascii_case(method));
    let path_fits = rule
        .path
        .as_ref()
        .is_none_or(|wanted| path.starts_with(wanted.as_str()));
    rule.service == service.name && method_fits && path_fits
}

/// The form in which an inventory stores a bearer key: its SHA-256 in lower-case hexadecimal.
#[must_use]
pub fn key_digest(key: &str) -> String {
    use std::fmt::Write;
    let digest = Sha256::digest(key.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        write!(text, "{byte:02x}").expect("writing to a String cannot fail");
        text
    })
}
