//! The retry budget of one service.

use serde::{Deserialize, Serialize};

use super::Policy;

/// A token bucket of retries, refilled by new requests only.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    #[serde(rename = "saved")]
    available: f64,
}

impl Budget {
    /// A full budget.
    #[must_use]
    pub const fn new(policy: &Policy) -> Self {
        Self {
            available: policy.burst,
        }
    }

    /// Adds the share that one new request earns.
    pub fn on_new_request(&mut self, policy: &Policy) {
        self.available = (self.available + policy.share).min(policy.burst);
    }

    /// Spends one retry; returns `false` if none is available.
    pub fn take(&mut self, policy: &Policy) -> bool {
        self.available = self.available.min(policy.burst);
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }

    /// The number of available retries.
    #[must_use]
    pub const fn left(&self) -> f64 {
        self.available
    }
}
