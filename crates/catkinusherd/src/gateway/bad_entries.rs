//! Entries of the store that cannot be used, logged at a bounded rate.
//!
//! Any writer may leave an odd entry, and may write it again and again. Each one is counted, but
//! a line for each would fill the log.

use std::collections::BTreeMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use catkinusher_core::time::Time;
use tracing::warn;

use super::state::State;

/// How long further faults of an entry are only counted after one was logged.
const LOG_INTERVAL: Duration = Duration::from_mins(10);

/// The number of entries whose faults are logged in that time.
const MAX_LOGGED: usize = 100;

/// When a fault of each entry, by kind and name, was last logged.
#[derive(Debug, Default)]
pub(super) struct BadEntries {
    logged: Mutex<BTreeMap<(&'static str, String), Time>>,
}

impl BadEntries {
    /// Records a fault, and returns whether it should be logged.
    fn on_fault(&self, kind: &'static str, name: &str, now: Time) -> bool {
        let mut logged = self.logged.lock().unwrap_or_else(PoisonError::into_inner);
        logged.retain(|_, at| now.since(*at) < LOG_INTERVAL);
        let key = (kind, name.to_owned());
        if logged.len() >= MAX_LOGGED || logged.contains_key(&key) {
            return false;
        }
        logged.insert(key, now);
        true
    }
}

impl<D> State<D> {
    /// Records that an entry cannot be used.
    pub(super) fn on_bad_entry(&self, kind: &'static str, name: Option<&str>, fault: &str) {
        self.metrics.on_call(kind, "bad-entry");
        let name = name.unwrap_or("?");
        if self.bad_entries.on_fault(kind, name, self.now()) {
            warn!(event = "store", kind, name, outcome = "bad-entry", fault);
        }
    }
}
