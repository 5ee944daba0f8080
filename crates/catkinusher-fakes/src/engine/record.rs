//! What reached an engine, for assertions.

use std::collections::BTreeMap;
use std::time::Duration;

use catkinusher_core::id::RequestId;
use catkinusher_core::units::{Bytes, Tokens};
use serde::{Deserialize, Serialize};

/// A request that began to run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Begin {
    /// The request.
    pub id: RequestId,
    /// When, since the stand-in started.
    pub at: Duration,
    /// Length of its prompt.
    pub prompt: Tokens,
    /// Its priority.
    pub priority: u8,
}

/// What an engine saw and did since the stand-in started, over all its incarnations.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// Requests that began to run, in order.
    pub begun: Vec<Begin>,
    /// Requests that ended whole.
    pub finished: u64,
    /// Requests cancelled by their caller, or left by it, or over their time.
    pub cancelled: u64,
    /// Requests lost in a crash, a collapse or a restart.
    pub dropped: u64,
    /// Requests of which nothing was taken on.
    pub refused: u64,
    /// Requests that came while one of the same id ran, and so were not run.
    pub doubled: u64,
    /// Poisonous requests that crashed it.
    pub poisoned: u64,
    /// Bytes of bodies received.
    pub received: Bytes,
    /// Memory held now.
    pub held: Tokens,
    /// Requests over what it bore while it was cold.
    pub overload: u64,
    /// The most streams over what it bore at any one time while it was cold.
    pub peak: u32,
}

impl Records {
    /// How often each request began.
    #[must_use]
    pub fn runs(&self) -> BTreeMap<RequestId, u32> {
        let mut runs = BTreeMap::new();
        for begin in &self.begun {
            *runs.entry(begin.id.clone()).or_default() += 1;
        }
        runs
    }
}
