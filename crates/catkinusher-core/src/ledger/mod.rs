//! The memory ledger of one upstream.
//!
//! Memory is reserved before dispatch and released on every exit path.
//!
//! Reservations expire. One that has expired or whose holder is gone becomes
//! an orphan: the engine may still use the memory, so the reservation counts
//! until the engine no longer lists the request or a grace period has passed.

use std::collections::{BTreeMap, BTreeSet};

use crate::id::{RequestId, VmId};
use crate::time::Time;
use crate::units::Tokens;

/// Memory held for one request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reservation {
    /// The node that runs the request.
    pub holder: VmId,
    /// The reserved memory.
    pub memory: Tokens,
    /// When the reservation expires unless it is released earlier.
    pub expires: Time,
    /// When the reservation was granted.
    pub since: Time,
    /// Whether the reservation no longer has a live holder.
    pub orphan: bool,
}

/// The memory reservations on one upstream.
#[derive(Debug, Clone, Default)]
pub struct Ledger {
    total: Tokens,
    used: Tokens,
    /// Memory held by requests that were not granted here.
    external_memory: Tokens,
    external_streams: u32,
    reservations: BTreeMap<RequestId, Reservation>,
    expiries: BTreeSet<(Time, RequestId)>,
}

impl Ledger {
    /// Creates an empty ledger for this amount of memory.
    #[must_use]
    pub fn new(total: Tokens) -> Self {
        Self {
            total,
            ..Self::default()
        }
    }

    /// Sets the total memory, for example when the share changes.
    pub fn set_total(&mut self, total: Tokens) {
        self.total = total;
    }

    /// Sets the memory and streams of requests on the same upstream that were not granted here.
    pub fn set_external(&mut self, memory: Tokens, streams: u32) {
        self.external_memory = memory;
        self.external_streams = streams;
    }

    /// The memory that is neither reserved here nor held externally.
    #[must_use]
    pub fn free(&self) -> Tokens {
        self.total.saturating_sub(self.used + self.external_memory)
    }

    /// The total memory.
    #[must_use]
    pub const fn total(&self) -> Tokens {
        self.total
    }

    /// The memory reserved here.
    #[must_use]
    pub const fn used(&self) -> Tokens {
        self.used
    }

    /// The number of requests with a reservation, including external ones.
    #[must_use]
    pub fn streams(&self) -> u32 {
        u32::try_from(self.reservations.len()).unwrap_or(u32::MAX) + self.external_streams
    }

    /// Whether there are no reservations.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.reservations.is_empty()
    }

    /// Reserves memory. Returns `false` if there is not enough or the request already has a
    /// reservation.
    pub fn reserve(&mut self, request: RequestId, reservation: Reservation) -> bool {
        if reservation.memory > self.free() || self.reservations.contains_key(&request) {
            return false;
        }
        self.used += reservation.memory;
        self.expiries.insert((reservation.expires, request.clone()));
        self.reservations.insert(request, reservation);
        true
    }

    /// Releases the reservation of a request.
    pub fn release(&mut self, request: &RequestId) -> Option<Reservation> {
        let reservation = self.reservations.remove(request)?;
        self.expiries
            .remove(&(reservation.expires, request.clone()));
        self.used -= reservation.memory;
        Some(reservation)
    }

    /// The reservation of a request.
    #[must_use]
    pub fn get(&self, request: &RequestId) -> Option<&Reservation> {
        self.reservations.get(request)
    }

    /// All reservations, ordered by request.
    pub fn iter(&self) -> impl Iterator<Item = (&RequestId, &Reservation)> {
        self.reservations.iter()
    }

    /// Marks a reservation as an orphan that counts until `until`.
    pub fn mark_orphan(&mut self, request: &RequestId, until: Time) {
        let Some(reservation) = self.reservations.get_mut(request) else {
            return;
        };
        self.expiries
            .remove(&(reservation.expires, request.clone()));
        reservation.orphan = true;
        reservation.expires = until;
        self.expiries.insert((until, request.clone()));
    }

    /// Adds a reservation for a request that is already running, even if it exceeds the free
    /// memory.
    pub fn adopt(&mut self, request: RequestId, reservation: Reservation) {
        self.release(&request);
        self.used += reservation.memory;
        self.expiries.insert((reservation.expires, request.clone()));
        self.reservations.insert(request, reservation);
    }

    /// Extends a reservation to expire no earlier than `until`.
    pub fn extend(&mut self, request: &RequestId, until: Time) {
        let Some(reservation) = self.reservations.get_mut(request) else {
            return;
        };
        if reservation.orphan || reservation.expires >= until {
            return;
        }
        self.expiries
            .remove(&(reservation.expires, request.clone()));
        reservation.expires = until;
        self.expiries.insert((until, request.clone()));
    }

    /// A request whose reservation has expired by `now`, the earliest first.
    #[must_use]
    pub fn expired(&self, now: Time) -> Option<RequestId> {
        let (expiry, request) = self.expiries.first()?;
        (*expiry <= now).then(|| request.clone())
    }

    /// When the next reservation expires.
    #[must_use]
    pub fn next_end(&self) -> Option<Time> {
        self.expiries.first().map(|(expiry, _)| *expiry)
    }

    /// Removes all reservations, for example after a restart that lost all memory.
    pub fn clear(&mut self) -> Vec<RequestId> {
        self.used = Tokens::ZERO;
        self.expiries.clear();
        std::mem::take(&mut self.reservations).into_keys().collect()
    }
}
