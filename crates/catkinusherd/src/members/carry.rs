//! Drives the core's state machines and executes their outputs.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, PoisonError};
use std::time::Duration;

use catkinusher_core::id::VmId;
use catkinusher_core::membership::{self, Change};
use catkinusher_core::spread;
use catkinusher_core::time::Time;
use catkinusher_peer::rpc::Note;
use tokio_util::sync::CancellationToken;
use tracing::{debug, info, warn};

use super::{Members, Output, platform};
use crate::config;
use crate::node::State;

/// The time limit of one message to a peer.
const SEND_TIMEOUT: Duration = Duration::from_millis(800);

/// The interval at which idle connections to peers are closed and shares are updated.
const HOUSEKEEPING_PERIOD: Duration = Duration::from_secs(1);

/// The maximum number of outputs executed together.
const OUTPUT_BATCH: usize = 256;

/// Runs the state machines, until the node stops.
pub async fn run(state: Arc<State>) {
    let members = &state.members;
    let queue = members
        .queue
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .take();
    let Some(mut queue) = queue else {
        return;
    };
    let mut watch = None;
    let mut ticks = state.timers.every(HOUSEKEEPING_PERIOD);
    let list = platform::follow_list(&state);
    tokio::pin!(list);
    let mut batch = Vec::new();
    loop {
        let wake = members.tick(state.timers.now());
        tokio::select! {
            _count = queue.recv_many(&mut batch, OUTPUT_BATCH) => {
                execute(&state, std::mem::take(&mut batch), &mut watch);
            }
            () = state.timers.at(wake) => {}
            () = members.changed.notified() => {}
            alive = ticks.next() => {
                if !alive {
                    return;
                }
                state.update_ownership();
                state.links.close_idle().await;
            }
            () = &mut list => return,
        }
    }
}

impl Members {
    /// Runs the work of the state machines that is due, and returns the time of their next call.
    fn tick(&self, now: Time) -> Time {
        let mut machines = self.lock();
        let membership = machines.membership.on_tick(now);
        let spread = machines.spread.on_tick(now);
        let digests = machines.digests.on_tick(now);
        let wake = machines
            .membership
            .next_wake()
            .min(machines.spread.next_wake())
            .min(machines.digests.next_wake());
        drop(machines);
        if !membership.is_empty() {
            self.put_member(membership);
        }
        if !spread.is_empty() {
            self.put_spread(spread);
        }
        if !digests.is_empty() {
            self.put_digests(digests);
        }
        wake
    }

    /// Recomputes what depends on the members.
    pub(super) fn on_change(&self, now: Time) {
        let mut machines = self.lock();
        let machines = &mut *machines;
        let owners: BTreeMap<_, _> = machines
            .membership
            .owners()
            .map(|(vm, centre)| (vm.clone(), centre.clone()))
            .collect();
        machines.claim_owners.set_members(&owners);
        let moves = machines.ownership.set_members(&owners, now);
        for moved in moves {
            info!(
                upstream = %moved.upstream,
                from = moved.from.as_ref().map_or("none", VmId::as_str),
                to = moved.to.as_ref().map_or("none", VmId::as_str),
                "owner: moved"
            );
        }
        let reachable: Vec<_> = machines
            .membership
            .reachable()
            .map(|(vm, member)| (vm.clone(), member.location.data_centre.clone()))
            .collect();
        let pairs = reachable.iter().map(|(vm, centre)| (vm, centre));
        machines.digests.on_members(pairs.clone());
        let majority = machines.membership.has_majority();
        let outputs = machines.spread.on_members(pairs, majority, now);
        self.put_spread(outputs);
    }
}

fn execute(state: &Arc<State>, outputs: Vec<Output>, watch: &mut Option<CancellationToken>) {
    let mut notes: HashMap<VmId, Vec<Note>> = HashMap::new();
    let mut members_changed = false;
    for output in outputs {
        match output {
            Output::Member(membership::Output::Send { to, message }) => {
                notes.entry(to).or_default().push(Note::Member(message));
            }
            Output::Member(membership::Output::Changed(change)) => {
                members_changed |= on_change(state, &change);
            }
            Output::Spread(spread::Output::Send { to, message }) => {
                notes.entry(to).or_default().push(Note::Spread(message));
            }
            Output::Spread(output) => on_config_output(state, output, watch),
            Output::Digests(outgoing) => {
                notes
                    .entry(outgoing.to)
                    .or_default()
                    .push(Note::Digests(outgoing.batch));
            }
        }
    }
    if members_changed {
        state.members.on_change(state.timers.now());
        state.update_ownership();
    }
    for (to, notes) in notes {
        send(state, to, notes);
    }
}

pub(super) fn send(state: &Arc<State>, to: VmId, notes: Vec<Note>) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let Some(address) = state.members.address(&to) else {
            return;
        };
        let from = state.settings.node.name.clone();
        let call = state
            .links
            .call(address, SEND_TIMEOUT, |client, context| async move {
                client.tell(context, from, notes).await
            });
        if let Err(error) = call.await {
            debug!("member: cannot send to {to}: {error}");
        }
    });
}

fn on_change(state: &State, change: &Change) -> bool {
    match change {
        Change::State {
            vm,
            state: member_state,
            life,
        } => {
            info!(%vm, state = ?member_state, ?life, "member: changed");
            if matches!(
                member_state,
                membership::State::Gone | membership::State::Left
            ) {
                state.owners.holder_gone(vm);
            }
            true
        }
        Change::Owners => true,
        Change::Partitioned(centre) => {
            warn!("member: network partition from data centre {centre}");
            false
        }
        Change::Healed(centre) => {
            info!("member: data centre {centre} is reachable again");
            true
        }
        Change::Refuted(life) => {
            info!(?life, "member: refuted a suspicion of this node");
            false
        }
    }
}

fn on_config_output(
    state: &Arc<State>,
    output: spread::Output,
    watch: &mut Option<CancellationToken>,
) {
    match output {
        spread::Output::Send { .. } => {}
        spread::Output::Adopt(revision, text) => {
            config::apply(state, revision.version(), &text);
        }
        spread::Output::Watch(true) => {
            let stop = CancellationToken::new();
            let watching = platform::watch(Arc::clone(state), stop.clone());
            info!("config: this node starts watching the platform");
            tokio::spawn(watching);
            *watch = Some(stop);
        }
        spread::Output::Watch(false) => {
            info!("config: this node no longer watches the platform");
            if let Some(stop) = watch.take() {
                stop.cancel();
            }
        }
        spread::Output::Read => {
            let state = Arc::clone(state);
            tokio::spawn(async move { platform::read(&state).await });
        }
        spread::Output::Ready(true) => info!("config: confirmed to be current"),
        spread::Output::Ready(false) => {
            warn!("config: may be out of date, accepting no new requests");
        }
        spread::Output::Refused(refusal) => warn!(?refusal, "config: rejected"),
    }
}
