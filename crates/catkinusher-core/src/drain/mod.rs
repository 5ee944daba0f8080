//! Graceful shutdown and draining, which let running requests finish.
//!
//! A node that shuts down goes through its [`Stage`]s in one direction only.
//! Upstreams, VMs and data centres that operators drain get no new requests,
//! and a [`Drain`] reports when the last running request has ended.

mod stop;

use serde::{Deserialize, Serialize};

pub use self::stop::{Action, Policy, Shutdown, Stage};
use crate::time::Time;
use crate::units::Span;

/// The progress of a drain.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Progress {
    /// Requests are still running.
    Draining {
        /// The number of requests that are still running.
        open: u32,
        /// The time since the drain began.
        age: Span,
    },
    /// No request is running any more.
    Drained,
}

/// The drain of an upstream, a VM or a data centre.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    since: Time,
    open: u32,
}

impl Drain {
    /// Begins a drain with `open` running requests.
    #[must_use]
    pub const fn new(open: u32, now: Time) -> Self {
        Self { since: now, open }
    }

    /// Handles the end of a request.
    pub const fn on_request_end(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// The current progress.
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
