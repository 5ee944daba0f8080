//! Exchange of load reports and store positions with peers.
//!
//! All messages are UDP datagrams. A stalled connection would hold back reports
//! just when they matter, whereas the next datagram makes up for a lost one.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use catkinusher_core::confirm::ConfirmReply;
use catkinusher_core::fleet::Load;
use catkinusher_core::rendezvous::Salt;
use catkinusher_platform::{Priority, Store};
use serde::{Deserialize, Serialize};
use tokio::net::UdpSocket;
use tracing::{debug, info, warn};

use super::dialect::{Dialect, StoreSchema};
use super::state::State;
use super::{clock, confirm};

const SALT: Salt = Salt::new(0x7065_6572);

/// How long load changes are collected before a report; far below the duration of a forward pass.
const COALESCE_DELAY: Duration = Duration::from_millis(12);

/// The interval between full reports; a few may be lost before a peer counts as gone.
const FULL_REPORT_PERIOD: Duration = Duration::from_millis(800);

/// How often the list of peers is read again; only a fallback, as reports make new nodes known.
const LIST_PERIOD: Duration = Duration::from_mins(1);

/// How often expired idle connections are closed.
const EVICT_PERIOD: Duration = Duration::from_secs(20);

/// How soon the list is read again after a registration, as nodes that start together register together.
const RELIST_DELAY: Duration = Duration::from_millis(900);

/// The pause after a failed call to register or list peers, and the timeout for unregistering.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// The largest message, well within one datagram.
const MAX_MESSAGE_BYTES: usize = 8 * 1024;

/// The registration of a node in the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Registration {
    address: SocketAddr,
}

/// The load that one node causes at upstreams: all of it, or the changes since the last report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Row", from = "Row")]
pub(super) struct Report {
    node: u64,
    incarnation: u32,
    sequence: u64,
    is_full: bool,
    loads: Vec<(u32, Load)>,
}

/// The fields of a [`Report`] in order, without names, as traffic between data centres is costly.
type Row = (u64, u32, u64, bool, Vec<(u32, Load)>);

impl From<Report> for Row {
    fn from(report: Report) -> Self {
        let Report {
            node,
            incarnation,
            sequence,
            is_full,
            loads,
        } = report;
        (node, incarnation, sequence, is_full, loads)
    }
}

impl From<Row> for Report {
    fn from((node, incarnation, sequence, is_full, loads): Row) -> Self {
        Self {
            node,
            incarnation,
            sequence,
            is_full,
            loads,
        }
    }
}

/// A message between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) enum Message {
    /// The load that the sender causes at upstreams.
    #[serde(rename = "r")]
    Report(Report),
    /// Asks when the configuration was last confirmed; the reply repeats the number.
    #[serde(rename = "a")]
    ConfirmQuery(u64),
    /// The reply to a query.
    #[serde(rename = "w")]
    ConfirmReply(ConfirmReply),
}

/// Sends a message; one that cannot be sent counts as lost.
pub(super) fn send(socket: &UdpSocket, message: &Message, peer: SocketAddr) {
    let Some(bytes) = encode(message) else {
        return;
    };
    if let Err(error) = socket.try_send_to(&bytes, peer) {
        debug!("peers: cannot send to {peer}: {error}");
    }
}

fn encode(message: &Message) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    match ciborium::into_writer(message, &mut bytes) {
        Ok(()) => Some(bytes),
        Err(error) => {
            warn!("peers: cannot encode a message: {error}");
            None
        }
    }
}

/// Starts the tasks that register this node, send reports and receive messages.
///
/// # Errors
///
/// If the socket cannot be bound.
pub(super) async fn start<D, S>(
    state: &Arc<State<D>>,
    store: &Store<S::Form>,
    _schema: &S,
) -> anyhow::Result<Arc<UdpSocket>>
where
    D: Dialect,
    S: StoreSchema,
{
    let address = state.settings.peers;
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("cannot listen for peers on {address}"))?;
    let socket = Arc::new(socket);
    let (sender, receiver) = tokio::sync::watch::channel(Vec::new());
    let sender = Arc::new(sender);
    tokio::spawn(register::<D, S>(
        Arc::clone(state),
        store.at(Priority::Status),
        Arc::clone(&sender),
    ));
    tokio::spawn(send_reports(
        Arc::clone(state),
        Arc::clone(&socket),
        receiver,
    ));
    tokio::spawn(receive_messages(
        Arc::clone(state),
        Arc::clone(&socket),
        sender,
    ));
    Ok(socket)
}

/// Removes this node's registration.
pub(super) async fn unregister<D, S>(state: &Arc<State<D>>, store: &Store<S::Form>, _schema: &S)
where
    D: Dialect,
    S: StoreSchema,
{
    let name = state.settings.node.as_str();
    let store = store.at(Priority::Status);
    let removed = store.delete(S::NODES, name, None);
    match tokio::time::timeout(RETRY_PAUSE, removed).await {
        Ok(Ok(_there)) => {}
        Ok(Err(error)) => warn!(event = "peers", outcome = "not-removed", %error),
        Err(_elapsed) => warn!(
            event = "peers",
            outcome = "not-removed",
            error = "no answer"
        ),
    }
}

async fn register<D, S>(
    state: Arc<State<D>>,
    store: Store<S::Form>,
    peers: Arc<tokio::sync::watch::Sender<Vec<SocketAddr>>>,
) where
    D: Dialect,
    S: StoreSchema,
{
    let own = Registration {
        address: state.settings.peers,
    };
    let name = state.settings.node.as_str().to_owned();
    let mut registered = false;
    loop {
        let listed = store.list::<Registration>(S::NODES, "").await;
        let listing = match listed {
            Ok(listing) => listing,
            Err(error) => {
                debug!("peers: cannot list nodes: {error}");
                state.timers.after(RETRY_PAUSE).await;
                continue;
            }
        };
        let mut existing = None;
        let mut addresses = Vec::new();
        for object in listing.objects {
            if object.name == name {
                existing = Some((object.version, object.value));
            } else {
                addresses.push(object.value.address);
            }
        }
        if !registered && existing.map(|(_, value)| value) != Some(own) {
            let written = match existing {
                Some((version, _)) => store.update(S::NODES, &name, &own, version).await,
                None => store.create(S::NODES, &name, &own).await,
            };
            if let Err(error) = written {
                debug!("peers: cannot register this node: {error}");
                state.timers.after(RETRY_PAUSE).await;
                continue;
            }
            registered = true;
            state.timers.after(RELIST_DELAY).await;
            continue;
        }
        registered = true;
        peers.send_if_modified(|known| {
            let changed = *known != addresses;
            if changed {
                info!(event = "peers", listed = addresses.len());
                known.clone_from(&addresses);
            }
            changed
        });
        let until = state.now() + LIST_PERIOD;
        while state.now() < until {
            state.pool.evict_expired(state.now());
            state.timers.after(EVICT_PERIOD).await;
        }
    }
}

async fn send_reports<D>(
    state: Arc<State<D>>,
    socket: Arc<UdpSocket>,
    peers: tokio::sync::watch::Receiver<Vec<SocketAddr>>,
) where
    D: Dialect,
{
    let mut report = Report {
        node: SALT.score("node", state.settings.node.as_str()),
        incarnation: rand::random(),
        sequence: 0,
        is_full: true,
        loads: Vec::new(),
    };
    let mut last_sent = HashMap::new();
    let mut next_full = state.now();
    loop {
        tokio::select! {
            () = state.load_changed.notified() => state.timers.after(COALESCE_DELAY).await,
            () = state.timers.at(next_full) => {}
        }
        let loads = state.fleet().loads();
        report.is_full = state.now() >= next_full;
        if report.is_full {
            next_full = state.now() + FULL_REPORT_PERIOD;
            report.loads = loads.iter().map(|(id, load)| (*id, *load)).collect();
        } else {
            report.loads = loads
                .iter()
                .filter(|(id, load)| last_sent.get(*id) != Some(*load))
                .map(|(id, load)| (*id, *load))
                .collect();
            if report.loads.is_empty() {
                continue;
            }
        }
        last_sent = loads;
        report.sequence += 1;
        let Some(bytes) = encode(&Message::Report(report.clone())) else {
            continue;
        };
        let known = peers.borrow().clone();
        for peer in known {
            if let Err(error) = socket.try_send_to(&bytes, peer) {
                debug!("peers: cannot send to {peer}: {error}");
            }
        }
    }
}

async fn receive_messages<D>(
    state: Arc<State<D>>,
    socket: Arc<UdpSocket>,
    peers: Arc<tokio::sync::watch::Sender<Vec<SocketAddr>>>,
) where
    D: Dialect,
{
    let mut bytes = vec![0; MAX_MESSAGE_BYTES];
    let mut latest = HashMap::<u64, (u32, u64)>::new();
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok((length, from)) => {
                // Adds a node that registered after the last list.
                peers.send_if_modified(|known| {
                    let new = !known.contains(&from);
                    if new {
                        known.push(from);
                    }
                    new
                });
                state.confirmer().on_peer_seen(from, clock::boot_time());
                (length, from)
            }
            Err(error) => {
                debug!("peers: cannot receive: {error}");
                state.timers.after(COALESCE_DELAY).await;
                continue;
            }
        };
        let report = match ciborium::from_reader(&bytes[..length]) {
            Ok(Message::Report(report)) => report,
            Ok(Message::ConfirmQuery(number)) => {
                if let Some(reply) = confirm::reply_to_peer(&state, number) {
                    send(&socket, &Message::ConfirmReply(reply), from);
                }
                continue;
            }
            Ok(Message::ConfirmReply(reply)) => {
                confirm::on_peer_reply(&state, &reply);
                continue;
            }
            Err(error) => {
                debug!("peers: cannot decode a message from {from}: {error}");
                state.metrics.on_call("peer", "bad-message");
                continue;
            }
        };
        let seen = latest.entry(report.node).or_default();
        // Datagrams may arrive out of order; a restarted node has a new incarnation and counts from the start.
        if seen.0 == report.incarnation && seen.1 >= report.sequence {
            continue;
        }
        *seen = (report.incarnation, report.sequence);
        let now = state.now();
        let loads = report.loads.into_iter().collect();
        state
            .fleet()
            .on_loads(report.node, loads, report.is_full, now);
    }
}
