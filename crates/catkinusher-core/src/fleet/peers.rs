//! The loads that other nodes put on upstreams: what they report, and what was granted to them.
//!
//! A node that places a request for another one counts it from that moment on.
//! The grant is dropped again when a report of that node covers it, or when the
//! node does not use it in time, for example because the answer was lost.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::load::{Cost, Load, WorkKind};
use super::{Entry, Fleet, Placement};
use crate::id::UpstreamId;
use crate::time::Time;

/// How long a peer's loads are used after its last report, a few report intervals.
const PEER_LOAD_TTL: Duration = super::spread::INFORMATION_TTL;

/// How long the counters of a peer without load are kept, to find what was added to them since.
const COUNTERS_TTL: Duration = Duration::from_mins(1);

/// How long a grant counts without a report that covers it; an answer that is
/// older when it arrives must not be used.
pub const GRANT_TTL: Duration = Duration::from_millis(400);

/// The key of reported loads among the pending parts of an upstream; grants count from 1.
const REPORTED: u64 = 0;

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Grant {
    number: u64,
    granted_at: Time,
    parts: Vec<(UpstreamId, u32, Cost)>,
}

/// What is known of the loads of one peer.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct PeerLoads {
    received_at: Time,
    /// By the short ids of the upstreams.
    loads: HashMap<u32, Load>,
    grants: VecDeque<Grant>,
    last_grant: u64,
    /// Prefill times of grants that are in the backlogs already, and not yet in a report.
    credits: HashMap<u32, u64>,
}

impl PeerLoads {
    fn new(now: Time) -> Self {
        Self {
            received_at: now,
            loads: HashMap::new(),
            grants: VecDeque::new(),
            last_grant: 0,
            credits: HashMap::new(),
        }
    }

    pub(super) const fn received_at(&self) -> Time {
        self.received_at
    }
}

impl Entry {
    fn replace_peer_load(&mut self, peer: u64, old: &Load, new: &Load) {
        self.peer_load.subtract(old);
        self.peer_load.merge(new);
        self.set_pending_part((peer, REPORTED), new.min_pending_prefill_ms);
    }

    fn add_grant(&mut self, peer: u64, number: u64, cost: &Cost) {
        self.peer_load.add(cost);
        if cost.kind != WorkKind::Short {
            let prefill_ms = (cost.prefill_time.as_millis() as u64).max(1);
            self.set_pending_part((peer, number), prefill_ms);
        }
    }

    fn remove_grant(&mut self, peer: u64, number: u64, cost: &Cost) {
        self.peer_load.on_prefill_done(cost);
        self.peer_load.remove(cost);
        self.set_pending_part((peer, number), 0);
    }

    fn set_pending_part(&mut self, key: (u64, u64), prefill_ms: u64) {
        if prefill_ms == 0 {
            self.pending_parts.remove(&key);
        } else {
            self.pending_parts.insert(key, prefill_ms);
        }
    }
}

impl Fleet {
    /// Applies a peer's load report: all of its active loads if `whole` is set, else those that changed.
    ///
    /// The report covers the grants to this peer up to the number `granted`.
    pub fn on_loads(
        &mut self,
        peer: u64,
        loads: HashMap<u32, Load>,
        whole: bool,
        granted: u64,
        now: Time,
    ) {
        self.expire_peers(now);
        if whole {
            self.end_missing(peer, &loads);
        }
        let mut state = self
            .peers
            .remove(&peer)
            .unwrap_or_else(|| PeerLoads::new(now));
        state.received_at = now;
        self.reported_at = Some(now);
        while state
            .grants
            .front()
            .is_some_and(|grant| grant.number <= granted)
        {
            if let Some(grant) = state.grants.pop_front() {
                self.undo_grant(peer, &grant);
            }
        }
        for (id, load) in loads {
            // A new peer has only its pending prefill in the backlog; the rest of its total is done.
            let known = state.loads.get(&id).copied().unwrap_or(Load {
                total_prefill_ms: load
                    .total_prefill_ms
                    .saturating_sub(load.pending_prefill_ms),
                ..Load::default()
            });
            let added = load.total_prefill_ms.saturating_sub(known.total_prefill_ms);
            let credit = state.credits.entry(id).or_default();
            let covered = added.min(*credit);
            *credit -= covered;
            if *credit == 0 {
                state.credits.remove(&id);
            }
            if let Some(entry) = self.entry_by_short_id_mut(id) {
                entry.backlog.add(added - covered, now);
                let succeeded = load.succeeded.saturating_sub(known.succeeded);
                let failed = load.failed.saturating_sub(known.failed);
                entry.health.on_outcomes(succeeded, failed, now);
                entry.replace_peer_load(peer, &known, &load);
            }
            state.loads.insert(id, load);
        }
        self.peers.insert(peer, state);
    }

    /// Records that this node placed a request for a peer, and returns the number of the grant.
    pub fn grant(&mut self, peer: u64, placement: &Placement, now: Time) -> u64 {
        self.expire_peers(now);
        let nodes = self.node_count(now);
        let mut state = self
            .peers
            .remove(&peer)
            .unwrap_or_else(|| PeerLoads::new(now));
        state.last_grant += 1;
        let number = state.last_grant;
        let primary = (&placement.primary, placement.cost);
        let helpers = placement.helpers.iter().map(|(id, cost)| (id, *cost));
        let mut parts = Vec::with_capacity(placement.helpers.len() + 1);
        for (id, cost) in helpers.chain([primary]) {
            let Some(entry) = self.entries.get_mut(id) else {
                continue;
            };
            let prefill_ms = cost.prefill_time.as_millis() as u64;
            entry.add_grant(peer, number, &cost);
            entry.backlog.add(prefill_ms, now);
            entry.on_send(&cost, nodes, now);
            let short_id = super::place::short_id(entry.rank);
            *state.credits.entry(short_id).or_default() += prefill_ms;
            parts.push((id.clone(), short_id, cost));
        }
        state.grants.push_back(Grant {
            number,
            granted_at: now,
            parts,
        });
        self.peers.insert(peer, state);
        number
    }

    /// Drops the loads of a peer whose process has ended.
    pub fn forget_peer(&mut self, peer: u64) {
        let Some(state) = self.peers.remove(&peer) else {
            return;
        };
        for grant in &state.grants {
            self.undo_grant(peer, grant);
        }
        for (id, load) in &state.loads {
            self.replace_peer_load(peer, *id, load, &Load::default());
        }
    }

    /// Drops the loads of peers that no longer report, and grants that were not used.
    pub(super) fn expire_peers(&mut self, now: Time) {
        let silent: Vec<(u64, Duration)> = self
            .peers
            .iter()
            .map(|(peer, state)| (*peer, now.since(state.received_at)))
            .filter(|(_, age)| *age >= PEER_LOAD_TTL)
            .collect();
        for (peer, age) in silent {
            if age >= COUNTERS_TTL {
                self.forget_peer(peer);
            } else {
                self.end_missing(peer, &HashMap::new());
            }
        }
        let mut unused = Vec::new();
        for (peer, state) in &mut self.peers {
            while let Some(grant) = state
                .grants
                .pop_front_if(|grant| now.since(grant.granted_at) >= GRANT_TTL)
            {
                for (_, short_id, cost) in &grant.parts {
                    if let Some(credit) = state.credits.get_mut(short_id) {
                        *credit = credit.saturating_sub(cost.prefill_time.as_millis() as u64);
                    }
                }
                unused.push((*peer, grant));
            }
        }
        for (peer, grant) in unused {
            self.undo_grant(peer, &grant);
        }
    }

    /// Ends the loads of a peer that are not among `present`.
    fn end_missing(&mut self, peer: u64, present: &HashMap<u32, Load>) {
        let Some(state) = self.peers.get_mut(&peer) else {
            return;
        };
        let mut ended = Vec::new();
        for (id, load) in &mut state.loads {
            if !load.is_idle() && !present.contains_key(id) {
                let idle = load.idle();
                ended.push((*id, std::mem::replace(load, idle), idle));
            }
        }
        for (id, old, idle) in ended {
            self.replace_peer_load(peer, id, &old, &idle);
        }
    }

    /// The number of nodes that reported recently, including this one.
    #[must_use]
    pub fn live_nodes(&self, now: Time) -> usize {
        let is_live = |state: &&PeerLoads| now.since(state.received_at) < PEER_LOAD_TTL;
        1 + self.peers.values().filter(is_live).count()
    }

    /// The sum of what all peers reported for an upstream.
    pub(super) fn sum_peer_loads(&self, entry: &mut Entry) {
        let short_id = super::place::short_id(entry.rank);
        for (peer, state) in &self.peers {
            if let Some(load) = state.loads.get(&short_id) {
                entry.replace_peer_load(*peer, &Load::default(), load);
            }
        }
    }

    fn undo_grant(&mut self, peer: u64, grant: &Grant) {
        for (id, _, cost) in &grant.parts {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.remove_grant(peer, grant.number, cost);
            }
        }
    }

    fn replace_peer_load(&mut self, peer: u64, short_id: u32, old: &Load, new: &Load) {
        if let Some(entry) = self.entry_by_short_id_mut(short_id) {
            entry.replace_peer_load(peer, old, new);
        }
    }

    pub(super) fn entry_by_short_id_mut(&mut self, short_id: u32) -> Option<&mut Entry> {
        let id = self.short_ids.get(&short_id)?;
        self.entries.get_mut(id)
    }
}
