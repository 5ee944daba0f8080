//! Exhaustive search over the interleavings of two requests with the same key at two owners of
//! its partition.

#[path = "../search/mod.rs"]
mod search;
mod world;

use catkinusher_core::units::Span;
use search::{Found, explore};
use world::{Faults, Variant, World};

const NONE: Faults = Faults {
    lost: 0,
    away: 0,
    undelivered: 0,
    repeats: 0,
    expiries: 0,
    ticks: 1,
};

fn one_more(mut faults: Faults, kind: usize) -> Faults {
    let count = match kind {
        0 => &mut faults.lost,
        1 => &mut faults.away,
        2 => &mut faults.undelivered,
        3 => &mut faults.repeats,
        _ => &mut faults.expiries,
    };
    *count += 1;
    faults
}

/// All pairs of faults, including each fault twice.
fn pairs() -> Vec<Faults> {
    let pair = |one| (one..5).map(move |two| one_more(one_more(NONE, one), two));
    (0..5).flat_map(pair).collect()
}

/// Settlements are written at once, or stay pending at an owner that already knows the response.
const SETTLES: [Span; 2] = [Span::from_millis(0), Span::from_millis(50)];

fn run(variant: Variant, faults: Faults, settle: Span) -> Found {
    let found = explore(World::new(variant, faults, settle));
    println!(
        "claim, {variant:?}, {faults:?}, {settle}: {} states",
        found.states
    );
    found
}

#[test]
fn no_interleaving_of_two_faults_runs_a_key_twice() {
    let mut states = 0;
    for settle in SETTLES {
        for faults in pairs() {
            let found = run(Variant::Correct, faults, settle);
            assert_eq!(found.fault, None, "by {:#?}", found.path);
            states += found.states;
        }
    }
    println!("claim: {states} states in all");
}

#[test]
fn the_search_finds_the_fault_of_each_broken_variant() {
    let variants = [
        (Variant::NoReadBack, [0, 0]),
        (Variant::NoVersionCheck, [0, 0]),
        (Variant::NoSendTimeCheck, [3, 4]),
        (Variant::RetryAfterSend, [0, 0]),
        (Variant::OwnerReleases, [0, 3]),
        (Variant::SettlesUnsent, [3, 3]),
    ];
    for (variant, kinds) in variants {
        let faults = kinds.into_iter().fold(NONE, one_more);
        for settle in SETTLES {
            let found = run(variant, faults, settle);
            assert!(found.fault.is_some(), "{variant:?} passed with {settle}");
            println!("  {:?} by {:#?}", found.fault, found.path);
        }
    }
}
