//! The memory ledger of one upstream: reserved before dispatch, freed on every way out.
//!
//! A reservation is a lease. One that runs out or whose holder is gone turns
//! into an orphan: the engine may still hold the memory, so it counts until
//! the engine's own list no longer names the request, or a grace has passed.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{RequestId, VmId};
use crate::time::Time;
use crate::units::Tokens;

/// Memory held for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The node that runs the request.
    pub holder: VmId,
    /// The memory reserved.
    pub memory: Tokens,
    /// When the lease ends if nobody ends it before.
    pub expires: Time,
    /// When it was granted.
    pub since: Time,
    /// Whether nobody answers for it any more.
    pub orphan: bool,
}

/// What is reserved on one upstream.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    total: Tokens,
    used: Tokens,
    foreign: Tokens,
    strangers: u32,
    leases: BTreeMap<RequestId, Reservation>,
    ends: BTreeSet<(Time, RequestId)>,
}

impl Ledger {
    /// An empty ledger over this much memory.
    #[must_use]
    pub fn new(total: Tokens) -> Self {
        Self {
            total,
            ..Self::default()
        }
    }

    /// Changes how much there is, for example when the share changes.
    pub fn set_total(&mut self, total: Tokens) {
        self.total = total;
    }

    /// Notes what requests of others hold on the same upstream.
    pub fn set_external(&mut self, memory: Tokens, streams: u32) {
        self.foreign = memory;
        self.strangers = streams;
    }

    /// The memory that is neither reserved nor held by others.
    #[must_use]
    pub fn free(&self) -> Tokens {
        self.total.saturating_sub(self.used + self.foreign)
    }

    /// How much there is in all.
    #[must_use]
    pub const fn total(&self) -> Tokens {
        self.total
    }

    /// What is reserved here.
    #[must_use]
    pub const fn used(&self) -> Tokens {
        self.used
    }

    /// How many requests hold a lease, others' included.
    #[must_use]
    pub fn streams(&self) -> u32 {
        u32::try_from(self.leases.len()).unwrap_or(u32::MAX) + self.strangers
    }

    /// Whether nothing is held.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.leases.is_empty()
    }

    /// Reserves memory; `false` if there is not enough or the request holds some already.
    pub fn reserve(&mut self, request: RequestId, lease: Reservation) -> bool {
        if lease.memory > self.free() || self.leases.contains_key(&request) {
            return false;
        }
        self.used += lease.memory;
        self.ends.insert((lease.expires, request.clone()));
        self.leases.insert(request, lease);
        true
    }

    /// Frees what a request holds.
    pub fn release(&mut self, request: &RequestId) -> Option<Reservation> {
        let lease = self.leases.remove(request)?;
        self.ends.remove(&(lease.expires, request.clone()));
        self.used -= lease.memory;
        Some(lease)
    }

    /// What a request holds.
    #[must_use]
    pub fn get(&self, request: &RequestId) -> Option<&Reservation> {
        self.leases.get(request)
    }

    /// Every lease, by request.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &Reservation)> {
        self.leases.iter()
    }

    /// Turns a lease into an orphan that counts until `until`.
    pub fn mark_orphan(&mut self, request: &RequestId, until: Time) {
        let Some(lease) = self.leases.get_mut(request) else {
            return;
        };
        self.ends.remove(&(lease.expires, request.clone()));
        lease.orphan = true;
        lease.expires = until;
        self.ends.insert((until, request.clone()));
    }

    /// Notes a lease that runs already, whether or not there is room for it.
    pub fn adopt(&mut self, request: RequestId, lease: Reservation) {
        self.release(&request);
        self.used += lease.memory;
        self.ends.insert((lease.expires, request.clone()));
        self.leases.insert(request, lease);
    }

    /// Lets a lease end no sooner than `until`.
    pub fn extend(&mut self, request: &RequestId, until: Time) {
        let Some(lease) = self.leases.get_mut(request) else {
            return;
        };
        if lease.orphan || lease.expires >= until {
            return;
        }
        self.ends.remove(&(lease.expires, request.clone()));
        lease.expires = until;
        self.ends.insert((until, request.clone()));
    }

    /// The next lease that has run out by `now`.
    #[must_use]
    pub fn expired(&self, now: Time) -> Option<RequestId> {
        let (end, request) = self.ends.first()?;
        (*end <= now).then(|| request.clone())
    }

    /// When the next lease runs out.
    #[must_use]
    pub fn next_end(&self) -> Option<Time> {
        self.ends.first().map(|(end, _)| *end)
    }

    /// Forgets every lease, as after a restart that lost all memory.
    pub fn clear(&mut self) -> Vec<RequestId> {
        self.used = Tokens::ZERO;
        self.ends.clear();
        std::mem::take(&mut self.leases).into_keys().collect()
    }
}
