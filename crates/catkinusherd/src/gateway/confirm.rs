//! Confirmation of the configuration, by reads of the store or replies of peers that read it.
//!
//! [`Confirmer`](catkinusher_core::confirm::Confirmer) decides what to do; this
//! module carries out the reads and queries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;

use catkinusher_core::confirm::{Action, ConfirmReply, Confirmer, ReplyOutcome};
use catkinusher_core::id::Serial;
use catkinusher_platform::{Priority, Store};
use serde_json::Value;
use tokio::net::UdpSocket;
use tracing::{debug, info, warn};

use super::clock;
use super::dialect::{Dialect, StoreSchema};
use super::peers::{self, Feed, Message};
use super::state::State;
use super::supervise;
use super::watch;

/// Starts the task that reads the store and queries peers.
pub(super) fn start<D, S>(
    state: &Arc<State<D>>,
    store: &Store<S::Form>,
    schema: &S,
    socket: &Arc<UdpSocket>,
) where
    D: Dialect,
    S: StoreSchema,
{
    let store = store.at(Priority::Configuration).lenient();
    let (schema, socket) = (schema.clone(), Arc::clone(socket));
    supervise::spawn(state, "confirm", move |state| {
        run(state, store.clone(), schema.clone(), Arc::clone(&socket))
    });
}

async fn run<D, S>(state: Arc<State<D>>, store: Store<S::Form>, schema: S, socket: Arc<UdpSocket>)
where
    D: Dialect,
    S: StoreSchema,
{
    loop {
        let actions = {
            let mut confirmer = state.confirmer();
            let mut roster = state.roster();
            confirmer.poll(&mut roster, clock::boot_time())
        };
        for action in actions {
            match action {
                Action::Read => {
                    let (state, store, schema) =
                        (Arc::clone(&state), store.clone(), schema.clone());
                    tokio::spawn(async move { read(&state, &store, &schema).await });
                }
                Action::Fetch(revision) => {
                    let (state, store, schema) =
                        (Arc::clone(&state), store.stale(), schema.clone());
                    tokio::spawn(async move { fetch(&state, &store, &schema, revision).await });
                }
                Action::Ask(peer, serial) => {
                    let seen = Feed::ALL.map(|feed| state.feeds.upto(feed)).to_vec();
                    peers::send(&socket, &Message::ConfirmQuery(serial, seen), peer);
                }
                Action::Reply(peer, serial) => {
                    let known = state.view().position();
                    let now = clock::boot_time();
                    let reply = state.confirmer().reply(serial, known, now);
                    peers::send(&socket, &Message::ConfirmReply(reply), peer);
                }
            }
        }
        let now = state.now();
        for upstream in state.fleet().expire(now) {
            info!(event = "upstream", upstream = %upstream, outcome = "lapsed");
        }
        if state.roster().expire(clock::boot_time()) {
            state.on_roster_changed();
        }
        let pause = state.confirmer().poll_interval();
        tokio::select! {
            () = state.timers.after(pause) => {}
            () = state.notifiers.confirm.notified() => {}
        }
    }
}

async fn read<D, S>(state: &State<D>, store: &Store<S::Form>, schema: &S)
where
    D: Dialect,
    S: StoreSchema,
{
    let began = clock::boot_time();
    let (kind, name) = S::CONFIGURATION;
    let answer = store.get::<Value>(kind, name).await;
    state.on_era(store.era());
    match answer {
        Ok(object) => {
            let is_current = object
                .is_none_or(|one| watch::apply_configuration(state, schema, &one.name, one.value));
            if is_current {
                let revision = state.view().position().revision;
                let now = clock::boot_time();
                let confirms = on_confirmed(state, |confirmer| {
                    confirmer.on_read(began, revision, store.era(), &state.roster(), now)
                });
                let result = if confirms { "answered" } else { "older" };
                state.metrics.on_call("confirm", result);
            } else {
                state.metrics.on_call("confirm", "bad");
                let mut confirmer = state.confirmer();
                let roster = state.roster();
                confirmer.on_failure(&roster, clock::boot_time());
            }
        }
        Err(error) => {
            let now = clock::boot_time();
            let mut confirmer = state.confirmer();
            if !confirmer.is_overdue(now) {
                warn!(event = "store", kind, outcome = "unconfirmed", %error);
            }
            confirmer.on_failure(&state.roster(), now);
            drop(confirmer);
            state.metrics.on_call("confirm", "failed");
        }
    }
    state.notifiers.confirm.notify_one();
}

/// Reads a revision that a peer has, or any, which confirms nothing, as the answer may be old.
async fn fetch<D, S>(state: &State<D>, store: &Store<S::Form>, schema: &S, revision: u64)
where
    D: Dialect,
    S: StoreSchema,
{
    let (kind, name) = S::CONFIGURATION;
    let answer = store.get::<Value>(kind, name).await;
    state.on_era(store.era());
    match answer {
        Ok(object) => {
            if let Some(object) = object {
                // A bad object ends the trust only if a read shows that it is the newest.
                let _applied =
                    watch::apply_configuration(state, schema, &object.name, object.value);
            }
            let fetched = state.view().position().revision;
            let suffices = on_confirmed(state, |confirmer| confirmer.on_fetch(fetched));
            let result = if suffices { "answered" } else { "old" };
            state.metrics.on_call("fetch", result);
        }
        Err(error) => {
            debug!("confirm: cannot fetch revision {revision}: {error}");
            state.metrics.on_call("fetch", "failed");
            let mut confirmer = state.confirmer();
            confirmer.on_fetch_failure(&state.roster(), clock::boot_time());
        }
    }
    state.notifiers.confirm.notify_one();
}

/// Replies to a peer's confirmation query.
pub(super) fn reply_to_peer<D>(state: &State<D>, peer: SocketAddr, serial: Serial) -> ConfirmReply {
    let known = state.view().position();
    let now = clock::boot_time();
    state.confirmer().on_query(peer, serial, known, now)
}

/// Handles a peer's reply to a confirmation query.
pub(super) fn on_peer_reply<D>(state: &State<D>, reply: &ConfirmReply) {
    let revision = state.view().position().revision;
    let now = clock::boot_time();
    let known = state.confirmer().newest_known();
    let outcome = on_confirmed(state, |confirmer| confirmer.on_reply(reply, revision, now));
    match outcome {
        ReplyOutcome::Confirmed => {}
        ReplyOutcome::Behind => {
            // Replies that repeat it before the next read are not logged.
            if known < Some(reply.known.revision) {
                info!(
                    event = "confirm",
                    outcome = "behind",
                    revision,
                    newer = reply.known.revision,
                    pause_ms = state.confirmer().read_pause(now).as_millis() as u64,
                );
            }
            state.notifiers.confirm.notify_one();
        }
        ReplyOutcome::Ignored => return,
    }
    state.on_era(reply.known.era());
    let mut view = state.view();
    let upstreams = view.upstreams.on_peer_version(reply.known.upstreams);
    let drained = view.drained.on_peer_version(reply.known.drained);
    let nodes = view.nodes.on_peer_version(reply.known.nodes);
    let quarantine = view.quarantine.on_peer_version(reply.known.quarantine);
    drop(view);
    for (is_behind, kind, notifier) in [
        (upstreams, "upstreams", &state.notifiers.upstreams),
        (drained, "drained", &state.notifiers.drained),
        (nodes, "nodes", &state.notifiers.nodes),
        (quarantine, "quarantine", &state.notifiers.quarantine),
    ] {
        if is_behind {
            debug!("store: a peer knows newer {kind}");
            notifier.notify_one();
        }
    }
}

/// Updates the confirmer, and wakes the watches at once if this is the first
/// confirmation after an outage.
fn on_confirmed<D, T, F>(state: &State<D>, act: F) -> T
where
    F: FnOnce(&mut Confirmer) -> T,
{
    let now = clock::boot_time();
    let mut confirmer = state.confirmer();
    let lost = confirmer.freshness().age(now).is_some() && confirmer.is_overdue(now);
    let done = act(&mut confirmer);
    let regained = lost && !confirmer.is_overdue(now);
    // Others get what changed from the readers.
    let reads = !confirmer.hears_readers(now) || confirmer.is_reader(&state.roster(), now);
    drop(confirmer);
    state.note_start();
    if regained {
        info!(event = "store", outcome = "confirmed");
        state.regained_at.store(now.as_micros(), Ordering::Relaxed);
        if reads {
            state.notifiers.notify_watches();
        }
    }
    done
}
