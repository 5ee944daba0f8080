//! The number of upstreams lost to crashing requests, with and without quarantine.

use std::collections::BTreeSet;

use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::poison::{Policy, Quarantine, Verdict};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const NODES: usize = 13;
const UPSTREAMS: u64 = 20;
const BATCH: usize = 24;
const POISON: u64 = 5;
const RESENDS: u64 = 20;

fn fingerprint(number: u64) -> Fingerprint {
    Fingerprint::of([number.to_be_bytes().as_slice()])
}

#[derive(Debug, Default)]
struct Counts {
    lost: u32,
    apart: u32,
    cleared: u32,
    refused: BTreeSet<u64>,
}

/// Simulates callers that send each poison request `RESENDS` times, each time to a random node
/// and together with innocent requests.
///
/// An upstream also crashes for an unrelated reason with probability 1 in `chance` per round.
/// Without quarantine (`guarded` is false) every verdict is `Run`.
fn trial(seed: u64, guarded: bool, chance: u32) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut nodes = vec![Quarantine::new(Policy::default()); NODES];
    let mut counts = Counts::default();
    let mut next = 1_000;
    let mut now = Time::ZERO;
    for round in 0..RESENDS * POISON {
        now = now + std::time::Duration::from_millis(500);
        let poison = round % POISON;
        let node = rng.random_range(0..NODES);
        let innocents: Vec<u64> = (next..next + BATCH as u64).collect();
        next += BATCH as u64;
        let mut batch: Vec<Fingerprint> = innocents
            .iter()
            .map(|number| fingerprint(*number))
            .collect();
        let verdict = verdict(&nodes[node], guarded, fingerprint(poison), now);
        let alone = verdict == Verdict::Isolated;
        if alone {
            counts.apart += 1;
            counts.lost += 1;
            nodes[node].on_crash(&[fingerprint(poison)], now);
        } else if verdict == Verdict::Run {
            batch.push(fingerprint(poison));
        }
        let natural = rng.random_ratio(1, chance);
        if verdict == Verdict::Run || natural {
            counts.lost += 1;
            nodes[node].on_crash(&batch, now);
        }
        sync(&mut nodes, node, now);
        for innocent in innocents {
            rerun(
                &mut nodes[node],
                &mut counts,
                guarded,
                innocent,
                now,
                &mut rng,
                chance,
            );
        }
        sync(&mut nodes, node, now);
    }
    counts
}

fn verdict(node: &Quarantine, guarded: bool, fingerprint: Fingerprint, now: Time) -> Verdict {
    match node.check(fingerprint, now) {
        verdict if guarded => verdict,
        _ => Verdict::Run,
    }
}

fn rerun(
    node: &mut Quarantine,
    counts: &mut Counts,
    guarded: bool,
    innocent: u64,
    now: Time,
    rng: &mut ChaCha8Rng,
    chance: u32,
) {
    if verdict(node, guarded, fingerprint(innocent), now) != Verdict::Isolated {
        return;
    }
    counts.apart += 1;
    // An upstream may crash for an unrelated reason while this request runs alone.
    if rng.random_ratio(1, chance * UPSTREAMS as u32) {
        counts.lost += 1;
        node.on_crash(&[fingerprint(innocent)], now);
    } else {
        node.on_finish(fingerprint(innocent));
        counts.cleared += 1;
    }
    if matches!(
        node.check(fingerprint(innocent), now),
        Verdict::Refuse { .. }
    ) {
        counts.refused.insert(innocent);
    }
}

fn sync(nodes: &mut [Quarantine], from: usize, now: Time) {
    let entries = nodes[from].entries_for_peer(now);
    for node in nodes.iter_mut() {
        node.merge(&entries, now);
    }
}

#[test]
fn quarantine_against_none_while_upstreams_also_crash_by_chance() {
    let lines = [false, true].map(|guarded| {
        let trials: Vec<Counts> = (0..10).map(|seed| trial(seed, guarded, 50)).collect();
        let lost: u32 = trials.iter().map(|counts| counts.lost).sum();
        let apart: u32 = trials.iter().map(|counts| counts.apart).sum();
        let refused: usize = trials.iter().map(|counts| counts.refused.len()).sum();
        let poisons = 10 * POISON;
        format!(
            "quarantine {guarded}: {lost} upstreams lost to {poisons} poison requests sent {RESENDS} \
             times each and to chance, {apart} runs apart, {refused} innocents refused",
        )
    });
    let text = lines.join("\n");
    println!("{text}");
    insta::assert_snapshot!(text);
}

#[test]
fn without_unrelated_crashes_each_poison_request_costs_two_upstreams() {
    for seed in 0..5 {
        let counts = trial(seed, true, u32::MAX / 32);
        assert_eq!(u64::from(counts.lost), 2 * POISON, "seed {seed}");
        assert!(counts.refused.is_empty(), "seed {seed}");
    }
}

#[test]
fn entries_are_bounded_and_expire() {
    let policy = Policy {
        entries: 100,
        ..Policy::default()
    };
    let mut set = Quarantine::new(policy);
    let proven = fingerprint(0);
    set.on_crash(&[proven], Time::ZERO);
    set.on_crash(&[proven], Time::ZERO);
    for number in 1..1_000 {
        set.on_crash(
            &[fingerprint(number), fingerprint(number + 10_000)],
            Time::ZERO,
        );
    }
    assert_eq!(set.len(), 100);
    let refuse = Verdict::Refuse {
        left: policy.quarantine,
    };
    assert_eq!(set.check(proven, Time::ZERO), refuse);
    let later = Time::ZERO + policy.quarantine.get();
    assert_eq!(set.check(proven, later), Verdict::Run);
    set.on_time(later);
    assert!(set.is_empty());
}

proptest! {
    /// Nodes that merge the same crashes and clearings in different orders converge.
    #[test]
    fn merging_converges_in_any_order(
        events in prop::collection::vec((0..3_usize, 0..6_u64, 0..3_u8), 1..40),
        order in Just((0..9_usize).collect::<Vec<_>>()).prop_shuffle(),
    ) {
        let now = Time::ZERO;
        let mut nodes = vec![Quarantine::new(Policy::default()); 3];
        for (node, number, kind) in events {
            match kind {
                0 => nodes[node].on_finish(fingerprint(number)),
                1 => nodes[node].on_crash(&[fingerprint(number)], now),
                _ => nodes[node].on_crash(&[fingerprint(number), fingerprint(number + 1)], now),
            }
        }
        for _ in 0..2 {
            for pair in &order {
                let entries = nodes[pair / 3].entries_for_peer(now);
                nodes[pair % 3].merge(&entries, now);
            }
        }
        let all: Vec<_> = nodes.iter().flat_map(|node| node.entries_for_peer(now)).collect();
        for node in &mut nodes {
            node.merge(&all, now);
        }
        prop_assert_eq!(nodes[0].digest(), nodes[1].digest());
        prop_assert_eq!(nodes[1].digest(), nodes[2].digest());
    }
}

#[test]
fn a_received_entry_cannot_outlive_the_policy() {
    let mut remote = Quarantine::new(Policy {
        quarantine: Span::from_secs(1_000_000),
        ..Policy::default()
    });
    remote.on_crash(&[fingerprint(1)], Time::ZERO);
    remote.on_crash(&[fingerprint(1)], Time::ZERO);
    let mut local = Quarantine::new(Policy::default());
    local.merge(&remote.entries_for_peer(Time::ZERO), Time::ZERO);
    let end = Time::ZERO + Policy::default().quarantine.get();
    assert_eq!(local.check(fingerprint(1), end), Verdict::Run);
}
