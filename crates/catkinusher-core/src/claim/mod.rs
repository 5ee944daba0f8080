//! Running a non-idempotent request at most once.
//!
//! Before its first byte leaves, such a request holds a durable claim on its
//! key in the platform's store. Keys are spread over partitions, one object
//! each; a partition's owner puts many claims and settlements into one
//! conditional update. Ownership is a matter of cost alone: the version check
//! of that update is what guards, so that two owners at once do no harm.
//!
//! ```text
//! entry node                     owner                      store
//! Ticket --ClaimRequest--> Partition --Write(version)--> head-07
//!   may_send <--Decision--+    (lost: read back by nonce)
//!   upstream
//!   Settlement -----------> rides on a later update
//! ```
//!
//! The ways that were weighed are told in
//! [docs/design/outcomes.md](../../../../docs/design/outcomes.md).

mod head;
mod key;
mod partition;
mod record;
mod resolve;
mod seal;
mod ticket;

pub use self::head::{Head, Sealed, Segment, Skip, Value};
pub use self::key::{IdempotencyKey, KEY_LIMIT, KeyId, PARTITIONS, ParseKeyError, partition_name};
pub use self::partition::{Partition, Policy, Step};
pub use self::record::{
    ClaimRequest, Decision, Header, KEPT_LIMIT, Nonce, Record, Settlement, State, StoredResponse,
    WallTime,
};
pub use self::ticket::Ticket;

/// The kind of the objects that hold claims.
pub const CLAIM_KIND: &str = "claim";
