//! What a gateway must be told, whatever the format that it comes in.

use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::fleet::Policy as Placing;
use catkinusher_core::id::{DataCentreId, VmId};
use catkinusher_core::retry::Policy as Retries;

/// The settings of one gateway.
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// The name of this VM.
    pub node: VmId,
    /// Where it runs.
    pub data_centre: DataCentreId,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this node is ready.
    pub ready: SocketAddr,
    /// Where metrics are read, beside the address above.
    pub metrics: Option<SocketAddr>,
    /// Where peers send their loads.
    pub peers: SocketAddr,
    /// How long a belief about keys may be acted on without confirmation.
    pub trust: Duration,
    /// How old the confirmation of the configuration should get at most while all is well.
    pub rhythm: Duration,
    /// How long a stop may take.
    pub grace: Duration,
    /// How retries are held back; its burst is what all nodes together may save up.
    pub retries: Retries,
    /// How requests are placed.
    pub placing: Placing,
}
