//! How words about members are taken in.

use super::message::{Change, Life, Output, State, Update};
use super::table::{Listing, Member, RINGS};
use super::{ListedVm, Membership};
use crate::id::VmId;
use crate::time::Time;

impl Membership {
    pub(super) fn on_listed(&mut self, listed: &ListedVm, now: Time) {
        let listing = if listed.leaving {
            Listing::Leaving
        } else {
            Listing::Live
        };
        let first = !self.listed;
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

    /// Drops members that are gone and off the list for so long that no rumour lives on.
    pub(super) fn forget(&mut self, now: Time) {
        let wait = self.settings.forget_wait.get();
        let me = &self.me;
        self.table.members.retain(|vm, member| {
            let over = !member.state.is_reachable() && member.since + wait <= now;
            vm == me || !(over && member.listing != Listing::Live)
        });
    }

    /// Takes in a word about a member; `tell` says whether it is news to pass on.
    pub(super) fn on_update(&mut self, update: Update, tell: bool, now: Time) {
        if update.vm == self.me {
            self.on_own(&update, now);
            return;
        }
        let Some(member) = self.table.members.get(&update.vm) else {
            self.on_stranger(update, tell, now);
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
        self.change(&update.vm, update.life, update.state, now);
        self.hush(&update.vm, tell);
    }

    fn hush(&mut self, vm: &VmId, tell: bool) {
        if !tell {
            self.rumours.remove(vm);
        }
    }

    /// Takes in that a message of `life` came from `vm` itself.
    pub(super) fn on_sender(&mut self, vm: &VmId, life: Life, now: Time) {
        let Some(member) = self.table.members.get(vm) else {
            self.doubt(vm, life, State::Gone);
            return;
        };
        let doubted = matches!(member.state, State::Suspect | State::Gone);
        if life > member.life {
            self.change(vm, life, State::Alive, now);
        } else if doubted || life.0 < member.life.0 {
            let (life, state) = (member.life, member.state);
            self.doubt(vm, life, state);
        }
    }

    /// Tells `vm` what is believed of it, so that it can refute.
    fn doubt(&mut self, vm: &VmId, life: Life, state: State) {
        let update = Update {
            vm: vm.clone(),
            life,
            state,
            location: None,
        };
        self.send_with(vm, super::Body::Gossip, vec![update]);
    }

    /// Refutes a word about this node itself, or outdoes an older process of it.
    fn on_own(&mut self, update: &Update, now: Time) {
        let (life, state) = (self.life(), self.mine().state);
        if (update.life, update.state) <= (life, state) {
            return;
        }
        let higher = if update.life.0 > life.0 {
            Life(update.life.0.next(), 0)
        } else {
            update.life.refuted()
        };
        let me = self.me.clone();
        self.change(&me, higher, state, now);
        self.outputs.push(Output::Changed(Change::Refuted(higher)));
    }

    fn on_stranger(&mut self, update: Update, tell: bool, now: Time) {
        let Some(location) = update.location else {
            return;
        };
        let mut member = Member::new(&update.vm, location, Life::UNKNOWN, now);
        member.hold_until = Time::NEVER;
        self.table.members.insert(update.vm.clone(), member);
        self.stale_rings = true;
        self.change(&update.vm, update.life, update.state, now);
        self.hush(&update.vm, tell);
    }

    /// Suspects a member that answered no probe.
    pub(super) fn suspect(&mut self, vm: &VmId, now: Time) {
        let Some(member) = self.table.get(vm) else {
            return;
        };
        let (life, state) = (member.life, member.state);
        match state {
            State::Alive => self.change(vm, life, State::Suspect, now),
            State::Leaving => self.change(vm, life, State::Gone, now),
            State::Suspect | State::Gone | State::Left => {}
        }
    }

    /// Gives up the suspects that had long enough to refute.
    pub(super) fn expire(&mut self, now: Time) {
        let wait = self.settings.suspect_wait.get();
        let over: Vec<(VmId, Life)> = self
            .members()
            .filter(|(_, member)| member.state == State::Suspect && member.since + wait <= now)
            .map(|(vm, member)| (vm.clone(), member.life))
            .collect();
        for (vm, life) in over {
            self.change(&vm, life, State::Gone, now);
        }
    }

    /// Becomes `state` in a new life, and says so.
    pub(super) fn become_state(&mut self, state: State, now: Time) -> Vec<Output> {
        let me = self.me.clone();
        let life = self.life().refuted();
        self.change(&me, life, state, now);
        self.next_news = now;
        self.finish(now)
    }

    /// Sets what is believed of a member, and has it told.
    fn change(&mut self, vm: &VmId, life: Life, state: State, now: Time) {
        let hold = self.settings.join_hold.get();
        let cap = self.settings.hold_cap.get();
        let Some(member) = self.table.members.get_mut(vm) else {
            return;
        };
        let before = member.state;
        let restarted = member.life.0 != life.0;
        let unheard = member.life == Life::UNKNOWN;
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
            self.watch.on_restart(vm, now);
        }
        self.rumours.add(vm, self.settings.repeats * RINGS as u32);
        if before != state || (restarted && !unheard) {
            let vm = vm.clone();
            let change = Change::State { vm, state, life };
            self.outputs.push(Output::Changed(change));
        }
    }
}
