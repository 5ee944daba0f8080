//! The objects that store claims: the head of a partition, and segments of older claims.

use serde::{Deserialize, Serialize};

use super::{KeyId, Nonce, Record, State, WallTime};
use crate::fingerprint::Fingerprint;
use crate::units::Span;

/// The value of an object of the claim kind.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Value {
    /// The head of a partition, which is mutable.
    Head(Head),
    /// Older claims of a partition; immutable.
    Segment(Segment),
}

/// The open and the recent claims of a partition.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest segment, from which the older ones are linked.
    pub newest: Option<String>,
    /// The claims, sorted by `ident`.
    pub records: Vec<Record>,
}

/// Claims that are final.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// The next older segment.
    pub previous: Option<String>,
    /// The number of segments written before it, including deleted ones.
    pub depth: u64,
    /// When all its keys have expired.
    pub expires: WallTime,
    /// The claims, sorted by `ident`.
    pub records: Vec<Record>,
    /// Summaries of the preceding segments, in one of every `SKIP_INTERVAL` segments.
    pub skip: Option<SkipIndex>,
}

/// The distance between two segments that contain a [`SkipIndex`].
pub(super) const SKIP_INTERVAL: u64 = 64;

/// Summaries of a run of segments, so that a new owner reads one segment instead of all.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SkipIndex {
    /// The summaries, oldest segment first.
    pub run: Vec<SegmentSummary>,
    /// The segment before the run.
    pub before: Option<String>,
}

/// What an owner keeps in memory of a segment: a filter for the keys in it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SegmentSummary {
    /// The segment's name.
    pub name: String,
    /// The number of segments written before it, including deleted ones.
    pub depth: u64,
    /// When all its keys have expired.
    pub expires: WallTime,
    /// The first 64 bits of each claim's `ident`, sorted.
    pub shorts: Vec<u64>,
}

impl SegmentSummary {
    pub(super) fn new(name: String, segment: &Segment) -> Self {
        let records = segment.records.iter();
        let mut shorts: Vec<u64> = records.map(|record| record.ident.short_hash()).collect();
        shorts.sort_unstable();
        Self {
            name,
            depth: segment.depth,
            expires: segment.expires,
            shorts,
        }
    }

    /// Whether the segment may contain the key; false positives are rare.
    pub(super) fn may_hold(&self, ident: KeyId) -> bool {
        self.shorts.binary_search(&ident.short_hash()).is_ok()
    }
}

impl Head {
    /// The claim on a key.
    #[must_use]
    pub fn get(&self, ident: KeyId) -> Option<&Record> {
        let position = self.position(ident).ok()?;
        Some(&self.records[position])
    }

    fn position(&self, ident: KeyId) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&ident, |record| record.ident)
    }

    pub(super) fn put(&mut self, record: Record) {
        match self.position(record.ident) {
            Ok(position) => self.records[position] = record,
            Err(position) => self.records.insert(position, record),
        }
    }

    /// Sets the state of the claim with this nonce, or removes it. Returns `false` if it is not here.
    pub(super) fn settle(&mut self, ident: KeyId, nonce: Nonce, state: Option<State>) -> bool {
        let Ok(position) = self.position(ident) else {
            return false;
        };
        if self.records[position].nonce != nonce {
            return false;
        }
        match state {
            Some(state) => self.records[position].state = state,
            None => drop(self.records.remove(position)),
        }
        true
    }

    pub(super) fn approx_size(&self) -> usize {
        self.records.iter().map(Record::approx_size).sum()
    }
}

impl Segment {
    /// The claim on a key.
    #[must_use]
    pub fn get(&self, ident: KeyId) -> Option<&Record> {
        self.records.iter().find(|record| record.ident == ident)
    }

    // The name is a hash of the claims, so two owners that seal the same claims write the same
    // object.
    pub(super) fn name(&self, head: &str) -> String {
        let mut parts = vec![head.to_owned()];
        parts.extend(self.previous.clone());
        for record in &self.records {
            let done = matches!(record.state, State::Done { .. });
            parts.push(format!("{}{}{done}", record.ident, record.nonce));
        }
        let digest = Fingerprint::of(parts.iter().map(String::as_bytes));
        format!("{head}-{digest}")
    }
}

/// Whether a claim has expired by every clock, so that its key may be reused.
pub(super) fn has_expired(record: &Record, wall: WallTime, skew: Span) -> bool {
    wall > record.expires + skew
}

/// Whether a claim can no longer change.
pub(super) fn is_final(record: &Record, wall: WallTime, skew: Span) -> bool {
    matches!(record.state, State::Done { .. }) || wall > record.ends + skew
}
