//! What requests under way cost an upstream.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::units::Tokens;

/// A request under way, as its node names it.
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

/// What an upstream does for a request.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WorkKind {
    /// It reads a short prompt and answers.
    #[default]
    Short,
    /// It reads a long prompt, or a part of one, and answers.
    Long,
    /// It reads a part of a prompt for another upstream.
    Part,
}

/// What one request costs one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Cost {
    /// What the upstream does for it.
    #[serde(rename = "share")]
    pub kind: WorkKind,
    /// How long the upstream reads.
    #[serde(rename = "reading")]
    pub prefill_time: Duration,
    /// The tokens that it holds until its end.
    #[serde(rename = "held")]
    pub held_tokens: Tokens,
}

/// What requests under way cost an upstream in sum.
///
/// It is told to peers many times a second, so it goes as a bare list of its fields.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Row", from = "Row")]
pub struct Load {
    /// Requests of short prompts.
    pub short_requests: u32,
    /// Requests of long prompts.
    pub long_requests: u32,
    /// Parts of prompts that other upstreams answer.
    pub parts: u32,
    /// How long it still reads, in milliseconds.
    pub pending_prefill_ms: u64,
    /// The least reading of one request that is not read yet, in milliseconds; zero if all are.
    pub min_pending_prefill_ms: u64,
    /// The tokens held.
    pub held_tokens: u64,
    /// All reading that was ever asked of it, in milliseconds; it only grows.
    pub total_prefill_ms: u64,
    /// All requests that it has answered as it should; it only grows.
    pub succeeded: u32,
    /// All requests that it has failed by its own fault; it only grows.
    pub failed: u32,
}

/// The fields of a [`Load`] in their order.
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
    fn from((shorts, longs, parts, unread, least, held, given, done, failed): Row) -> Self {
        Self {
            short_requests: shorts,
            long_requests: longs,
            parts,
            pending_prefill_ms: unread,
            min_pending_prefill_ms: least,
            held_tokens: held,
            total_prefill_ms: given,
            succeeded: done,
            failed,
        }
    }
}

impl Load {
    /// Requests under way.
    #[must_use]
    pub const fn active_requests(&self) -> u32 {
        self.short_requests + self.long_requests
    }

    /// Whether nothing is under way.
    #[must_use]
    pub const fn is_idle(&self) -> bool {
        self.short_requests == 0 && self.long_requests == 0 && self.parts == 0
    }

    /// Whether it was ever used.
    pub(super) const fn is_used(&self) -> bool {
        self.total_prefill_ms > 0 || self.succeeded > 0 || self.failed > 0 || !self.is_idle()
    }

    const fn count(&mut self, share: WorkKind) -> &mut u32 {
        match share {
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
        self.held_tokens += other.held_tokens;
        self.total_prefill_ms += other.total_prefill_ms;
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        self.min_pending_prefill_ms =
            match (self.min_pending_prefill_ms, other.min_pending_prefill_ms) {
                (0, least) | (least, 0) => least,
                (a, b) if a < b => a,
                (_, b) => b,
            };
    }

    pub(super) const fn add(&mut self, cost: &Cost) {
        *self.count(cost.kind) += 1;
        let reading = cost.prefill_time.as_millis() as u64;
        self.pending_prefill_ms += reading;
        self.total_prefill_ms += reading;
        self.held_tokens += cost.held_tokens.get();
    }

    pub(super) const fn on_read(&mut self, cost: &Cost) {
        let read = cost.prefill_time.as_millis() as u64;
        self.pending_prefill_ms = self.pending_prefill_ms.saturating_sub(read);
    }

    pub(super) const fn remove(&mut self, cost: &Cost) {
        let count = self.count(cost.kind);
        *count = count.saturating_sub(1);
        self.held_tokens = self.held_tokens.saturating_sub(cost.held_tokens.get());
    }
}
