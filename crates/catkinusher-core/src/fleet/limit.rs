//! The limits that upstreams name in their answers: the requests a second that they take from all nodes together.
//!
//! No node sees what all others send. The node that places the requests of a
//! cell does, as each of them asks it, so it keeps to the limit for all. Nodes
//! pass on to it what the answers name; what was observed last counts, whether
//! it is a limit or that there is none
//! (see [docs/design/large.md](../../../../docs/design/large.md)).

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Authority, Fleet, MIN_ASSUMED_NODES};
use crate::id::UpstreamId;
use crate::time::Time;
use crate::units::{self, Rate};

/// The fraction of a limit, and the requests a second on top of it, that a node uses at most
/// which places for others.
///
/// Two that do so at the same time, for example because nodes disagree on which
/// one is alive, stay within what is tolerated: one and a half times the limit
/// and five requests, over four seconds.
const SHARED_FRACTION: f64 = 0.7;
const SHARED_EXTRA: f64 = 0.3;

/// The fraction of a limit that all nodes together use which place alone.
const OWN_FRACTION: f64 = 0.25;

/// How much earlier than evenly spaced a request may be sent.
const BURST_TIME: Duration = Duration::from_millis(250);

/// The time within which a node that places alone must have a whole request of its share.
const OWN_WINDOW: Duration = Duration::from_secs(4);

/// The least rate that is used, so that some answer shows when a limit has ended.
const MIN_RATE: f64 = 0.25;

/// What an answer of an upstream showed about its limit.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
#[serde(into = "Row", from = "Row")]
pub struct LimitReport {
    /// The short id of the upstream.
    pub upstream: u32,
    /// The limit, or `None` if the answer named none.
    pub limit: Option<Rate>,
    /// How long ago the answer arrived.
    pub age: Duration,
}

/// The fields of a [`LimitReport`] in order; the limit in requests a second, the age in milliseconds.
type Row = (u32, Option<f64>, u64);

impl From<LimitReport> for Row {
    fn from(report: LimitReport) -> Self {
        let age = report.age.as_millis() as u64;
        (report.upstream, report.limit.map(Rate::get), age)
    }
}

impl From<Row> for LimitReport {
    fn from((upstream, limit, age): Row) -> Self {
        Self {
            upstream,
            limit: limit.map(Rate::per_second),
            age: Duration::from_millis(age),
        }
    }
}

/// What is known of the limit of one upstream, and the requests sent within it.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(super) struct NamedLimit {
    limit: Option<Rate>,
    observed_at: Time,
    /// What the last answer to this node showed, if other nodes should know of it.
    own: Option<(Option<Rate>, Time)>,
    /// Whether a placing node believes in a limit, so that an answer without one is news to it.
    believed: bool,
    /// When the next request is due if they are spaced evenly.
    next_shared: Time,
    /// When this node may send the next one if it places alone.
    next_own: Time,
}

impl NamedLimit {
    pub(super) const fn is_set(&self) -> bool {
        self.limit.is_some()
    }

    fn observe(&mut self, limit: Option<Rate>, at: Time) {
        if at >= self.observed_at {
            self.limit = limit;
            self.observed_at = at;
        }
    }

    fn interval(rate: f64) -> Duration {
        units::seconds(1.0 / rate)
    }

    fn shared_interval(limit: Rate) -> Duration {
        let limit = limit.get().max(MIN_RATE);
        Self::interval(limit.min(limit * SHARED_FRACTION + SHARED_EXTRA))
    }

    /// The time until another request may be sent, or `None` if a node alone may send none.
    pub(super) fn wait(&self, authority: Authority, nodes: usize, now: Time) -> Option<Duration> {
        let Some(limit) = self.limit else {
            return Some(Duration::ZERO);
        };
        match authority {
            Authority::Shared => Some(self.next_shared.since(now + BURST_TIME)),
            Authority::Own => {
                let is_enough = Self::own_rate(limit, nodes) * OWN_WINDOW.as_secs_f64() >= 1.0;
                is_enough.then(|| self.next_own.since(now))
            }
        }
    }

    /// Records that a request is sent by this node or by one for which it places.
    pub(super) fn on_send(&mut self, nodes: usize, now: Time) {
        let Some(limit) = self.limit else {
            return;
        };
        self.next_shared = self.next_shared.max(now) + Self::shared_interval(limit);
        self.next_own = now + Self::interval(Self::own_rate(limit, nodes));
    }

    /// The rate of a node that places alone, as all others may do the same.
    fn own_rate(limit: Rate, nodes: usize) -> f64 {
        limit.get().max(MIN_RATE) * OWN_FRACTION / nodes.max(MIN_ASSUMED_NODES) as f64
    }
}

impl Fleet {
    /// Records the limit that an answer to this node named, if any, and tells whether other nodes should know.
    pub fn on_limit(&mut self, id: &UpstreamId, limit: Option<Rate>, now: Time) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let state = &mut entry.limit;
        let is_news = limit.is_some() || state.is_set() || state.believed;
        state.observe(limit, now);
        state.believed = false;
        if is_news {
            state.own = Some((limit, now));
        }
        is_news
    }

    /// Records that the node that places requests believes in a limit of an upstream.
    pub fn on_limit_believed(&mut self, id: &UpstreamId) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.limit.believed = true;
        }
    }

    /// Records what an answer to another node showed.
    pub fn on_limit_report(&mut self, report: &LimitReport, now: Time) {
        let at = Time::from_micros(
            now.as_micros()
                .saturating_sub(report.age.as_micros() as u64),
        );
        if let Some(entry) = self.entry_by_short_id_mut(report.upstream) {
            entry.limit.observe(report.limit, at);
        }
    }

    /// What answers to this node showed about the limits of a cell's upstreams, and when.
    #[must_use]
    pub fn limit_reports(&self, cell: &super::Cell, now: Time) -> Vec<(Time, LimitReport)> {
        self.entries
            .values()
            .filter(|entry| entry.limit.own.is_some() && self.cell(entry) == *cell)
            .filter_map(|entry| {
                let (limit, at) = entry.limit.own?;
                let report = LimitReport {
                    upstream: super::place::short_id(entry.rank),
                    limit,
                    age: now.since(at),
                };
                Some((at, report))
            })
            .collect()
    }

    /// The limit that an upstream is believed to have.
    #[must_use]
    pub fn named_limit(&self, id: &UpstreamId) -> Option<Rate> {
        self.entries.get(id)?.limit.limit
    }
}
