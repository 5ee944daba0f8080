//! The changes of the store's objects that this node has seen, and those that peers send.

use std::sync::{Mutex, MutexGuard, PoisonError};

use catkinusher_core::feed::{Batch, Change, ChangeLog, ListDifference};
use catkinusher_core::object::Version;
use catkinusher_platform::Listing;
use serde_json::Value;
use tokio::sync::Notify;
use tracing::info;

use super::peers::Feed;

/// The number of batches that may wait for the task that applies them.
const MAX_PENDING: usize = 64;

#[derive(Debug, Default)]
struct State {
    log: ChangeLog<Value>,
    pending: Vec<Batch<Value>>,
}

/// One kind of object.
#[derive(Debug, Default)]
struct Kind {
    state: Mutex<State>,
    arrived: Notify,
}

impl Kind {
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The changes of each kind of object.
#[derive(Debug, Default)]
pub(super) struct Feeds {
    upstreams: Kind,
    drained: Kind,
    nodes: Kind,
    quarantine: Kind,
}

impl Feeds {
    const fn kind(&self, feed: Feed) -> &Kind {
        match feed {
            Feed::Upstreams => &self.upstreams,
            Feed::Drained => &self.drained,
            Feed::Nodes => &self.nodes,
            Feed::Quarantine => &self.quarantine,
        }
    }

    /// The version up to which this node has seen all changes.
    pub(super) fn upto(&self, feed: Feed) -> Version {
        self.kind(feed).lock().log.upto()
    }

    /// The changes for a peer that has seen all up to `version`, or `None` if they are not complete here.
    pub(super) fn since(&self, feed: Feed, version: Version) -> Option<Vec<Batch<Value>>> {
        self.kind(feed).lock().log.since(version)
    }

    /// Records a list of all objects, and returns what it shows that this node did not know.
    pub(super) fn on_list(
        &self,
        feed: Feed,
        listing: &Listing<Value>,
        outage: bool,
    ) -> ListDifference {
        let objects = listing
            .objects
            .iter()
            .map(|object| (object.name.as_str(), object.version, &object.value));
        let mut state = self.kind(feed).lock();
        let before = state.log.upto();
        let difference = state.log.on_list(listing.version, objects, outage);
        drop(state);
        info!(
            event = "feed",
            kind = feed.name(),
            outcome = "listed",
            %before,
            version = %listing.version,
            removed = difference.removed.len(),
        );
        difference
    }

    /// Records changes that this node has applied.
    pub(super) fn on_changes(&self, feed: Feed, upto: Version, changes: Vec<Change<Value>>) {
        self.kind(feed).lock().log.on_changes(upto, changes);
    }

    /// Hands changes from a peer to the task that applies them.
    pub(super) fn deliver(&self, feed: Feed, batch: Batch<Value>) {
        let kind = self.kind(feed);
        let mut state = kind.lock();
        if state.log.continues(&batch) && state.pending.len() < MAX_PENDING {
            state.pending.push(batch);
            drop(state);
            kind.arrived.notify_one();
        }
    }

    /// Waits until changes from a peer have arrived.
    pub(super) async fn arrived(&self, feed: Feed) {
        self.kind(feed).arrived.notified().await;
    }

    /// Takes the batches that continue what this node has seen.
    pub(super) fn take(&self, feed: Feed) -> Vec<Batch<Value>> {
        std::mem::take(&mut self.kind(feed).lock().pending)
    }

    /// Whether a batch continues what this node has seen.
    pub(super) fn continues(&self, feed: Feed, batch: &Batch<Value>) -> bool {
        self.kind(feed).lock().log.continues(batch)
    }
}
