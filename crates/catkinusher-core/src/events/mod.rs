//! Splitting a server-sent event stream into complete events.
//!
//! Only complete events are forwarded. If an upstream dies in the middle of an
//! event, the caller has received no partial event that the run resumed on
//! another upstream would have to retract.

use thiserror::Error;

/// The largest incomplete event that is buffered, in bytes.
pub const EVENT_LIMIT: usize = 1024 * 1024;

/// Why a stream cannot be forwarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum EventError {
    /// An incomplete event is longer than [`EVENT_LIMIT`].
    #[error("event exceeds {EVENT_LIMIT} bytes")]
    TooLong,
    /// The id of an event does not follow that of the previous one.
    #[error("event id {found} does not follow {last}")]
    OutOfOrder {
        /// The id of the last forwarded event.
        last: u64,
        /// The id of the event.
        found: u64,
    },
    /// An event has no id although those before it do.
    #[error("event after {last} has no id")]
    NoId {
        /// The id of the last forwarded event.
        last: u64,
    },
}

/// The end of a stream that cannot be forwarded any further.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Malformed {
    /// The complete events before the fault, which are still to be forwarded.
    pub events: Vec<u8>,
    /// What is wrong with the rest.
    pub error: EventError,
}

/// Splits a stream into complete events and checks the sequence of their ids.
#[derive(Debug, Clone, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    last_id: Option<u64>,
    /// The number of complete events.
    count: u64,
    /// Whether a gap in the ids is an error; a stream may resume after a gap.
    strict: bool,
    /// Whether an event had an id; from then on all must, so that text which is no event is noticed.
    numbered: bool,
}

impl EventSplitter {
    /// Creates a splitter for a stream that continues after the event `last_id`.
    #[must_use]
    pub const fn resume_after(last_id: Option<u64>) -> Self {
        Self {
            buffer: Vec::new(),
            last_id,
            count: 0,
            strict: false,
            numbered: false,
        }
    }

    /// The id of the last complete event.
    #[must_use]
    pub const fn last(&self) -> Option<u64> {
        self.last_id
    }

    /// The number of complete events.
    #[must_use]
    pub const fn count(&self) -> u64 {
        self.count
    }

    /// The size of the partial event that is buffered, in bytes.
    #[must_use]
    pub const fn buffered(&self) -> usize {
        self.buffer.len()
    }

    /// Whether no partial event is buffered.
    #[must_use]
    pub const fn is_at_boundary(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Discards a partial event whose upstream is gone; from then on, event ids must not skip.
    pub fn discard_partial(&mut self) {
        self.buffer.clear();
        self.strict = true;
    }

    /// Adds received bytes and returns all events that are now complete, unmodified.
    ///
    /// # Errors
    ///
    /// Returns the events before the fault if an event is too long, has no id
    /// although earlier ones do, or if its id shows that an event is missing or
    /// repeated. The rest is discarded.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<u8>, Malformed> {
        let buffered = self.buffer.len();
        self.buffer.extend_from_slice(bytes);
        // The blank line may begin in the bytes buffered before.
        let mut from = buffered.saturating_sub(3);
        let mut complete = 0;
        let mut fault = None;
        while let Some(end) = blank_line(&self.buffer, from) {
            let found = event_id(&self.buffer[complete..end]);
            let is_comment = is_comment(&self.buffer[complete..end]);
            fault = self.check(found, is_comment).err();
            if fault.is_some() {
                break;
            }
            self.count += 1;
            complete = end;
            from = end;
        }
        let rest = self.buffer.split_off(complete);
        if fault.is_none() && rest.len() > EVENT_LIMIT {
            fault = Some(EventError::TooLong);
        }
        match fault {
            None => Ok(std::mem::replace(&mut self.buffer, rest)),
            Some(error) => Err(Malformed {
                events: std::mem::take(&mut self.buffer),
                error,
            }),
        }
    }

    /// Checks the id of the next event against those before it.
    fn check(&mut self, found: Option<u64>, is_comment: bool) -> Result<(), EventError> {
        let Some(found) = found else {
            return match self.last_id {
                Some(last) if self.numbered && !is_comment => Err(EventError::NoId { last }),
                _ => Ok(()),
            };
        };
        if let Some(last) = self.last_id
            && found != last + 1
            && (found <= last || self.strict)
        {
            return Err(EventError::OutOfOrder { last, found });
        }
        self.last_id = Some(found);
        self.numbered = true;
        self.strict = true;
        Ok(())
    }
}

/// The end of the first blank line, which ends an event, at or after `from`.
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

/// Whether an event consists of comments alone, which keep a connection open.
fn is_comment(event: &[u8]) -> bool {
    event
        .split(|byte| *byte == b'\n')
        .map(<[u8]>::trim_ascii)
        .all(|line| line.is_empty() || line.starts_with(b":"))
}

/// The numeric id in an event's `id` line.
fn event_id(event: &[u8]) -> Option<u64> {
    event
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|text| text.trim().parse().ok())
}
