//! The upstreams that this node owns: their state machines, and those who
//! wait for a permit.

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

/// How long a queued ask keeps its place without being asked for again.
const PATIENCE: Duration = Duration::from_secs(6);

/// How often asks that nobody waits for any more are looked for.
const SWEEP: Duration = Duration::from_secs(1);

#[derive(Debug)]
enum Verdict {
    Granted(Permit),
    Refused(Refusal),
}

#[derive(Debug)]
struct Waiter {
    asked: Time,
    sender: oneshot::Sender<Verdict>,
}

#[derive(Debug)]
struct Entry {
    owner: Owner,
    waiters: HashMap<RequestId, Waiter>,
    /// Answers to asks whose call had ended, until they are asked for again.
    missed: HashMap<RequestId, (Time, Verdict)>,
}

/// The owned upstreams of one node.
#[derive(Debug)]
pub struct Owners {
    timers: Timers,
    entries: Mutex<BTreeMap<UpstreamId, Entry>>,
    changed: Notify,
    crashes: Mutex<Vec<Vec<Fingerprint>>>,
    crashed: Notify,
}

impl Owners {
    /// No upstream yet.
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

    /// Takes an upstream over, or changes its share and whether it is drained.
    pub fn own(&self, upstream: &UpstreamId, limits: &Limits, share: Share, drained: bool) {
        let now = self.timers.now();
        let mut entries = self.lock();
        let entry = entries.entry(upstream.clone()).or_insert_with(|| {
            info!("owner: {upstream} taken over with share {share:?}");
            Entry {
                owner: Owner::new(limits.clone(), share, now),
                waiters: HashMap::new(),
                missed: HashMap::new(),
            }
        });
        entry.owner.set_share(share);
        entry.owner.set_drained(drained);
        drop(entries);
        self.changed.notify_one();
    }

    /// Gives up every upstream that isn't in `kept`; those who wait are told to ask elsewhere.
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

    /// How many permits are out in all, for status.
    #[must_use]
    pub fn open_requests(&self) -> BTreeMap<UpstreamId, u32> {
        let entries = self.lock();
        let open = entries.iter().map(|(upstream, entry)| {
            let streams = entry.owner.ledger().streams() + entry.owner.queued() as u32;
            (upstream.clone(), streams)
        });
        open.collect()
    }

    /// Answers a node that asks for a permit.
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
            match entry.ask(call.terms, ask, call.holder, now) {
                Asked::Answered(verdict) => return entry.acquired(verdict, now),
                Asked::Waits(receiver) => receiver,
            }
        };
        self.changed.notify_one();
        let verdict = tokio::select! {
            verdict = receiver => verdict.ok(),
            () = self.timers.after(call.wait.get()) => None,
        };
        let now = self.timers.now();
        let mut entries = self.lock();
        let Some(entry) = entries.get_mut(&call.upstream) else {
            return Acquired::NotOwner { owner: None };
        };
        match verdict.or_else(|| entry.missed.remove(&request).map(|(_at, verdict)| verdict)) {
            Some(verdict) => entry.acquired(verdict, now),
            None => Acquired::Queued {
                digest: entry.owner.digest(),
            },
        }
    }

    /// Takes a permit back.
    pub fn release(&self, upstream: &UpstreamId, request: &RequestId, report: &Report) {
        let now = self.timers.now();
        if let Some(entry) = self.lock().get_mut(upstream) {
            debug!("owner: {request} released {upstream}: {:?}", report.outcome);
            entry.owner.release(request, report, now);
            self.note_crash(upstream, entry);
        }
        self.changed.notify_one();
    }

    /// Takes an ask out, whether it waits or was granted and not used.
    pub fn withdraw(&self, upstream: &UpstreamId, request: &RequestId) {
        let now = self.timers.now();
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.waiters.remove(request);
            entry.missed.remove(request);
            entry.owner.cancel(request, now);
        }
        self.changed.notify_one();
    }

    /// Takes in which permits a node still holds.
    pub fn reconcile_holder(&self, upstream: &UpstreamId, holder: &VmId, requests: &[RequestId]) {
        let now = self.timers.now();
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.owner.reconcile_holder(holder, requests, now);
        }
        self.changed.notify_one();
    }

    /// Takes in that a node is gone, with all that it sent.
    pub fn holder_gone(&self, holder: &VmId) {
        let now = self.timers.now();
        for entry in self.lock().values_mut() {
            entry.owner.holder_gone(holder, now);
        }
        self.changed.notify_one();
    }

    /// Takes in the upstream's own report of its load.
    pub fn on_load(&self, upstream: &UpstreamId, load: &Load) {
        let now = self.timers.now();
        if let Some(entry) = self.lock().get_mut(upstream) {
            entry.owner.on_load(load, now);
            self.note_crash(upstream, entry);
        }
        self.changed.notify_one();
    }

    /// Compares with what the upstream says it runs, and tells what to cancel there.
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
                self.note_crash(upstream, entry);
                actions
            }
            None => Vec::new(),
        };
        self.changed.notify_one();
        actions
    }

    fn note_crash(&self, upstream: &UpstreamId, entry: &mut Entry) {
        let running = entry.owner.take_crash_suspects();
        if running.is_empty() {
            return;
        }
        warn!("owner: {upstream} crashed under {} requests", running.len());
        let mut crashes = self.crashes.lock().unwrap_or_else(PoisonError::into_inner);
        crashes.push(running);
        self.crashed.notify_one();
    }

    /// Waits for crashes of owned upstreams, and tells what ran at each.
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

    /// Grants, refuses and expires by time, until the node ends.
    pub async fn run(&self) {
        let mut sweep = self.timers.every(SWEEP);
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
                    self.sweep();
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

    fn sweep(&self) {
        let now = self.timers.now();
        for entry in self.lock().values_mut() {
            entry.sweep(now);
        }
    }
}

enum Asked {
    Answered(Verdict),
    Waits(oneshot::Receiver<Verdict>),
}

impl Entry {
    /// Asks for the first time, or again for what waits or was answered meanwhile.
    fn ask(&mut self, terms: RunOptions, ask: Ask, holder: VmId, now: Time) -> Asked {
        let request = ask.request.clone();
        if let Some((_at, verdict)) = self.missed.remove(&request) {
            return Asked::Answered(verdict);
        }
        if !self.waiters.contains_key(&request) {
            match self.owner.acquire_with(terms, ask, holder, now) {
                Reply::Granted(permit) => return Asked::Answered(Verdict::Granted(permit)),
                Reply::Refused(refusal) => return Asked::Answered(Verdict::Refused(refusal)),
                Reply::Queued => {}
            }
        }
        let (sender, receiver) = oneshot::channel();
        let waiter = Waiter { asked: now, sender };
        self.waiters.insert(request, waiter);
        Asked::Waits(receiver)
    }

    fn acquired(&self, verdict: Verdict, now: Time) -> Acquired {
        let digest = self.owner.digest();
        match verdict {
            Verdict::Granted(permit) => {
                let left = Span::new(permit.expires.since(now));
                Acquired::Granted {
                    permit,
                    left,
                    digest,
                }
            }
            Verdict::Refused(refusal) => Acquired::Refused { refusal, digest },
        }
    }

    fn poll(&mut self, upstream: &UpstreamId, now: Time) {
        for event in self.owner.poll(now) {
            match event {
                Event::Granted(permit) => {
                    let request = permit.request.clone();
                    self.tell(&request, Verdict::Granted(permit), now);
                }
                Event::Refused(request, refusal) => {
                    self.tell(&request, Verdict::Refused(refusal), now);
                }
                Event::Expired(request) => {
                    info!("owner: the permit of {request} on {upstream} expired");
                }
            }
        }
    }

    fn tell(&mut self, request: &RequestId, verdict: Verdict, now: Time) {
        let unheard = match self.waiters.remove(request) {
            Some(waiter) => waiter.sender.send(verdict).err(),
            None => Some(verdict),
        };
        if let Some(verdict) = unheard {
            self.missed.insert(request.clone(), (now, verdict));
        }
    }

    /// Lets go of what nobody has asked for in a while.
    fn sweep(&mut self, now: Time) {
        let stale: Vec<_> = self
            .waiters
            .iter()
            .filter(|(_request, waiter)| {
                waiter.sender.is_closed() && now.since(waiter.asked) > PATIENCE
            })
            .map(|(request, _waiter)| request.clone())
            .collect();
        for request in stale {
            self.waiters.remove(&request);
            self.owner.cancel(&request, now);
        }
        let missed: Vec<_> = self
            .missed
            .iter()
            .filter(|(_request, (at, _verdict))| now.since(*at) > PATIENCE)
            .map(|(request, _missed)| request.clone())
            .collect();
        for request in missed {
            self.missed.remove(&request);
            self.owner
                .release(&request, &Report::new(Outcome::Cancelled), now);
        }
    }
}
