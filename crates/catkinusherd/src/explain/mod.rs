//! Why recent requests went where they went, for operators who ask.
//!
//! Only the node that accepted a request knows, and only of its last few
//! thousand; the request's name tells which node to ask.

use std::collections::{HashMap, VecDeque};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use catkinusher_core::id::{RequestId, UpstreamId};
use catkinusher_core::outcome::Outcome;
use catkinusher_core::route::ChoiceReason;
use catkinusher_core::units::Tokens;
use serde::Serialize;

use crate::timer::Timers;

/// The most requests that are remembered.
const REQUESTS: usize = 4_096;

/// The most steps that are remembered of one request.
const STEPS: usize = 64;

/// One decision about a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    /// An upstream was chosen.
    Chosen {
        /// The upstream.
        upstream: UpstreamId,
        /// What decided.
        reason: ChoiceReason,
        /// The runner-up.
        second: Option<UpstreamId>,
        /// When the first token was expected.
        predicted_ms: u64,
    },
    /// A group of engines was planned.
    Grouped {
        /// The engine that gets the request.
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
        /// The memory reserved.
        memory: Tokens,
        /// Prompt tokens that were taken to be cached.
        cached: Tokens,
    },
    /// The upstream's owner did not grant one.
    Denied {
        /// The upstream.
        upstream: UpstreamId,
        /// Why.
        reason: String,
    },
    /// An attempt failed.
    Failed {
        /// The upstream.
        upstream: UpstreamId,
        /// How.
        reason: String,
    },
    /// A broken stream was taken up again after so many tokens.
    Resumed {
        /// The upstream.
        upstream: UpstreamId,
        /// The tokens that the caller had.
        offset: u64,
    },
    /// The request was to be tried again.
    Retried {
        /// The attempts before.
        attempts: u32,
    },
    /// The request was not tried again.
    Abandoned {
        /// Why.
        reason: String,
    },
    /// The owner of its idempotency key decided.
    Claimed {
        /// What.
        decision: String,
    },
    /// It ended whole.
    Done,
    /// It ended with a refusal or failure.
    Refused {
        /// What the caller was told.
        reason: String,
        /// Whether it ran.
        outcome: Outcome,
    },
}

/// One decision and when it was made.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Entry {
    /// Since the first decision about the request.
    pub after_ms: u64,
    /// The decision.
    #[serde(flatten)]
    pub step: Step,
}

/// All that is known of one request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Explanation {
    /// The request.
    pub request: RequestId,
    /// The decisions, oldest first.
    pub steps: Vec<Entry>,
}

#[derive(Debug)]
struct Known {
    begun: Duration,
    steps: Vec<Entry>,
}

#[derive(Debug, Default)]
struct Inner {
    known: HashMap<RequestId, Known>,
    order: VecDeque<RequestId>,
}

/// The decisions about the last requests that this node accepted.
#[derive(Debug)]
pub struct Journal {
    timers: Timers,
    inner: Mutex<Inner>,
}

impl Journal {
    /// Nothing known yet.
    #[must_use]
    pub fn new(timers: Timers) -> Self {
        Self {
            timers,
            inner: Mutex::default(),
        }
    }

    /// Notes a decision; of a request with very many only the first are kept.
    pub fn record(&self, request: &RequestId, step: Step) {
        let now = Duration::from_micros(self.timers.now().as_micros());
        let mut inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        if !inner.known.contains_key(request) {
            inner.begin(request, now);
        }
        let Some(known) = inner.known.get_mut(request) else {
            return;
        };
        if known.steps.len() < STEPS {
            let after_ms = now.saturating_sub(known.begun).as_millis() as u64;
            known.steps.push(Entry { after_ms, step });
        }
    }

    /// What is known of a request.
    #[must_use]
    pub fn explain(&self, request: &RequestId) -> Option<Explanation> {
        let inner = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        let known = inner.known.get(request)?;
        Some(Explanation {
            request: request.clone(),
            steps: known.steps.clone(),
        })
    }
}

impl Inner {
    fn begin(&mut self, request: &RequestId, now: Duration) {
        if self.order.len() >= REQUESTS
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        self.order.push_back(request.clone());
        let known = Known {
            begun: now,
            steps: Vec::new(),
        };
        self.known.insert(request.clone(), known);
    }
}
