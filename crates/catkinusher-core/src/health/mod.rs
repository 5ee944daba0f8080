//! The aggregate health of a data centre or a service, by unweighted count.
//!
//! Health depends on the share of parts that respond. The alternatives, weighted
//! trust and hysteresis, are compared with it, with figures, in [docs/design/fleet.md](../../../../docs/design/fleet.md).

use serde::{Deserialize, Serialize};

/// The aggregate health of a group of parts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// Few or no parts respond.
    Down,
    /// Many parts do not respond.
    Degraded,
    /// Most parts respond.
    Good,
}

/// Thresholds on the share of parts that respond.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Good from this share on.
    pub good: f64,
    /// Down below this share.
    pub down: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            good: 0.8,
            down: 0.3,
        }
    }
}

impl Settings {
    /// The health of a group in which `up` of `all` parts respond; an empty group is down.
    #[must_use]
    pub fn judge(&self, up: u32, all: u32) -> Health {
        let share = f64::from(up) / f64::from(all.max(1));
        if up == 0 || share < self.down {
            Health::Down
        } else if share < self.good {
            Health::Degraded
        } else {
            Health::Good
        }
    }
}
