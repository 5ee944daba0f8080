//! What a member says: heartbeats, probes and comparisons of buckets.

use std::time::Duration;

use rand::RngExt;

use super::message::{BUCKETS, Body, State, Update};
use super::table::{Listing, Member};
use super::watch::Verdict;
use super::{Membership, TABLE_LIMIT};
use crate::id::VmId;
use crate::time::Time;

impl Membership {
    /// Sends news at once, yet seldom enough that a storm of it stays bounded.
    pub(super) fn tell_news(&mut self, now: Time) {
        if self.rumours.is_empty() || now < self.next_news {
            return;
        }
        self.next_news = now + self.settings.news_gap.get();
        for peer in self.peers.clone() {
            if !self.rumours.is_empty() {
                self.send(&peer, Body::Gossip);
            }
        }
    }

    pub(super) fn beat(&mut self, now: Time) {
        if now < self.next_beat {
            return;
        }
        let period = self.settings.period.get();
        let seq = periods(now.since(self.start), period) + 1;
        self.next_beat = self.start + period * u32::try_from(seq).unwrap_or(u32::MAX);
        for peer in self.peers.clone() {
            self.send(&peer, Body::Heartbeat(seq));
        }
        self.try_lost();
    }

    /// Pings one member that seems gone, in case that a partition has healed.
    fn try_lost(&mut self) {
        let lost =
            |member: &Member| member.state == State::Gone && member.listing != Listing::Dropped;
        if let Some(vm) = self.pick(lost) {
            let number = self.watch.number();
            self.send(&vm, Body::Ping(number));
        }
    }

    pub(super) fn judge(&mut self, now: Time) {
        for verdict in self.watch.judge(self.settings.probe_wait.get(), now) {
            match verdict {
                Verdict::Probe(vm, number) => self.probe(&vm, number),
                Verdict::Suspect(vm) => self.suspect(&vm, now),
            }
        }
    }

    fn probe(&mut self, vm: &VmId, number: u32) {
        self.send(vm, Body::Ping(number));
        for _ in 0..self.settings.helpers {
            let helper = self.pick(|member| member.state == State::Alive);
            if let Some(helper) = helper.filter(|helper| helper != vm) {
                self.send(&helper, Body::IndirectPing(number, vm.clone()));
            }
        }
    }

    pub(super) fn on_ask(&mut self, from: &VmId, number: u32, target: &VmId, now: Time) {
        let until = now + self.settings.probe_wait.get();
        if let Some(own) = self.watch.relay(from, number, until) {
            self.send(target, Body::Ping(own));
        }
    }

    pub(super) fn on_ack(&mut self, number: u32, now: Time) {
        if let Some((asker, number)) = self.watch.on_ack(number, now) {
            self.send(&asker, Body::Ack(number));
        }
    }

    pub(super) fn sync(&mut self, now: Time) {
        if now < self.next_sync {
            return;
        }
        self.next_sync = now + self.settings.sync_period.get();
        if let Some(peer) = self.pick(|member| member.state == State::Alive) {
            let buckets = self.table.buckets();
            self.send(&peer, Body::Sync(buckets));
        }
    }

    pub(super) fn on_sync(&mut self, from: &VmId, theirs: &[u64; BUCKETS]) {
        let ours = self.table.buckets();
        let differ = std::array::from_fn(|bucket| ours[bucket] != theirs[bucket]);
        let first = self.rng.random_range(0..BUCKETS);
        let updates = self.table.updates(&differ, first, TABLE_LIMIT);
        if !updates.is_empty() {
            self.send_with(from, Body::Table, updates);
        }
    }

    /// Sends back what this node knows better than a table it was sent.
    pub(super) fn answer_table(&mut self, from: &VmId, theirs: &[Update]) {
        let better: Vec<Update> = theirs
            .iter()
            .filter_map(|update| {
                let member = self.table.get(&update.vm)?;
                let newer = (member.life, member.state) > (update.life, update.state);
                newer.then(|| member.update(&update.vm))
            })
            .collect();
        if !better.is_empty() {
            self.send_with(from, Body::Table, better);
        }
    }

    /// After a pause of this node nobody else is to blame for the silence.
    pub(super) fn on_pause(&mut self, now: Time) {
        let period = self.settings.period.get();
        if now.since(self.last_tick) > period * 2 {
            self.watch.extend(now + period + self.settings.margin.get());
        }
        self.last_tick = now;
    }

    fn pick<F>(&mut self, fits: F) -> Option<VmId>
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
