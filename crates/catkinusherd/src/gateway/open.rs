//! The requests under way at a node, and how far each of them has come.
//!
//! A request that waits writes no log lines, so a stop that reaches its limit
//! lists the open requests with what each of them waits for.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkinusher_core::time::Time;
use http::HeaderValue;

/// What a request waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Stage {
    /// The rest of its body.
    Body,
    /// A placement.
    Placement,
    /// Memory on its helpers.
    Memory,
    /// A connection to its upstream.
    Connection,
    /// The head of the upstream's response.
    Response,
    /// The rest of the upstream's response.
    Answer,
}

impl Stage {
    /// The name in logs.
    pub(super) const fn name(self) -> &'static str {
        match self {
            Self::Body => "body",
            Self::Placement => "placement",
            Self::Memory => "memory",
            Self::Connection => "connection",
            Self::Response => "response",
            Self::Answer => "answer",
        }
    }
}

#[derive(Debug)]
struct Entry {
    id: HeaderValue,
    stage: Stage,
    received: Time,
    entered: Time,
}

/// A request as a stop reports it.
#[derive(Debug)]
pub(super) struct OpenSince {
    pub(super) id: HeaderValue,
    pub(super) stage: Stage,
    /// How long it has been open.
    pub(super) age: Duration,
    /// How long it has been in this stage.
    pub(super) waited: Duration,
}

#[derive(Debug, Default)]
struct Entries {
    next: u64,
    open: BTreeMap<u64, Entry>,
}

/// The open requests of a node.
#[derive(Debug, Clone, Default)]
pub(super) struct OpenRequests {
    entries: Arc<Mutex<Entries>>,
}

/// One open request; dropping it ends it.
#[derive(Debug)]
pub(super) struct OpenRequest {
    requests: OpenRequests,
    number: u64,
}

impl OpenRequests {
    fn lock(&self) -> MutexGuard<'_, Entries> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a request whose head arrived at `received`.
    pub(super) fn begin(&self, id: &HeaderValue, received: Time) -> OpenRequest {
        let mut entries = self.lock();
        entries.next += 1;
        let number = entries.next;
        let entry = Entry {
            id: id.clone(),
            stage: Stage::Body,
            received,
            entered: received,
        };
        entries.open.insert(number, entry);
        drop(entries);
        OpenRequest {
            requests: self.clone(),
            number,
        }
    }

    /// The number of open requests.
    pub(super) fn count(&self) -> usize {
        self.lock().open.len()
    }

    /// The longest open requests, at most `limit`.
    pub(super) fn oldest(&self, limit: usize, now: Time) -> Vec<OpenSince> {
        let entries = self.lock();
        let oldest = entries.open.values().take(limit);
        oldest
            .map(|entry| OpenSince {
                id: entry.id.clone(),
                stage: entry.stage,
                age: now.since(entry.received),
                waited: now.since(entry.entered),
            })
            .collect()
    }
}

impl OpenRequest {
    /// Records what the request waits for from now on.
    pub(super) fn enter(&self, stage: Stage, now: Time) {
        if let Some(entry) = self.requests.lock().open.get_mut(&self.number) {
            entry.stage = stage;
            entry.entered = now;
        }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.requests.lock().open.remove(&self.number);
    }
}
