//! At-most-once execution of non-idempotent requests.
//!
//! Before the first byte of such a request is sent, its idempotency key must be
//! claimed durably in the platform's object store. Keys are hashed to
//! partitions, each stored as one object; the owner of a partition batches many
//! claims and settlements into one conditional update. Ownership only saves
//! writes. Safety comes from the version check of the update, so two
//! simultaneous owners are harmless.
//!
//! ```text
//! entry node                     owner                      store
//! Ticket --ClaimRequest--> Partition --Write(version)--> head-007
//!   may_send <--Decision------+    (answer lost: read back, compare nonce)
//!   upstream
//!   Settlement ---------------> written with a later update
//! ```
//!
//! The alternatives that were considered are described in
//! [docs/design/outcomes.md](../../../../docs/design/outcomes.md).

mod head;
mod key;
mod partition;
mod record;
mod resolve;
mod seal;
mod ticket;

pub use self::head::{Head, Segment, SegmentSummary, SkipIndex, Value};
pub use self::key::{IdempotencyKey, KEY_LIMIT, KeyId, PARTITIONS, ParseKeyError, partition_name};
pub use self::partition::{Partition, Policy, Step};
pub use self::record::{
    ClaimRequest, Decision, Header, Nonce, Record, STORED_RESPONSE_LIMIT, Settlement, State,
    StoredResponse, WallTime,
};
pub use self::ticket::Ticket;

/// The object kind under which claims are stored.
pub const CLAIM_KIND: &str = "claim";
