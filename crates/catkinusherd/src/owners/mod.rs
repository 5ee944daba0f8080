//! The upstreams that this node owns: their state machines, and the requests
//! that wait for a permit.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkinusher_core::ask::Ask;
use catkinusher_core::digest::Digest;
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::id::{Incarnation, RequestId, UpstreamId, VmId};
use catkinusher_core::owner::{
    Action, Event, Limits, Load, Outcome, Owner, Permit, Refusal, Reply, Report, RunOptions,
    Running, Share,
};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use catkinusher_peer::rpc::{Acquire, Acquired};
use tokio::sync::{Notify, oneshot};
use tracing::{debug, info, warn};

use crate::timer::Timers;

/// How long a queued request keeps its place, or an undelivered answer is kept, without another
/// call for it.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(6);

/// The interval at which abandoned requests are removed.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum Decision {
    Granted(Permit),
    Refused(Refusal),
}

#[derive(Debug)]
struct Waiter {
    called_at: Time,
    sender: oneshot::Sender<Decision>,
}

#[derive(Debug)]
struct Entry {
    owner: Owner,
    waiters: HashMap<RequestId, Waiter>,
    /// Answers decided while no call was waiting, with the time of the decision, until the next
    /// call.
    undelivered: HashMap<RequestId, (Time, Decision)>,
}

/// The upstreams owned by one node.
#[derive(Debug)]
pub struct Owners {
    timers: Timers,
    entries: Mutex<BTreeMap<UpstreamId, Entry>>,
    changed: Notify,
    crashes: Mutex<Vec<Vec<Fingerprint>>>,
    crashed: Notify,
}

impl Owners {
    /// Creates the table with no upstreams.
    #[must_use]
    pub fn new(timers: Timers) -> Self {
        Self {
            timers,
            entries: Mutex::default(),
            changed: Notify::new(),
            crashes: Mutex::default(),
            crashed: Notify::new(),
        }
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<UpstreamId, Entry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes over an upstream, or updates its share and whether it is drained.
    pub fn own(&self, upstream: &UpstreamId, limits: &Limits, share: Share, drained: bool) {
        let now = self.timers.now();
        let mut entries = self.lock();
        let entry = entries.entry(upstream.clone()).or_insert_with(|| {
            info!("owner: {upstream} taken over with share {share:?}");
            Entry {
                owner: Owner::new(limits.clone(), share, now),
                waiters: HashMap::new(),
                undelivered: HashMap::new(),
            }
        });
        entry.owner.set_share(share);
        entry.owner.set_drained(drained);
        drop(entries);
        self.changed.notify_one();
    }

    /// Gives up ownership of every upstream for which `kept` is false; waiting calls are answered
    /// with `NotOwner`.
    pub fn keep_only<F>(&self, kept: F)
    where
        F: Fn(&UpstreamId) -> bool,
    {
        self.lock().retain(|upstream, _entry| {
            let keep = kept(upstream);
            if !keep {
                info!("owner: {upstream} given up");
            }
            keep
        });
    }

    /// The upstreams that this node owns.
    #[must_use]
    pub fn owned(&self) -> Vec<UpstreamId> {
        self.lock().keys().cloned().collect()
    }

    /// The digests of all owned upstreams.
    #[must_use]
    pub fn digests(&self) -> Vec<(UpstreamId, Digest)> {
        let entries = self.lock();
        let digests = entries
            .iter()
            .map(|(upstream, entry)| (upstream.clone(), entry.owner.digest()));
        digests.collect()
    }

    /// The number of granted and queued requests of each upstream, for the status.
    #[must_use]
    pub fn open_requests(&self) -> BTreeMap<UpstreamId, u32> {
        let entries = self.lock();
        let open = entries.iter().map(|(upstream, entry)| {
            let streams = entry.owner.ledger().streams() + entry.owner.queued() as u32;
            (upstream.clone(), streams)
        });
        open.collect()
    }

    /// Answers a node's request for a permit.
    pub async fn acquire(&self, call: Acquire) -> Acquired {
        let now = self.timers.now();
        let mut ask = call.ask;
        ask.deadline = now + call.left.get();
        let request = ask.request.clone();
        let receiver = {
            let mut entries = self.lock();
            let Some(entry) = entries.get_mut(&call.upstream) else {
                return Acquired::NotOwner { owner: None };
            };
            match entry.on_call(call.terms, ask, call.holder, now) {
                CallResult::Decided(decision) => return entry.to_acquired(decision, now),
                CallResult::Queued(receiver) => receiver,
            }
        };
        self.changed.notify_one();
        let decision = tokio::select! {
            decision = receiver => decision.ok(),
            () = self.timers.after(call.wait.get()) => None,
        };
        let now = self.timers.now();
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(&call.upstream) else {
            return Acquired::NotOwner { owner: None };
        };
        match decision.or_else(|| {
            entry
                .undelivered
                .remove(&request)
                .map(|(_at, decision)| decision)
        }) {
            Some(decision) => entry.to_acquired(decision, now),
            None => Acquired::Queued {
                digest: entry.owner.digest(),
            },
        }
    }

    /// Releases a permit.
    pub fn release(&self, upstream: &UpstreamId, request: &RequestId, report: &Report) {
        let now = self.timers.now();
        if let Some(entry) = self.lock().get_mut(upstream) {
            debug!("owner: {request} released {upstream}: {:?}", report.outcome);
            entry.owner.release(request, report, now);
            self.record_crash(upstream, entry);
        }
        self.changed.notify_one();
    }

    /// Withdraws a request, whether it is queued or was granted and not used.
    pub fn withdraw(&self, upstream: &UpstreamId, request: &RequestId) {
        let now = self.timers.now();
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.waiters.remove(request);
            entry.undelivered.remove(request);
            entry.owner.cancel(request, now);
        }
        self.changed.notify_one();
    }

    /// Reconciles the granted permits with those that a node still holds.
    pub fn reconcile_holder(&self, upstream: &UpstreamId, holder: &VmId, requests: &[RequestId]) {
        let now = self.timers.now();
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.owner.reconcile_holder(holder, requests, now);
        }
        self.changed.notify_one();
    }

    /// Handles the loss of a node and of all requests that it sent.
    pub fn holder_gone(&self, holder: &VmId) {
        let now = self.timers.now();
        for entry in self.lock().values_mut() {
            entry.owner.holder_gone(holder, now);
        }
        self.changed.notify_one();
    }

    /// Handles the load reported by an upstream.
    pub fn on_load(&self, upstream: &UpstreamId, load: &Load) {
        let now = self.timers.now();
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.owner.on_load(load, now);
            self.record_crash(upstream, entry);
        }
        self.changed.notify_one();
    }

    /// Reconciles the permits with the requests that an upstream runs, and returns what to cancel
    /// there.
    pub fn reconcile(
        &self,
        upstream: &UpstreamId,
        running: &[Running],
        incarnation: Incarnation,
    ) -> Vec<Action> {
        let now = self.timers.now();
        let actions = match self.lock().get_mut(upstream) {
            Some(entry) => {
                let actions = entry.owner.reconcile(incarnation, running, now);
                self.record_crash(upstream, entry);
                actions
            }
            None => Vec::new(),
        };
        self.changed.notify_one();
        actions
    }

    fn record_crash(&self, upstream: &UpstreamId, entry: &mut Entry) {
        let running = entry.owner.take_crash_suspects();
        if running.is_empty() {
            return;
        }
        warn!(
            "owner: {upstream} crashed while running {} requests",
            running.len()
        );
        let mut crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        crashes.push(running);
        self.crashed.notify_one();
    }

    /// Waits for crashes of owned upstreams, and returns the requests that ran at each.
    pub async fn next_crashes(&self) -> Vec<Vec<Fingerprint>> {
        loop {
            let crashes = {
                let mut crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
                std::mem::take(&mut *crashes)
            };
            if !crashes.is_empty() {
                return crashes;
            }
            self.crashed.notified().await;
        }
    }

    /// Grants, refuses and expires permits as they fall due, until the node stops.
    pub async fn run(&self) {
        let mut sweep = self.timers.every(SWEEP_INTERVAL);
        loop {
            let wake = self.poll();
            let alarm = async {
                match wake {
                    Some(at) => self.timers.at(at).await,
                    None => std::future::pending().await,
                }
            };
            tokio::select! {
                () = self.changed.notified() => {}
                () = alarm => {}
                alive = sweep.next() => {
                    if !alive {
                        return;
                    }
                    self.remove_abandoned();
                }
            }
        }
    }

    fn poll(&self) -> Option<Time> {
        let now = self.timers.now();
        let mut entries = self.lock();
        for (upstream, entry) in entries.iter_mut() {
            entry.poll(upstream, now);
        }
        entries
            .values()
            .filter_map(|entry| entry.owner.next_wake())
            .min()
    }

    fn remove_abandoned(&self) {
        let now = self.timers.now();
        for entry in self.lock().values_mut() {
            entry.remove_abandoned(now);
        }
    }
}

enum CallResult {
    Decided(Decision),
    Queued(oneshot::Receiver<Decision>),
}

impl Entry {
    /// Handles the first call for a request, or a repeated call for one that is queued or was
    /// decided meanwhile.
    fn on_call(&mut self, terms: RunOptions, ask: Ask, holder: VmId, now: Time) -> CallResult {
        let request = ask.request.clone();
        if let Some((_at, decision)) = self.undelivered.remove(&request) {
            return CallResult::Decided(decision);
        }
        if !self.waiters.contains_key(&request) {
            match self.owner.acquire_with(terms, ask, holder, now) {
                Reply::Granted(permit) => return CallResult::Decided(Decision::Granted(permit)),
                Reply::Refused(refusal) => return CallResult::Decided(Decision::Refused(refusal)),
                Reply::Queued => {}
            }
        }
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter {
            called_at: now,
            sender,
        };
        self.waiters.insert(request, waiter);
        CallResult::Queued(receiver)
    }

    fn to_acquired(&self, decision: Decision, now: Time) -> Acquired {
        let digest = self.owner.digest();
        match decision {
            Decision::Granted(permit) => {
                let left = Span::new(permit.expires.since(now));
                Acquired::Granted {
                    permit,
                    left,
                    digest,
                }
            }
            Decision::Refused(refusal) => Acquired::Refused { refusal, digest },
        }
    }

    fn poll(&mut self, upstream: &UpstreamId, now: Time) {
        for event in self.owner.poll(now) {
            match event {
                Event::Granted(permit) => {
                    let request = permit.request.clone();
                    self.deliver(&request, Decision::Granted(permit), now);
                }
                Event::Refused(request, refusal) => {
                    self.deliver(&request, Decision::Refused(refusal), now);
                }
                Event::Expired(request) => {
                    info!("owner: the permit of {request} on {upstream} expired");
                }
            }
        }
    }

    fn deliver(&mut self, request: &RequestId, decision: Decision, now: Time) {
        let undelivered = match self.waiters.remove(request) {
            Some(waiter) => waiter.sender.send(decision).err(),
            None => Some(decision),
        };
        if let Some(decision) = undelivered {
            self.undelivered.insert(request.clone(), (now, decision));
        }
    }

    /// Removes requests for which no call has come within [`QUEUE_TIMEOUT`].
    fn remove_abandoned(&mut self, now: Time) {
        let stale: Vec<_> = self
            .waiters
            .iter()
            .filter(|(_request, waiter)| {
                waiter.sender.is_closed() && now.since(waiter.called_at) > QUEUE_TIMEOUT
            })
            .map(|(request, _waiter)| request.clone())
            .collect();
        for request in stale {
            self.waiters.remove(&request);
            self.owner.cancel(&request, now);
        }
        let undelivered: Vec<_> = self
            .undelivered
            .iter()
            .filter(|(_request, (at, _verdict))| now.since(*at) > QUEUE_TIMEOUT)
            .map(|(request, _missed)| request.clone())
            .collect();
        for request in undelivered {
            self.undelivered.remove(&request);
            self.owner
                .release(&request, &Report::new(Outcome::Cancelled), now);
        }
    }
}
