//! Merges updates about members into the local table.

use super::message::{Change, Life, Output, State, Update};
use super::table::{Listing, Member, RINGS};
use super::{ListedVm, Membership};
use crate::id::VmId;
use crate::time::Time;

impl Membership {
    /// Applies one entry of the VM list.
    ///
    /// Members on the first list may own upstreams at once. Members that appear on a
    /// later one must be heard of first.
    pub(super) fn apply_listing(&mut self, listed: &ListedVm, now: Time) {
        let listing = if listed.leaving {
            Listing::Leaving
        } else {
            Listing::Live
        };
        let first = !self.has_vm_list;
        let known = self.table.members.contains_key(&listed.vm);
        let member = self
            .table
            .members
            .entry(listed.vm.clone())
            .or_insert_with(|| {
                Member::new(&listed.vm, listed.location.clone(), Life::UNKNOWN, now)
            });
        member.listing = listing;
        if known {
            return;
        }
        member.hold_until = if first { now } else { Time::NEVER };
        self.stale_rings = true;
    }

    /// Removes members that are gone and not listed as live, once `forget_wait` has passed.
    ///
    /// By then no update about them is still in circulation that could bring them back.
    pub(super) fn forget_members(&mut self, now: Time) {
        let wait = self.settings.forget_wait.get();
        let me = &self.me;
        self.table.members.retain(|vm, member| {
            let expired = !member.state.is_reachable() && member.since + wait <= now;
            vm == me || !(expired && member.listing != Listing::Live)
        });
    }

    /// Applies an update about a member; `forward` says whether to gossip it further.
    pub(super) fn apply_update(&mut self, update: Update, forward: bool, now: Time) {
        if update.vm == self.me {
            self.refute(&update, now);
            return;
        }
        let Some(member) = self.table.members.get(&update.vm) else {
            self.add_member(update, forward, now);
            return;
        };
        if (update.life, update.state) <= (member.life, member.state) {
            return;
        }
        if let Some(location) = update.location
            && let Some(member) = self.table.members.get_mut(&update.vm)
        {
            member.location = location;
        }
        self.set_state(&update.vm, update.life, update.state, now);
        self.suppress_gossip_unless(&update.vm, forward);
    }

    /// Keeps an update from being gossiped unless `forward` is set.
    fn suppress_gossip_unless(&mut self, vm: &VmId, forward: bool) {
        if !forward {
            self.gossip.remove(vm);
        }
    }

    /// Handles that `vm` itself sent a message in this `life`.
    ///
    /// A sender that is suspect, gone, unknown or of a newer incarnation in this node's
    /// table is sent that state, so that it can refute.
    pub(super) fn on_sender(&mut self, vm: &VmId, life: Life, now: Time) {
        let Some(member) = self.table.members.get(vm) else {
            self.send_recorded_state(vm, life, State::Gone);
            return;
        };
        let unreachable = matches!(member.state, State::Suspect | State::Gone);
        if life > member.life {
            self.set_state(vm, life, State::Alive, now);
        } else if unreachable || life.0 < member.life.0 {
            let (life, state) = (member.life, member.state);
            self.send_recorded_state(vm, life, state);
        }
    }

    /// Sends `vm` the state that this node has recorded for it, so that it can refute.
    fn send_recorded_state(&mut self, vm: &VmId, life: Life, state: State) {
        let update = Update {
            vm: vm.clone(),
            life,
            state,
            location: None,
        };
        self.send_with(vm, super::Body::Gossip, vec![update]);
    }

    /// Refutes an update about this node by moving to a higher life.
    ///
    /// If the update names a higher incarnation, this node takes the one after it, since
    /// incarnations must rise from process to process.
    fn refute(&mut self, update: &Update, now: Time) {
        let (life, state) = (self.life(), self.own_member().state);
        if (update.life, update.state) <= (life, state) {
            return;
        }
        let higher = if update.life.0 > life.0 {
            Life(update.life.0.next(), 0)
        } else {
            update.life.refuted()
        };
        let me = self.me.clone();
        self.set_state(&me, higher, state, now);
        self.outputs.push(Output::Changed(Change::Refuted(higher)));
    }

    /// Adds a member that is not on the VM list yet, if the update says where it is.
    fn add_member(&mut self, update: Update, forward: bool, now: Time) {
        let Some(location) = update.location else {
            return;
        };
        let mut member = Member::new(&update.vm, location, Life::UNKNOWN, now);
        member.hold_until = Time::NEVER;
        self.table.members.insert(update.vm.clone(), member);
        self.stale_rings = true;
        self.set_state(&update.vm, update.life, update.state, now);
        self.suppress_gossip_unless(&update.vm, forward);
    }

    /// Marks a member as suspect after an unanswered probe; a leaving one counts as gone at once.
    pub(super) fn suspect(&mut self, vm: &VmId, now: Time) {
        let Some(member) = self.table.get(vm) else {
            return;
        };
        let (life, state) = (member.life, member.state);
        match state {
            State::Alive => self.set_state(vm, life, State::Suspect, now),
            State::Leaving => self.set_state(vm, life, State::Gone, now),
            State::Suspect | State::Gone | State::Left => {}
        }
    }

    /// Marks members as gone that stayed suspect for `suspect_wait`.
    pub(super) fn expire_suspects(&mut self, now: Time) {
        let wait = self.settings.suspect_wait.get();
        let expired: Vec<(VmId, Life)> = self
            .members()
            .filter(|(_, member)| member.state == State::Suspect && member.since + wait <= now)
            .map(|(vm, member)| (vm.clone(), member.life))
            .collect();
        for (vm, life) in expired {
            self.set_state(&vm, life, State::Gone, now);
        }
    }

    /// Moves this node to `state` in a new life and gossips that without delay.
    pub(super) fn announce_state(&mut self, state: State, now: Time) -> Vec<Output> {
        let me = self.me.clone();
        let life = self.life().refuted();
        self.set_state(&me, life, state, now);
        self.next_gossip = now;
        self.finish(now)
    }

    /// Records the life and state of a member and queues them for gossip.
    fn set_state(&mut self, vm: &VmId, life: Life, state: State, now: Time) {
        let hold = self.settings.join_hold.get();
        let cap = self.settings.hold_cap.get();
        let Some(member) = self.table.members.get_mut(vm) else {
            return;
        };
        let before = member.state;
        let restarted = member.life.0 != life.0;
        let first_heard = member.life == Life::UNKNOWN;
        if state == State::Alive && !member.owner && (before != State::Alive || restarted) {
            let factor = 1_u32 << member.losses.min(16);
            member.hold_until = now + (hold * factor).min(cap);
        }
        member.life = life;
        if before != state {
            member.state = state;
            member.since = now;
            self.stale_rings = true;
        }
        if restarted {
            self.detector.on_restart(vm, now);
        }
        self.gossip.add(vm, self.settings.repeats * RINGS as u32);
        if before != state || (restarted && !first_heard) {
            let vm = vm.clone();
            let change = Change::State { vm, state, life };
            self.outputs.push(Output::Changed(change));
        }
    }
}
