//! The client of the platform: its object API and its VM list.
//!
//! The platform is the only durable storage, so [`Error`] classifies each
//! failure by what it proves: a conflict, a refusal that wrote nothing, or a
//! lost response, after which only a read shows whether the write took effect.
//! This crate never retries, as only the caller knows whether a retry is safe.
//! The protocol is specified in [docs/PROTOCOLS.md](../../../docs/PROTOCOLS.md).

pub mod error;
pub mod form;
pub mod gate;
pub mod store;
pub mod vms;

mod transport;

pub use catkinusher_core::object::{Era, Version};
pub use error::{Error, Result};
pub use gate::{Calls, Gate, Priority};
pub use store::{Event, Listing, Object, Store, Unreadable, Watched};
pub use vms::{Member, Role, State, Vms};
