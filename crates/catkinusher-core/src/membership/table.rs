//! The table of members: what this node believes of each.

use std::collections::BTreeMap;

use super::message::{BUCKETS, Life, Location, State, Update};
use crate::id::VmId;
use crate::rendezvous::Salt;
use crate::time::Time;

/// The rings on which members watch each other: one within the data centre, two over all.
pub(super) const RINGS: usize = 3;

/// The salt of the bucket hashes; the rings take the salts before it.
const BUCKET_SALT: Salt = Salt::new(RINGS as u64);

/// What the VM list last said of a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listing {
    /// It is live.
    Live,
    /// It is leaving.
    Leaving,
    /// It has not been on the list yet.
    Unlisted,
    /// It was on the list and is not any more.
    Dropped,
}

/// What this node believes of one member.
#[derive(Debug, Clone)]
pub struct Member {
    /// Where it is.
    pub location: Location,
    /// The newest life heard of.
    pub life: Life,
    /// How it fares.
    pub state: State,
    /// Since when it fares so.
    pub since: Time,
    /// Whether it may own upstreams.
    pub owner: bool,
    pub(super) listing: Listing,
    pub(super) hold_until: Time,
    pub(super) losses: u32,
    pub(super) keys: [u64; RINGS],
    pub(super) bucket: usize,
}

impl Member {
    pub(super) fn new(vm: &VmId, location: Location, life: Life, now: Time) -> Self {
        Self {
            location,
            life,
            state: State::Alive,
            since: now,
            owner: false,
            listing: Listing::Unlisted,
            hold_until: now,
            losses: 0,
            keys: std::array::from_fn(|ring| Salt::new(ring as u64).score("ring", vm.as_str())),
            bucket: (BUCKET_SALT.score("bucket", vm.as_str()) % BUCKETS as u64) as usize,
        }
    }

    /// Whether it may own upstreams as soon as its hold is over.
    pub(super) fn eligible(&self) -> bool {
        self.state == State::Alive && self.listing != Listing::Leaving
    }

    /// Whether it has vanished without a word, or seems to have.
    pub(super) const fn missing(&self) -> bool {
        matches!(self.state, State::Suspect | State::Gone)
    }

    pub(super) fn update(&self, vm: &VmId) -> Update {
        let alive = self.state == State::Alive && self.life != Life::UNKNOWN;
        Update {
            vm: vm.clone(),
            life: self.life,
            state: self.state,
            location: alive.then(|| self.location.clone()),
        }
    }

    fn hash(&self, vm: &VmId) -> u64 {
        let word = format!("{}/{:?}", self.life, self.state);
        BUCKET_SALT.score(vm.as_str(), &word)
    }
}

/// All members by name, this node included.
#[derive(Debug, Clone, Default)]
pub(super) struct Table {
    pub members: BTreeMap<VmId, Member>,
}

impl Table {
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// The hash of what is believed of each bucket of members.
    pub fn buckets(&self) -> [u64; BUCKETS] {
        let mut buckets = [0; BUCKETS];
        for (vm, member) in &self.members {
            buckets[member.bucket] ^= member.hash(vm);
        }
        buckets
    }

    /// What is believed of the members of these buckets, from the bucket `first` on.
    ///
    /// Buckets go whole, so that they agree afterwards; none is added once there
    /// are `limit` updates.
    pub fn updates(&self, wanted: &[bool; BUCKETS], first: usize, limit: usize) -> Vec<Update> {
        let mut updates = Vec::new();
        let order = (0..BUCKETS).map(|step| (first + step) % BUCKETS);
        for bucket in order.filter(|bucket| wanted[*bucket]) {
            if updates.len() >= limit {
                break;
            }
            let members = self.members.iter().filter(|(_, m)| m.bucket == bucket);
            updates.extend(members.map(|(vm, member)| member.update(vm)));
        }
        updates
    }

    /// The members after `me` on each ring: it sends them its heartbeats.
    pub fn successors(&self, me: &VmId) -> Vec<VmId> {
        self.neighbours(me, |from, to| to.wrapping_sub(from))
    }

    /// The members before `me` on each ring: it watches them.
    pub fn predecessors(&self, me: &VmId) -> Vec<VmId> {
        self.neighbours(me, u64::wrapping_sub)
    }

    fn neighbours<F>(&self, me: &VmId, distance: F) -> Vec<VmId>
    where
        F: Fn(u64, u64) -> u64,
    {
        let Some(mine) = self.get(me) else {
            return Vec::new();
        };
        let mut found: Vec<VmId> = Vec::with_capacity(RINGS);
        for ring in 0..RINGS {
            let near = |member: &Member| {
                ring > 0 || member.location.data_centre == mine.location.data_centre
            };
            let next = self
                .members
                .iter()
                .filter(|(vm, member)| *vm != me && member.state.is_reachable() && near(member))
                .min_by_key(|(_, member)| distance(mine.keys[ring], member.keys[ring]));
            if let Some((vm, _)) = next
                && !found.contains(vm)
            {
                found.push(vm.clone());
            }
        }
        found
    }
}
