//! Idempotency keys and the names of what stands for them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::fingerprint::Fingerprint;
use crate::id::{CustomerId, ServiceId};

/// The greatest length of an idempotency key, in bytes.
pub const KEY_LIMIT: usize = 255;

/// The partitions that keys are spread over; every node must have the same number.
pub const PARTITIONS: u32 = 16;

/// Why a text is no idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("an idempotency key has 1 to {KEY_LIMIT} visible ASCII characters")]
pub struct ParseKeyError;

/// The value of a caller's `Idempotency-Key`.
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

/// What a claim stands for: one customer's key at one service.
///
/// The customer is part of it, so that nobody reaches another's record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyId(Fingerprint);

impl KeyId {
    /// The identity of a customer's key at a service.
    #[must_use]
    pub fn new(customer: &CustomerId, service: &ServiceId, key: &IdempotencyKey) -> Self {
        Self(Fingerprint::of([
            customer.as_str().as_bytes(),
            service.as_str().as_bytes(),
            key.0.as_bytes(),
        ]))
    }

    /// The partition that its claim belongs to.
    #[must_use]
    pub fn partition(self) -> u32 {
        (self.0.spread() % u64::from(PARTITIONS)) as u32
    }

    /// The part of it that is kept in memory for settled claims.
    pub(super) fn short(self) -> u64 {
        self.0.spread()
    }
}

impl fmt::Display for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The name of a partition's object.
#[must_use]
pub fn partition_name(partition: u32) -> String {
    format!("head-{partition:03}")
}
