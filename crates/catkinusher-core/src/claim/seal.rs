//! Moves final claims out of the head of a partition.
//!
//! Each update rewrites the head, so it must stay small, but keys are kept for
//! a day. Older claims are stored in segments, linked from the newest to the
//! oldest, and each owner keeps eight bytes in memory for each of these claims.

use super::head::{SKIP_INTERVAL, SegmentSummary, SkipIndex, Value, is_final};
use super::partition::{InFlight, Partition};
use super::{Head, Segment, WallTime};
use crate::object::{Answer, Call, Version};

/// A segment to which no head refers yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct DraftSegment {
    name: String,
    segment: Segment,
}

impl Partition {
    /// Writes a segment of final claims if the head has grown too large.
    pub(super) fn seal(&mut self, wall: WallTime) -> Option<Call<Value>> {
        let cached = self.cached.as_ref()?;
        let limit = self.policy.seal.get() as usize;
        if self.draft.is_some() || self.claims.is_empty() || cached.head.approx_size() <= limit {
            return None;
        }
        let records = cached.head.records.iter();
        let records = records.filter(|record| is_final(record, wall, self.policy.skew));
        let depth = self.segments.last().map_or(0, |last| last.depth + 1);
        let segment = Segment {
            previous: cached.head.newest.clone(),
            depth,
            skip: self.skip_index(depth),
            expires: records.clone().map(|record| record.expires).max()?,
            records: records.cloned().collect(),
        };
        let size: usize = segment.records.iter().map(super::Record::approx_size).sum();
        if size < limit / 2 {
            return None;
        }
        let name = segment.name(&self.name);
        let call = Call::Write {
            name: name.clone(),
            version: Version::NONE,
            value: Value::Segment(segment.clone()),
        };
        let draft = DraftSegment { name, segment };
        self.in_flight = Some(InFlight::Seal { draft });
        Some(call)
    }

    fn skip_index(&self, depth: u64) -> Option<SkipIndex> {
        if depth == 0 || !depth.is_multiple_of(SKIP_INTERVAL) {
            return None;
        }
        let run = self.segments.iter().rev().take(SKIP_INTERVAL as usize - 1);
        let mut run: Vec<SegmentSummary> = run.cloned().collect();
        run.reverse();
        let before = self.segments.len().checked_sub(run.len() + 1);
        let before = before.map(|position| self.segments[position].name.clone());
        Some(SkipIndex { run, before })
    }

    // A segment is named by its content, so an existing object of this name is the same segment.
    pub(super) fn on_seal(&mut self, draft: DraftSegment, answer: &Answer<Value>) {
        if matches!(answer, Answer::Written { .. } | Answer::Conflict) {
            self.draft = Some(draft);
        }
    }

    /// Removes the claims of a written segment from the head if they are unchanged there.
    pub(super) fn apply_draft(&mut self, head: &mut Head) -> Option<SegmentSummary> {
        let DraftSegment { name, segment } = self.draft.take()?;
        let unchanged = segment
            .records
            .iter()
            .all(|record| head.get(record.ident) == Some(record));
        if !unchanged || head.newest != segment.previous {
            return None;
        }
        head.records
            .retain(|record| segment.get(record.ident).is_none());
        head.newest = Some(name.clone());
        Some(SegmentSummary::new(name, &segment))
    }

    /// Deletes the oldest segment once all its keys have expired.
    pub(super) fn prune(&mut self, wall: WallTime) -> Option<Call<Value>> {
        let oldest = self.segments.first()?;
        if !self.has_written || wall <= oldest.expires + self.policy.skew {
            return None;
        }
        let name = self.segments.remove(0).name;
        self.in_flight = Some(InFlight::Delete);
        Some(Call::Delete { name })
    }

    /// The number of claims in segments; each takes eight bytes of memory.
    #[must_use]
    pub fn sealed_claims(&self) -> usize {
        self.segments
            .iter()
            .map(|summary| summary.shorts.len())
            .sum()
    }
}
