//! All that a deployment has besides its daemons: the platform, and an
//! upstream for each that an inventory declares.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::catalog::key_digest;
use catkinusher_core::id::{CustomerId, DataCentreId, UpstreamId, VmId};
use catkinusher_core::inventory::change::{KIND, NAME};
use catkinusher_core::inventory::{EngineLimits, Inventory, Service, ServiceKind};
use percent_encoding::{CONTROLS, utf8_percent_encode};
use serde_json::json;

use crate::batch::Rates;
use crate::{engine, object, plain, vms};

/// How the stand-ins of a site behave.
#[derive(Debug, Clone)]
pub struct Manner {
    /// How much faster than the inventory's rates engines run.
    pub speed: f64,
    /// Whether engines start warm.
    pub warm: bool,
    /// How long a call of a plain service takes.
    pub work: Duration,
    /// How late the VM list is.
    pub lag: Duration,
}

impl Default for Manner {
    fn default() -> Self {
        Self {
            speed: 1.0,
            warm: true,
            work: Duration::from_millis(2),
            lag: Duration::ZERO,
        }
    }
}

/// A deployment without its daemons.
#[derive(Debug)]
pub struct Site {
    /// The object API, in which the inventory stands.
    pub objects: object::Handle,
    /// The VM list, empty until [`Site::list`] is called.
    pub vms: vms::Handle,
    /// The engines by upstream.
    pub engines: BTreeMap<UpstreamId, engine::Handle>,
    /// The servers of plain services by upstream.
    pub plains: BTreeMap<UpstreamId, plain::Handle>,
    /// The inventory with the stand-ins' addresses and keys.
    pub inventory: Inventory,
}

impl Site {
    /// Starts a stand-in for each upstream of `inventory`, which is put into the object API.
    ///
    /// # Errors
    ///
    /// If a stand-in can't listen.
    pub async fn start(mut inventory: Inventory, manner: &Manner) -> io::Result<Self> {
        let mut engines = BTreeMap::new();
        let mut plains = BTreeMap::new();
        let services = inventory.services.clone();
        for upstream in &mut inventory.upstreams {
            let service = services.iter().find(|s| s.name == upstream.service);
            let Some(service) = service else { continue };
            let name = upstream.name.clone();
            if let (Some(limits), ServiceKind::Model) = (&service.engine, service.kind) {
                let handle = start_engine(service, limits, manner).await?;
                upstream.address = handle.addr();
                engines.insert(name, handle);
            } else {
                let handle = start_plain(service, manner).await?;
                upstream.address = handle.addr();
                plains.insert(name, handle);
            }
        }
        for customer in &mut inventory.customers {
            customer.key_sha256 = key_digest(&key_of(&customer.name));
        }
        let objects = object::start(object::Config::default()).await?;
        let mut list = vms::Config::default();
        list.faults.lag_ms = manner.lag.as_millis() as u64;
        let site = Self {
            objects,
            vms: vms::start(list).await?,
            engines,
            plains,
            inventory,
        };
        site.apply(&site.inventory);
        Ok(site)
    }

    /// Puts an inventory in force, past all checks.
    pub fn apply(&self, inventory: &Inventory) {
        match toml::to_string(inventory) {
            Ok(toml) => {
                let value = json!({"change": "site", "author": "site", "note": "", "toml": toml});
                self.objects.put(KIND, NAME, value);
            }
            Err(error) => tracing::error!("site: the inventory has no TOML form: {error}"),
        }
    }

    /// Puts our own VMs into the VM list.
    pub fn list<I>(&self, daemons: I)
    where
        I: IntoIterator<Item = (VmId, DataCentreId, SocketAddr)>,
    {
        let vms = daemons
            .into_iter()
            .map(|(vm, data_centre, address)| vms::Vm {
                vm,
                address,
                data_centre,
                role: vms::Role::Entry,
                state: vms::VmState::Live,
            });
        self.vms.set(vms.collect());
    }
}

/// The bearer key of a customer at a site.
///
/// A header takes ASCII only, so that other letters of the name are escaped.
#[must_use]
pub fn key_of(customer: &CustomerId) -> String {
    let name = utf8_percent_encode(customer.as_str(), CONTROLS);
    format!("key-of-{name}")
}

async fn start_engine(
    service: &Service,
    limits: &EngineLimits,
    manner: &Manner,
) -> io::Result<engine::Handle> {
    let config = engine::Config {
        rates: Rates::from(limits),
        speed: manner.speed,
        warm: manner.warm,
        fencing: limits.fencing,
        models: service
            .models
            .iter()
            .map(|model| (model.to_string(), "1".to_owned()))
            .collect(),
        ..engine::Config::default()
    };
    engine::start(config).await
}

async fn start_plain(service: &Service, manner: &Manner) -> io::Result<plain::Handle> {
    let config = plain::Config {
        service: service.name.to_string(),
        work: manner.work,
        limit: service.concurrency,
        ..plain::Config::default()
    };
    plain::start(config).await
}
