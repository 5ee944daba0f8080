//! The platform's VM list, which lags behind the VMs that actually run.

use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use tracing::debug;

use catkinusher_core::id::{DataCentreId, VmId};

use crate::error::{Bad, Error, Result};
use crate::form::{self, Wire, parts};
use crate::gate::{Gate, Priority};
use crate::transport::{Call, Transport};

/// Maximum size of the response with the VM list, in bytes.
const LIST_LIMIT: usize = 4 * 1024 * 1024;

/// An entry of the VM list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub vm: VmId,
    /// The peer listener of an entry VM, or the address of an upstream.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentreId,
    /// Its role.
    pub role: Role,
    /// Its lifecycle state.
    pub state: State,
}

/// The role of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// A VM that runs this project's daemon and accepts callers' requests.
    Entry,
    /// A VM that upstreams run on.
    Upstream,
}

/// The lifecycle state of a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is running, according to the platform.
    Live,
    /// It is about to be removed.
    Leaving,
}

/// A client of the VM list; clones share connections and budget.
#[derive(Debug, Clone)]
pub struct Vms {
    transport: Transport,
}

impl Vms {
    /// Creates a client for the VM list at `addrs`, with `timeout` for each call.
    ///
    /// # Panics
    ///
    /// Panics if `addrs` is empty; settings without an address are rejected earlier.
    #[must_use]
    pub fn new<A>(addrs: A, timeout: Duration, gate: Gate) -> Self
    where
        A: IntoIterator<Item = SocketAddr>,
    {
        let addrs = addrs.into_iter().collect::<Vec<_>>();
        assert!(!addrs.is_empty(), "the VM list has an address");
        Self {
            transport: Transport::new(addrs, timeout, gate),
        }
    }

    /// Reads the list.
    ///
    /// # Errors
    ///
    /// Any [`Error`] but [`Error::Conflict`] and [`Error::Compacted`], which need a write or a watch.
    pub async fn list(&self) -> Result<Vec<Member>> {
        let call = Call {
            wire: Wire::bare(Method::GET, "/v1/vms".to_owned()),
            limit: LIST_LIMIT,
            wait: Duration::ZERO,
        };
        let reply = self.transport.send(call, Priority::Configuration).await?;
        if reply.status != StatusCode::OK {
            return Err(Error::Bad(Bad::Status(reply.status)));
        }
        let mut vms = Vec::new();
        for item in parts::elements(parts::required_text(&reply.body, "vms")?)? {
            match form::decode(item) {
                Ok(vm) => vms.push(vm),
                // An entry that cannot be read must not hide the others.
                Err(error) => debug!("vms: cannot read an entry: {error}"),
            }
        }
        Ok(vms)
    }
}
