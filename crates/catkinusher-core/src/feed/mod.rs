//! Recent changes of the store's objects, passed from nodes that watch the store to the others.
//!
//! A watch costs the store a call for each change and node. Here a few nodes
//! watch. The others tell them with each confirmation query what they have seen,
//! and get the changes since then. A node that missed too much, or hears from no
//! watching node, reads the store itself, so lost messages cost calls and never
//! leave a gap (see [docs/design/large.md](../../../../docs/design/large.md)).

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};

use crate::object::Version;

/// The number of changes that are kept, more than the store's history holds on a busy day.
const MAX_CHANGES: usize = 2000;

/// The number of changes in one message, so that it fits into a datagram.
const BATCH_SIZE: usize = 16;

/// A change of one object.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "Row<T>", from = "Row<T>")]
#[serde(bound(
    serialize = "T: Clone + Serialize",
    deserialize = "T: Deserialize<'de>"
))]
pub struct Change<T> {
    /// The version of the store at which it was seen.
    pub version: Version,
    /// The name of the object.
    pub name: String,
    /// The new value, or `None` if the object was removed.
    pub value: Option<T>,
    /// Whether the store was unavailable just before, so that entries may have lapsed.
    pub outage: bool,
}

/// The fields of a [`Change`] in order.
type Row<T> = (Version, String, Option<T>, bool);

impl<T> From<Change<T>> for Row<T> {
    fn from(change: Change<T>) -> Self {
        (change.version, change.name, change.value, change.outage)
    }
}

impl<T> From<Row<T>> for Change<T> {
    fn from((version, name, value, outage): Row<T>) -> Self {
        Self {
            version,
            name,
            value,
            outage,
        }
    }
}

/// Numbers the changes that a watch reported in order, up to the version `upto`.
///
/// A removal has no version of its own, as its event may name that of the
/// object's last change. It gets the latest at which it may have happened, so
/// that it follows whatever a node has seen that does not know of it.
#[must_use]
pub fn numbered<T>(
    events: Vec<(String, Option<(Version, T)>)>,
    upto: Version,
    outage: bool,
) -> Vec<Change<T>> {
    let mut latest = upto;
    let mut changes: Vec<_> = events
        .into_iter()
        .rev()
        .map(|(name, object)| {
            let (version, value) = match object {
                Some((version, value)) => {
                    latest = version.previous();
                    (version, Some(value))
                }
                None => (latest, None),
            };
            Change {
                version,
                name,
                value,
                outage,
            }
        })
        .collect();
    changes.reverse();
    changes
}

/// All changes between two versions of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(bound(
    serialize = "T: Clone + Serialize",
    deserialize = "T: Deserialize<'de>"
))]
pub struct Batch<T> {
    /// The version after which it begins.
    #[serde(rename = "a")]
    pub after: Version,
    /// The version up to which it is complete.
    #[serde(rename = "u")]
    pub upto: Version,
    /// The changes.
    #[serde(rename = "c")]
    pub changes: Vec<Change<T>>,
}

/// The changes of one kind of object that a node has seen.
#[derive(Debug, Clone)]
pub struct ChangeLog<T> {
    /// The changes are complete from here.
    after: Version,
    upto: Version,
    changes: VecDeque<Change<T>>,
    /// The versions of the objects that there are.
    objects: BTreeMap<String, Version>,
}

/// What a list shows that was not known before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListDifference {
    /// The version of the latest change that the list may contain.
    pub newest: Version,
    /// The objects that were known and are no longer there.
    pub removed: Vec<String>,
    /// Whether it is the first list of an era of the store, so that what is missing may be lost.
    pub is_restored: bool,
}

impl<T> Default for ChangeLog<T> {
    fn default() -> Self {
        Self {
            after: Version::NONE,
            upto: Version::NONE,
            changes: VecDeque::new(),
            objects: BTreeMap::new(),
        }
    }
}

impl<T> ChangeLog<T>
where
    T: Clone,
{
    /// The version up to which this node has seen all changes.
    #[must_use]
    pub const fn upto(&self) -> Version {
        self.upto
    }

    /// Records a complete list of the objects, as (name, version, value).
    ///
    /// What differs from what was known before are the changes since, so that
    /// they can be passed on even if the store's history does not hold them any
    /// more. A first list hides all changes before it, of which any may be recent,
    /// and so does the first list of an era, as the store has lost changes that
    /// other nodes know.
    pub fn on_list<'a, I>(&mut self, version: Version, listed: I, outage: bool) -> ListDifference
    where
        I: IntoIterator<Item = (&'a str, Version, &'a T)>,
        T: 'a,
    {
        let known = std::mem::take(&mut self.objects);
        let is_restored = self.upto != Version::NONE && version.era() != self.upto.era();
        let is_first = self.upto == Version::NONE || is_restored || version < self.upto;
        let mut changes = Vec::new();
        for (name, version, value) in listed {
            self.objects.insert(name.to_owned(), version);
            if known.get(name) != Some(&version) {
                changes.push(Change {
                    version,
                    name: name.to_owned(),
                    value: Some(value.clone()),
                    outage,
                });
            }
        }
        let mut removed: Vec<String> = known.into_keys().collect();
        removed.retain(|name| !self.objects.contains_key(name));
        if is_first {
            self.after = version;
            self.upto = version;
            self.changes.clear();
            return ListDifference {
                newest: version,
                removed,
                is_restored,
            };
        }
        changes.sort_by_key(|change| change.version);
        // The removals may be later than all other changes.
        changes.extend(removed.iter().map(|name| Change {
            version,
            name: name.clone(),
            value: None,
            outage,
        }));
        let newest = changes.last().map(|change| change.version);
        self.append(version, changes);
        ListDifference {
            newest: newest.unwrap_or_default(),
            removed,
            is_restored,
        }
    }

    /// Records all changes since the last ones, up to the version `upto`.
    pub fn on_changes<I>(&mut self, upto: Version, changes: I)
    where
        I: IntoIterator<Item = Change<T>>,
    {
        let changes: Vec<_> = changes.into_iter().collect();
        for change in &changes {
            match change.value {
                Some(_) => self.objects.insert(change.name.clone(), change.version),
                None => self.objects.remove(&change.name),
            };
        }
        self.append(upto, changes);
    }

    fn append(&mut self, upto: Version, changes: Vec<Change<T>>) {
        self.upto = self.upto.max(upto);
        self.changes.extend(changes);
        while self.changes.len() > MAX_CHANGES {
            if let Some(dropped) = self.changes.pop_front() {
                self.after = dropped.version;
            }
        }
    }

    /// The changes after `version` for a node that has seen all before, or
    /// `None` if they are no longer complete here or the version is of another era.
    ///
    /// Changes with the same version are in the same batch.
    #[must_use]
    pub fn since(&self, version: Version) -> Option<Vec<Batch<T>>> {
        let is_known = version.era() == self.upto.era() && version >= self.after;
        if !is_known || version == Version::NONE {
            return None;
        }
        let mut batches = Vec::new();
        let mut batch = Batch {
            after: version,
            upto: version,
            changes: Vec::new(),
        };
        for change in self.changes.iter().filter(|one| one.version > version) {
            if batch.changes.len() >= BATCH_SIZE && change.version > batch.upto {
                let after = batch.upto;
                let next = Batch {
                    after,
                    upto: after,
                    changes: Vec::new(),
                };
                batches.push(std::mem::replace(&mut batch, next));
            }
            batch.upto = batch.upto.max(change.version);
            batch.changes.push(change.clone());
        }
        batch.upto = batch.upto.max(self.upto);
        if batch.upto > batch.after {
            batches.push(batch);
        }
        Some(batches)
    }

    /// Whether a batch continues what this node has seen.
    #[must_use]
    pub fn continues(&self, batch: &Batch<T>) -> bool {
        self.upto != Version::NONE
            && batch.after.era() == self.upto.era()
            && batch.after <= self.upto
            && batch.upto > self.upto
    }
}
