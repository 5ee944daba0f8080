//! Messages between nodes: load reports, placement, and store positions.
//!
//! All messages are UDP datagrams. A stalled connection would hold back reports
//! just when they matter, whereas the next datagram makes up for a lost one.

mod message;
mod reports;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use catkinusher_core::fleet::Cell;
use catkinusher_core::id::Incarnation;
use catkinusher_core::process::{Origin, Processes};
use catkinusher_core::roster::Member;
use catkinusher_platform::{Error, Priority, Store};
use tokio::net::UdpSocket;
use tracing::{debug, info, warn};

pub(super) use self::message::{Feed, Message, Question, send};

use super::dialect::{Dialect, StoreSchema};
use super::state::{Registration, State};
use super::{clock, confirm, placing, quarantine, supervise};

/// How often expired idle connections are closed.
const EVICT_PERIOD: Duration = Duration::from_secs(20);

/// The pause after a failed call to register, and the timeout for unregistering.
const RETRY_PAUSE: Duration = Duration::from_millis(700);

/// How often a starting node checks whether the nodes are listed.
const LIST_POLL: Duration = Duration::from_millis(50);

/// The pause after a failed attempt to receive.
const RECEIVE_PAUSE: Duration = Duration::from_millis(12);

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
    state.set_socket(Arc::clone(&socket));
    let store = store.at(Priority::Status);
    supervise::spawn(state, "register", move |state| {
        register::<D, S>(state, store.clone())
    });
    let sending = Arc::clone(&socket);
    supervise::spawn(state, "reports", move |state| {
        reports::send_reports(state, Arc::clone(&sending))
    });
    let receiving = Arc::clone(&socket);
    supervise::spawn(state, "peers", move |state| {
        receive_messages(state, Arc::clone(&receiving))
    });
    placing::start(state, &socket);
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

/// Keeps this node registered until it stops.
///
/// Its entry may be lost with all that a restored store has lost, or be removed by a late call of
/// an earlier process on this VM. An entry that another process has written stays, as two that
/// replaced each other's would never end.
async fn register<D, S>(state: Arc<State<D>>, store: Store<S::Form>)
where
    D: Dialect,
    S: StoreSchema,
{
    let own = state.settings.member();
    let name = state.settings.node.as_str().to_owned();
    // The entry of an earlier process on this VM may still be there and right.
    while state.registration() == Registration::Unknown {
        state.timers.after(LIST_POLL).await;
    }
    let mut is_due = state.registration() != Registration::Listed(own.clone());
    loop {
        if is_due && !state.stopping.is_cancelled() {
            match write_registration::<S>(&store, &name, &own).await {
                Ok(()) => {
                    state.set_registration(Some(&own));
                    info!(event = "peers", outcome = "registered");
                }
                Err(error) => {
                    debug!("peers: cannot register this node: {error}");
                    state.timers.after(RETRY_PAUSE).await;
                    continue;
                }
            }
        }
        tokio::select! {
            () = state.notifiers.registration.notified() => {}
            () = state.timers.after(EVICT_PERIOD) => state.pool.evict_expired(state.now()),
        }
        is_due = state.registration() == Registration::Missing;
    }
}

/// Creates the registration, or replaces the one of an earlier process on this VM.
async fn write_registration<S>(
    store: &Store<S::Form>,
    name: &str,
    own: &Member,
) -> Result<(), Error>
where
    S: StoreSchema,
{
    match store.create(S::NODES, name, own).await {
        Err(Error::Conflict { standing }) => {
            let _version = store.update(S::NODES, name, own, standing).await?;
            Ok(())
        }
        created => created.map(|_version| ()),
    }
}

async fn receive_messages<D>(state: Arc<State<D>>, socket: Arc<UdpSocket>)
where
    D: Dialect,
{
    let mut bytes = vec![0; message::MAX_MESSAGE_BYTES];
    let mut senders = Senders::default();
    loop {
        let (length, from) = match socket.recv_from(&mut bytes).await {
            Ok(received) => received,
            Err(error) => {
                debug!("peers: cannot receive: {error}");
                state.timers.after(RECEIVE_PAUSE).await;
                continue;
            }
        };
        state.roster().on_heard(from, clock::boot_time());
        match ciborium::from_reader(&bytes[..length]) {
            Ok(Message::Report(report)) => senders.on_report(&state, report),
            Ok(Message::ConfirmQuery(serial, seen)) => {
                let reply = confirm::reply_to_peer(&state, from, serial);
                send(&socket, &Message::ConfirmReply(reply), from);
                for (feed, seen) in Feed::ALL.into_iter().zip(seen) {
                    let Some(batches) = state.feeds.since(feed, seen) else {
                        state.metrics.on_call(feed.name(), "gap");
                        continue;
                    };
                    for batch in batches {
                        send(&socket, &Message::Changes(feed, batch), from);
                    }
                }
            }
            Ok(Message::Limits(reports)) => {
                let now = state.now();
                let mut fleet = state.fleet();
                for report in &reports {
                    fleet.on_limit_report(report, now);
                }
            }
            Ok(Message::Changes(feed, batch)) => state.feeds.deliver(feed, batch),
            Ok(Message::ConfirmReply(reply)) => confirm::on_peer_reply(&state, &reply),
            Ok(Message::Ask(question)) => {
                let process = question.ask.serial.process;
                if senders.is_current(&state, question.node, process) {
                    placing::on_question(&state, &socket, question, from);
                }
            }
            Ok(Message::Answer(answer)) => placing::deliver(&state, Some(from), answer),
            Ok(Message::BrokenOff(report)) => quarantine::on_report(&state, &report),
            Ok(Message::Inquiry(inquiry)) => {
                quarantine::on_inquiry(&state, &socket, &inquiry, from);
            }
            Ok(Message::InquiryReply(reply)) => quarantine::on_reply(&state, &reply, from),
            Ok(Message::Quarantined(entries)) => quarantine::on_entries(&state, &entries),
            Ok(Message::Released(content)) => quarantine::on_released(&state, &content),
            Ok(Message::Pressure(service, data_centre, pressure)) => {
                let cell = Cell {
                    service,
                    data_centre: Some(data_centre),
                };
                let now = state.now();
                state.placer().on_pressure(cell, pressure, now);
            }
            Err(error) => {
                debug!("peers: cannot decode a message from {from}: {error}");
                state.metrics.on_call("peer", "bad-message");
            }
        }
    }
}

/// The processes that reports and asks came from.
#[derive(Debug, Default)]
struct Senders {
    processes: Processes,
    /// The number of the last report of each peer.
    reports: HashMap<u64, u64>,
}

impl Senders {
    /// Whether a message comes from the current process of a peer.
    ///
    /// If that is a new one, the loads, reports and asks of the last one end.
    fn is_current<D>(&mut self, state: &State<D>, peer: u64, process: Incarnation) -> bool {
        let origin = self.processes.on_message(peer, process);
        if origin == Origin::New {
            self.reports.remove(&peer);
            state.fleet().forget_peer(peer);
            state.placer().forget_peer(peer);
        }
        origin != Origin::Ended
    }

    fn on_report<D>(&mut self, state: &State<D>, report: message::Report) {
        if !self.is_current(state, report.node, report.incarnation) {
            return;
        }
        // Datagrams may arrive out of order.
        let last = self.reports.entry(report.node).or_default();
        if *last >= report.sequence {
            return;
        }
        *last = report.sequence;
        // A grant of an earlier process of this node is covered by nothing here.
        let granted = report.granted.number_of(state.incarnation);
        let loads = report.loads.into_iter().collect();
        state.fleet().on_loads(
            report.node,
            loads,
            report.is_full,
            granted.unwrap_or_default(),
            state.now(),
        );
    }
}
