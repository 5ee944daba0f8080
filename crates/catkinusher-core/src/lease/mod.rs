//! A lease with a monotonic fencing token: at most one node at a time sends a service's orders.
//!
//! The lease is an object in the platform's store. Its holder counts from just
//! before it *sent* its last confirmed write, and stops early. Other nodes count
//! from when they *saw* that write, and wait longer. No two clocks are compared,
//! so a pause or a lost answer cannot lead to two holders
//! (see [docs/design/outcomes.md](../../../../docs/design/outcomes.md)).

mod holder;

use std::fmt;

use serde::{Deserialize, Serialize};

pub use self::holder::Holder;
use crate::id::{ServiceId, VmId};
use crate::units::Span;

/// The object kind under which leases are stored.
pub const LEASE_KIND: &str = "lease";

/// The name of the lease object for the orders of a service.
#[must_use]
pub fn lease_name(service: &ServiceId) -> String {
    let parts = [service.as_str().as_bytes()];
    format!("orders-{}", crate::fingerprint::Fingerprint::of(parts))
}

/// The fencing token of one holder; each later holder has a higher one.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct FencingToken(u64);

impl FencingToken {
    /// Wraps a number.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// The token as a number.
    #[must_use]
    pub const fn get(self) -> u64 {
        self.0
    }

    /// The token of the next holder.
    #[must_use]
    pub const fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for FencingToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "fencing token {}", self.0)
    }
}

/// The value of a lease object.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Lease {
    /// The current holder, or the last one if `free` is set.
    pub holder: VmId,
    /// A random number of the holder's process, by which it recognises its own writes.
    pub nonce: u64,
    /// The holder's fencing token.
    pub fence: FencingToken,
    /// A counter that the holder increments with each write.
    pub turn: u64,
    /// Whether the holder released it, so that other nodes need not wait.
    pub free: bool,
}

/// The durations of a lease; they must be the same on all nodes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Timing {
    /// How long other nodes wait after they last saw the lease change.
    pub term: Span,
    /// How long after sending its last successful write the holder stops sending orders.
    pub hold: Span,
    /// How long after sending its last successful write the holder renews.
    pub renew: Span,
    /// The maximum time that an order takes to reach an engine.
    pub delay: Span,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            term: Span::from_secs(15),
            hold: Span::from_secs(10),
            renew: Span::from_secs(4),
            delay: Span::from_secs(5),
        }
    }
}
