//! The objects themselves, with their last state before the present one.

use std::collections::{BTreeMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Writes of which a record is kept.
const WRITES_KEPT: usize = 16 * 1024;

/// An object as the API answers it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Object {
    /// Its name within its kind.
    pub name: String,
    /// The store's version at its last change.
    pub version: u64,
    /// Its value; null in a watch event if it was deleted.
    pub value: Value,
}

/// A write that took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Write {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// The version that the write made.
    pub version: u64,
    /// Whether it deleted the object.
    pub deleted: bool,
}

/// What a conditional update asks of the object that stands there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Condition {
    Any,
    Absent,
    Version(u64),
}

/// The version of what stands there, which does not meet the condition.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Conflict(pub(super) u64);

/// Which state of an object a read sees.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum View {
    Present,
    /// The state before the last change, as from a replica that lags.
    Stale,
}

#[derive(Debug, Clone, Default)]
struct State {
    version: u64,
    value: Option<Value>,
}

#[derive(Debug, Clone, Default)]
struct Entry {
    present: State,
    before: State,
}

impl Entry {
    fn state(&self, view: View) -> &State {
        match view {
            View::Present => &self.present,
            View::Stale => &self.before,
        }
    }
}

#[derive(Debug, Default)]
pub(super) struct Store {
    version: u64,
    kinds: BTreeMap<String, BTreeMap<String, Entry>>,
    writes: VecDeque<Write>,
}

impl Store {
    pub(super) fn version(&self, view: View) -> u64 {
        match view {
            View::Present => self.version,
            View::Stale => self.version.saturating_sub(1),
        }
    }

    pub(super) fn get(&self, kind: &str, name: &str, view: View) -> Option<Object> {
        let state = self.kinds.get(kind)?.get(name)?.state(view);
        Some(Object {
            name: name.to_owned(),
            version: state.version,
            value: state.value.clone()?,
        })
    }

    pub(super) fn list(&self, kind: &str, prefix: &str, view: View) -> Vec<Object> {
        let names = self.kinds.get(kind).into_iter().flatten();
        let names = names.filter(|(name, _)| name.starts_with(prefix));
        names
            .filter_map(|(name, _)| self.get(kind, name, view))
            .collect()
    }

    /// The present state of what changed after a version, in order of change.
    pub(super) fn after(&self, kind: &str, version: u64) -> Vec<Object> {
        let names = self.kinds.get(kind).into_iter().flatten();
        let changed = names.filter(|(_, entry)| entry.present.version > version);
        let mut events = changed
            .map(|(name, entry)| Object {
                name: name.clone(),
                version: entry.present.version,
                value: entry.present.value.clone().unwrap_or_default(),
            })
            .collect::<Vec<_>>();
        events.sort_by_key(|event| event.version);
        events
    }

    pub(super) fn put(
        &mut self,
        kind: &str,
        name: &str,
        value: Value,
        condition: Condition,
    ) -> Result<u64, Conflict> {
        self.check(kind, name, condition)?;
        Ok(self.write(kind, name, Some(value)))
    }

    /// Deletes an object; the outcome is absent if there was none.
    pub(super) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        condition: Condition,
    ) -> Result<Option<u64>, Conflict> {
        if self.standing(kind, name) == 0 && condition == Condition::Any {
            return Ok(None);
        }
        self.check(kind, name, condition)?;
        Ok(Some(self.write(kind, name, None)))
    }

    /// The version of an object, 0 if there is none.
    fn standing(&self, kind: &str, name: &str) -> u64 {
        let object = self.get(kind, name, View::Present);
        object.map_or(0, |object| object.version)
    }

    fn check(&self, kind: &str, name: &str, condition: Condition) -> Result<(), Conflict> {
        let standing = self.standing(kind, name);
        let met = match condition {
            Condition::Any => true,
            Condition::Absent => standing == 0,
            Condition::Version(version) => standing == version && standing != 0,
        };
        if met { Ok(()) } else { Err(Conflict(standing)) }
    }

    pub(super) fn write(&mut self, kind: &str, name: &str, value: Option<Value>) -> u64 {
        self.version += 1;
        let version = self.version;
        let deleted = value.is_none();
        let names = self.kinds.entry(kind.to_owned()).or_default();
        let entry = names.entry(name.to_owned()).or_default();
        let present = State { version, value };
        entry.before = std::mem::replace(&mut entry.present, present);
        if self.writes.len() == WRITES_KEPT {
            self.writes.pop_front();
        }
        self.writes.push_back(Write {
            kind: kind.to_owned(),
            name: name.to_owned(),
            version,
            deleted,
        });
        version
    }

    pub(super) fn writes(&self) -> Vec<Write> {
        self.writes.iter().cloned().collect()
    }
}
