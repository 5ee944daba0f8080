//! What operators declare: data centres, VMs, services, upstreams, customers
//! and rules.
//!
//! The inventory is one TOML document and changes as a whole, one revision an
//! accepted change (see [docs/DESIGN.md](../../../../docs/DESIGN.md)). The
//! types here only hold it; [`read`] tells all faults of a document.

pub mod change;
pub mod diff;
pub mod edit;

mod check;

pub use change::{Base, Change};
pub use check::read;
pub use diff::Diff;

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{CustomerId, DataCentreId, ModelId, RegionId, ServiceId, UpstreamId, VmId};
use crate::units::{Rate, Span, Tokens};

/// The whole inventory with its rules.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Inventory {
    /// The data centres, `[[data_centre]]` in the file.
    #[serde(rename = "data_centre")]
    pub data_centres: Vec<DataCentre>,
    /// The VMs that upstreams run on, `[[vm]]` in the file.
    #[serde(rename = "vm")]
    pub vms: Vec<Vm>,
    /// The services, `[[service]]` in the file.
    #[serde(rename = "service")]
    pub services: Vec<Service>,
    /// The servers of the services, `[[upstream]]` in the file.
    #[serde(rename = "upstream")]
    pub upstreams: Vec<Upstream>,
    /// The customers, `[[customer]]` in the file.
    #[serde(rename = "customer")]
    pub customers: Vec<Customer>,
    /// The rules, `[[rule]]` in the file; the first that fits a call decides.
    #[serde(rename = "rule")]
    pub rules: Vec<Rule>,
}

/// A data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DataCentre {
    /// Its name.
    pub name: DataCentreId,
    /// The region it stands in.
    pub region: RegionId,
    /// Whether operators have taken it out: it gets no new work.
    #[serde(default)]
    pub drained: bool,
}

/// A VM that upstreams run on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Vm {
    /// Its name.
    pub name: VmId,
    /// The data centre it runs in.
    pub data_centre: DataCentreId,
    /// Whether operators have taken it out: its upstreams get no new work.
    #[serde(default)]
    pub drained: bool,
}

/// A service that callers ask for.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Its name, the first part of a plain service's paths.
    pub name: ServiceId,
    /// What its upstreams speak.
    pub kind: ServiceKind,
    /// The models its engines can serve; empty for a plain service.
    #[serde(default)]
    pub models: Vec<ModelId>,
    /// How long a request may take if its caller names no time.
    #[serde(default = "default_timeout")]
    pub timeout: Span,
    /// The longest time that a caller may ask for.
    #[serde(default = "default_cap")]
    pub timeout_cap: Span,
    /// What one engine bears; must stand for a model service.
    #[serde(default)]
    pub engine: Option<EngineLimits>,
    /// The most calls that one upstream of a plain service takes at a time.
    #[serde(
        default = "default_concurrency",
        skip_serializing_if = "is_default_concurrency"
    )]
    pub concurrency: u32,
}

/// What the upstreams of a service speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServiceKind {
    /// A model engine: completions, streams, load reports, orders.
    Model,
    /// A plain application: calls are passed through.
    Plain,
}

/// What one engine of a service bears, from the operators' asset register.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EngineLimits {
    /// Tokens whose KV cache fits in its memory.
    pub memory: Tokens,
    /// Prompt tokens that it prefills a second.
    pub prefill: Rate,
    /// Tokens that it generates a second for one stream, alone.
    pub decode: Rate,
    /// The most streams that it runs at a time.
    pub streams: u32,
    /// The largest piece in which it prefills a prompt; whole if absent.
    #[serde(default)]
    pub chunk: Option<Tokens>,
    /// The streams that it bears right after its start.
    #[serde(default = "default_cold")]
    pub cold_streams: u32,
    /// Whether it refuses an order with an old fencing number.
    #[serde(default)]
    pub fencing: bool,
    /// Whether engines of this service export and import KV cache.
    #[serde(default)]
    pub kv_transfer: bool,
}

/// One server of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its name.
    pub name: UpstreamId,
    /// The service it belongs to.
    pub service: ServiceId,
    /// The VM it runs on, and so its data centre.
    pub vm: VmId,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether operators have taken it out: it gets no new work.
    #[serde(default)]
    pub drained: bool,
}

/// A customer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Customer {
    /// Its name.
    pub name: CustomerId,
    /// The SHA-256 of its bearer key in hexadecimal, so that the key itself is kept nowhere.
    pub key_sha256: String,
    /// Its share of a contended service against other customers.
    #[serde(default = "default_weight")]
    pub weight: u32,
    /// The most requests that it may have open at a time, over all nodes.
    #[serde(default)]
    pub open_limit: Option<u32>,
    /// The services it may use; all if empty.
    #[serde(default)]
    pub services: Vec<ServiceId>,
}

/// What holds for some calls to a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// The service whose calls it is about.
    pub service: ServiceId,
    /// The HTTP method; any if absent.
    #[serde(default)]
    pub method: Option<String>,
    /// How the path below the service's name begins; any if absent.
    #[serde(default)]
    pub path: Option<String>,
    /// Whether such a call may run more than once.
    pub idempotent: bool,
    /// How long the outcome of a key is kept.
    #[serde(default = "default_key_life")]
    pub key_life: Span,
}

fn default_timeout() -> Span {
    Span::from_secs(60)
}

fn default_cap() -> Span {
    Span::from_secs(3600)
}

const fn default_concurrency() -> u32 {
    64
}

// A model service has no such limit, and a document that names one for it is refused.
#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde hands fields over by reference"
)]
const fn is_default_concurrency(count: &u32) -> bool {
    *count == default_concurrency()
}

const fn default_cold() -> u32 {
    1
}

const fn default_weight() -> u32 {
    1
}

fn default_key_life() -> Span {
    Span::from_secs(24 * 3600)
}
