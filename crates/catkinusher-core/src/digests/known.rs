//! What is known of one upstream or service, and how fresh it is.

use std::collections::BTreeMap;

use super::batch::{DigestAge, DigestEntry};
use crate::id::DataCentreId;
use crate::time::Time;

/// Something known, since when, and whether from below.
#[derive(Debug, Clone)]
pub(super) struct Known<V> {
    pub value: V,
    pub at: Time,
    pub below: bool,
}

impl<V> Known<V> {
    pub const fn own(value: V, now: Time) -> Self {
        Self {
            value,
            at: now,
            below: true,
        }
    }

    pub fn heard(value: V, age: DigestAge, below: bool, now: Time) -> Self {
        Self {
            value,
            at: now - age.get(),
            below,
        }
    }

    pub fn age(&self, now: Time) -> DigestAge {
        DigestAge::new(now.since(self.at))
    }
}

pub(super) fn keep_newer<K, V>(map: &mut BTreeMap<K, Known<V>>, key: K, new: Known<V>)
where
    K: Ord,
{
    let older = map.get(&key).is_some_and(|known| known.at >= new.at);
    if !older {
        map.insert(key, new);
    }
}

pub(super) fn pick<K, V>(
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

pub(super) fn index_of(centres: &mut Vec<DataCentreId>, wanted: &DataCentreId) -> u8 {
    let found = centres.iter().position(|centre| centre == wanted);
    let index = found.unwrap_or_else(|| {
        centres.push(wanted.clone());
        centres.len() - 1
    });
    u8::try_from(index).unwrap_or(u8::MAX)
}
