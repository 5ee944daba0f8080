//! Idempotency keys, their identifiers and their partitions.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fingerprint::Fingerprint;
use crate::id::{CustomerId, ServiceId};

/// The maximum length of an idempotency key, in bytes.
pub const KEY_LIMIT: usize = 255;

/// The number of partitions that keys are hashed to; it must be the same on every node.
pub const PARTITIONS: u32 = 16;

/// The error for a malformed idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an idempotency key has 1 to {KEY_LIMIT} visible ASCII characters")]
pub struct ParseKeyError;

/// The value of a client's `Idempotency-Key` header.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct IdempotencyKey(String);

impl FromStr for IdempotencyKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let sized = (1..=KEY_LIMIT).contains(&text.len());
        if !sized || !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(ParseKeyError);
        }
        Ok(Self(text.to_owned()))
    }
}

impl TryFrom<String> for IdempotencyKey {
    type Error = ParseKeyError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<IdempotencyKey> for String {
    fn from(key: IdempotencyKey) -> Self {
        key.0
    }
}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The identity of a claim: the hash of a customer, a service and an idempotency key.
///
/// The customer is included so that no customer can reach the record of another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyId(Fingerprint);

impl KeyId {
    /// Hashes a customer's key at a service.
    #[must_use]
    pub fn new(customer: &CustomerId, service: &ServiceId, key: &IdempotencyKey) -> Self {
        Self(Fingerprint::of([
            customer.as_str().as_bytes(),
            service.as_str().as_bytes(),
            key.0.as_bytes(),
        ]))
    }

    /// The partition that stores its claim.
    #[must_use]
    pub fn partition(self) -> u32 {
        (self.0.spread() % u64::from(PARTITIONS)) as u32
    }

    /// The 64-bit prefix that is kept in memory for claims in segments.
    pub(super) fn short_hash(self) -> u64 {
        self.0.spread()
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The name of the head object of a partition.
#[must_use]
pub fn partition_name(partition: u32) -> String {
    format!("head-{partition:03}")
}
