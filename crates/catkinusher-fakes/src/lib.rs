//! Stand-ins for what surrounds catkinusher: the object API, the VM list,
//! model engines and plain services.
//!
//! They speak the protocols of [docs/PROTOCOLS.md](../../../docs/PROTOCOLS.md)
//! on loopback sockets, carry fault switches, and record what reached them, so
//! that the demo, the tests and the benches judge the system by what the other
//! side saw. [`batch`] holds the engine's cost function without input or
//! output, for benches in virtual time.

pub mod batch;
pub mod engine;
pub mod faults;
pub mod handle;
pub mod object;
pub mod plain;
pub mod relay;
pub mod site;
pub mod vms;

mod lag;
mod serve;

use std::net::{Ipv4Addr, SocketAddr};

/// A free port of the loopback interface.
#[must_use]
pub fn any_port() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
