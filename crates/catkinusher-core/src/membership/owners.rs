//! Which members may own upstreams, so that a partition moves nothing.
//!
//! A member that vanishes alone loses its ownership after a short wait. When
//! half of a data centre or more vanishes at once, that is taken for a
//! partition: all keep their ownership until they are back, the VM list has
//! dropped them or the limit has passed. One that returns after a loss is held
//! back first, longer each time.

use std::collections::BTreeMap;

use super::message::{Change, State};
use super::settings::Settings;
use super::table::{Listing, Member, Table};
use crate::id::DataCentreId;
use crate::time::Time;

/// The least number of members that must vanish at once to count as a partition.
const CUT_FLOOR: usize = 2;

/// The data centres that are parted from this node.
#[derive(Debug, Clone, Default)]
pub(super) struct Owners {
    cuts: BTreeMap<DataCentreId, Cut>,
}

/// One data centre that is, or lately was, parted.
#[derive(Debug, Clone, Copy)]
struct Cut {
    since: Time,
    healed: Option<Time>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    owners: usize,
    missing: usize,
}

impl Owners {
    /// Whether most of the data centre is parted from this node.
    pub fn is_partitioned(&self, data_centre: &DataCentreId) -> bool {
        self.cuts
            .get(data_centre)
            .is_some_and(|cut| cut.healed.is_none())
    }

    /// Brings every member's ownership up to date and tells what has changed.
    pub fn settle(&mut self, table: &mut Table, settings: &Settings, now: Time) -> Vec<Change> {
        let mut changes = self.judge(table, settings, now);
        let mut moved = false;
        for member in table.members.values_mut() {
            moved |= self.settle_one(member, settings, now);
        }
        if moved {
            changes.push(Change::Owners);
        }
        changes
    }

    fn judge(&mut self, table: &Table, settings: &Settings, now: Time) -> Vec<Change> {
        let mut changes = Vec::new();
        for (data_centre, count) in count(table) {
            let parted = count.missing >= CUT_FLOOR && count.missing * 2 >= count.owners;
            let known = self.cuts.get(data_centre).copied();
            match known {
                None if parted => {
                    self.cuts.insert(
                        data_centre.clone(),
                        Cut {
                            since: now,
                            healed: None,
                        },
                    );
                    changes.push(Change::Partitioned(data_centre.clone()));
                }
                Some(Cut {
                    since,
                    healed: Some(_),
                }) if parted => {
                    self.cuts.insert(
                        data_centre.clone(),
                        Cut {
                            since,
                            healed: None,
                        },
                    );
                    changes.push(Change::Partitioned(data_centre.clone()));
                }
                Some(Cut {
                    since,
                    healed: None,
                }) if !parted => {
                    let healed = Some(now);
                    self.cuts.insert(data_centre.clone(), Cut { since, healed });
                    changes.push(Change::Healed(data_centre.clone()));
                }
                _ => {}
            }
        }
        let grace = settings.join_hold.get();
        self.cuts
            .retain(|_, cut| cut.healed.is_none_or(|healed| now < healed + grace));
        changes
    }

    fn settle_one(&self, member: &mut Member, settings: &Settings, now: Time) -> bool {
        let before = member.owner;
        if member.owner {
            member.owner = self.keeps(member, settings, now);
            if !member.owner && member.missing() {
                member.losses += 1;
            }
        } else {
            member.owner = member.eligible() && member.hold_until <= now;
        }
        before != member.owner
    }

    fn keeps(&self, member: &Member, settings: &Settings, now: Time) -> bool {
        if member.listing == Listing::Leaving {
            return false;
        }
        match member.state {
            State::Alive | State::Suspect => true,
            State::Leaving | State::Left => false,
            State::Gone => match self.cuts.get(&member.location.data_centre) {
                Some(cut) => {
                    member.listing != Listing::Dropped && now < cut.since + settings.cut_limit.get()
                }
                None => now < member.since + settings.settle_wait.get(),
            },
        }
    }

    /// When the next member's ownership may change by time alone.
    pub fn next(&self, table: &Table, settings: &Settings) -> Time {
        let members = table.members.values().filter_map(|member| {
            if !member.owner {
                return member.eligible().then_some(member.hold_until);
            }
            let cut = self.cuts.get(&member.location.data_centre);
            match (member.state, cut) {
                (State::Gone, None) => Some(member.since + settings.settle_wait.get()),
                (State::Gone, Some(cut)) => Some(cut.since + settings.cut_limit.get()),
                _ => None,
            }
        });
        let grace = settings.join_hold.get();
        let cuts = self
            .cuts
            .values()
            .filter_map(|cut| cut.healed.map(|healed| healed + grace));
        members.chain(cuts).min().unwrap_or(Time::NEVER)
    }
}

fn count(table: &Table) -> BTreeMap<&DataCentreId, Count> {
    let mut counts = BTreeMap::<_, Count>::new();
    for member in table.members.values() {
        let count = counts.entry(&member.location.data_centre).or_default();
        if member.owner {
            count.owners += 1;
            count.missing += usize::from(member.missing());
        }
    }
    counts
}
