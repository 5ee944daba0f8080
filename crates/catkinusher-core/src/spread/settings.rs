//! Settings of the configuration's distribution.

use serde::{Deserialize, Serialize};

use crate::units::{Bytes, Span};

/// Settings of the configuration's distribution; the defaults fit a fleet of any size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The number of nodes in each data centre that watch the platform.
    pub watchers: usize,
    /// How long a watch may wait; if it ends without a change, that confirms the revision.
    pub watch_wait: Span,
    /// The number of children of a node in its data centre's tree.
    pub fanout: usize,
    /// How much younger than the known one a confirmation must be to be forwarded.
    pub confirm_gap: Span,
    /// The age of the last confirmation from which on a node without a majority takes no new work.
    pub stale_limit: Span,
    /// The time between two anti-entropy messages to a random peer.
    pub repair_period: Span,
    /// How long a peer may take to send a body.
    pub pull_wait: Span,
    /// The time between two reads of the platform by a node that is cut off.
    pub read_gap: Span,
    /// The size limit of a body.
    pub body_limit: Bytes,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            watchers: 2,
            watch_wait: Span::from_secs(3),
            fanout: 3,
            confirm_gap: Span::from_millis(2500),
            stale_limit: Span::from_secs(8),
            repair_period: Span::from_secs(3),
            pull_wait: Span::from_secs(1),
            read_gap: Span::from_secs(5),
            body_limit: Bytes::new(1_000_000),
        }
    }
}
