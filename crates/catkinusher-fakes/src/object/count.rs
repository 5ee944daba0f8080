//! Calls counted by kind of object, and limited by the second.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// The time over which calls are limited.
const WINDOW: Duration = Duration::from_secs(1);

/// A call of the object API.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Call {
    /// One object is read.
    Get,
    /// The objects of a kind are read.
    List,
    /// A change is waited for.
    Watch,
    /// An object is created or updated.
    Put,
    /// An object is deleted.
    Delete,
}

impl Call {
    /// Whether the platform counts it as a write.
    #[must_use]
    pub const fn is_write(self) -> bool {
        matches!(self, Self::Put | Self::Delete)
    }
}

/// How often a call came for a kind of objects, refused ones included.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// The kind of objects.
    pub kind: String,
    /// The call.
    pub call: Call,
    /// How often it came.
    pub count: u64,
}

#[derive(Debug, Default)]
struct Window {
    start: Option<Instant>,
    calls: u64,
}

impl Window {
    /// Whether one more call stays within the limit; a limit of 0 is none.
    fn admits(&mut self, limit: u64) -> bool {
        let now = Instant::now();
        if self.start.is_none_or(|start| now - start >= WINDOW) {
            self.start = Some(now);
            self.calls = 0;
        }
        self.calls += 1;
        limit == 0 || self.calls <= limit
    }
}

#[derive(Debug, Default)]
pub(super) struct Counts {
    calls: BTreeMap<(String, Call), u64>,
    reads: Window,
    writes: Window,
}

impl Counts {
    /// Counts a call; answers whether it stays within the limits.
    pub(super) fn on_call(&mut self, kind: &str, call: Call, limits: Limits) -> bool {
        *self.calls.entry((kind.to_owned(), call)).or_default() += 1;
        if call.is_write() {
            self.writes.admits(limits.writes)
        } else {
            self.reads.admits(limits.reads)
        }
    }

    pub(super) fn list(&self) -> Vec<Count> {
        let calls = self.calls.iter();
        calls
            .map(|((kind, call), count)| Count {
                kind: kind.clone(),
                call: *call,
                count: *count,
            })
            .collect()
    }
}

/// Calls that are admitted a second; 0 is no limit.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    pub(super) reads: u64,
    pub(super) writes: u64,
}
