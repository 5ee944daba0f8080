//! The state machine of one node that acquires, renews and releases a lease.

use std::time::Duration;

use super::{FencingToken, Lease, Timing};
use crate::id::VmId;
use crate::object::{Answer, Call, Version};
use crate::time::Time;

/// The lease object as last read or written, and when this node first saw that version.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Observed {
    version: Version,
    lease: Option<Lease>,
    since: Time,
}

/// A write that was sent and whose result is not yet known.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct PendingWrite {
    lease: Lease,
    sent: Time,
}

/// The store call that is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum PendingCall {
    Read,
    Write,
}

/// The lease that this node holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Held {
    fence: FencingToken,
    begun: Time,
    until: Time,
    renew: Time,
}

/// One node's view of a lease, held or not.
///
/// Call [`on_time`](Self::on_time) when [`wake`](Self::wake) is reached, carry
/// out the call that it returns, and pass the answer to
/// [`on_answer`](Self::on_answer). At most one call is in flight.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Holder {
    name: String,
    vm: VmId,
    nonce: u64,
    timing: Timing,
    observed: Option<Observed>,
    pending_write: Option<PendingWrite>,
    pending_call: Option<PendingCall>,
    leaving: bool,
    held: Option<Held>,
    next_call_at: Time,
    turn: u64,
}

impl Holder {
    /// Creates the state machine for the lease object `name`, whose value is not yet known.
    ///
    /// The nonce must be different for every process and every restart of it.
    #[must_use]
    pub const fn new(name: String, vm: VmId, nonce: u64, timing: Timing) -> Self {
        Self {
            name,
            vm,
            nonce,
            timing,
            observed: None,
            pending_write: None,
            pending_call: None,
            leaving: false,
            held: None,
            next_call_at: Time::ZERO,
            turn: 0,
        }
    }

    /// The fencing token to send an order with now, or `None` if no order may be sent.
    ///
    /// Call it immediately before writing to the socket, so that a pause of the process before
    /// the call is harmless.
    #[must_use]
    pub fn may_order(&self, now: Time) -> Option<FencingToken> {
        self.held
            .as_ref()
            .filter(|held| now < held.until)
            .map(|held| held.fence)
    }

    /// Like [`may_order`](Self::may_order), for an engine that ignores fencing tokens.
    ///
    /// Such an engine also obeys delayed orders of the previous holder, so the new
    /// holder first waits until all of them must have arrived.
    #[must_use]
    pub fn may_order_unfenced(&self, now: Time) -> Option<FencingToken> {
        let settle_time = self.timing.term.get() + self.timing.delay.get();
        self.held
            .as_ref()
            .filter(|held| now >= held.begun + settle_time)
            .and_then(|_| self.may_order(now))
    }

    /// When to call [`on_time`](Self::on_time) next.
    #[must_use]
    pub fn wake(&self) -> Time {
        if self.pending_call.is_some() {
            return Time::NEVER;
        }
        self.held
            .as_ref()
            .map_or(self.next_call_at, |held| held.renew)
    }

    /// Returns the call to make now, if any.
    pub fn on_time(&mut self, now: Time) -> Option<Call<Lease>> {
        if self.pending_call.is_some() || now < self.wake() {
            return None;
        }
        self.drop_expired(now);
        let Some(observed) = self
            .observed
            .as_ref()
            .filter(|_| self.pending_write.is_none())
        else {
            return Some(self.read());
        };
        if self.leaving {
            return self.release(now);
        }
        if !self.may_write(observed, now) {
            return Some(self.read());
        }
        let version = observed.version;
        let lease = self.next_lease();
        Some(self.write(version, lease, now))
    }

    /// Releases the lease, as in a planned shutdown; from now on no order may be sent.
    pub fn on_stop(&mut self, now: Time) -> Option<Call<Lease>> {
        self.held = None;
        self.leaving = true;
        self.next_call_at = now;
        self.on_time(now)
    }

    fn release(&mut self, now: Time) -> Option<Call<Lease>> {
        self.next_call_at = Time::NEVER;
        let observed = self.observed.as_ref()?;
        let version = observed.version;
        let lease = observed.lease.as_ref()?;
        if lease.free || lease.nonce != self.nonce {
            return None;
        }
        let fence = lease.fence;
        self.turn += 1;
        let lease = Lease {
            free: true,
            ..self.own_lease(fence)
        };
        Some(self.write(version, lease, now))
    }

    // A lease that this process wrote itself can be replaced at once, because no other node sends
    // orders with its token.
    fn may_write(&self, observed: &Observed, now: Time) -> bool {
        if self.held.is_some() {
            return true;
        }
        match &observed.lease {
            None => true,
            Some(lease) if lease.free || lease.nonce == self.nonce => true,
            Some(_) => now >= observed.since + self.timing.term.get(),
        }
    }

    fn next_lease(&mut self) -> Lease {
        self.turn += 1;
        let fence = match &self.held {
            Some(held) => held.fence,
            None => self.last_token().next(),
        };
        self.own_lease(fence)
    }

    fn last_token(&self) -> FencingToken {
        self.observed
            .as_ref()
            .and_then(|observed| observed.lease.as_ref())
            .map_or(FencingToken::default(), |lease| lease.fence)
    }

    fn own_lease(&self, fence: FencingToken) -> Lease {
        Lease {
            holder: self.vm.clone(),
            nonce: self.nonce,
            fence,
            turn: self.turn,
            free: false,
        }
    }

    fn read(&mut self) -> Call<Lease> {
        self.pending_call = Some(PendingCall::Read);
        let name = self.name.clone();
        Call::Read { name }
    }

    fn write(&mut self, version: Version, value: Lease, now: Time) -> Call<Lease> {
        self.pending_call = Some(PendingCall::Write);
        self.pending_write = Some(PendingWrite {
            lease: value.clone(),
            sent: now,
        });
        Call::Write {
            name: self.name.clone(),
            version,
            value,
        }
    }

    /// Handles the answer to the last call.
    pub fn on_answer(&mut self, answer: Answer<Lease>, now: Time) {
        let Some(pending_call) = self.pending_call.take() else {
            return;
        };
        match answer {
            Answer::Written { version } => self.on_written(version, now),
            Answer::Found { version, value } => self.on_read(version, Some(value), now),
            Answer::Missing => self.on_read(Version::NONE, None, now),
            // Another node wrote, or this node did and the answer was lost; a read shows which.
            Answer::Conflict => self.schedule_call(now),
            Answer::Lost => self.schedule_call(now + self.retry_delay()),
            Answer::Away => self.on_refused(pending_call, now),
        }
        self.drop_expired(now);
    }

    fn on_written(&mut self, version: Version, now: Time) {
        let Some(pending_write) = self.pending_write.take() else {
            return;
        };
        self.confirm(version, &pending_write, now);
    }

    fn confirm(&mut self, version: Version, pending_write: &PendingWrite, now: Time) {
        let lease = pending_write.lease.clone();
        let fence = lease.fence;
        let over = lease.free || self.leaving;
        self.next_call_at = if lease.free { Time::NEVER } else { now };
        self.observed = Some(Observed {
            version,
            lease: Some(lease),
            since: now,
        });
        if over {
            return;
        }
        let begun = match &self.held {
            Some(held) if held.fence == fence => held.begun,
            _ => now,
        };
        self.held = Some(Held {
            fence,
            begun,
            until: pending_write.sent + self.timing.hold.get(),
            renew: pending_write.sent + self.timing.renew.get(),
        });
    }

    fn on_read(&mut self, version: Version, lease: Option<Lease>, now: Time) {
        if let Some(pending_write) = self.pending_write.take()
            && lease.as_ref() == Some(&pending_write.lease)
        {
            self.confirm(version, &pending_write, now);
            return;
        }
        self.observe(version, lease, now);
    }

    fn observe(&mut self, version: Version, lease: Option<Lease>, now: Time) {
        let same = self
            .observed
            .as_ref()
            .filter(|observed| observed.version == version);
        let since = same.map_or(now, |observed| observed.since);
        let ours = lease
            .as_ref()
            .is_some_and(|lease| lease.nonce == self.nonce);
        if !ours {
            self.held = None;
        }
        let free = lease.as_ref().is_none_or(|lease| lease.free);
        self.next_call_at = if free || ours {
            now
        } else {
            now + self.timing.renew.get()
        };
        let observed = Observed {
            version,
            lease,
            since,
        };
        self.observed = Some(observed);
    }

    fn on_refused(&mut self, pending_call: PendingCall, now: Time) {
        if pending_call == PendingCall::Write {
            self.pending_write = None;
        }
        self.schedule_call(now + self.retry_delay());
    }

    fn schedule_call(&mut self, at: Time) {
        self.next_call_at = at;
        if let Some(held) = &mut self.held {
            held.renew = at;
        }
    }

    fn retry_delay(&self) -> Duration {
        self.timing.renew.get() / 16
    }

    fn drop_expired(&mut self, now: Time) {
        if self.held.as_ref().is_some_and(|held| now >= held.until) {
            self.held = None;
            self.next_call_at = now;
        }
    }
}
