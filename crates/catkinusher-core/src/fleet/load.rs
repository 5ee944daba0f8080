//! The load that active requests put on an upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::Tokens;

/// The most requests of one node at one upstream that a report can name: each takes a port.
const MAX_REQUESTS: u32 = u16::MAX as u32;

/// The longest prefill that a report or a grant can name; computed ones are at most a year.
const MAX_PREFILL_MS: u64 = 1 << 35;

/// The most tokens that a report can name; no cache is that large.
const MAX_HELD_TOKENS: u64 = 1 << 48;

/// The id of an active request, unique within its node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct WorkId(u64);

impl WorkId {
    pub(super) const fn new(number: u64) -> Self {
        Self(number)
    }

    pub(super) const fn get(self) -> u64 {
        self.0
    }
}

/// The kind of work that an upstream does for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkKind {
    /// Prefill of a short prompt, and its answer.
    #[default]
    Short,
    /// Prefill of a long prompt or of a part of one, and its answer.
    Long,
    /// Prefill of a part of a prompt that another upstream answers.
    Part,
}

/// The cost of one request at one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    // The serialized form has other names for these fields than the code.
    /// The kind of work.
    #[serde(rename = "share")]
    pub kind: WorkKind,
    /// The estimated prefill time.
    #[serde(rename = "reading")]
    pub prefill_time: Duration,
    /// The KV-cache tokens that it holds until it ends.
    #[serde(rename = "held")]
    pub held_tokens: Tokens,
}

impl Cost {
    /// The cost that another node names, within the range of the costs that nodes compute.
    #[must_use]
    pub(crate) fn received(kind: WorkKind, prefill_ms: u64, held_tokens: u64) -> Self {
        Self {
            kind,
            prefill_time: Duration::from_millis(prefill_ms.min(MAX_PREFILL_MS)),
            held_tokens: Tokens::new(held_tokens),
        }
    }
}

/// The summed cost of the active requests at an upstream, and counters over active and ended ones.
///
/// Nodes report it to their peers many times a second, so it is serialized as a
/// tuple without field names.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Row", from = "Row")]
pub struct Load {
    /// Active requests with short prompts.
    pub short_requests: u32,
    /// Active requests with long prompts.
    pub long_requests: u32,
    /// Active parts of prompts that other upstreams answer.
    pub parts: u32,
    /// The prefill time still to be done, in milliseconds.
    pub pending_prefill_ms: u64,
    /// The shortest prefill time in milliseconds among the long prompts and parts whose
    /// prefill is not done; zero if there is none. Adding or removing a request does not
    /// update it: the fleet sets it from the requests in progress when it reads the load.
    pub min_pending_prefill_ms: u64,
    /// The KV-cache tokens held.
    pub held_tokens: u64,
    /// The prefill time of all requests ever sent to it, in milliseconds; a counter.
    pub total_prefill_ms: u64,
    /// The requests that succeeded; a counter.
    pub succeeded: u32,
    /// The requests that failed by a fault of the upstream itself; a counter.
    pub failed: u32,
}

/// The serialized form of a [`Load`]: its fields in order.
type Row = (u32, u32, u32, u64, u64, u64, u64, u32, u32);

impl From<Load> for Row {
    fn from(load: Load) -> Self {
        (
            load.short_requests,
            load.long_requests,
            load.parts,
            load.pending_prefill_ms,
            load.min_pending_prefill_ms,
            load.held_tokens,
            load.total_prefill_ms,
            load.succeeded,
            load.failed,
        )
    }
}

impl From<Row> for Load {
    /// Limits the numbers of another node, so that sums over all nodes do not overflow.
    fn from(
        (
            short_requests,
            long_requests,
            parts,
            pending_prefill_ms,
            min_pending_prefill_ms,
            held_tokens,
            total_prefill_ms,
            succeeded,
            failed,
        ): Row,
    ) -> Self {
        Self {
            short_requests: short_requests.min(MAX_REQUESTS),
            long_requests: long_requests.min(MAX_REQUESTS),
            parts: parts.min(MAX_REQUESTS),
            pending_prefill_ms: pending_prefill_ms.min(MAX_PREFILL_MS),
            min_pending_prefill_ms: min_pending_prefill_ms.min(MAX_PREFILL_MS),
            held_tokens: held_tokens.min(MAX_HELD_TOKENS),
            total_prefill_ms,
            succeeded,
            failed,
        }
    }
}

impl Load {
    /// The number of active requests that the upstream answers.
    #[must_use]
    pub const fn active_requests(&self) -> u32 {
        self.short_requests + self.long_requests
    }

    /// Whether there is no active work.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.short_requests == 0 && self.long_requests == 0 && self.parts == 0
    }

    /// Whether the upstream ever got a request from this node.
    pub(super) const fn is_used(&self) -> bool {
        self.total_prefill_ms > 0 || self.succeeded > 0 || self.failed > 0 || !self.is_idle()
    }

    const fn count_mut(&mut self, kind: WorkKind) -> &mut u32 {
        match kind {
            WorkKind::Short => &mut self.short_requests,
            WorkKind::Long => &mut self.long_requests,
            WorkKind::Part => &mut self.parts,
        }
    }

    pub(super) const fn merge(&mut self, other: &Self) {
        self.short_requests += other.short_requests;
        self.long_requests += other.long_requests;
        self.parts += other.parts;
        self.pending_prefill_ms += other.pending_prefill_ms;
        self.held_tokens = self.held_tokens.saturating_add(other.held_tokens);
        self.total_prefill_ms = self.total_prefill_ms.saturating_add(other.total_prefill_ms);
        self.succeeded = self.succeeded.saturating_add(other.succeeded);
        self.failed = self.failed.saturating_add(other.failed);
        self.min_pending_prefill_ms =
            match (self.min_pending_prefill_ms, other.min_pending_prefill_ms) {
                (0, shortest) | (shortest, 0) => shortest,
                (a, b) if a < b => a,
                (_, b) => b,
            };
    }

    /// Takes back what [`Self::merge`] added.
    pub(super) const fn subtract(&mut self, other: &Self) {
        self.short_requests = self.short_requests.saturating_sub(other.short_requests);
        self.long_requests = self.long_requests.saturating_sub(other.long_requests);
        self.parts = self.parts.saturating_sub(other.parts);
        self.pending_prefill_ms = self
            .pending_prefill_ms
            .saturating_sub(other.pending_prefill_ms);
        self.held_tokens = self.held_tokens.saturating_sub(other.held_tokens);
        self.total_prefill_ms = self.total_prefill_ms.saturating_sub(other.total_prefill_ms);
        self.succeeded = self.succeeded.saturating_sub(other.succeeded);
        self.failed = self.failed.saturating_sub(other.failed);
    }

    /// The load after all active requests have ended.
    pub(super) fn idle(&self) -> Self {
        Self {
            total_prefill_ms: self.total_prefill_ms,
            succeeded: self.succeeded,
            failed: self.failed,
            ..Self::default()
        }
    }

    pub(super) const fn add(&mut self, cost: &Cost) {
        *self.count_mut(cost.kind) += 1;
        let prefill_ms = cost.prefill_time.as_millis() as u64;
        self.pending_prefill_ms += prefill_ms;
        self.total_prefill_ms = self.total_prefill_ms.saturating_add(prefill_ms);
        self.held_tokens = self.held_tokens.saturating_add(cost.held_tokens.get());
    }

    pub(super) const fn on_prefill_done(&mut self, cost: &Cost) {
        let prefill_ms = cost.prefill_time.as_millis() as u64;
        self.pending_prefill_ms = self.pending_prefill_ms.saturating_sub(prefill_ms);
    }

    pub(super) const fn remove(&mut self, cost: &Cost) {
        let count = self.count_mut(cost.kind);
        *count = count.saturating_sub(1);
        self.held_tokens = self.held_tokens.saturating_sub(cost.held_tokens.get());
    }
}
