//! Reads the VM list and the inventory from the platform.

use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::inventory::change::{Change, KIND, NAME};
use catkinusher_core::membership::{ListedVm, Location};
use catkinusher_platform::{Role, State as Listed, Version};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info, warn};

use crate::node::State;

/// The interval of reading the VM list until it lists this node and another one.
const FIRST_PERIOD: Duration = Duration::from_millis(200);

/// The interval after that, for watchers and in a small fleet.
const LIST_PERIOD: Duration = Duration::from_secs(10);

/// The rate per second at which all nodes together read the VM list, not counting the watchers.
///
/// Members learn of each other from peers; the list only confirms the members.
const FLEET_READS: u32 = 2;

/// The delay before another attempt after a call to the object API failed.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Polls the VM list, until the node stops.
pub(super) async fn follow_list(state: &Arc<State>) {
    loop {
        let period = match state.vms.list().await {
            Ok(list) => on_list(state, list),
            Err(error) => {
                debug!("member: cannot read the VM list: {error}");
                FIRST_PERIOD
            }
        };
        state.timers.after(period).await;
    }
}

/// Applies a VM list, and returns the delay before the next read.
fn on_list(state: &State, list: Vec<catkinusher_platform::Member>) -> Duration {
    let entry_vms = list.into_iter().filter(|vm| vm.role == Role::Entry);
    let listed: Vec<_> = entry_vms
        .map(|vm| ListedVm {
            vm: vm.vm,
            location: Location {
                data_centre: vm.data_centre,
                address: vm.address,
            },
            leaving: vm.state == Listed::Leaving,
        })
        .collect();
    let alone = listed.iter().all(|vm| vm.vm == state.settings.node.name);
    let members = &state.members;
    let outputs = members
        .lock()
        .membership
        .on_vm_list(&listed, state.timers.now());
    members.put_member(outputs);
    members.on_change(state.timers.now());
    state.update_ownership();
    // A node that is not listed yet, or is the only one listed, reads the list again soon.
    let known = listed.iter().any(|vm| vm.vm == state.settings.node.name);
    if known && !alone {
        let fleet_period = Duration::from_secs(1) * members.count() / FLEET_READS;
        if members.is_watching() {
            LIST_PERIOD
        } else {
            LIST_PERIOD.max(fleet_period)
        }
    } else {
        FIRST_PERIOD
    }
}

/// Watches the inventory until `stop`.
pub(super) async fn watch(state: Arc<State>, stop: CancellationToken) {
    let mut seen = Version::NONE;
    loop {
        let update = async {
            if seen == Version::NONE {
                read(&state).await
            } else {
                next_change(&state, seen).await
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            version = update => match version {
                Some(version) => seen = seen.max(version),
                None => state.timers.after(RETRY_DELAY).await,
            },
        }
    }
}

async fn next_change(state: &State, seen: Version) -> Option<Version> {
    let wait = state.settings.fleet.spread.watch_wait.get();
    let watched = match state.store.watch::<Change>(KIND, seen, wait).await {
        Ok(watched) => watched,
        Err(error) => {
            warn!("config: cannot watch the inventory: {error}");
            return None;
        }
    };
    let mut changed = false;
    for event in watched.events {
        if let Some(change) = event.value.filter(|_| event.name == NAME) {
            on_object(state, event.version, &change);
            changed = true;
        }
    }
    if !changed {
        let now = state.timers.now();
        let members = &state.members;
        let mut machines = members.lock();
        let store = watched.version.get();
        let outputs = machines.spread.on_unchanged(seen.get(), store, now);
        drop(machines);
        members.put_spread(outputs);
    }
    Some(watched.version)
}

/// Reads the inventory once, and returns its version.
pub(super) async fn read(state: &State) -> Option<Version> {
    match state.store.get::<Change>(KIND, NAME).await {
        Ok(Some(object)) => {
            on_object(state, object.version, &object.value);
            Some(object.version)
        }
        Ok(None) => {
            info!("config: the platform has no inventory yet");
            None
        }
        Err(error) => {
            warn!("config: cannot read the inventory: {error}");
            None
        }
    }
}

fn on_object(state: &State, version: Version, change: &Change) {
    let text = Arc::from(change.toml.as_str());
    let now = state.timers.now();
    let members = &state.members;
    let outputs = members.lock().spread.on_platform(version.get(), &text, now);
    members.put_spread(outputs);
}
