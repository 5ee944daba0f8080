//! Tracks which members may own upstreams; a partition moves no ownership.
//!
//! A single member that is gone loses its ownership after a short wait. If half
//! of a data centre or more is missing at once, that counts as a partition: its
//! members keep their ownership until they are back, until the VM list drops
//! them or until the limit has passed. A member that returns after it lost its
//! ownership is held back first, for longer each time.

use std::collections::BTreeMap;

use super::message::{Change, State};
use super::settings::Settings;
use super::table::{Listing, Member, Table};
use crate::id::DataCentreId;
use crate::time::Time;

/// The least number of missing members that counts as a partition.
const MIN_PARTITION_SIZE: usize = 2;

/// Tracks ownership and the data centres that are partitioned from this node.
#[derive(Debug, Clone, Default)]
pub(super) struct OwnerTracker {
    partitions: BTreeMap<DataCentreId, Partition>,
}

/// A data centre that is partitioned, or was so until recently.
#[derive(Debug, Clone, Copy)]
struct Partition {
    since: Time,
    healed: Option<Time>,
}

#[derive(Debug, Clone, Copy, Default)]
struct OwnerCounts {
    owners: usize,
    missing: usize,
}

impl OwnerTracker {
    /// Whether most of the data centre is partitioned from this node.
    pub fn is_partitioned(&self, data_centre: &DataCentreId) -> bool {
        self.partitions
            .get(data_centre)
            .is_some_and(|partition| partition.healed.is_none())
    }

    /// Updates every member's ownership and returns what has changed.
    pub fn update(&mut self, table: &mut Table, settings: &Settings, now: Time) -> Vec<Change> {
        let mut changes = self.update_partitions(table, settings, now);
        let mut owners_changed = false;
        for member in table.members.values_mut() {
            owners_changed |= self.update_member(member, settings, now);
        }
        if owners_changed {
            changes.push(Change::Owners);
        }
        changes
    }

    fn update_partitions(&mut self, table: &Table, settings: &Settings, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        for (data_centre, count) in count(table) {
            let partitioned =
                count.missing >= MIN_PARTITION_SIZE && count.missing * 2 >= count.owners;
            let known = self.partitions.get(data_centre).copied();
            match known {
                None if partitioned => {
                    self.partitions.insert(
                        data_centre.clone(),
                        Partition {
                            since: now,
                            healed: None,
                        },
                    );
                    changes.push(Change::Partitioned(data_centre.clone()));
                }
                Some(Partition {
                    since,
                    healed: Some(_),
                }) if partitioned => {
                    self.partitions.insert(
                        data_centre.clone(),
                        Partition {
                            since,
                            healed: None,
                        },
                    );
                    changes.push(Change::Partitioned(data_centre.clone()));
                }
                Some(Partition {
                    since,
                    healed: None,
                }) if !partitioned => {
                    let healed = Some(now);
                    self.partitions
                        .insert(data_centre.clone(), Partition { since, healed });
                    changes.push(Change::Healed(data_centre.clone()));
                }
                _ => {}
            }
        }
        let grace = settings.join_hold.get();
        self.partitions
            .retain(|_, partition| partition.healed.is_none_or(|healed| now < healed + grace));
        changes
    }

    fn update_member(&self, member: &mut Member, settings: &Settings, now: Time) -> bool {
        let before = member.owner;
        if member.owner {
            member.owner = self.keeps_ownership(member, settings, now);
            if !member.owner && member.is_missing() {
                member.losses += 1;
            }
        } else {
            member.owner = member.is_eligible() && member.hold_until <= now;
        }
        before != member.owner
    }

    fn keeps_ownership(&self, member: &Member, settings: &Settings, now: Time) -> bool {
        if member.listing == Listing::Leaving {
            return false;
        }
        match member.state {
            State::Alive | State::Suspect => true,
            State::Leaving | State::Left => false,
            State::Gone => match self.partitions.get(&member.location.data_centre) {
                Some(partition) => {
                    member.listing != Listing::Dropped
                        && now < partition.since + settings.cut_limit.get()
                }
                None => now < member.since + settings.settle_wait.get(),
            },
        }
    }

    /// The next time at which ownership may change without an event.
    pub fn next_change(&self, table: &Table, settings: &Settings) -> Time {
        let members = table.members.values().filter_map(|member| {
            if !member.owner {
                return member.is_eligible().then_some(member.hold_until);
            }
            let partition = self.partitions.get(&member.location.data_centre);
            match (member.state, partition) {
                (State::Gone, None) => Some(member.since + settings.settle_wait.get()),
                (State::Gone, Some(partition)) => Some(partition.since + settings.cut_limit.get()),
                _ => None,
            }
        });
        let grace = settings.join_hold.get();
        let partitions = self
            .partitions
            .values()
            .filter_map(|partition| partition.healed.map(|healed| healed + grace));
        members.chain(partitions).min().unwrap_or(Time::NEVER)
    }
}

fn count(table: &Table) -> BTreeMap<&DataCentreId, OwnerCounts> {
    let mut counts = BTreeMap::<_, OwnerCounts>::new();
    for member in table.members.values() {
        let count = counts.entry(&member.location.data_centre).or_default();
        if member.owner {
            count.owners += 1;
            count.missing += usize::from(member.is_missing());
        }
    }
    counts
}
