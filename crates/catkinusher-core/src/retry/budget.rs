//! The retries that one service can afford.

use serde::{Deserialize, Serialize};

use super::Policy;

/// Retries saved up, filled by fresh requests alone.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Budget {
    saved: f64,
}

impl Budget {
    /// A budget that starts full.
    #[must_use]
    pub const fn new(policy: &Policy) -> Self {
        Self {
            saved: policy.burst,
        }
    }

    /// Earns the share of one fresh request.
    pub fn on_new_request(&mut self, policy: &Policy) {
        self.saved = (self.saved + policy.share).min(policy.burst);
    }

    /// Spends one retry, if there is one.
    pub fn take(&mut self, policy: &Policy) -> bool {
        self.saved = self.saved.min(policy.burst);
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }

    /// The retries left.
    #[must_use]
    pub const fn left(&self) -> f64 {
        self.saved
    }
}
