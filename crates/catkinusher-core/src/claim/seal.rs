//! Moving claims that nothing changes any more out of a partition's head.
//!
//! Each update rewrites the head, so it must stay small; yet a key is kept
//! for a day. Segments hold the older claims in a chain, newest first, and
//! each owner keeps eight bytes of memory for each claim in them.

use super::head::{STRIDE, Sealed, Skip, Value, is_final};
use super::partition::{Partition, Under};
use super::{Head, Segment, WallTime};
use crate::object::{Answer, Call, Version};

/// A segment that no head refers to yet.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub(super) struct Draft {
    name: String,
    segment: Segment,
}

impl Partition {
    /// Writes a segment if the head has grown large.
    pub(super) fn seal(&mut self, wall: WallTime) -> Option<Call<Value>> {
        let seen = self.seen.as_ref()?;
        let limit = self.policy.seal.get() as usize;
        if self.draft.is_some() || self.bids.is_empty() || seen.head.weight() <= limit {
            return None;
        }
        let records = seen.head.records.iter();
        let records = records.filter(|record| is_final(record, wall, self.policy.skew));
        let depth = self.sealed.last().map_or(0, |last| last.depth + 1);
        let segment = Segment {
            previous: seen.head.newest.clone(),
            depth,
            skip: self.skip(depth),
            expires: records.clone().map(|record| record.expires).max()?,
            records: records.cloned().collect(),
        };
        let weight: usize = segment.records.iter().map(super::Record::weight).sum();
        if weight < limit / 2 {
            return None;
        }
        let name = segment.name(&self.name);
        let call = Call::Write {
            name: name.clone(),
            version: Version::NONE,
            value: Value::Segment(segment.clone()),
        };
        let draft = Draft { name, segment };
        self.under = Some(Under::Seal { draft });
        Some(call)
    }

    fn skip(&self, depth: u64) -> Option<Skip> {
        if depth == 0 || !depth.is_multiple_of(STRIDE) {
            return None;
        }
        let run = self.sealed.iter().rev().take(STRIDE as usize - 1);
        let mut run: Vec<Sealed> = run.cloned().collect();
        run.reverse();
        let before = self.sealed.len().checked_sub(run.len() + 1);
        let before = before.map(|place| self.sealed[place].name.clone());
        Some(Skip { run, before })
    }

    // A segment's name tells its content: one that stands there already is this one.
    pub(super) fn on_seal(&mut self, draft: Draft, answer: &Answer<Value>) {
        if matches!(answer, Answer::Written { .. } | Answer::Conflict) {
            self.draft = Some(draft);
        }
    }

    /// Takes the claims of a written segment out of the head, if they still stand there unchanged.
    pub(super) fn apply_draft(&mut self, head: &mut Head) -> Option<Sealed> {
        let Draft { name, segment } = self.draft.take()?;
        let whole = segment
            .records
            .iter()
            .all(|record| head.get(record.ident) == Some(record));
        if !whole || head.newest != segment.previous {
            return None;
        }
        head.records
            .retain(|record| segment.get(record.ident).is_none());
        head.newest = Some(name.clone());
        Some(Sealed::new(name, &segment))
    }

    /// Removes the oldest segment once all its keys are forgotten.
    pub(super) fn prune(&mut self, wall: WallTime) -> Option<Call<Value>> {
        let oldest = self.sealed.first()?;
        if !self.writes || wall <= oldest.expires + self.policy.skew {
            return None;
        }
        let name = self.sealed.remove(0).name;
        self.under = Some(Under::Delete);
        Some(Call::Delete { name })
    }

    /// The claims in segments, and so eight bytes of memory each.
    #[must_use]
    pub fn sealed_claims(&self) -> usize {
        self.sealed.iter().map(|sealed| sealed.shorts.len()).sum()
    }
}
