//! The client of the platform: its object API and its VM list.
//!
//! The platform is the one place where anything lasts, so each answer is told
//! apart by what it proves (see [`Error`]): a conflict, a refusal that took
//! nothing, or a lost answer after which only reading back can tell. Nothing
//! is retried here, as only the caller knows whether a repeat is safe. The
//! protocol stands in [docs/PROTOCOLS.md](../../../docs/PROTOCOLS.md).

pub mod error;
pub mod form;
pub mod gate;
pub mod store;
pub mod vms;

mod transport;

pub use catkinusher_core::object::Version;
pub use error::{Error, Result};
pub use gate::{Calls, Gate, Priority};
pub use store::{Event, Listing, Object, Store, Watched};
pub use vms::{Member, Role, State, Vms};
