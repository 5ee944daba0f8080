//! Carrying what the core's machines want: messages, and what they tell.

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

/// How long telling a peer may take.
const TELL_LIMIT: Duration = Duration::from_millis(800);

/// How often unused connections to peers are closed, and shares looked at.
const HOUSEKEEPING: Duration = Duration::from_secs(1);

/// The most outputs that are carried in one go.
const BATCH: usize = 256;

/// Runs the machines, until the node ends.
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
    let mut ticks = state.timers.every(HOUSEKEEPING);
    let list = platform::follow_list(&state);
    tokio::pin!(list);
    let mut batch = Vec::new();
    loop {
        let wake = members.tick(state.timers.now());
        tokio::select! {
            _count = queue.recv_many(&mut batch, BATCH) => {
                carry(&state, std::mem::take(&mut batch), &mut watch);
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
    /// Lets the machines do what is due, and tells when they want to be called next.
    fn tick(&self, now: Time) -> Time {
        let mut machines = self.lock();
        let member = machines.membership.on_tick(now);
        let spread = machines.spread.on_tick(now);
        let news = machines.news.on_tick(now);
        let wake = machines
            .membership
            .next_wake()
            .min(machines.spread.next_wake())
            .min(machines.news.next_wake());
        drop(machines);
        if !member.is_empty() {
            self.put_member(member);
        }
        if !spread.is_empty() {
            self.put_spread(spread);
        }
        if !news.is_empty() {
            self.put_news(news);
        }
        wake
    }

    /// Works out anew what depends on the members.
    pub(super) fn on_change(&self, now: Time) {
        let mut machines = self.lock();
        let machines = &mut *machines;
        let owners: BTreeMap<_, _> = machines
            .membership
            .owners()
            .map(|(vm, centre)| (vm.clone(), centre.clone()))
            .collect();
        machines.table.set_members(&owners);
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
        machines.news.on_members(pairs.clone());
        let majority = machines.membership.has_majority();
        let outputs = machines.spread.on_members(pairs, majority, now);
        self.put_spread(outputs);
    }
}

fn carry(state: &Arc<State>, outputs: Vec<Output>, watch: &mut Option<CancellationToken>) {
    let mut notes: HashMap<VmId, Vec<Note>> = HashMap::new();
    let mut moved = false;
    for output in outputs {
        match output {
            Output::Member(membership::Output::Send { to, message }) => {
                notes.entry(to).or_default().push(Note::Member(message));
            }
            Output::Member(membership::Output::Changed(change)) => {
                moved |= on_change(state, &change);
            }
            Output::Spread(spread::Output::Send { to, message }) => {
                notes.entry(to).or_default().push(Note::Spread(message));
            }
            Output::Spread(output) => on_spread(state, output, watch),
            Output::News(send) => {
                notes
                    .entry(send.to)
                    .or_default()
                    .push(Note::Digests(send.batch));
            }
        }
    }
    if moved {
        state.members.on_change(state.timers.now());
        state.update_ownership();
    }
    for (to, notes) in notes {
        tell(state, to, notes);
    }
}

pub(super) fn tell(state: &Arc<State>, to: VmId, notes: Vec<Note>) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let Some(address) = state.members.address(&to) else {
            return;
        };
        let from = state.settings.node.name.clone();
        let call = state
            .links
            .call(address, TELL_LIMIT, |client, context| async move {
                client.tell(context, from, notes).await
            });
        if let Err(error) = call.await {
            debug!("member: {to} can't be told: {error}");
        }
    });
}

fn on_change(state: &State, change: &Change) -> bool {
    match change {
        Change::State {
            vm,
            state: fares,
            life,
        } => {
            info!(%vm, state = ?fares, ?life, "member: changed");
            if matches!(fares, membership::State::Gone | membership::State::Left) {
                state.owners.holder_gone(vm);
            }
            true
        }
        Change::Owners => true,
        Change::Partitioned(centre) => {
            warn!("member: {centre} is parted from here");
            false
        }
        Change::Healed(centre) => {
            info!("member: {centre} is back");
            true
        }
        Change::Refuted(life) => {
            info!(?life, "member: doubts about this node refuted");
            false
        }
    }
}

fn on_spread(state: &Arc<State>, output: spread::Output, watch: &mut Option<CancellationToken>) {
    match output {
        spread::Output::Send { .. } => {}
        spread::Output::Adopt(revision, text) => {
            config::apply(state, revision.version(), &text);
        }
        spread::Output::Watch(true) => {
            let stop = CancellationToken::new();
            let watching = platform::watch(Arc::clone(state), stop.clone());
            info!("config: this node watches the platform");
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
        spread::Output::Ready(true) => info!("config: known to be current"),
        spread::Output::Ready(false) => {
            warn!("config: may be out of date, no new work is taken");
        }
        spread::Output::Refused(refusal) => warn!(?refusal, "config: not taken in"),
    }
}
