//! The objects that hold claims: a partition's head, and segments of older ones.

use serde::{Deserialize, Serialize};

use super::{KeyId, Nonce, Record, State, WallTime};
use crate::fingerprint::Fingerprint;
use crate::units::Span;

/// What any object of the kind holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Value {
    /// The head of a partition; it changes.
    Head(Head),
    /// Older claims of a partition; it never changes.
    Segment(Segment),
}

/// The claims of a partition that are open or young.
#[derive(Debug, Clone, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Head {
    /// The newest segment, which leads to the older ones.
    pub newest: Option<String>,
    /// The claims, in the order of their idents.
    pub records: Vec<Record>,
}

/// Claims that nothing changes any more.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Segment {
    /// The next older segment.
    pub previous: Option<String>,
    /// How many segments were before it, ever.
    pub depth: u64,
    /// When all its keys are forgotten.
    pub expires: WallTime,
    /// The claims, in the order of their idents.
    pub records: Vec<Record>,
    /// What it tells of the segments before it, in one of so many that `STRIDE` says.
    pub skip: Option<Skip>,
}

/// Segments between two that hold a [`Skip`].
pub(super) const STRIDE: u64 = 64;

/// What a new owner needs to know of a run of segments, so that it reads one and not each.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Skip {
    /// The segments, oldest first.
    pub run: Vec<Sealed>,
    /// The segment before them.
    pub before: Option<String>,
}

/// What an owner keeps in memory of a segment.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Sealed {
    /// The segment's name.
    pub name: String,
    /// How many segments were before it, ever.
    pub depth: u64,
    /// When all its keys are forgotten.
    pub expires: WallTime,
    /// The first 64 bits of each claim's ident, in their order.
    pub shorts: Vec<u64>,
}

impl Sealed {
    pub(super) fn new(name: String, segment: &Segment) -> Self {
        let records = segment.records.iter();
        let mut shorts: Vec<u64> = records.map(|record| record.ident.short()).collect();
        shorts.sort_unstable();
        Self {
            name,
            depth: segment.depth,
            expires: segment.expires,
            shorts,
        }
    }

    /// Whether the segment may hold the key; a yes is seldom wrong.
    pub(super) fn may_hold(&self, ident: KeyId) -> bool {
        self.shorts.binary_search(&ident.short()).is_ok()
    }
}

impl Head {
    /// The claim on a key.
    #[must_use]
    pub fn get(&self, ident: KeyId) -> Option<&Record> {
        let place = self.place(ident).ok()?;
        Some(&self.records[place])
    }

    fn place(&self, ident: KeyId) -> Result<usize, usize> {
        self.records
            .binary_search_by_key(&ident, |record| record.ident)
    }

    pub(super) fn put(&mut self, record: Record) {
        match self.place(record.ident) {
            Ok(place) => self.records[place] = record,
            Err(place) => self.records.insert(place, record),
        }
    }

    /// Changes the claim of this number, if it stands here; says whether it does.
    pub(super) fn settle(&mut self, ident: KeyId, nonce: Nonce, state: Option<State>) -> bool {
        let Ok(place) = self.place(ident) else {
            return false;
        };
        if self.records[place].nonce != nonce {
            return false;
        }
        match state {
            Some(state) => self.records[place].state = state,
            None => drop(self.records.remove(place)),
        }
        true
    }

    pub(super) fn weight(&self) -> usize {
        self.records.iter().map(Record::weight).sum()
    }
}

impl Segment {
    /// The claim on a key.
    #[must_use]
    pub fn get(&self, ident: KeyId) -> Option<&Record> {
        self.records.iter().find(|record| record.ident == ident)
    }

    // Named after what it holds, so that two owners who seal the same claims write the same object.
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

/// Whether a claim is past all use.
pub(super) fn is_forgotten(record: &Record, wall: WallTime, skew: Span) -> bool {
    wall > record.expires + skew
}

/// Whether nothing will change a claim any more.
pub(super) fn is_final(record: &Record, wall: WallTime, skew: Span) -> bool {
    matches!(record.state, State::Done { .. }) || wall > record.ends + skew
}
