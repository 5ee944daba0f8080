//! The member table: the state of each member as this node knows it.

use std::collections::BTreeMap;

use super::message::{BUCKETS, Life, Location, State, Update};
use crate::id::VmId;
use crate::rendezvous::Salt;
use crate::time::Time;

/// The number of heartbeat rings: one within the data centre and two over the whole fleet.
///
/// Each ring orders the members by another hash of their names; ring 0 is the one within
/// the data centre.
pub(super) const RINGS: usize = 3;

/// The salt of the bucket hashes; the rings use the lower salts.
const BUCKET_SALT: Salt = Salt::new(RINGS as u64);

/// A member's status on the VM list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Listing {
    /// It is listed as live.
    Live,
    /// It is listed as leaving.
    Leaving,
    /// It has not been on the list yet.
    Unlisted,
    /// It was on an earlier list but not on the last one.
    Dropped,
}

/// One member as this node knows it.
#[derive(Debug, Clone)]
pub struct Member {
    /// Where it is.
    pub location: Location,
    /// Its newest known life.
    pub life: Life,
    /// Its state in that life.
    pub state: State,
    /// When it entered that state.
    pub since: Time,
    /// Whether it may own upstreams.
    pub owner: bool,
    pub(super) listing: Listing,
    /// When it may become an owner, if it is eligible; [`Time::NEVER`] for a member
    /// that was not on the first VM list and has not been reported alive yet.
    pub(super) hold_until: Time,
    /// How often it lost its ownership while missing; each time doubles its next hold.
    pub(super) losses: u32,
    /// Its position on each ring.
    pub(super) ring_keys: [u64; RINGS],
    /// The bucket in whose hash its state is included when tables are compared.
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
            ring_keys: std::array::from_fn(|ring| {
                Salt::new(ring as u64).score("ring", vm.as_str())
            }),
            bucket: (BUCKET_SALT.score("bucket", vm.as_str()) % BUCKETS as u64) as usize,
        }
    }

    /// Whether it may own upstreams once its hold is over.
    pub(super) fn is_eligible(&self) -> bool {
        self.state == State::Alive && self.listing != Listing::Leaving
    }

    /// Whether it is unreachable without having left.
    pub(super) const fn is_missing(&self) -> bool {
        matches!(self.state, State::Suspect | State::Gone)
    }

    pub(super) fn to_update(&self, vm: &VmId) -> Update {
        let alive = self.state == State::Alive && self.life != Life::UNKNOWN;
        Update {
            vm: vm.clone(),
            life: self.life,
            state: self.state,
            location: alive.then(|| self.location.clone()),
        }
    }

    fn state_hash(&self, vm: &VmId) -> u64 {
        let text = format!("{}/{:?}", self.life, self.state);
        BUCKET_SALT.score(vm.as_str(), &text)
    }
}

/// All members by name, including this node.
#[derive(Debug, Clone, Default)]
pub(super) struct Table {
    pub members: BTreeMap<VmId, Member>,
}

impl Table {
    pub fn get(&self, vm: &VmId) -> Option<&Member> {
        self.members.get(vm)
    }

    /// The hash of the member states in each bucket.
    pub fn bucket_hashes(&self) -> [u64; BUCKETS] {
        let mut buckets = [0; BUCKETS];
        for (vm, member) in &self.members {
            buckets[member.bucket] ^= member.state_hash(vm);
        }
        buckets
    }

    /// The states of the members in the wanted buckets, starting with bucket `first`.
    ///
    /// Buckets are sent whole, so that their hashes agree afterwards. No bucket is
    /// added once there are `limit` updates.
    pub fn bucket_updates(
        &self,
        wanted: &[bool; BUCKETS],
        first: usize,
        limit: usize,
    ) -> Vec<Update> {
        let mut updates = Vec::new();
        let order = (0..BUCKETS).map(|step| (first + step) % BUCKETS);
        for bucket in order.filter(|bucket| wanted[*bucket]) {
            if updates.len() >= limit {
                break;
            }
            let members = self.members.iter().filter(|(_, m)| m.bucket == bucket);
            updates.extend(members.map(|(vm, member)| member.to_update(vm)));
        }
        updates
    }

    /// The next member after `me` on each ring, to which `me` sends heartbeats.
    pub fn successors(&self, me: &VmId) -> Vec<VmId> {
        self.neighbours(me, |from, to| to.wrapping_sub(from))
    }

    /// The member before `me` on each ring, which `me` monitors.
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
        let mut neighbours: Vec<VmId> = Vec::with_capacity(RINGS);
        for ring in 0..RINGS {
            let is_candidate = |member: &Member| {
                ring > 0 || member.location.data_centre == mine.location.data_centre
            };
            let next = self
                .members
                .iter()
                .filter(|(vm, member)| {
                    *vm != me && member.state.is_reachable() && is_candidate(member)
                })
                .min_by_key(|(_, member)| distance(mine.ring_keys[ring], member.ring_keys[ring]));
            if let Some((vm, _)) = next
                && !neighbours.contains(vm)
            {
                neighbours.push(vm.clone());
            }
        }
        neighbours
    }
}
