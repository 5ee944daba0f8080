//! One request as its readers see it.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use catkinusher_core::id::RequestId;
use tokio::sync::watch;

use super::State;
use crate::batch::Usage;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum End {
    Finished(Usage),
    Cancelled,
    Dropped,
}

/// How far a request is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Progress {
    pub(super) generated: u64,
    pub(super) end: Option<End>,
}

/// Which form its answer has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Form {
    Text,
    Chat,
}

#[derive(Debug)]
pub(super) struct Stream {
    pub(super) id: RequestId,
    pub(super) model: String,
    pub(super) form: Form,
    pub(super) output: u64,
    pub(super) progress: watch::Sender<Progress>,
    readers: AtomicU32,
}

impl Stream {
    pub(super) fn new(id: RequestId, model: String, form: Form, output: u64) -> Self {
        Self {
            id,
            model,
            form,
            output,
            progress: watch::Sender::new(Progress::default()),
            readers: AtomicU32::new(0),
        }
    }

    pub(super) fn end(&self, end: End) {
        self.progress.send_modify(|progress| {
            progress.end.get_or_insert(end);
        });
    }

    pub(super) fn has_ended(&self) -> bool {
        self.progress.borrow().end.is_some()
    }

    pub(super) fn is_read(&self) -> bool {
        self.readers.load(Ordering::SeqCst) > 0
    }

    /// Waits until it has ended.
    pub(super) async fn ended(&self) -> End {
        let mut progress = self.progress.subscribe();
        let ended = progress.wait_for(|progress| progress.end.is_some()).await;
        ended
            .ok()
            .and_then(|progress| progress.end)
            .unwrap_or(End::Dropped)
    }
}

/// Somebody who reads a stream; when the last has gone, its grace begins.
#[derive(Debug)]
pub(super) struct Reader {
    state: Arc<State>,
    pub(super) stream: Arc<Stream>,
}

impl Reader {
    pub(super) fn new(state: Arc<State>, stream: Arc<Stream>) -> Self {
        stream.readers.fetch_add(1, Ordering::SeqCst);
        Self { state, stream }
    }

    pub(super) fn state(&self) -> &Arc<State> {
        &self.state
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let before = self.stream.readers.fetch_sub(1, Ordering::SeqCst);
        if before == 1 && !self.stream.has_ended() {
            self.state.on_left(&self.stream);
        }
    }
}
