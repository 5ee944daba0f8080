//! Values received from other nodes, with their age.

use std::collections::BTreeMap;

use super::batch::{DigestAge, DigestEntry};
use crate::id::DataCentreId;
use crate::time::Time;

/// A value, when it was measured, and whether it came from this node or from below it in
/// the tree.
#[derive(Debug, Clone)]
pub(super) struct Known<V> {
    pub value: V,
    pub measured_at: Time,
    pub from_below: bool,
}

impl<V> Known<V> {
    pub const fn measured(value: V, now: Time) -> Self {
        Self {
            value,
            measured_at: now,
            from_below: true,
        }
    }

    pub fn received(value: V, age: DigestAge, from_below: bool, now: Time) -> Self {
        Self {
            value,
            measured_at: now - age.get(),
            from_below,
        }
    }

    pub fn age(&self, now: Time) -> DigestAge {
        DigestAge::new(now.since(self.measured_at))
    }
}

pub(super) fn insert_newer<K, V>(map: &mut BTreeMap<K, Known<V>>, key: K, new: Known<V>)
where
    K: Ord,
{
    let older = map
        .get(&key)
        .is_some_and(|known| known.measured_at >= new.measured_at);
    if !older {
        map.insert(key, new);
    }
}

pub(super) fn entries_for<K, V>(
    map: &BTreeMap<K, Known<V>>,
    keys: &[K],
    now: Time,
) -> Vec<DigestEntry<K, V>>
where
    K: Ord + Clone,
    V: Clone,
{
    keys.iter()
        .filter_map(|key| map.get(key).map(|known| (key, known)))
        .map(|(key, known)| DigestEntry(key.clone(), known.age(now), known.value.clone()))
        .collect()
}

pub(super) fn index_or_push(data_centres: &mut Vec<DataCentreId>, wanted: &DataCentreId) -> u8 {
    let found = data_centres.iter().position(|centre| centre == wanted);
    let index = found.unwrap_or_else(|| {
        data_centres.push(wanted.clone());
        data_centres.len() - 1
    });
    u8::try_from(index).unwrap_or(u8::MAX)
}
