//! The settings of a daemon, read from a TOML file at its start.
//!
//! A process gets its addresses and its data centre only from this file; what
//! the fleet serves comes from the inventory in the object API.

mod read;

use std::net::SocketAddr;

pub use self::read::read;

use catkinusher_core::id::{DataCentreId, VmId};
use catkinusher_core::units::{Bytes, Span};
use catkinusher_peer::auth::Secret;
use serde::Deserialize;

/// All settings of a daemon.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The identity of this node.
    pub node: NodeSettings,
    /// The addresses that it listens on.
    pub listen: ListenSettings,
    /// The addresses of the platform's services.
    pub platform: PlatformSettings,
    /// The settings of connections between peers.
    pub peer: PeerSettings,
    /// The limits on connections and requests of callers.
    #[serde(default)]
    pub limits: Limits,
    /// The settings of membership and of replication between daemons.
    #[serde(default)]
    pub fleet: FleetSettings,
    /// How long requests that crash upstreams are quarantined; with 0 entries, none are.
    #[serde(default)]
    pub poison: catkinusher_core::poison::Policy,
    /// The settings of a graceful shutdown.
    #[serde(default)]
    pub stop: StopSettings,
    /// The log settings.
    #[serde(default)]
    pub log: LogSettings,
    /// The metrics settings.
    #[serde(default)]
    pub metrics: MetricsSettings,
}

/// The identity of a node.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// The name of its VM, as the VM list has it.
    pub name: VmId,
    /// The data centre of the VM.
    pub data_centre: DataCentreId,
}

/// The addresses that a daemon listens on.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// The address for callers, behind the platform's load balancer.
    pub callers: SocketAddr,
    /// The address for peers, which must be the one in the VM list.
    pub peers: SocketAddr,
    /// The address for operators.
    pub admin: SocketAddr,
}

/// The addresses of the platform's services.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// The address of the object API.
    pub objects: SocketAddr,
    /// The address of the VM list.
    pub vms: SocketAddr,
    /// The timeout of one call.
    #[serde(default = "default_call")]
    pub timeout: Span,
}

/// The settings of connections between peers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// The secret that all daemons of the fleet share and nobody else knows.
    pub secret: Secret,
}

/// The limits on connections and requests of callers.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum number of concurrent connections, and so of concurrent requests.
    pub connections: u32,
    /// The maximum size of a request head.
    pub head: Bytes,
    /// The maximum size of a request body.
    pub body: Bytes,
    /// How much of a body that is not kept for a retry is read before an upstream is chosen.
    pub peek: Bytes,
    /// The maximum size of a body that is kept for a retry.
    pub keep: Bytes,
    /// The total size of the bodies that are kept for retries.
    pub kept: Bytes,
    /// The time limit for receiving a request head.
    pub head_time: Span,
    /// How long a caller may neither send nor receive a byte.
    pub idle: Span,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4096,
            head: Bytes::new(16 << 10),
            body: Bytes::new(16 << 20),
            peek: Bytes::new(64 << 10),
            keep: Bytes::new(1 << 20),
            kept: Bytes::new(16 << 20),
            head_time: Span::from_secs(5),
            idle: Span::from_secs(20),
        }
    }
}

/// The settings of membership and of replication between daemons.
///
/// The defaults fit a fleet of any size; tests shorten them.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FleetSettings {
    /// How long a new owner of an upstream uses only half of its limits.
    pub quiet: Span,
    /// The settings of failure detection and membership.
    pub membership: catkinusher_core::membership::Settings,
    /// The interval between status reports of a node.
    pub report: Span,
    /// The settings of the replication of upstream digests.
    pub digests: catkinusher_core::digests::Settings,
    /// The settings of the replication of the configuration.
    pub spread: catkinusher_core::spread::Settings,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            quiet: Span::from_secs(10),
            report: Span::from_secs(6),
            digests: catkinusher_core::digests::Settings::default(),
            membership: catkinusher_core::membership::Settings::default(),
            spread: catkinusher_core::spread::Settings::default(),
        }
    }
}

/// The settings of a graceful shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct StopSettings {
    /// How long after SIGTERM connections are still accepted, so that the load balancer
    /// sees the failing readiness check first.
    pub notice: Span,
    /// The time after SIGTERM at which the remaining requests are aborted.
    pub limit: Span,
}

impl Default for StopSettings {
    fn default() -> Self {
        Self {
            notice: Span::from_secs(2),
            limit: Span::from_secs(3600),
        }
    }
}

/// The format of log lines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum LogFormat {
    /// Human-readable text.
    #[default]
    Human,
    /// One JSON object per line.
    Json,
}

/// The log settings.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// The format of log lines.
    pub format: LogFormat,
    /// The log filter, such as `info` or `catkinusherd=debug`.
    pub level: String,
}

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Human,
            level: "info".to_owned(),
        }
    }
}

/// The metrics settings.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct MetricsSettings {
    /// The address of a statsd server; without it no metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// The prefix of all metric names.
    pub prefix: String,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: "catkinusher".to_owned(),
        }
    }
}

fn default_call() -> Span {
    Span::from_secs(2)
}
