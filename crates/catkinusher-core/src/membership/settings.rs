//! Settings of the membership protocol.

use serde::{Deserialize, Serialize};

use crate::units::Span;

/// Settings of the membership protocol; the defaults fit a fleet of any size.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The time between two heartbeats to the same peer.
    pub period: Span,
    /// Chen's safety margin: how far past its expected arrival a heartbeat may come.
    pub margin: Span,
    /// How long a direct or indirect probe may take.
    pub probe_wait: Span,
    /// How long a suspected member has to refute.
    pub suspect_wait: Span,
    /// How long a member that is gone keeps its ownership, so that a partition can be detected.
    pub settle_wait: Span,
    /// How long a member must be alive before it owns upstreams; doubled for each earlier loss.
    pub join_hold: Span,
    /// The upper bound of that delay for a member that fails again and again.
    pub hold_cap: Span,
    /// How long the members of a partitioned data centre keep their ownership.
    pub cut_limit: Span,
    /// How long a member that is gone is remembered, so that late updates do not bring it back.
    pub forget_wait: Span,
    /// The time between two exchanges of bucket hashes with a random peer.
    pub sync_period: Span,
    /// The least time between two rounds of messages that carry updates only.
    pub news_gap: Span,
    /// The most updates that are piggybacked on one message.
    pub piggyback: usize,
    /// How often each update is sent to each successor.
    pub repeats: u32,
    /// How many peers are asked to probe a silent member.
    pub helpers: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            period: Span::from_secs(1),
            margin: Span::from_secs(1),
            probe_wait: Span::from_secs(1),
            suspect_wait: Span::from_secs(3),
            settle_wait: Span::from_secs(1),
            join_hold: Span::from_secs(5),
            hold_cap: Span::from_secs(60),
            cut_limit: Span::from_secs(600),
            forget_wait: Span::from_secs(600),
            sync_period: Span::from_secs(10),
            news_gap: Span::from_millis(200),
            piggyback: 8,
            repeats: 2,
            helpers: 3,
        }
    }
}
