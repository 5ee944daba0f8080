//! The entry of an upstream.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, ServiceId, UpstreamId};

/// An upstream as it is registered in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its unique id.
    pub id: UpstreamId,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// The address that it listens on; another upstream may reuse it later.
    pub address: SocketAddr,
    /// The data centre that it runs in.
    pub data_centre: DataCentreId,
    /// The number of requests that it serves concurrently.
    pub slots: u32,
    /// Whether it is shutting down and takes no new requests.
    pub leaving: bool,
    /// How much longer it stays cold, counted from when the entry is received.
    #[serde(rename = "cold")]
    pub cold_for: Duration,
    /// The start time that it reports; a different value means a new incarnation.
    pub started: Option<u64>,
    /// The number that this incarnation has given its report; a lower one is older.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sequence: Option<u64>,
}

impl Upstream {
    /// Whether this is a later entry of the same incarnation than `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        let is_same = self.started.is_some() && self.started == other.started;
        is_same && other.sequence.is_some() && self.sequence > other.sequence
    }
}
