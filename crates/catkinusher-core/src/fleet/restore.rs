//! What a fleet keeps when the store comes back from an older copy.
//!
//! The copy lacks what the operators and the upstreams have written since, and has what was
//! removed since. They write it again, within [`LAPSE_GRACE`] as far as they are there. Until then
//! this node goes by what it has seen, as far as the copy may be older
//! (see [docs/incidents/restored-store.md](../../../../docs/incidents/restored-store.md)).

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Fleet, LAPSE_GRACE, Upstream};
use crate::id::{DataCentreId, UpstreamId};
use crate::time::Time;

/// How long an upstream that had left gets no requests if an older copy lists it again.
///
/// By then the store has removed the entry if nobody renews it.
const RETURN_DELAY: Duration = Duration::from_secs(10);

/// How long the last entry of an upstream that has left is kept; a copy is some seconds old.
const DEPARTED_TIME: Duration = Duration::from_mins(1);

/// The last entry of an upstream that has left.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct Departed {
    upstream: Upstream,
    left_at: Time,
}

/// What was known before the store came back and may be missing in the copy.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(default)]
pub(super) struct Remembered {
    departed: BTreeMap<UpstreamId, Departed>,
    /// Drained data centres that the copy does not name, and until when they stay drained.
    drained: BTreeMap<DataCentreId, Time>,
}

impl Remembered {
    pub(super) fn on_departed(&mut self, upstream: Upstream, now: Time) {
        self.departed
            .retain(|_, one| now.since(one.left_at) < DEPARTED_TIME);
        let id = upstream.id.clone();
        let left_at = now;
        self.departed.insert(id, Departed { upstream, left_at });
    }

    pub(super) fn is_drained(&self, data_centre: &DataCentreId) -> bool {
        self.drained.contains_key(data_centre)
    }

    pub(super) fn expire(&mut self, now: Time) {
        self.drained.retain(|_, until| now < *until);
    }

    fn has_departed(&self, listed: &Upstream) -> bool {
        let departed = self.departed.get(&listed.id);
        departed.is_some_and(|Departed { upstream, .. }| {
            listed.started <= upstream.started && !listed.is_newer_than(upstream)
        })
    }
}

impl Fleet {
    /// Replaces the entries by the first list of a store that came back from an older copy.
    ///
    /// Upstreams missing from it are kept for a grace period, as after an outage. One that has
    /// left gets no requests until its entry changes, or has stayed for longer than one that
    /// nobody renews.
    pub fn on_restored_list(&mut self, listed: Vec<Upstream>, now: Time) {
        let returned = listed
            .iter()
            .filter(|one| self.remembered.has_departed(one));
        let returned: Vec<UpstreamId> = returned.map(|one| one.id.clone()).collect();
        self.on_list(listed, true, now);
        for id in returned {
            if let Some(entry) = self.entries.get_mut(&id) {
                entry.returned_until = Some(now + RETURN_DELAY);
            }
        }
    }

    /// Sets the drained data centres by the first list of a store that came back from an older copy.
    ///
    /// Those missing from it stay drained for a grace period.
    pub fn on_restored_drains(&mut self, listed: BTreeSet<DataCentreId>, now: Time) {
        let before = std::mem::replace(&mut self.drained, listed);
        let missing = before.difference(&self.drained).cloned();
        let until = now + LAPSE_GRACE;
        self.remembered
            .drained
            .extend(missing.map(|data_centre| (data_centre, until)));
    }
}
