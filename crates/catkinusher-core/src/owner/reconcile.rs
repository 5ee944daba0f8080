//! The owner's books against what the upstream and the holders say.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Action, Load, ORPHAN_GRACE, Owner, Running, Share};
use crate::fair::FairQueue;
use crate::id::{Incarnation, RequestId, VmId};
use crate::ledger::Reservation;
use crate::time::Time;
use crate::units::Tokens;

/// How long a permit lives that is known from its holder only, unless renewed.
pub const ADOPTED_LEASE: Duration = Duration::from_secs(30);

/// How old a permit must be for a holder's list to say that it is gone.
const LIST_MARGIN: Duration = Duration::from_secs(1);

impl Owner {
    /// Notes a lagging load report.
    pub fn on_load(&mut self, load: &Load, now: Time) {
        self.advance(now);
        if load.incarnation > self.incarnation {
            self.new_life(load.incarnation, now);
        }
        let taken = now - load.age;
        self.suspect = self.suspect.filter(|since| taken <= *since);
    }

    /// Compares the books with the upstream's exact list.
    ///
    /// What the upstream no longer has is freed if nobody answers for it. What
    /// it has and nobody answers for counts against the limits, and is
    /// cancelled after a grace, unless members may disagree on the owner.
    pub fn reconcile(
        &mut self,
        incarnation: Incarnation,
        list: &[Running],
        now: Time,
    ) -> Vec<Action> {
        self.advance(now);
        if incarnation > self.incarnation {
            self.new_life(incarnation, now);
        }
        self.suspect = None;
        let listed: BTreeMap<&RequestId, Tokens> = list
            .iter()
            .map(|running| (&running.request, running.memory))
            .collect();
        self.free_orphans(&listed);
        self.note_strangers(&listed, now);
        self.cancel_strangers(now)
    }

    /// Turns what a holder held into orphans, since it is gone, and drops what it asked.
    pub fn holder_gone(&mut self, vm: &VmId, now: Time) -> Vec<Action> {
        self.advance(now);
        self.drop_asks(vm);
        let held = self.held_of(vm);
        for request in &held {
            self.ledger.mark_orphan(request, now + ORPHAN_GRACE);
        }
        held.into_iter().map(Action::Cancel).collect()
    }

    /// Compares the books with the list of permits that a holder says it has.
    ///
    /// Permits that it no longer has are freed, those that only it and the
    /// upstream know are taken over, as after a change of owner.
    pub fn reconcile_holder(&mut self, vm: &VmId, requests: &[RequestId], now: Time) {
        self.advance(now);
        for request in self.held_of(vm) {
            let old = self
                .ledger
                .get(&request)
                .is_some_and(|lease| now.since(lease.since) > LIST_MARGIN);
            if old && !requests.contains(&request) {
                self.forget(&request);
            }
        }
        for request in requests {
            self.adopt(vm, request, now);
        }
    }

    fn held_of(&self, vm: &VmId) -> Vec<RequestId> {
        let leases = self.ledger.iter();
        let held = leases.filter(|(_, lease)| lease.holder == *vm && !lease.orphan);
        held.map(|(request, _)| request.clone()).collect()
    }

    fn drop_asks(&mut self, vm: &VmId) {
        let queued = self.queues.iter().flat_map(FairQueue::iter);
        let gone = queued.filter(|(_, waiting)| waiting.holder == *vm);
        let gone: Vec<_> = gone
            .map(|(_, waiting)| waiting.ask.request.clone())
            .collect();
        for request in gone {
            self.dequeue(&request);
        }
    }

    fn free_orphans(&mut self, listed: &BTreeMap<&RequestId, Tokens>) {
        let leases = self.ledger.iter();
        let gone = leases.filter(|(request, lease)| lease.orphan && !listed.contains_key(request));
        let gone: Vec<_> = gone.map(|(request, _)| request.clone()).collect();
        for request in gone {
            self.forget(&request);
        }
    }

    fn note_strangers(&mut self, listed: &BTreeMap<&RequestId, Tokens>, now: Time) {
        let known = |request: &RequestId| self.ledger.get(request).is_some();
        let strange = listed.iter().filter(|(request, _)| !known(request));
        let strangers: BTreeMap<_, _> = strange
            .map(|(request, memory)| {
                let since = self.strangers.get(*request).map_or(now, |old| old.since);
                let stranger = Stranger {
                    since,
                    memory: *memory,
                };
                ((*request).clone(), stranger)
            })
            .collect();
        self.strangers = strangers;
        self.count_strangers();
    }

    fn count_strangers(&mut self) {
        let memory = self.strangers.values().map(|stranger| stranger.memory);
        self.ledger
            .set_external(memory.sum(), self.strangers.len() as u32);
    }

    fn cancel_strangers(&self, now: Time) -> Vec<Action> {
        if self.share == Share::Half {
            return Vec::new();
        }
        let old = |stranger: &Stranger| now.since(stranger.since) >= ORPHAN_GRACE;
        let strangers = self.strangers.iter();
        let orphans = strangers.filter(|(_, stranger)| old(stranger));
        orphans
            .map(|(request, _)| Action::Cancel(request.clone()))
            .collect()
    }

    /// Takes over a request that its holder answers for.
    fn adopt(&mut self, vm: &VmId, request: &RequestId, now: Time) {
        let Some(stranger) = self.strangers.remove(request) else {
            self.ledger.extend(request, now + ADOPTED_LEASE);
            return;
        };
        self.count_strangers();
        let lease = Reservation {
            holder: vm.clone(),
            memory: stranger.memory,
            expires: now + ADOPTED_LEASE,
            since: now,
            orphan: false,
        };
        self.ledger.adopt(request.clone(), lease);
    }
}

/// A request that the upstream lists and nobody here answers for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Stranger {
    since: Time,
    memory: Tokens,
}
