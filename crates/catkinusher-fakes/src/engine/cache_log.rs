//! Cache events as they are published: late, and with gaps.

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::batch::Change;

/// Events that are kept; older ones are a gap to who comes late.
const KEPT: usize = 4096;

/// The most events in an answer.
const ANSWER_LIMIT: usize = 1024;

/// A block of a prefix that came into the cache or left it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Its number; they rise by one.
    pub seq: u64,
    /// XXH3-64 of the prompt's text up to the end of the block, in 16 hex digits.
    pub prefix: String,
    /// Tokens up to the end of the block.
    pub tokens: u64,
    /// Whether it came in.
    pub stored: bool,
}

/// Events in a row.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvents {
    /// Number of the first event of the answer, or of the next to come.
    pub first: u64,
    /// Number of the last event of the answer, or of the last before it.
    pub last: u64,
    /// The events, without a gap between them.
    pub events: Vec<CacheEvent>,
}

#[derive(Debug, Default)]
pub(super) struct CacheLog {
    events: VecDeque<(Instant, CacheEvent)>,
    last: u64,
}

impl CacheLog {
    /// Takes changes in; the first `gap` of them are lost, their numbers used up.
    pub(super) fn extend(&mut self, changes: Vec<Change>, gap: usize) {
        self.last += gap.min(changes.len()) as u64;
        for change in changes.into_iter().skip(gap) {
            self.last += 1;
            let event = CacheEvent {
                seq: self.last,
                prefix: format!("{:016x}", change.prefix),
                tokens: change.tokens.get(),
                stored: change.stored,
            };
            if self.events.len() == KEPT {
                self.events.pop_front();
            }
            self.events.push_back((Instant::now(), event));
        }
    }

    /// The events after `seq` that are older than the lag, up to the next gap.
    pub(super) fn after(&self, seq: u64, lag: Duration) -> CacheEvents {
        let shown = self.events.iter().filter(|(at, _)| at.elapsed() >= lag);
        let later = shown
            .map(|(_, event)| event)
            .filter(|event| event.seq > seq);
        let mut events = Vec::<CacheEvent>::new();
        for event in later.take(ANSWER_LIMIT) {
            let expected = events.last().map_or(event.seq, |last| last.seq + 1);
            if event.seq != expected {
                break;
            }
            events.push(event.clone());
        }
        CacheEvents {
            first: events.first().map_or(seq + 1, |event| event.seq),
            last: events.last().map_or(seq, |event| event.seq),
            events,
        }
    }
}
