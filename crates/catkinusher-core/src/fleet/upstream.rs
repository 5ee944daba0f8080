//! One upstream as it is listed.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, ServiceId, UpstreamId};

/// One upstream as it is listed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub id: UpstreamId,
    /// The service that it serves.
    pub service: ServiceId,
    /// Where it listens; another upstream may get the address later.
    pub address: SocketAddr,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// The requests that it serves at once.
    pub slots: u32,
    /// Whether it takes no new requests any more.
    pub leaving: bool,
    /// How long it stays cold from now on.
    #[serde(rename = "cold")]
    pub cold_for: Duration,
    /// When it started, as it tells; a new value is a new incarnation.
    pub started: Option<u64>,
}
