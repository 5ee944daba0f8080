//! Trials of content that crashes could not tell apart, arbitrated by the store.
//!
//! [`TrialRecord`] and [`TrialWatch`] decide; this module carries their records to the store, and
//! what a trial has shown to all nodes.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::id::Serial;
use catkinusher_core::poison::{Condemned, TrialRecord, TrialWatch};
use catkinusher_core::time::Time;
use catkinusher_platform::{Error, Store};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use super::dialect::{Dialect, StoreSchema};
use super::peers::Message;
use super::quarantine;
use super::state::State;

/// How long a request waits for the store to arbitrate its trial.
const BEGIN_TIMEOUT: Duration = Duration::from_millis(600);

/// The pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(250);

/// The number of calls to record the end of a trial; without it the trial counts as abandoned.
const END_CALLS: u32 = 8;

/// What the task that calls the store is to do.
#[derive(Debug)]
pub(super) enum Order {
    /// Record that a trial begins, unless another one runs.
    Begin {
        record: Fingerprint,
        trial: Serial,
        granted: oneshot::Sender<bool>,
    },
    /// Record that a trial has ended.
    End {
        record: Fingerprint,
        trial: Serial,
        is_harmless: bool,
    },
    /// Release content that was answered.
    Release(Vec<Fingerprint>),
    /// Tell all nodes and the store what is condemned.
    Publish(Vec<Condemned>),
}

/// The trials of this node.
#[derive(Debug)]
pub(super) struct Trials {
    orders: mpsc::UnboundedSender<Order>,
    receiver: Mutex<Option<mpsc::UnboundedReceiver<Order>>>,
    watch: Mutex<TrialWatch>,
    next: AtomicU64,
}

impl Default for Trials {
    fn default() -> Self {
        let (orders, receiver) = mpsc::unbounded_channel();
        Self {
            orders,
            receiver: Mutex::new(Some(receiver)),
            watch: Mutex::default(),
            next: AtomicU64::new(0),
        }
    }
}

impl Trials {
    pub(super) fn order(&self, order: Order) {
        // The receiver ends with the process.
        let _ended = self.orders.send(order);
    }

    /// The orders, for the one task that carries them out.
    fn take_receiver(&self) -> Option<mpsc::UnboundedReceiver<Order>> {
        let receiver = self.receiver.lock();
        receiver.unwrap_or_else(PoisonError::into_inner).take()
    }

    /// Holds back trials, as the store came back from an older copy.
    pub(super) fn on_restored(&self, now: Time) {
        self.watch().on_restored(now);
    }

    fn watch(&self) -> MutexGuard<'_, TrialWatch> {
        self.watch.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A request that is a trial; dropping it ends the trial.
#[derive(Debug)]
pub(super) struct Trial<D> {
    state: Arc<State<D>>,
    record: Fingerprint,
    serial: Serial,
    content: BTreeSet<Fingerprint>,
    /// Whether the request has provably not run, or is known to be sound.
    is_harmless: AtomicBool,
    is_ended: AtomicBool,
}

impl<D> Trial<D> {
    /// The content on trial.
    pub(super) const fn content(&self) -> &BTreeSet<Fingerprint> {
        &self.content
    }

    /// Whether the request may be sent as this trial; a second send would be another trial.
    pub(super) fn covers(&self, content: &BTreeSet<Fingerprint>) -> bool {
        self.content == *content && self.is_harmless.load(Ordering::Relaxed)
    }

    /// Records whether the request is known to have done no harm.
    pub(super) fn set_harmless(&self, is_harmless: bool) {
        self.is_harmless.store(is_harmless, Ordering::Relaxed);
    }

    /// Ends the trial, unless it has ended.
    pub(super) fn end(&self) {
        if !self.is_ended.swap(true, Ordering::Relaxed) {
            self.state.trials.order(Order::End {
                record: self.record,
                trial: self.serial,
                is_harmless: self.is_harmless.load(Ordering::Relaxed),
            });
        }
    }
}

impl<D> Drop for Trial<D> {
    fn drop(&mut self) {
        self.end();
    }
}

/// Why no trial begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NoTrial {
    /// Another one runs, or the store does not answer.
    Busy,
    /// Too many have shown nothing.
    Exhausted,
}

impl<D> State<D> {
    /// Begins a trial of this content, if the store grants it.
    pub(super) async fn begin_trial(
        self: &Arc<Self>,
        content: BTreeSet<Fingerprint>,
    ) -> Result<Trial<D>, NoTrial> {
        let record = self.detector().trial_record(&content);
        let record = record.ok_or(NoTrial::Busy)?;
        if !self.trials.watch().is_due(record, self.now()) {
            return Err(self.why_no_trial(record));
        }
        let number = self.trials.next.fetch_add(1, Ordering::Relaxed) + 1;
        let serial = Serial::new(self.incarnation, number);
        let (granted, answer) = oneshot::channel();
        self.trials.order(Order::Begin {
            record,
            trial: serial,
            granted,
        });
        let is_granted = tokio::select! {
            answer = answer => answer.unwrap_or_default(),
            () = self.timers.after(BEGIN_TIMEOUT) => false,
        };
        if !is_granted {
            return Err(self.why_no_trial(record));
        }
        info!(event = "quarantine", content = ?quarantine::names(&content), outcome = "trial");
        Ok(Trial {
            state: Arc::clone(self),
            record,
            serial,
            content,
            is_harmless: AtomicBool::new(true),
            is_ended: AtomicBool::new(false),
        })
    }

    fn why_no_trial(&self, record: Fingerprint) -> NoTrial {
        if self.trials.watch().is_exhausted(record) {
            NoTrial::Exhausted
        } else {
            NoTrial::Busy
        }
    }
}

/// Starts the task that carries out the orders.
pub(super) fn start<D, S>(state: &Arc<State<D>>, store: &Store<S::Form>, socket: &Arc<UdpSocket>)
where
    D: Dialect,
    S: StoreSchema,
{
    if let Some(receiver) = state.trials.take_receiver() {
        tokio::spawn(run::<D, S>(
            Arc::clone(state),
            store.clone(),
            Arc::clone(socket),
            receiver,
        ));
    }
}

async fn run<D, S>(
    state: Arc<State<D>>,
    store: Store<S::Form>,
    socket: Arc<UdpSocket>,
    mut orders: mpsc::UnboundedReceiver<Order>,
) where
    D: Dialect,
    S: StoreSchema,
{
    while let Some(order) = orders.recv().await {
        let (state, store, socket) = (Arc::clone(&state), store.clone(), Arc::clone(&socket));
        tokio::spawn(async move {
            match order {
                Order::Begin {
                    record,
                    trial,
                    granted,
                } => {
                    let is_granted = begin::<D, S>(&state, &store, record, trial).await;
                    // The request may have left meanwhile.
                    if granted.send(is_granted).is_err() && is_granted {
                        end::<D, S>(&state, &store, record, trial, true).await;
                    }
                }
                Order::End {
                    record,
                    trial,
                    is_harmless,
                } => end::<D, S>(&state, &store, record, trial, is_harmless).await,
                Order::Release(content) => {
                    for one in &content {
                        info!(event = "quarantine", content = %one, outcome = "answered");
                    }
                    let message = Message::Released(content.clone());
                    tokio::join!(
                        quarantine::repeat(&state, &socket, &message, || true),
                        quarantine::remove::<D, S>(&state, &store, &content),
                    );
                }
                Order::Publish(condemned) => {
                    for one in condemned {
                        quarantine::publish::<D, S>(&state, &store, &socket, one);
                    }
                }
            }
        });
    }
}

/// Records that a trial begins, and returns whether the store has taken that.
async fn begin<D, S>(
    state: &State<D>,
    store: &Store<S::Form>,
    record: Fingerprint,
    trial: Serial,
) -> bool
where
    D: Dialect,
    S: StoreSchema,
{
    let name = record.to_string();
    let written = match store.get::<TrialRecord>(S::TRIALS, &name).await {
        Ok(None) => {
            let first = TrialRecord::default().begin(trial);
            store.create(S::TRIALS, &name, &first).await
        }
        Ok(Some(object)) => {
            let (now, current) = (state.now(), &object.value);
            let is_free = {
                let mut watch = state.trials.watch();
                watch.may_begin(record, current, object.version, now)
            };
            if !is_free {
                return false;
            }
            let next = current.begin(trial);
            store.update(S::TRIALS, &name, &next, object.version).await
        }
        Err(error) => Err(error),
    };
    state.on_era(store.era());
    match written {
        // The store may have come back between the two calls.
        Ok(_version) if state.trials.watch().is_held(state.now()) => {
            end::<D, S>(state, store, record, trial, true).await;
            false
        }
        Ok(_version) => true,
        Err(Error::Conflict { .. }) => false,
        Err(error) => {
            warn!(event = "quarantine", content = %record, outcome = "no-trial", %error);
            // The record may stand all the same.
            end::<D, S>(state, store, record, trial, true).await;
            false
        }
    }
}

/// Records that a trial has ended, if it is the one that the record names.
async fn end<D, S>(
    state: &State<D>,
    store: &Store<S::Form>,
    record: Fingerprint,
    trial: Serial,
    is_harmless: bool,
) where
    D: Dialect,
    S: StoreSchema,
{
    let name = record.to_string();
    for _ in 0..END_CALLS {
        let written = match store.get::<TrialRecord>(S::TRIALS, &name).await {
            Ok(Some(object)) if object.value.running == Some(trial) => {
                let next = object.value.end(trial, is_harmless);
                store.update(S::TRIALS, &name, &next, object.version).await
            }
            Ok(_) => return,
            Err(error) => Err(error),
        };
        match written {
            Ok(_version) => {
                state.trials.watch().forget(record);
                return;
            }
            Err(_repeated) => state.timers.after(RETRY_PAUSE).await,
        }
    }
}
