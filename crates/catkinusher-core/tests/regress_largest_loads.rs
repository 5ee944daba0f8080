//! A load report or a grant with the largest numbers overflowed the sums of the loads: a panic with
//! overflow checks, and without them the load of the other nodes was forgotten.

mod site;

use std::collections::HashMap;
use std::time::Duration;

use catkinusher_core::fleet::{Cell, Cost, Fleet, Load, Policy, WorkKind};
use catkinusher_core::placer::Part;
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use site::{SERVICE, model, upstream};

/// A message as another node receives it.
fn received<T>(message: &T) -> T
where
    T: Serialize + DeserializeOwned,
{
    let mut bytes = Vec::new();
    ciborium::into_writer(message, &mut bytes).unwrap();
    ciborium::from_reader(&*bytes).unwrap()
}

fn largest() -> Load {
    Load {
        short_requests: u32::MAX,
        long_requests: u32::MAX,
        parts: u32::MAX,
        pending_prefill_ms: u64::MAX,
        min_pending_prefill_ms: u64::MAX,
        held_tokens: u64::MAX,
        total_prefill_ms: u64::MAX,
        succeeded: u32::MAX,
        failed: u32::MAX,
    }
}

#[test]
fn the_largest_reported_loads_are_added_and_taken_back() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut now = Time::from_millis(1000);
    let mut fleet = Fleet::new("gent".parse().unwrap());
    let engines: Vec<_> = (0..4).map(upstream).collect();
    let odd = engines[0].id.clone();
    fleet.on_list(engines, false, now);
    let small = Load {
        short_requests: 3,
        total_prefill_ms: 9,
        ..Load::default()
    };
    let cell = Cell {
        service: SERVICE.parse().unwrap(),
        data_centre: None,
    };
    let short_id = Fleet::short_id(&odd);
    fleet.on_loads(1, HashMap::from([(short_id, small)]), true, 0, now);
    let before = fleet.pressure(&cell, now);
    for _ in 0..2 {
        for peer in [2, 3] {
            let loads = HashMap::from([(short_id, received(&largest()))]);
            fleet.on_loads(peer, loads, false, 0, now);
        }
        assert!(fleet.pressure(&cell, now).utilization > 100.0);
        for within in [None, Some("gent".parse().unwrap())] {
            let demand = catkinusher_core::fleet::Demand {
                prompt: Tokens::new(1000),
                time_left: Duration::from_secs(9),
                within,
                ..Default::default()
            };
            let placed = fleet.place(&model(), &demand, &Policy::default(), now, &mut rng);
            assert_ne!(placed.unwrap().primary, odd, "it looks idle");
        }
        now = now + Duration::from_millis(200);
    }
    fleet.forget_peer(2);
    fleet.forget_peer(3);
    assert_eq!(fleet.pressure(&cell, now), before);
}

#[test]
fn the_largest_granted_costs_are_added_and_taken_back() {
    let now = Time::from_millis(1000);
    let mut fleet = Fleet::new("gent".parse().unwrap());
    let engine = upstream(0);
    let id = engine.id.clone();
    fleet.on_list(vec![engine], false, now);
    let cost = Cost {
        kind: WorkKind::Long,
        prefill_time: Duration::from_millis(u64::MAX),
        held_tokens: Tokens::new(u64::MAX),
    };
    let part = received(&Part { upstream: 0, cost });
    let works: Vec<_> = (0..3).map(|_| fleet.begin(&id, part.cost, now)).collect();
    assert_eq!(fleet.loads()[&Fleet::short_id(&id)].long_requests, 3);
    for work in works {
        fleet.end(work);
    }
    let rest = fleet.loads()[&Fleet::short_id(&id)];
    assert_eq!(
        (
            rest.long_requests,
            rest.pending_prefill_ms,
            rest.held_tokens
        ),
        (0, 0, 0)
    );
}
