//! Events of a stream, cut out of the bytes that come.
//!
//! Only whole events are passed on. An upstream that dies in the middle of one
//! so leaves nothing behind that the run which goes on elsewhere would have to
//! take back.

use thiserror::Error;

/// The largest event that is held while it is incomplete, in bytes.
pub const EVENT_LIMIT: usize = 1024 * 1024;

/// Why bytes are no stream that can be passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EventError {
    /// An event is longer than [`EVENT_LIMIT`].
    #[error("event over {EVENT_LIMIT} bytes")]
    TooLong,
    /// An event's number does not follow the one before.
    #[error("event {found} after {last}")]
    OutOfOrder {
        /// The number of the last event passed on.
        last: u64,
        /// The number found.
        found: u64,
    },
}

/// Cuts a stream into whole events and watches their numbers.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    rest: Vec<u8>,
    last: Option<u64>,
    strict: bool,
}

impl EventSplitter {
    /// A stream that goes on after event `last`.
    #[must_use]
    pub const fn resume_after(last: Option<u64>) -> Self {
        Self {
            rest: Vec::new(),
            last,
            strict: false,
        }
    }

    /// The number of the last whole event.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether no part of an event is held.
    #[must_use]
    pub const fn is_at_boundary(&self) -> bool {
        self.rest.is_empty()
    }

    /// Forgets a part of an event, as its upstream is gone.
    pub fn discard_partial(&mut self) {
        self.rest.clear();
        self.strict = true;
    }

    /// Takes in bytes and gives all events that are whole now, as they came.
    ///
    /// # Errors
    ///
    /// If an event is too long, or its number shows that one is missing or
    /// comes twice.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, EventError> {
        let held = self.rest.len();
        self.rest.extend_from_slice(bytes);
        // The blank line may begin in what was held.
        let mut from = held.saturating_sub(3);
        let mut done = 0;
        while let Some(end) = blank_line(&self.rest, from) {
            let event = &self.rest[done..end];
            if let Some(found) = number(event) {
                if let Some(last) = self.last
                    && found != last + 1
                    && (found <= last || self.strict)
                {
                    return Err(EventError::OutOfOrder { last, found });
                }
                self.last = Some(found);
                self.strict = true;
            }
            done = end;
            from = end;
        }
        if self.rest.len() - done > EVENT_LIMIT {
            return Err(EventError::TooLong);
        }
        let rest = self.rest.split_off(done);
        Ok(std::mem::replace(&mut self.rest, rest))
    }
}

/// Where the blank line that ends an event ends, at or after `from`.
fn blank_line(bytes: &[u8], from: usize) -> Option<usize> {
    let mut at = from;
    while let Some(offset) = bytes[at..].iter().position(|byte| *byte == b'\n') {
        let next = at + offset + 1;
        match bytes.get(next..) {
            Some([b'\n', ..]) => return Some(next + 1),
            Some([b'\r', b'\n', ..]) => return Some(next + 2),
            _ => at = next,
        }
    }
    None
}

/// The number in an event's `id` line.
fn number(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|text| text.trim().parse().ok())
}
