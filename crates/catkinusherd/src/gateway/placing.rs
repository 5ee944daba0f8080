//! Placement by the node that places the requests of a cell, on both sides.
//!
//! [`Placer`](catkinusher_core::placer::Placer) decides; this module carries the
//! messages, and lets a node place alone if no other one answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkinusher_core::fleet::{Basis, Cell, Overload, Placement, Score};
use catkinusher_core::id::{Incarnation, Serial, ServiceId, UpstreamId};
use catkinusher_core::placer::{
    Answer, Ask, Asker, Context, Granted, REPEAT_INTERVAL, RETRY_INTERVAL, Step, Verdict,
};
use catkinusher_core::time::Time;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tracing::info;

use super::attempt::AttemptResources;
use super::clock;
use super::dialect::Dialect;
use super::peers::{self, Message, Question};
use super::state::State;
use super::supervise;

/// How long an answer may take before the ask is sent again, in case a datagram was lost.
const RESEND_TIMEOUT: Duration = Duration::from_millis(40);

/// How long an answer may take before the next node is asked.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(110);

/// The number of nodes that are asked before this node places alone.
const MAX_ASKED: u32 = 3;

/// The age of the last message from which an answer counts as outdated, for
/// example because this VM was suspended; a waiting ask is repeated sooner.
const OUTDATED: Duration = Duration::from_millis(700);

/// How often the nodes that place requests tell each other how busy their cells are.
const PRESSURE_PERIOD: Duration = Duration::from_millis(150);

/// The answers to one ask that may arrive before they are read.
const ANSWER_QUEUE: usize = 8;

/// An answer, as far as it concerns the waiting request.
#[derive(Debug)]
pub(super) enum Reply<D> {
    /// It is placed, and its load is counted.
    Placed(Box<Placed<D>>),
    /// It waits for other prompts, at the node with this address.
    Waiting(Option<SocketAddr>),
    /// It cannot be placed.
    Overloaded(Overload),
    /// The asked node cannot place it.
    Unable(Option<SocketAddr>),
    /// This node cannot use the upstreams that were chosen.
    Unusable(Vec<u32>),
}

/// A placement whose load is counted.
#[derive(Debug)]
pub(super) struct Placed<D> {
    pub(super) placement: Placement,
    pub(super) address: SocketAddr,
    pub(super) resources: AttemptResources<D>,
}

/// The open asks of this node.
#[derive(Debug)]
pub(super) struct Asks<D> {
    process: Incarnation,
    next: AtomicU64,
    open: Mutex<HashMap<Serial, Entry<D>>>,
    /// The last grant of each node that places requests.
    grants: Mutex<HashMap<SocketAddr, Serial>>,
}

/// Where the answers to an ask go.
#[derive(Debug)]
struct Entry<D> {
    service: ServiceId,
    sender: mpsc::Sender<Reply<D>>,
}

impl<D> Asks<D> {
    /// Creates the asks of a process.
    pub(super) fn new(process: Incarnation) -> Self {
        Self {
            process,
            next: AtomicU64::new(0),
            open: Mutex::default(),
            grants: Mutex::default(),
        }
    }

    /// The serial of the last grant from a node, for reports to it.
    pub(super) fn last_grant(&self, node: SocketAddr) -> Serial {
        lock(&self.grants).get(&node).copied().unwrap_or_default()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An open ask; dropping it ends it.
#[derive(Debug)]
struct OpenAsk<D> {
    state: Arc<State<D>>,
    serial: Serial,
    replies: mpsc::Receiver<Reply<D>>,
}

impl<D> OpenAsk<D> {
    fn new(state: &Arc<State<D>>, service: ServiceId) -> Self {
        let number = state.asks.next.fetch_add(1, Ordering::Relaxed) + 1;
        let serial = Serial::new(state.asks.process, number);
        let (sender, replies) = mpsc::channel(ANSWER_QUEUE);
        lock(&state.asks.open).insert(serial, Entry { service, sender });
        Self {
            state: Arc::clone(state),
            serial,
            replies,
        }
    }
}

impl<D> Drop for OpenAsk<D> {
    fn drop(&mut self) {
        lock(&self.state.asks.open).remove(&self.serial);
        let own = self.state.asker();
        self.state.placer().cancel(own, self.serial);
    }
}

/// Why a request is not placed.
#[derive(Debug)]
pub(super) enum NotPlaced {
    /// It cannot be served now.
    Overloaded(Overload),
    /// No node answered; this node has to place it alone.
    Unanswered,
}

/// Asks the node that places the requests of a cell.
///
/// `describe` builds the ask for the present moment, with the upstreams to avoid
/// in addition. The node is asked again while the request waits. If it does not
/// answer, the next one is asked. `request` is the request ID, for the log.
pub(super) async fn ask<D, F>(
    state: &Arc<State<D>>,
    cell: &Cell,
    request: &str,
    describe: F,
) -> Result<Placed<D>, NotPlaced>
where
    D: Dialect,
    F: Fn(Serial, &[u32]) -> Ask,
{
    let mut open = OpenAsk::new(state, cell.service.clone());
    let mut unusable = Vec::new();
    let mut asked = 0;
    let mut queued = false;
    // A cell that took over from the one that was asked first.
    let mut waits_at = None;
    // Nodes whose answer is no longer awaited, as another request found them silent.
    let mut passed = Vec::new();
    'nodes: while asked < MAX_ASKED {
        let Some(holder) = waits_at.take().or_else(|| holder_of(state, cell)) else {
            return Err(NotPlaced::Unanswered);
        };
        asked += 1;
        let mut sent_at = clock::boot_time();
        let mut resent = false;
        let mut waiting = false;
        transmit(state, holder, describe(open.serial, &unusable));
        loop {
            let now = clock::boot_time();
            let due = match (waiting, resent) {
                (true, _) => REPEAT_INTERVAL,
                (false, false) => RESEND_TIMEOUT,
                (false, true) => ANSWER_TIMEOUT,
            };
            let left = due.saturating_sub(now.since(sent_at));
            // What one request has found, the others do not wait to find again. One that is
            // queued keeps its place until the node misses its own next ask.
            let silent = state.notifiers.silent.notified();
            let at = waits_at.unwrap_or(holder);
            if !waiting && state.roster().is_silent(at) {
                waits_at = None;
                passed.push(at);
                asked -= 1;
                continue 'nodes;
            }
            tokio::select! {
                () = silent, if !waiting => {}
                reply = open.replies.recv() => {
                    let Some(reply) = reply else {
                        return Err(NotPlaced::Unanswered);
                    };
                    match reply {
                        Reply::Placed(placed) => {
                            if clock::boot_time().since(sent_at) < OUTDATED {
                                return Ok(*placed);
                            }
                            drop(placed);
                            continue 'nodes;
                        }
                        Reply::Overloaded(overload) => return Err(NotPlaced::Overloaded(overload)),
                        Reply::Waiting(from) => {
                            if !std::mem::replace(&mut queued, true) {
                                let at = from.unwrap_or(holder);
                                info!(event = "placing", outcome = "waiting", request, node = %at);
                            }
                            waiting = true;
                            if let Some(from) = from
                                && from != holder
                            {
                                waits_at = Some(from);
                            }
                        }
                        Reply::Unable(from) => {
                            if let Some(from) = from {
                                if passed.contains(&from) {
                                    continue;
                                }
                                state.roster().on_silent(from, clock::boot_time());
                            } else {
                                return Err(NotPlaced::Unanswered);
                            }
                            continue 'nodes;
                        }
                        Reply::Unusable(ids) => {
                            unusable.extend(ids);
                            continue 'nodes;
                        }
                    }
                }
                () = state.timers.after(left) => {
                    if waiting {
                        waiting = false;
                        resent = false;
                        sent_at = clock::boot_time();
                        let at = waits_at.unwrap_or(holder);
                        transmit(state, at, describe(open.serial, &unusable));
                    } else if resent {
                        let at = waits_at.take().unwrap_or(holder);
                        on_unanswered(state, at, sent_at);
                        continue 'nodes;
                    } else {
                        resent = true;
                        let at = waits_at.unwrap_or(holder);
                        transmit(state, at, describe(open.serial, &unusable));
                    }
                }
            }
        }
    }
    Err(NotPlaced::Unanswered)
}

/// The node that places the requests of a cell, as far as this node knows.
fn holder_of<D>(state: &State<D>, cell: &Cell) -> Option<SocketAddr> {
    let holders = state.roster().holders(&cell.duty(), 1, clock::boot_time());
    holders.first().copied()
}

/// Records that a node has not answered an ask of `sent_at`, and tells the other requests.
fn on_unanswered<D>(state: &State<D>, node: SocketAddr, sent_at: Time) {
    let now = clock::boot_time();
    state.roster().on_unanswered(node, sent_at, now);
    state.notifiers.silent.notify_waiters();
    info!(event = "placing", outcome = "unanswered", node = %node);
}

/// Sends an ask, or decides on it if this node places the requests.
fn transmit<D>(state: &Arc<State<D>>, holder: SocketAddr, ask: Ask)
where
    D: Dialect,
{
    let Some(socket) = state.socket() else {
        return;
    };
    if holder == state.settings.peers {
        let own = state.asker();
        decide(state, socket, own, state.node_number, ask);
    } else {
        let question = Question {
            node: state.node_number,
            reply_to: None,
            ask,
        };
        peers::send(socket, &Message::Ask(question), holder);
    }
}

/// Handles an ask of another node.
pub(super) fn on_question<D>(
    state: &Arc<State<D>>,
    socket: &UdpSocket,
    question: Question,
    from: SocketAddr,
) where
    D: Dialect,
{
    let asker = Asker {
        peer: Some(question.node),
        address: question.reply_to.unwrap_or(from),
    };
    decide(state, socket, asker, question.node, question.ask);
}

fn decide<D>(state: &Arc<State<D>>, socket: &UdpSocket, asker: Asker, node: u64, ask: Ask)
where
    D: Dialect,
{
    let serial = ask.serial;
    let directory = state.view().directory.clone();
    // Without the list of upstreams this node would refuse what another one can place.
    let can_place = !state.stopping.is_cancelled() && state.view().upstreams_listed;
    let directory = directory.filter(|_| can_place || asker.peer.is_none());
    let step = match directory {
        Some(directory) => {
            let mut placer = state.placer();
            let mut fleet = state.fleet();
            let mut context = Context {
                fleet: &mut fleet,
                directory: &directory,
                policy: &state.settings.placing,
                now: state.now(),
            };
            placer.on_ask(asker, ask, &mut context, &mut rand::rng())
        }
        None => Step::Answer(Answer {
            serial,
            verdict: Verdict::Unable,
        }),
    };
    match step {
        Step::Answer(answer) => {
            if answer.verdict == Verdict::Waiting {
                state.notifiers.placing.notify_one();
            }
            reply(state, socket, asker, answer);
        }
        Step::Forward(ask) => match holder_of(state, &ask.cell) {
            Some(holder) if holder != state.settings.peers => {
                let question = Question {
                    node,
                    reply_to: Some(asker.address),
                    ask,
                };
                peers::send(socket, &Message::Ask(question), holder);
            }
            _ => decide(state, socket, asker, node, ask),
        },
    }
}

fn reply<D>(state: &Arc<State<D>>, socket: &UdpSocket, asker: Asker, answer: Answer)
where
    D: Dialect,
{
    if asker.peer.is_none() {
        deliver(state, None, answer);
    } else {
        peers::send(socket, &Message::Answer(answer), asker.address);
    }
}

/// Hands an answer to the request that waits for it; `from` is `None` if it is this node's own.
///
/// The load of a placed request counts from here on, so that the next report covers the grant.
pub(super) fn deliver<D>(state: &Arc<State<D>>, from: Option<SocketAddr>, answer: Answer)
where
    D: Dialect,
{
    let open = lock(&state.asks.open);
    let Some(Entry { service, sender }) = open.get(&answer.serial) else {
        return;
    };
    let (service, sender) = (service.clone(), sender.clone());
    drop(open);
    let reply = match answer.verdict {
        Verdict::Granted(granted) => {
            if let Some(from) = from {
                lock(&state.asks.grants).insert(from, granted.grant);
            }
            take(state, &service, &granted)
        }
        Verdict::Waiting => Reply::Waiting(from),
        Verdict::Overloaded(overload) => Reply::Overloaded(overload),
        Verdict::Unable => Reply::Unable(from),
    };
    // A request that does not read its answers any more has ended.
    let _ended = sender.try_send(reply);
}

/// Counts the load of a grant, if this node can use all of its upstreams for the service of the ask.
///
/// The lists of two nodes may differ, and two upstreams may share a short id, so the node that
/// sends the request checks what another one has chosen.
fn take<D>(state: &Arc<State<D>>, service: &ServiceId, granted: &Granted) -> Reply<D>
where
    D: Dialect,
{
    let parts = granted.helpers.iter().chain([&granted.primary]);
    let mut found: Vec<(UpstreamId, _)> = Vec::new();
    let mut unusable = Vec::new();
    let now = state.now();
    let mut fleet = state.fleet();
    for part in parts {
        match fleet.find_by_short_id(part.upstream) {
            Some(id) if fleet.accepts_requests(id, service, now) => {
                found.push((id.clone(), part.cost));
            }
            _ => unusable.push(part.upstream),
        }
    }
    let primary = found.last().map(|(id, _)| id.clone());
    let address = primary.as_ref().and_then(|id| fleet.get(id));
    let address = address.map(|upstream| upstream.address);
    if let Some(primary) = primary.as_ref().filter(|_| granted.limited) {
        fleet.on_limit_believed(primary);
    }
    let next = granted
        .next
        .and_then(|(id, score)| Some((fleet.find_by_short_id(id)?.clone(), score)));
    drop(fleet);
    let (Some(primary), Some(address), true) = (primary, address, unusable.is_empty()) else {
        return Reply::Unusable(unusable);
    };
    found.pop();
    let placement = Placement {
        primary,
        cost: granted.primary.cost,
        helpers: found,
        basis: Basis {
            choices: granted.choices as usize,
            load: granted.load,
            wait: Duration::from_millis(granted.wait),
            shorts: granted.shorts as usize,
            writers: granted.writers as usize,
            age: granted.age.map(Duration::from_millis),
            score: Score::from_thousandths(granted.score.unwrap_or_default()),
            next: next.map(|(id, score)| (id, Score::from_thousandths(score))),
            ranking: Vec::new(),
        },
    };
    let resources = state.begin_work(&placement);
    Reply::Placed(Box::new(Placed {
        placement,
        address,
        resources,
    }))
}

/// Starts the tasks of a node that may have to place requests for others.
pub(super) fn start<D>(state: &Arc<State<D>>, socket: &Arc<UdpSocket>)
where
    D: Dialect,
{
    let answering = Arc::clone(socket);
    supervise::spawn(state, "placing", move |state| {
        poll_waiting(state, Arc::clone(&answering))
    });
    let sending = Arc::clone(socket);
    supervise::spawn(state, "pressures", move |state| {
        send_pressures(state, Arc::clone(&sending))
    });
}

/// Tries the waiting asks again while there are any.
async fn poll_waiting<D>(state: Arc<State<D>>, socket: Arc<UdpSocket>)
where
    D: Dialect,
{
    loop {
        if !state.placer().has_waiting() {
            state.notifiers.placing.notified().await;
        }
        state.timers.after(RETRY_INTERVAL).await;
        let Some(directory) = state.view().directory.clone() else {
            continue;
        };
        let answers = {
            let mut placer = state.placer();
            let mut fleet = state.fleet();
            let mut context = Context {
                fleet: &mut fleet,
                directory: &directory,
                policy: &state.settings.placing,
                now: state.now(),
            };
            placer.poll(&mut context, &mut rand::rng())
        };
        for (asker, answer) in answers {
            reply(&state, &socket, asker, answer);
        }
    }
}

/// Tells the nodes that place requests in other cells how busy this node's cells are.
async fn send_pressures<D>(state: Arc<State<D>>, socket: Arc<UdpSocket>)
where
    D: Dialect,
{
    loop {
        state.timers.after(PRESSURE_PERIOD).await;
        let cells = state.fleet().split_cells();
        if cells.is_empty() {
            continue;
        }
        let holders: Vec<(Cell, SocketAddr)> = {
            let roster = state.roster();
            let at = clock::boot_time();
            let holder = |cell: &Cell| roster.holders(&cell.duty(), 1, at).first().copied();
            cells
                .into_iter()
                .filter_map(|cell| holder(&cell).map(|node| (cell, node)))
                .collect()
        };
        let own = state.settings.peers;
        for (cell, _) in holders.iter().filter(|(_, node)| *node == own) {
            let pressure = state.fleet().pressure(cell, state.now());
            let Some(message) = Message::pressure(cell.clone(), pressure) else {
                continue;
            };
            for (other, node) in &holders {
                if other.service == cell.service && *node != own {
                    peers::send(&socket, &message, *node);
                } else if other != cell && *node == own {
                    let now = state.now();
                    state.placer().on_pressure(cell.clone(), pressure, now);
                }
            }
        }
    }
}
