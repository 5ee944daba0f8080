//! What reached a plain service, for assertions.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A call that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Its `X-Request-Id`.
    pub id: Option<String>,
    /// Its `Idempotency-Key`.
    pub key: Option<String>,
    /// Its method.
    pub method: String,
    /// Its path with the query.
    pub path: String,
    /// When it took effect, since the stand-in started.
    pub at: Duration,
}

/// What a plain service saw and did since the stand-in started, over all its lives.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Calls that took effect, in order.
    pub runs: Vec<Run>,
    /// Calls that run now.
    pub running: u32,
    /// The most calls that ran at a time.
    pub peak: u32,
    /// Calls that were refused as not run.
    pub refused: u64,
    /// Calls that were lost in a death before they took effect.
    pub lost: u64,
    /// Calls that killed the service.
    pub deaths: u64,
}

impl Records {
    /// How often each idempotency key ran.
    #[must_use]
    pub fn by_key(&self) -> BTreeMap<String, u32> {
        count(self.runs.iter().filter_map(|run| run.key.as_ref()))
    }

    /// How often each request id ran.
    #[must_use]
    pub fn by_id(&self) -> BTreeMap<String, u32> {
        count(self.runs.iter().filter_map(|run| run.id.as_ref()))
    }
}

/// What calls are counted by: their key, or their id if they have none.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Name {
    Key(String),
    Id(String),
}

/// Counts calls as they run.
#[derive(Debug, Default)]
pub(super) struct Counter(BTreeMap<Name, u32>);

impl Counter {
    /// Counts a call; answers how often its like ran.
    pub(super) fn on_run(&mut self, run: &Run) -> u32 {
        let key = run.key.clone().map(Name::Key);
        let Some(name) = key.or_else(|| run.id.clone().map(Name::Id)) else {
            return 1;
        };
        let count = self.0.entry(name).or_default();
        *count += 1;
        *count
    }
}

fn count<'a, I>(names: I) -> BTreeMap<String, u32>
where
    I: Iterator<Item = &'a String>,
{
    let mut counts = BTreeMap::new();
    for name in names {
        *counts.entry(name.clone()).or_default() += 1;
    }
    counts
}
