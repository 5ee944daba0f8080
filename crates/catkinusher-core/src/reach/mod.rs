//! Whether a node reaches upstreams at all, or is itself cut off from them.
//!
//! If no connection to any of several upstreams can be opened, the link of the node is at fault
//! rather than all of them. Only new connections count: open ones may live on behind a cut, and
//! may end for many reasons (see
//! [docs/incidents/stranded-nodes.md](../../../../docs/incidents/stranded-nodes.md)).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::time::Time;

/// The number of upstreams that must be unreachable, if there are as many; one or two may be down.
const MIN_UNREACHABLE: usize = 3;

/// How long a failure to open a connection counts.
const FAILURE_LIFE: Duration = Duration::from_secs(5);

/// The least time between two rounds of probes.
pub const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// The results of a node's recent attempts to open connections to upstreams.
#[derive(Debug, Clone, Default)]
pub struct Reach {
    /// The upstreams to which no connection could be opened since the last one that was.
    unreachable: BTreeMap<SocketAddr, Time>,
    /// When the last attempt that succeeded began.
    connected_at: Option<Time>,
    is_cut: bool,
    probe_at: Time,
}

impl Reach {
    /// Whether the node reaches no upstream.
    #[must_use]
    pub const fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Whether an upstream was unreachable and none has been reached since, so that the node may be
    /// cut off.
    #[must_use]
    pub fn is_doubtful(&self, now: Time) -> bool {
        let is_recent = |at: &Time| now.since(*at) < FAILURE_LIFE;
        self.is_cut || self.unreachable.values().any(is_recent)
    }

    /// Whether this upstream is one that could not be reached.
    #[must_use]
    pub fn is_unreachable(&self, address: SocketAddr) -> bool {
        self.unreachable.contains_key(&address)
    }

    /// Records a connection that was opened by an attempt of `began`, and returns whether it shows
    /// that the node is no longer cut off.
    pub fn on_connected(&mut self, began: Time) -> bool {
        self.connected_at = self.connected_at.max(Some(began));
        self.unreachable.retain(|_, failed| *failed > began);
        std::mem::take(&mut self.is_cut)
    }

    /// Records that an attempt of `began` opened no connection, at a node that knows `count`
    /// upstreams, and returns whether it shows that the node is cut off.
    pub fn on_unreachable(&mut self, address: SocketAddr, began: Time, count: usize) -> bool {
        if self.connected_at.is_some_and(|at| at > began) {
            return false;
        }
        self.unreachable
            .retain(|_, failed| began.since(*failed) < FAILURE_LIFE);
        self.unreachable.insert(address, began);
        let needed = MIN_UNREACHABLE.min(count.max(1));
        let was_cut = self.is_cut;
        self.is_cut |= self.unreachable.len() >= needed;
        self.is_cut && !was_cut
    }

    /// Whether connections to other upstreams should be tried now, to tell a cut from a fault of
    /// one upstream, and to notice the end of a cut.
    pub fn take_probe(&mut self, now: Time) -> bool {
        let is_due = self.is_doubtful(now) && now >= self.probe_at;
        if is_due {
            self.probe_at = now + PROBE_INTERVAL;
        }
        is_due
    }
}
