//! What the platform is asked about the fleet: the VM list and the inventory.

use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::inventory::change::{Change, KIND, NAME};
use catkinusher_core::membership::{ListedVm, Location};
use catkinusher_platform::{Role, State as Listed, Version};
use tokio_util::sync::CancellationToken;
use tracing::{debug, info, warn};

use crate::node::State;

/// How often the VM list is read until it has been read once.
const FIRST_PERIOD: Duration = Duration::from_millis(200);

/// How often the VM list is read after that, by the watchers and in a small fleet.
const LIST_PERIOD: Duration = Duration::from_secs(10);

/// How many times a second the nodes read the VM list together, watchers apart.
///
/// Members hear of each other from peers; the list only confirms who is there.
const FLEET_READS: u32 = 2;

/// The pause after the object API could not be asked.
const PAUSE: Duration = Duration::from_millis(500);

/// Follows the VM list, until the node ends.
pub(super) async fn follow_list(state: &Arc<State>) {
    loop {
        let period = match state.vms.list().await {
            Ok(list) => on_list(state, list),
            Err(error) => {
                debug!("member: the VM list can't be read: {error}");
                FIRST_PERIOD
            }
        };
        state.timers.after(period).await;
    }
}

/// Takes a list in, and tells when to read the next.
fn on_list(state: &State, list: Vec<catkinusher_platform::Member>) -> Duration {
    let ours = list.into_iter().filter(|vm| vm.role == Role::Entry);
    let listed: Vec<_> = ours
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
    // A node that the list doesn't have yet, or that sees no other, looks again soon.
    let known = listed.iter().any(|vm| vm.vm == state.settings.node.name);
    if known && !alone {
        let turn = Duration::from_secs(1) * members.count() / FLEET_READS;
        if members.is_watching() {
            LIST_PERIOD
        } else {
            LIST_PERIOD.max(turn)
        }
    } else {
        FIRST_PERIOD
    }
}

/// Watches the inventory until `stop`.
pub(super) async fn watch(state: Arc<State>, stop: CancellationToken) {
    let mut seen = Version::NONE;
    loop {
        let turn = async {
            if seen == Version::NONE {
                read(&state).await
            } else {
                turn(&state, seen).await
            }
        };
        tokio::select! {
            () = stop.cancelled() => return,
            version = turn => match version {
                Some(version) => seen = seen.max(version),
                None => state.timers.after(PAUSE).await,
            },
        }
    }
}

async fn turn(state: &State, seen: Version) -> Option<Version> {
    let wait = state.settings.fleet.spread.watch_wait.get();
    let watched = match state.store.watch::<Change>(KIND, seen, wait).await {
        Ok(watched) => watched,
        Err(error) => {
            warn!("config: cannot be watched: {error}");
            return None;
        }
    };
    let mut news = false;
    for event in watched.events {
        if let Some(change) = event.value.filter(|_| event.name == NAME) {
            on_object(state, event.version, &change);
            news = true;
        }
    }
    if !news {
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

/// Reads the inventory once, and tells its version.
pub(super) async fn read(state: &State) -> Option<Version> {
    match state.store.get::<Change>(KIND, NAME).await {
        Ok(Some(object)) => {
            on_object(state, object.version, &object.value);
            Some(object.version)
        }
        Ok(None) => {
            info!("config: there is none yet");
            None
        }
        Err(error) => {
            warn!("config: cannot be read: {error}");
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
