//! Settings of the distribution of digests.

use serde::{Deserialize, Serialize};

use crate::units::Span;

/// Settings of the distribution of digests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The time between two waves.
    pub period: Span,
    /// The number of periods between two summaries to the other data centres.
    pub far_every: u32,
    /// How long a coarse digest is used.
    pub keep: Span,
    /// How long a summary of another data centre is used.
    pub far_keep: Span,
    /// The most coarse digests in a batch.
    pub near_limit: usize,
    /// The most full digests in a batch.
    pub detail_limit: usize,
    /// The most summaries in a batch.
    pub far_limit: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Span::from_secs(7),
            far_every: 3,
            keep: Span::from_secs(25),
            far_keep: Span::from_secs(90),
            near_limit: 96,
            detail_limit: 4,
            far_limit: 64,
        }
    }
}
