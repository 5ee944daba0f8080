//! Records the routing decisions of recent requests for operators.
//!
//! Decisions are recorded only on the node that accepted the request, and only
//! for the last few thousand requests; the request ID names that node.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use catkinusher_core::id::{RequestId, UpstreamId};
use catkinusher_core::outcome::Outcome;
use catkinusher_core::route::ChoiceReason;
use catkinusher_core::units::Tokens;
use serde::Serialize;

use crate::timer::Timers;

/// The number of requests that are kept.
const MAX_REQUESTS: usize = 4_096;

/// The number of steps that are kept for each request.
const MAX_STEPS: usize = 64;

/// One decision about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    /// An upstream was chosen.
    Chosen {
        /// The upstream.
        upstream: UpstreamId,
        /// The reason of the choice.
        reason: ChoiceReason,
        /// The second-best upstream.
        second: Option<UpstreamId>,
        /// The predicted time to the first token.
        predicted_ms: u64,
    },
    /// A group of engines was selected.
    Grouped {
        /// The engine that the request is sent to.
        lead: UpstreamId,
        /// All engines, in the order in which they are reserved.
        members: Vec<UpstreamId>,
    },
    /// The upstream's owner granted a permit.
    Granted {
        /// The upstream.
        upstream: UpstreamId,
        /// The engine priority.
        priority: u8,
        /// The engine memory reserved.
        memory: Tokens,
        /// The prompt tokens assumed to be in the prefix cache.
        cached: Tokens,
    },
    /// The upstream's owner refused a permit.
    Denied {
        /// The upstream.
        upstream: UpstreamId,
        /// The reason.
        reason: String,
    },
    /// An attempt failed.
    Failed {
        /// The upstream.
        upstream: UpstreamId,
        /// The failure.
        reason: String,
    },
    /// A broken stream was resumed.
    Resumed {
        /// The upstream.
        upstream: UpstreamId,
        /// The number of tokens that the caller had already received.
        offset: u64,
    },
    /// The request is retried.
    Retried {
        /// The number of previous attempts.
        attempts: u32,
    },
    /// The request is not retried.
    Abandoned {
        /// The reason.
        reason: String,
    },
    /// The owner of its idempotency key decided on the claim.
    Claimed {
        /// The decision.
        decision: String,
    },
    /// The request completed.
    Done,
    /// The request was refused or failed.
    Refused {
        /// The reason given to the caller.
        reason: String,
        /// Whether the request ran.
        outcome: Outcome,
    },
}

/// A decision with its time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// The time since the first decision about the request.
    pub after_ms: u64,
    /// The decision.
    #[serde(flatten)]
    pub step: Step,
}

/// The recorded decisions of a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The ID of the request.
    pub request: RequestId,
    /// The decisions, oldest first.
    pub steps: Vec<Entry>,
}

#[derive(Debug)]
struct Record {
    first_at: Duration,
    steps: Vec<Entry>,
}

#[derive(Debug, Default)]
struct Inner {
    records: HashMap<RequestId, Record>,
    order: VecDeque<RequestId>,
}

/// The decisions about the requests that this node accepted most recently.
#[derive(Debug)]
pub struct Journal {
    timers: Timers,
    inner: Mutex<Inner>,
}

impl Journal {
    /// Creates an empty journal.
    #[must_use]
    pub fn new(timers: Timers) -> Self {
        Self {
            timers,
            inner: Mutex::default(),
        }
    }

    /// Records a decision; only the first `MAX_STEPS` decisions about a request are kept.
    pub fn record(&self, request: &RequestId, step: Step) {
        let now = Duration::from_micros(self.timers.now().as_micros());
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if !inner.records.contains_key(request) {
            inner.add(request, now);
        }
        let Some(record) = inner.records.get_mut(request) else {
            return;
        };
        if record.steps.len() < MAX_STEPS {
            let after_ms = now.saturating_sub(record.first_at).as_millis() as u64;
            record.steps.push(Entry { after_ms, step });
        }
    }

    /// The recorded decisions of a request, if it is still kept.
    #[must_use]
    pub fn explain(&self, request: &RequestId) -> Option<Explanation> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let record = inner.records.get(request)?;
        Some(Explanation {
            request: request.clone(),
            steps: record.steps.clone(),
        })
    }
}

impl Inner {
    /// Adds a request, in place of the oldest one if the journal is full.
    fn add(&mut self, request: &RequestId, now: Duration) {
        if self.order.len() >= MAX_REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.records.remove(&oldest);
        }
        self.order.push_back(request.clone());
        let record = Record {
            first_at: now,
            steps: Vec::new(),
        };
        self.records.insert(request.clone(), record);
    }
}
