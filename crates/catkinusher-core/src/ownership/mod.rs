//! Which node owns each upstream.
//!
//! The owner is the best of the members by rendezvous hashing: of the
//! upstream's data centre, else of its region, else of all. A member that joins
//! or leaves moves only its own share. A new owner starts with half the share
//! until the one before has let go or a quiet time has passed, so that two
//! owners at once stay under the limit in sum.

use std::collections::{BTreeMap, BTreeSet};

use serde::Serialize;

use crate::id::{DataCentreId, RegionId, UpstreamId, VmId};
use crate::rendezvous::Salt;
use crate::time::Time;
use crate::units::Span;

const SALT: Salt = Salt::new(0x6f77_6e65);

/// Where an upstream stands.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Site {
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The region of the data centre.
    pub region: RegionId,
}

/// How much of what an upstream bears its owner may use.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Share {
    /// Nothing, since another node owns it.
    None,
    /// Half, since the owner before may still use the other half.
    Half,
    /// All of it.
    Full,
}

/// An upstream whose owner has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct OwnerChange {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The owner before, if there was one.
    pub from: Option<VmId>,
    /// The owner now, if there is one.
    pub to: Option<VmId>,
}

#[derive(Debug, Clone)]
struct Held {
    site: Site,
    scope: Scope,
    owner: Option<(u64, VmId)>,
    quiet_until: Time,
}

/// From which members the owner was taken; nearer ones go first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Scope {
    DataCentre,
    Region,
    All,
}

/// The owners of all upstreams, as one node works them out.
#[derive(Debug, Clone)]
pub struct Ownership {
    me: VmId,
    quiet: Span,
    regions: BTreeMap<DataCentreId, RegionId>,
    members: BTreeMap<DataCentreId, BTreeSet<VmId>>,
    upstreams: BTreeMap<UpstreamId, Held>,
}

impl Ownership {
    /// No upstreams and no members yet.
    ///
    /// `quiet` is how long a new owner keeps to half the share if it hears
    /// nothing from the one before; at least the longest lease of a permit.
    #[must_use]
    pub const fn new(me: VmId, quiet: Span) -> Self {
        Self {
            me,
            quiet,
            regions: BTreeMap::new(),
            members: BTreeMap::new(),
            upstreams: BTreeMap::new(),
        }
    }

    /// Takes in the upstreams of a new revision, and the regions of data centres.
    pub fn set_upstreams<U, R>(&mut self, upstreams: U, regions: R, now: Time) -> Vec<OwnerChange>
    where
        U: IntoIterator<Item = (UpstreamId, Site)>,
        R: IntoIterator<Item = (DataCentreId, RegionId)>,
    {
        self.regions = regions.into_iter().collect();
        let mut old = std::mem::take(&mut self.upstreams);
        let mut moves = Vec::new();
        for (upstream, site) in upstreams {
            let kept = old.remove(&upstream);
            let from = kept.as_ref().and_then(owner_name);
            let quiet_until = kept.as_ref().map_or(Time::ZERO, |held| held.quiet_until);
            let (scope, owner) = self.elect(&upstream, &site);
            let mut held = Held {
                site,
                scope,
                owner,
                quiet_until,
            };
            let to = owner_name(&held);
            if from != to {
                held.quiet_until = now + self.quiet.get();
                let upstream = upstream.clone();
                moves.push(OwnerChange { upstream, from, to });
            }
            self.upstreams.insert(upstream, held);
        }
        let ended = old.into_iter().filter_map(|(upstream, held)| {
            let from = Some(owner_name(&held)?);
            let to = None;
            Some(OwnerChange { upstream, from, to })
        });
        moves.extend(ended);
        moves
    }

    /// Takes in the members that may own upstreams.
    ///
    /// Only upstreams whose owner has left, or that a joiner could win, are
    /// looked at.
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
        let mut moves = Vec::new();
        for (upstream, held) in &mut upstreams {
            let lost = match &held.owner {
                Some((_, vm)) => left.contains(vm),
                None => !joined.is_empty(),
            };
            if lost || self.beaten(upstream, held, &joined) {
                moves.extend(self.reelect(upstream, held, now));
            }
        }
        self.upstreams = upstreams;
        moves
    }

    /// The owner of `upstream`.
    #[must_use]
    pub fn owner(&self, upstream: &UpstreamId) -> Option<&VmId> {
        let held = self.upstreams.get(upstream)?;
        held.owner.as_ref().map(|(_, vm)| vm)
    }

    /// Whether there are owners, if there are upstreams at all.
    #[must_use]
    pub fn has_owners(&self) -> bool {
        let owned = self.upstreams.values().any(|held| held.owner.is_some());
        owned || self.upstreams.is_empty()
    }

    /// How much of `upstream` this node may use as its owner.
    #[must_use]
    pub fn share(&self, upstream: &UpstreamId, now: Time) -> Share {
        match self.upstreams.get(upstream) {
            Some(held) if owner_name(held).as_ref() == Some(&self.me) => {
                if now < held.quiet_until {
                    Share::Half
                } else {
                    Share::Full
                }
            }
            _ => Share::None,
        }
    }

    /// Takes in that the owner before has let go of `upstream`, all its permits ended or told.
    pub fn on_released(&mut self, upstream: &UpstreamId, now: Time) {
        if let Some(held) = self.upstreams.get_mut(upstream) {
            held.quiet_until = held.quiet_until.min(now);
        }
    }

    /// The upstreams that this node owns.
    pub fn owned(&self) -> impl Iterator<Item = &UpstreamId> {
        self.upstreams
            .iter()
            .filter(|(_, held)| held.owner.as_ref().is_some_and(|(_, vm)| *vm == self.me))
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

    /// Whether one of the joiners wins `upstream` from its owner.
    fn beaten(&self, upstream: &UpstreamId, held: &Held, joined: &[(VmId, DataCentreId)]) -> bool {
        let Some((score, owner)) = &held.owner else {
            return false;
        };
        joined.iter().any(|(vm, data_centre)| {
            let reach = self.scope(&held.site, data_centre);
            reach < held.scope
                || (reach == held.scope
                    && (SALT.score(upstream.as_str(), vm.as_str()), vm) > (*score, owner))
        })
    }

    fn scope(&self, site: &Site, data_centre: &DataCentreId) -> Scope {
        if *data_centre == site.data_centre {
            Scope::DataCentre
        } else if self.regions.get(data_centre) == Some(&site.region) {
            Scope::Region
        } else {
            Scope::All
        }
    }

    fn reelect(&self, upstream: &UpstreamId, held: &mut Held, now: Time) -> Option<OwnerChange> {
        let from = owner_name(held);
        (held.scope, held.owner) = self.elect(upstream, &held.site);
        let to = owner_name(held);
        if from == to {
            return None;
        }
        held.quiet_until = now + self.quiet.get();
        let upstream = upstream.clone();
        Some(OwnerChange { upstream, from, to })
    }
}

fn owner_name(held: &Held) -> Option<VmId> {
    held.owner.as_ref().map(|(_, vm)| vm.clone())
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
