//! A node that gets changes from another one instead of the store misses none.

use std::collections::BTreeMap;

use catkinusher_core::feed::{Batch, Change, ChangeLog, ListDifference, numbered};
use catkinusher_core::object::{Era, Version};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

fn change(version: u64, name: &str, value: Option<u64>) -> Change<u64> {
    Change {
        version: Version::new(version),
        name: name.to_owned(),
        value,
        outage: false,
    }
}

#[test]
fn a_log_has_the_changes_since_its_list_only() {
    let mut log = ChangeLog::default();
    assert_eq!(log.since(Version::NONE), None);
    log.on_list(Version::new(10), [], false);
    log.on_changes(
        Version::new(14),
        [change(12, "a", Some(1)), change(14, "b", None)],
    );
    assert_eq!(log.since(Version::new(9)), None, "before the list");
    assert_eq!(log.since(Version::new(14)), Some(Vec::new()));
    let batches = log.since(Version::new(12)).unwrap();
    assert_eq!(batches.len(), 1);
    assert_eq!(batches[0].changes, [change(14, "b", None)]);
    log.on_list(Version::new(5), [], false);
    assert_eq!(log.upto(), Version::new(5), "an older store");
    assert_eq!(log.since(Version::new(4)), None);
}

#[test]
fn a_log_passes_nothing_on_across_eras_of_the_store() {
    let in_era = |era, number| Version::new(number).in_era(Era::new(era));
    let mut log = ChangeLog::default();
    log.on_list(in_era(1, 20), [("a", in_era(1, 4), &1)], false);
    let difference = log.on_list(in_era(2, 12), [], false);
    let removed = vec!["a".to_owned()];
    let expected = ListDifference {
        newest: in_era(2, 12),
        removed,
        is_restored: true,
    };
    assert_eq!(difference, expected);
    log.on_changes(in_era(2, 25), []);
    assert_eq!(log.since(in_era(1, 20)), None, "an earlier era");
    assert_eq!(log.since(in_era(1, 30)), None, "beyond the restored copy");
    assert!(log.since(in_era(2, 12)).is_some());
    let batch = |era| Batch::<u64> {
        after: in_era(era, 25),
        upto: in_era(era, 30),
        changes: Vec::new(),
    };
    let continues = [1, 2, 3].map(|era| log.continues(&batch(era)));
    assert_eq!(continues, [false, true, false]);
}

#[test]
fn a_later_list_shows_the_changes_and_removals_since() {
    let mut log = ChangeLog::default();
    let version = Version::new;
    let first = log.on_list(
        version(10),
        [("a", version(3), &1), ("b", version(4), &1)],
        false,
    );
    assert_eq!(first.newest, version(10), "any change may be recent");
    log.on_changes(version(14), [change(12, "c", Some(1))]);
    let later = [("b", version(4), &1), ("c", version(17), &2)];
    let difference = log.on_list(version(20), later, false);
    let removed = vec!["a".to_owned()];
    assert_eq!(
        difference,
        ListDifference {
            newest: version(20),
            removed,
            is_restored: false,
        }
    );
    let batches = log.since(version(15)).unwrap();
    assert_eq!(
        batches[0].changes,
        [change(17, "c", Some(2)), change(20, "a", None)]
    );
    let same = log.on_list(version(30), later, false);
    assert_eq!(same.newest, Version::NONE, "nothing has changed");
    assert_eq!(log.upto(), version(30));
}

#[test]
fn a_follower_that_loses_messages_ends_with_the_same_objects() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let (mut reader, mut follower) = (ChangeLog::default(), ChangeLog::default());
        reader.on_list(Version::new(1), [], false);
        follower.on_list(Version::new(1), [], false);
        let (mut truth, mut copy) = (BTreeMap::new(), BTreeMap::new());
        let mut version = 1;
        for round in 0..200 {
            let mut changes = Vec::new();
            for _ in 0..rng.random_range(0..40) {
                version += 1;
                let name = format!("n{}", rng.random_range(0..30));
                let value = rng.random_bool(0.7).then_some(version);
                match value {
                    Some(value) => truth.insert(name.clone(), value),
                    None => truth.remove(&name),
                };
                changes.push(change(version, &name, value));
            }
            if rng.random_bool(0.2) {
                // The history was dropped, so the reader has only a list.
                let listed = truth
                    .iter()
                    .map(|(name, value)| (name.as_str(), Version::new(*value), value));
                reader.on_list(Version::new(version), listed, false);
            } else {
                reader.on_changes(Version::new(version), changes);
            }
            let loss = if round == 199 { 0.0 } else { 0.4 };
            for batch in reader.since(follower.upto()).unwrap() {
                if !rng.random_bool(loss) && follower.continues(&batch) {
                    apply(&mut follower, &mut copy, batch);
                }
            }
        }
        assert_eq!(copy, truth, "seed {seed}");
    }
}

fn apply(log: &mut ChangeLog<u64>, objects: &mut BTreeMap<String, u64>, batch: Batch<u64>) {
    assert!(batch.changes.len() < 64, "a batch fits into a datagram");
    for change in &batch.changes {
        match change.value {
            Some(value) => objects.insert(change.name.clone(), value),
            None => objects.remove(&change.name),
        };
    }
    log.on_changes(batch.upto, batch.changes);
}

#[test]
fn a_removal_reaches_a_node_that_is_ahead_of_the_reader_that_saw_it() {
    let version = Version::new;
    // The first reader's watch began before that of the second, and no server changed since.
    let (mut first, mut second) = (ChangeLog::default(), ChangeLog::default());
    first.on_list(version(550), [("a", version(3), &1)], false);
    second.on_list(version(600), [("a", version(3), &1)], false);
    let events = vec![("a".to_owned(), None::<(Version, u64)>)];
    first.on_changes(version(701), numbered(events, version(701), false));
    let batches = first.since(second.upto()).unwrap();
    assert_eq!(batches[0].changes, [change(701, "a", None)]);
}

#[test]
fn removals_are_numbered_no_later_than_the_changes_after_them() {
    let version = Version::new;
    let events = vec![
        ("a".to_owned(), None),
        ("a".to_owned(), Some((version(12), 1))),
        ("b".to_owned(), None),
        ("c".to_owned(), Some((version(15), 2))),
    ];
    let changes = numbered(events, version(20), false);
    assert_eq!(
        changes,
        [
            change(11, "a", None),
            change(12, "a", Some(1)),
            change(14, "b", None),
            change(15, "c", Some(2))
        ]
    );
}
