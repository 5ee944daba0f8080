//! Outgoing traffic of a member: heartbeats, gossip, probes and table syncs.

use std::time::Duration;

use rand::RngExt;

use super::message::{BUCKETS, Body, State, Update};
use super::table::{Listing, Member};
use super::watch::Action;
use super::{Membership, TABLE_LIMIT};
use crate::id::VmId;
use crate::time::Time;

impl Membership {
    /// Sends queued updates without waiting for a heartbeat, but at most once per `news_gap`.
    ///
    /// The gap bounds the traffic when many members change at once.
    pub(super) fn send_gossip(&mut self, now: Time) {
        if self.gossip.is_empty() || now < self.next_gossip {
            return;
        }
        self.next_gossip = now + self.settings.news_gap.get();
        for peer in self.peers.clone() {
            if !self.gossip.is_empty() {
                self.send(&peer, Body::Gossip);
            }
        }
    }

    pub(super) fn send_heartbeats(&mut self, now: Time) {
        if now < self.next_heartbeat {
            return;
        }
        let period = self.settings.period.get();
        let seq = periods(now.since(self.start), period) + 1;
        self.next_heartbeat = self.start + period * u32::try_from(seq).unwrap_or(u32::MAX);
        for peer in self.peers.clone() {
            self.send(&peer, Body::Heartbeat(seq));
        }
        self.ping_lost_member();
    }

    /// Pings one random member that is gone, to detect that a partition has healed.
    fn ping_lost_member(&mut self) {
        let lost =
            |member: &Member| member.state == State::Gone && member.listing != Listing::Dropped;
        if let Some(vm) = self.random_member(lost) {
            let number = self.detector.next_number();
            self.send(&vm, Body::Ping(number));
        }
    }

    pub(super) fn check_silent_members(&mut self, now: Time) {
        for action in self.detector.poll(self.settings.probe_wait.get(), now) {
            match action {
                Action::Probe(vm, number) => self.probe(&vm, number),
                Action::Suspect(vm) => self.suspect(&vm, now),
            }
        }
    }

    fn probe(&mut self, vm: &VmId, number: u32) {
        self.send(vm, Body::Ping(number));
        for _ in 0..self.settings.helpers {
            let helper = self.random_member(|member| member.state == State::Alive);
            if let Some(helper) = helper.filter(|helper| helper != vm) {
                self.send(&helper, Body::IndirectPing(number, vm.clone()));
            }
        }
    }

    pub(super) fn on_indirect_ping(&mut self, from: &VmId, number: u32, target: &VmId, now: Time) {
        let until = now + self.settings.probe_wait.get();
        if let Some(own) = self.detector.start_relay(from, number, until) {
            self.send(target, Body::Ping(own));
        }
    }

    pub(super) fn on_ack(&mut self, number: u32, now: Time) {
        if let Some((requester, number)) = self.detector.on_ack(number, now) {
            self.send(&requester, Body::Ack(number));
        }
    }

    pub(super) fn send_sync(&mut self, now: Time) {
        if now < self.next_sync {
            return;
        }
        self.next_sync = now + self.settings.sync_period.get();
        if let Some(peer) = self.random_member(|member| member.state == State::Alive) {
            let buckets = self.table.bucket_hashes();
            self.send(&peer, Body::Sync(buckets));
        }
    }

    pub(super) fn on_sync(&mut self, from: &VmId, theirs: &[u64; BUCKETS]) {
        let ours = self.table.bucket_hashes();
        let differ = std::array::from_fn(|bucket| ours[bucket] != theirs[bucket]);
        let first = self.rng.random_range(0..BUCKETS);
        let updates = self.table.bucket_updates(&differ, first, TABLE_LIMIT);
        if !updates.is_empty() {
            self.send_with(from, Body::Table, updates);
        }
    }

    /// Replies to a table with the updates that are newer on this node.
    pub(super) fn reply_with_newer(&mut self, from: &VmId, theirs: &[Update]) {
        let newer_updates: Vec<Update> = theirs
            .iter()
            .filter_map(|update| {
                let member = self.table.get(&update.vm)?;
                let newer = (member.life, member.state) > (update.life, update.state);
                newer.then(|| member.to_update(&update.vm))
            })
            .collect();
        if !newer_updates.is_empty() {
            self.send_with(from, Body::Table, newer_updates);
        }
    }

    /// Postpones all deadlines after a pause of this node.
    ///
    /// The heartbeats that it missed while paused must not count against their senders.
    pub(super) fn extend_after_pause(&mut self, now: Time) {
        let period = self.settings.period.get();
        if now.since(self.last_tick) > period * 2 {
            self.detector
                .extend(now + period + self.settings.margin.get());
        }
        self.last_tick = now;
    }

    fn random_member<F>(&mut self, fits: F) -> Option<VmId>
    where
        F: Fn(&Member) -> bool,
    {
        let others = || {
            self.table
                .members
                .iter()
                .filter(|(vm, member)| **vm != self.me && fits(member))
        };
        let count = others().count();
        if count == 0 {
            return None;
        }
        let index = self.rng.random_range(0..count);
        others().nth(index).map(|(vm, _)| vm.clone())
    }
}

fn periods(elapsed: Duration, period: Duration) -> u64 {
    (elapsed.as_micros() / period.as_micros().max(1)) as u64
}
