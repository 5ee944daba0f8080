//! Decides which node owns each upstream.
//!
//! The owner is chosen by rendezvous hashing among the members of the upstream's
//! data centre, else of its region, else among all. A member that joins or
//! leaves moves only its own upstreams. A new owner may use half of the limits
//! until the previous owner has released the upstream or the handover time has
//! passed, so that two concurrent owners together stay within the limits.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::id::{DataCentreId, RegionId, UpstreamId, VmId};
use crate::rendezvous::Salt;
use crate::time::Time;
use crate::units::Span;

const SALT: Salt = Salt::new(0x6f77_6e65);

/// The location of an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The region of the data centre.
    pub region: RegionId,
}

/// How much of an upstream's limits this node may use as its owner.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Share {
    /// Nothing, because this node does not own it.
    None,
    /// Half, because the previous owner may still use the other half.
    Half,
    /// The full limits.
    Full,
}

/// A change of an upstream's owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OwnerChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The previous owner, if any.
    pub from: Option<VmId>,
    /// The new owner, if any.
    pub to: Option<VmId>,
}

#[derive(Debug, Clone)]
struct Entry {
    site: Site,
    scope: Scope,
    owner: Option<(u64, VmId)>,
    handover_until: Time,
}

/// The set of members that the owner was chosen from; the nearest non-empty set is used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    DataCentre,
    Region,
    All,
}

/// The owners of all upstreams, as computed by one node.
#[derive(Debug, Clone)]
pub struct Ownership {
    me: VmId,
    handover: Span,
    regions: BTreeMap<DataCentreId, RegionId>,
    members: BTreeMap<DataCentreId, BTreeSet<VmId>>,
    upstreams: BTreeMap<UpstreamId, Entry>,
}

impl Ownership {
    /// An empty state, without upstreams and members.
    ///
    /// `handover` is how long a new owner is limited to half the share if the
    /// previous one does not release the upstream. It must be at least the
    /// longest lease of a permit.
    #[must_use]
    pub const fn new(me: VmId, handover: Span) -> Self {
        Self {
            me,
            handover,
            regions: BTreeMap::new(),
            members: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        }
    }

    /// Replaces the upstreams and the regions of data centres with those of a new revision.
    pub fn set_upstreams<U, R>(&mut self, upstreams: U, regions: R, now: Time) -> Vec<OwnerChange>
    where
        U: IntoIterator<Item = (UpstreamId, Site)>,
        R: IntoIterator<Item = (DataCentreId, RegionId)>,
    {
        self.regions = regions.into_iter().collect();
        let mut old = std::mem::take(&mut self.upstreams);
        let mut changes = Vec::new();
        for (upstream, site) in upstreams {
            let kept = old.remove(&upstream);
            let from = kept.as_ref().and_then(owner_name);
            let handover_until = kept
                .as_ref()
                .map_or(Time::ZERO, |entry| entry.handover_until);
            let (scope, owner) = self.elect(&upstream, &site);
            let mut entry = Entry {
                site,
                scope,
                owner,
                handover_until,
            };
            let to = owner_name(&entry);
            if from != to {
                entry.handover_until = now + self.handover.get();
                let upstream = upstream.clone();
                changes.push(OwnerChange { upstream, from, to });
            }
            self.upstreams.insert(upstream, entry);
        }
        let ended = old.into_iter().filter_map(|(upstream, entry)| {
            let from = Some(owner_name(&entry)?);
            let to = None;
            Some(OwnerChange { upstream, from, to })
        });
        changes.extend(ended);
        changes
    }

    /// Replaces the members that may own upstreams.
    ///
    /// Recomputes only upstreams whose owner has left or that a new member wins.
    pub fn set_members<'a, M>(&mut self, members: M, now: Time) -> Vec<OwnerChange>
    where
        M: IntoIterator<Item = (&'a VmId, &'a DataCentreId)>,
    {
        let mut new = BTreeMap::<DataCentreId, BTreeSet<VmId>>::new();
        for (vm, data_centre) in members {
            let names = new.entry(data_centre.clone()).or_default();
            names.insert(vm.clone());
        }
        let joined = difference(&new, &self.members);
        let left: BTreeSet<VmId> = difference(&self.members, &new)
            .into_iter()
            .map(|(vm, _)| vm)
            .collect();
        self.members = new;
        if joined.is_empty() && left.is_empty() {
            return Vec::new();
        }
        let mut upstreams = std::mem::take(&mut self.upstreams);
        let mut changes = Vec::new();
        for (upstream, entry) in &mut upstreams {
            let lost = match &entry.owner {
                Some((_, vm)) => left.contains(vm),
                None => !joined.is_empty(),
            };
            if lost || self.is_outranked(upstream, entry, &joined) {
                changes.extend(self.reelect(upstream, entry, now));
            }
        }
        self.upstreams = upstreams;
        changes
    }

    /// The owner of `upstream`.
    #[must_use]
    pub fn owner(&self, upstream: &UpstreamId) -> Option<&VmId> {
        let entry = self.upstreams.get(upstream)?;
        entry.owner.as_ref().map(|(_, vm)| vm)
    }

    /// Whether any upstream has an owner; also true without upstreams.
    #[must_use]
    pub fn has_owners(&self) -> bool {
        let owned = self.upstreams.values().any(|entry| entry.owner.is_some());
        owned || self.upstreams.is_empty()
    }

    /// How much of `upstream` this node may use as its owner.
    #[must_use]
    pub fn share(&self, upstream: &UpstreamId, now: Time) -> Share {
        match self.upstreams.get(upstream) {
            Some(entry) if owner_name(entry).as_ref() == Some(&self.me) => {
                if now < entry.handover_until {
                    Share::Half
                } else {
                    Share::Full
                }
            }
            _ => Share::None,
        }
    }

    /// Ends the handover of `upstream` after the previous owner released it: all its permits
    /// have ended or were reported to this node.
    pub fn on_released(&mut self, upstream: &UpstreamId, now: Time) {
        if let Some(entry) = self.upstreams.get_mut(upstream) {
            entry.handover_until = entry.handover_until.min(now);
        }
    }

    /// The upstreams that this node owns.
    pub fn owned(&self) -> impl Iterator<Item = &UpstreamId> {
        self.upstreams
            .iter()
            .filter(|(_, entry)| entry.owner.as_ref().is_some_and(|(_, vm)| *vm == self.me))
            .map(|(upstream, _)| upstream)
    }

    fn elect(&self, upstream: &UpstreamId, site: &Site) -> (Scope, Option<(u64, VmId)>) {
        let near = self.members.get(&site.data_centre).into_iter().flatten();
        if let Some(best) = best(upstream, near) {
            return (Scope::DataCentre, Some(best));
        }
        let region = self
            .members
            .iter()
            .filter(|(data_centre, _)| self.regions.get(*data_centre) == Some(&site.region))
            .flat_map(|(_, names)| names);
        if let Some(best) = best(upstream, region) {
            return (Scope::Region, Some(best));
        }
        (Scope::All, best(upstream, self.members.values().flatten()))
    }

    /// Whether a new member outranks the owner of `upstream`.
    fn is_outranked(
        &self,
        upstream: &UpstreamId,
        entry: &Entry,
        joined: &[(VmId, DataCentreId)],
    ) -> bool {
        let Some((score, owner)) = &entry.owner else {
            return false;
        };
        joined.iter().any(|(vm, data_centre)| {
            let candidate = self.scope_of(&entry.site, data_centre);
            candidate < entry.scope
                || (candidate == entry.scope
                    && (SALT.score(upstream.as_str(), vm.as_str()), vm) > (*score, owner))
        })
    }

    fn scope_of(&self, site: &Site, data_centre: &DataCentreId) -> Scope {
        if *data_centre == site.data_centre {
            Scope::DataCentre
        } else if self.regions.get(data_centre) == Some(&site.region) {
            Scope::Region
        } else {
            Scope::All
        }
    }

    fn reelect(&self, upstream: &UpstreamId, entry: &mut Entry, now: Time) -> Option<OwnerChange> {
        let from = owner_name(entry);
        (entry.scope, entry.owner) = self.elect(upstream, &entry.site);
        let to = owner_name(entry);
        if from == to {
            return None;
        }
        entry.handover_until = now + self.handover.get();
        let upstream = upstream.clone();
        Some(OwnerChange { upstream, from, to })
    }
}

fn owner_name(entry: &Entry) -> Option<VmId> {
    entry.owner.as_ref().map(|(_, vm)| vm.clone())
}

fn best<'a, I>(upstream: &UpstreamId, names: I) -> Option<(u64, VmId)>
where
    I: Iterator<Item = &'a VmId>,
{
    names
        .map(|vm| (SALT.score(upstream.as_str(), vm.as_str()), vm))
        .max()
        .map(|(score, vm)| (score, vm.clone()))
}

fn difference(
    of: &BTreeMap<DataCentreId, BTreeSet<VmId>>,
    without: &BTreeMap<DataCentreId, BTreeSet<VmId>>,
) -> Vec<(VmId, DataCentreId)> {
    let mut found = Vec::new();
    for (data_centre, names) in of {
        let others = without.get(data_centre);
        for vm in names {
            if !others.is_some_and(|others| others.contains(vm)) {
                found.push((vm.clone(), data_centre.clone()));
            }
        }
    }
    found
}
