//! Settings of a gateway, independent of the file format.

use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::fleet::Policy as Placing;
use catkinusher_core::id::{DataCentreId, VmId};
use catkinusher_core::retry::Policy as Retries;
use catkinusher_core::roster::Member;
use catkinusher_core::units::Bytes;

/// The settings of one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The ID of this VM.
    pub node: VmId,
    /// The data centre of this VM.
    pub data_centre: DataCentreId,
    /// The address on which callers connect.
    pub callers: SocketAddr,
    /// The address of the load balancer's health check.
    pub ready: SocketAddr,
    /// An additional address that serves metrics; `ready` serves them too.
    pub metrics: Option<SocketAddr>,
    /// The address on which peers send their messages.
    pub peers: SocketAddr,
    /// The processor share of this VM in hundredths of a core; larger VMs carry shared duties first.
    pub capacity: u32,
    /// The memory limit of this process; without it, held data is not bounded.
    pub memory: Option<Bytes>,
    /// How long keys may be accepted without a confirmation that the configuration is current.
    pub trust: Duration,
    /// The largest age of the confirmation of the configuration in normal operation.
    pub rhythm: Duration,
    /// How long a graceful shutdown may take.
    pub grace: Duration,
    /// The retry policy; its burst is the limit for all nodes together.
    pub retries: Retries,
    /// The placement policy.
    pub placing: Placing,
}

impl Settings {
    /// This node as it registers itself.
    pub(super) fn member(&self) -> Member {
        Member {
            address: self.peers,
            capacity: self.capacity,
            data_centre: Some(self.data_centre.clone()),
        }
    }
}
