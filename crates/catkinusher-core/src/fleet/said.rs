//! The load that upstreams name in their answers.
//!
//! It covers the requests of all nodes at that moment, and costs no message. A node that places for
//! itself alone uses it where it is younger than what other nodes have reported.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::spread::{INFORMATION_TTL, Spread};
use super::{Authority, Demand, Entry, Fleet, Load};
use crate::id::{ServiceId, UpstreamId};
use crate::roster::Position;
use crate::time::Time;

/// The most requests that are counted of a named load, so that sums over all upstreams do not overflow.
const MAX_NAMED: u32 = 100_000;

/// The least number of nodes from which those that place alone spread their requests.
///
/// Fewer nodes overrun no upstream at the same moment, and callers are served better by the pools of a
/// node that places alone.
const MIN_NODES: usize = 32;

/// The load of an upstream as its answer names it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct NamedLoad {
    /// The requests that it runs.
    pub running: u32,
    /// The requests that wait at it.
    pub waiting: u32,
    /// The requests that it can run at the same time.
    pub slots: u32,
}

/// A named load without the requests of this node, which are known exactly.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Said {
    others: u32,
    slots: u32,
    at: Time,
}

impl Fleet {
    /// Records the load that an answer to this node named.
    pub fn on_named_load(&mut self, id: &UpstreamId, load: NamedLoad, now: Time) {
        if let Some(entry) = self.entries.get_mut(id) {
            let all = load.running.saturating_add(load.waiting).min(MAX_NAMED);
            entry.said = Some(Said {
                others: all.saturating_sub(entry.own_load.active_requests()),
                slots: load.slots,
                at: now,
            });
        }
    }

    /// Sets the position of this node among the registered ones.
    pub const fn on_position(&mut self, position: Position) {
        self.position = position;
    }

    /// The mean age of what the other nodes have reported; those that have not do not differ from
    /// nodes whose reports are too old.
    fn report_age(&self, now: Time) -> Duration {
        let ages = self
            .peers
            .values()
            .map(|peer| now.since(peer.received_at()));
        let ages: Vec<Duration> = ages.filter(|age| *age < INFORMATION_TTL).collect();
        let others = (self.position.count - 1).max(ages.len()) as u32;
        let missing = INFORMATION_TTL * (others - ages.len() as u32);
        match others {
            0 => INFORMATION_TTL,
            _ => (ages.iter().sum::<Duration>() + missing) / others,
        }
    }

    /// How this node takes its part of the load, if it and others place for themselves.
    pub(super) fn spread(&self, service: &ServiceId, demand: &Demand, now: Time) -> Option<Spread> {
        if demand.authority == Authority::Shared || self.position.count < MIN_NODES {
            return None;
        }
        let report_age = self.report_age(now);
        let ages: Vec<Duration> = self
            .entries
            .values()
            .filter(|entry| entry.upstream.service == *service)
            .map(|entry| entry.said.map_or(report_age, |said| now.since(said.at)))
            .map(|age| age.min(report_age))
            .collect();
        let age = ages.iter().sum::<Duration>() / ages.len().max(1) as u32;
        let sends = self.sends.get(service).cloned().unwrap_or_default();
        Some(Spread::new(self.position, &sends, age, now))
    }

    /// The loads and slots of upstreams as this node knows them.
    ///
    /// If no node reports, an upstream that has named no load has the mean of those that have, so
    /// that it does not seem idle beside them.
    pub(super) fn known_loads(
        &self,
        entries: &[&Entry],
        authority: Authority,
        now: Time,
    ) -> Vec<(Load, u32)> {
        let report_age = match authority {
            Authority::Shared => Duration::ZERO,
            Authority::Own => self.report_age(now),
        };
        let said = |entry: &Entry| entry.said.filter(|said| now.since(said.at) < report_age);
        let named = entries
            .iter()
            .filter_map(|entry| Some((said(entry)?, *entry)));
        let (others, slots) = named.fold((0.0, 0.0), |(others, slots), (said, entry)| {
            let own_slots = f64::from(entry.upstream.slots);
            (others + f64::from(said.others), slots + own_slots)
        });
        let mean = others / f64::max(slots, 1.0);
        let no_reports = report_age >= INFORMATION_TTL;
        let known = |entry: &Entry| {
            let mut load = self.total_load(entry, now);
            let mut slots = entry.upstream.slots;
            let mut others = None;
            if let Some(said) = said(entry) {
                others = Some(said.others);
                slots = if said.slots > 0 {
                    slots.min(said.slots)
                } else {
                    slots
                };
            } else if no_reports {
                // The busiest upstreams answer most, so their mean must not make the others seem full.
                let open_slots = slots.saturating_sub(entry.own_load.active_requests() + 1);
                others = Some(((mean * f64::from(slots)).round() as u32).min(open_slots));
            }
            if let Some(others) = others {
                let all = entry.own_load.active_requests().saturating_add(others);
                load.short_requests = all.saturating_sub(load.long_requests);
            }
            (load, slots)
        };
        entries.iter().map(|entry| known(entry)).collect()
    }
}
