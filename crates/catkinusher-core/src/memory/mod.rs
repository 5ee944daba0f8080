//! A bound on the data that a node holds for callers and upstreams.
//!
//! Bodies of new requests may be refused, but what was received of an answer is
//! kept, because its request may have run. So bodies may fill only a part of
//! the bound, and answers wait for room instead. The last part is given to one
//! answer at a time: several answers that wait for each other's memory would
//! otherwise all wait until their deadlines.

use crate::units::Bytes;

/// The part of the bound up to which bodies of new requests are taken, in eighths.
///
/// On the smallest nodes it holds seven bodies of 4 MB.
const BODY_EIGHTHS: u64 = 5;

/// The part of the bound up to which a stream is read whose caller has not read the events before.
///
/// It is below that for other data, so that slow callers hold up themselves first.
const UNREAD_EIGHTHS: u64 = 4;

/// The part of the bound up to which data is taken that belongs to no preferred answer.
///
/// The rest has room for one answer of the largest size, 8 MiB, on the smallest nodes.
const SHARED_EIGHTHS: u64 = 6;

/// The number of a buffered answer, unique in the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct AnswerNumber(u64);

impl AnswerNumber {
    /// Creates the number of an answer.
    #[must_use]
    pub const fn new(number: u64) -> Self {
        Self(number)
    }
}

/// What memory is taken for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// The body of a new request.
    Body,
    /// An answer that is not streamed.
    Answer(AnswerNumber),
    /// Events of a stream whose caller has read those before.
    Events,
    /// Events of a stream whose caller has not read those before.
    UnreadEvents,
}

/// The data held by a node, and the bound on it.
///
/// The sum never exceeds the bound. The data of all but the preferred answer
/// never exceeds the shared part, so the preferred answer can always grow to
/// the rest of the bound.
#[derive(Debug, Clone)]
pub struct HeldMemory {
    bound: Option<u64>,
    held: u64,
    preferred: Option<AnswerNumber>,
}

impl HeldMemory {
    /// Creates the state of a node that holds nothing; without `bound` all is taken.
    #[must_use]
    pub fn new(bound: Option<Bytes>) -> Self {
        Self {
            bound: bound.map(Bytes::get),
            held: 0,
            preferred: None,
        }
    }

    /// The bytes that are held.
    #[must_use]
    pub const fn held(&self) -> Bytes {
        Bytes::new(self.held)
    }

    /// Takes memory, if there is room for this purpose.
    ///
    /// If there is no room for an answer, it becomes the preferred one unless there is one.
    #[must_use]
    pub fn try_take(&mut self, purpose: Purpose, amount: Bytes) -> bool {
        let wanted = self.held.saturating_add(amount.get());
        if wanted > self.limit(purpose, wanted) {
            return false;
        }
        self.held = wanted;
        true
    }

    /// The limit on all held data when `wanted` bytes would be held after a take.
    fn limit(&mut self, purpose: Purpose, wanted: u64) -> u64 {
        let Some(bound) = self.bound else {
            return u64::MAX;
        };
        let shared = eighths(bound, SHARED_EIGHTHS);
        match purpose {
            Purpose::Body => eighths(bound, BODY_EIGHTHS),
            Purpose::UnreadEvents => eighths(bound, UNREAD_EIGHTHS),
            Purpose::Answer(number)
                if wanted > shared && *self.preferred.get_or_insert(number) == number =>
            {
                bound
            }
            Purpose::Answer(_) | Purpose::Events => shared,
        }
    }

    /// Gives memory back.
    pub fn give_back(&mut self, amount: Bytes) {
        self.held = self.held.saturating_sub(amount.get());
        // All data fits into the shared part again, so another answer may be preferred.
        if self
            .bound
            .is_some_and(|bound| self.held <= eighths(bound, SHARED_EIGHTHS))
        {
            self.preferred = None;
        }
    }

    /// Ends the preference of an answer that gave its memory back.
    pub fn end_answer(&mut self, number: AnswerNumber) {
        if self.preferred == Some(number) {
            self.preferred = None;
        }
    }
}

const fn eighths(bound: u64, count: u64) -> u64 {
    bound / 8 * count
}
