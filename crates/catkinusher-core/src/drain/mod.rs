//! Planned stops that cut no request.
//!
//! A node that is told to stop goes through [`Stage`]s in one direction only.
//! Upstreams, VMs and data centres that operators take out get no new work,
//! and a [`Drain`] tells when the last of it has ended.

mod stop;

use serde::{Deserialize, Serialize};

pub use self::stop::{Action, Policy, Shutdown, Stage};
use crate::time::Time;
use crate::units::Span;

/// How far a drain has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Work is still under way.
    Draining {
        /// The requests that still run there.
        open: u32,
        /// How long ago the drain began.
        age: Span,
    },
    /// Nothing is left.
    Drained,
}

/// The way out of an upstream, a VM or a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    since: Time,
    open: u32,
}

impl Drain {
    /// Begins a drain of something on which `open` requests run.
    #[must_use]
    pub const fn new(open: u32, now: Time) -> Self {
        Self { since: now, open }
    }

    /// Takes in that a request ended there.
    pub const fn on_request_end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// How far it has come.
    #[must_use]
    pub const fn progress(&self, now: Time) -> Progress {
        if self.open == 0 {
            return Progress::Drained;
        }
        Progress::Draining {
            open: self.open,
            age: Span::new(now.since(self.since)),
        }
    }
}
