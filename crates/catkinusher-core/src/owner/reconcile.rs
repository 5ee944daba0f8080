//! Reconciles the owner's state with the reports of the upstream and of holders.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{Action, Load, ORPHAN_GRACE, Owner, Running, Share};
use crate::fair::FairQueue;
use crate::id::{Incarnation, RequestId, VmId};
use crate::ledger::Reservation;
use crate::time::Time;
use crate::units::Tokens;

/// The lease of a permit that only its holder reports, unless renewed.
pub const ADOPTED_LEASE: Duration = Duration::from_secs(30);

/// The age from which a permit that is missing in a holder's list counts as ended.
const HOLDER_LIST_GRACE: Duration = Duration::from_secs(1);

impl Owner {
    /// Applies a delayed load report.
    pub fn on_load(&mut self, load: &Load, now: Time) {
        self.advance(now);
        if load.incarnation > self.incarnation {
            self.on_restart(load.incarnation, now);
        }
        let taken = now - load.age;
        self.suspect_since = self.suspect_since.filter(|since| taken <= *since);
    }

    /// Reconciles the ledger with the upstream's list of running requests.
    ///
    /// Orphans that the upstream no longer lists are freed. Listed requests
    /// without a permit count against the limits, and are cancelled after
    /// [`ORPHAN_GRACE`] unless members may disagree on the owner.
    pub fn reconcile(
        &mut self,
        incarnation: Incarnation,
        list: &[Running],
        now: Time,
    ) -> Vec<Action> {
        self.advance(now);
        if incarnation > self.incarnation {
            self.on_restart(incarnation, now);
        }
        self.suspect_since = None;
        let listed: BTreeMap<&RequestId, Tokens> = list
            .iter()
            .map(|running| (&running.request, running.memory))
            .collect();
        self.free_orphans(&listed);
        self.record_external(&listed, now);
        self.cancel_external(now)
    }

    /// Turns the permits of a failed holder into orphans and drops its queued requests.
    pub fn holder_gone(&mut self, vm: &VmId, now: Time) -> Vec<Action> {
        self.advance(now);
        self.drop_queued_of(vm);
        let held = self.requests_held_by(vm);
        for request in &held {
            self.ledger.mark_orphan(request, now + ORPHAN_GRACE);
        }
        held.into_iter().map(Action::Cancel).collect()
    }

    /// Reconciles the ledger with the list of permits that a holder reports.
    ///
    /// Permits that the holder no longer has are freed. Permits that only the
    /// holder and the upstream know, as after a change of owner, are adopted.
    pub fn reconcile_holder(&mut self, vm: &VmId, requests: &[RequestId], now: Time) {
        self.advance(now);
        for request in self.requests_held_by(vm) {
            let old = self
                .ledger
                .get(&request)
                .is_some_and(|lease| now.since(lease.since) > HOLDER_LIST_GRACE);
            if old && !requests.contains(&request) {
                self.remove_request(&request);
            }
        }
        for request in requests {
            self.adopt(vm, request, now);
        }
    }

    fn requests_held_by(&self, vm: &VmId) -> Vec<RequestId> {
        let leases = self.ledger.iter();
        let held = leases.filter(|(_, lease)| lease.holder == *vm && !lease.orphan);
        held.map(|(request, _)| request.clone()).collect()
    }

    fn drop_queued_of(&mut self, vm: &VmId) {
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
            self.remove_request(&request);
        }
    }

    fn record_external(&mut self, listed: &BTreeMap<&RequestId, Tokens>, now: Time) {
        let known = |request: &RequestId| self.ledger.get(request).is_some();
        let unknown = listed.iter().filter(|(request, _)| !known(request));
        let external: BTreeMap<_, _> = unknown
            .map(|(request, memory)| {
                let since = self.external.get(*request).map_or(now, |old| old.since);
                let entry = ExternalRequest {
                    since,
                    memory: *memory,
                };
                ((*request).clone(), entry)
            })
            .collect();
        self.external = external;
        self.count_external();
    }

    fn count_external(&mut self) {
        let memory = self.external.values().map(|request| request.memory);
        self.ledger
            .set_external(memory.sum(), self.external.len() as u32);
    }

    fn cancel_external(&self, now: Time) -> Vec<Action> {
        if self.share == Share::Half {
            return Vec::new();
        }
        let old = |request: &ExternalRequest| now.since(request.since) >= ORPHAN_GRACE;
        let external = self.external.iter();
        let orphans = external.filter(|(_, request)| old(request));
        orphans
            .map(|(request, _)| Action::Cancel(request.clone()))
            .collect()
    }

    /// Adopts a request that its holder reports, or extends its lease.
    fn adopt(&mut self, vm: &VmId, request: &RequestId, now: Time) {
        let Some(found) = self.external.remove(request) else {
            self.ledger.extend(request, now + ADOPTED_LEASE);
            return;
        };
        self.count_external();
        let lease = Reservation {
            holder: vm.clone(),
            memory: found.memory,
            expires: now + ADOPTED_LEASE,
            since: now,
            orphan: false,
        };
        self.ledger.adopt(request.clone(), lease);
    }
}

/// A request that the upstream lists and for which this owner has granted no permit.
#[derive(Debug, Clone, Copy)]
pub(super) struct ExternalRequest {
    since: Time,
    memory: Tokens,
}
