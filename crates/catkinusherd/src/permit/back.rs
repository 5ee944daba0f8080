//! Releases permits, and reports the permits still held to their owners.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use catkinusher_peer::rpc::{Held, Note, Release};
use tracing::warn;

use crate::node::State;

/// The time limit of one call that releases or reports permits.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// The interval at which the permits still held are reported to their owners.
const HELD_REPORT_PERIOD: Duration = Duration::from_secs(2);

/// How long a shutdown waits for queued releases to be sent.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);

/// The polling interval of that wait.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The maximum number of releases in one message.
const RELEASE_BATCH: usize = 256;

/// Releases permits and reports those still held, until the node stops.
pub async fn run(state: Arc<State>) {
    let queue = state
        .release_queue
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    let Some(mut queue) = queue else {
        return;
    };
    let mut ticks = state.timers.every(HELD_REPORT_PERIOD);
    let mut batch = Vec::new();
    loop {
        tokio::select! {
            count = queue.recv_many(&mut batch, RELEASE_BATCH) => {
                if count == 0 {
                    return;
                }
                send_releases(&state, std::mem::take(&mut batch)).await;
                state.queued_releases.fetch_sub(count, Ordering::Relaxed);
            }
            alive = ticks.next() => {
                if !alive {
                    return;
                }
                report_held(&state).await;
            }
        }
    }
}

async fn send_releases(state: &Arc<State>, batch: Vec<Release>) {
    let mut remote: HashMap<SocketAddr, Vec<Release>> = HashMap::new();
    for release in batch {
        let owner = state.members.owner(&release.upstream);
        match owner {
            Some(owner) if owner == state.settings.node.name => {
                state
                    .owners
                    .release(&release.upstream, &release.request, &release.report);
            }
            Some(owner) => {
                if let Some(address) = state.members.address(&owner) {
                    remote.entry(address).or_default().push(release);
                }
            }
            None => {}
        }
    }
    for (address, releases) in remote {
        let call = state
            .links
            .call(address, CALL_TIMEOUT, |client, context| async move {
                client.release(context, releases).await
            });
        if let Err(error) = call.await {
            // The owner releases them once the report of held permits no longer lists them.
            warn!("route: permits could not be released: {error}");
        }
    }
}

async fn report_held(state: &Arc<State>) {
    let mut remote: HashMap<SocketAddr, Vec<Held>> = HashMap::new();
    for (upstream, requests) in state.held_permits.all() {
        let owner = state.members.owner(&upstream);
        let Some(address) = owner.and_then(|owner| state.members.address(&owner)) else {
            continue;
        };
        let held = Held { upstream, requests };
        remote.entry(address).or_default().push(held);
    }
    for (address, held) in remote {
        let from = state.settings.node.name.clone();
        let call = state
            .links
            .call(address, CALL_TIMEOUT, |client, context| async move {
                client.tell(context, from, vec![Note::Held(held)]).await
            });
        // A failed report is superseded by the next one.
        let _result = call.await;
    }
}

/// Waits until the queued releases have been sent, for at most `FLUSH_TIMEOUT`.
pub async fn flush(state: &State) {
    let end = state.timers.now() + FLUSH_TIMEOUT;
    while state.queued_releases.load(Ordering::Relaxed) > 0 && state.timers.now() < end {
        state.timers.after(FLUSH_POLL_INTERVAL).await;
    }
}
