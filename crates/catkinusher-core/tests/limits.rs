//! The limits that upstreams name hold over all nodes, whoever places the requests.

mod site;

use std::time::Duration;

use catkinusher_core::fleet::{Authority, Demand, Fleet, LimitReport, Overload, Placement, Policy};
use catkinusher_core::time::Time;
use catkinusher_core::units::{Rate, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use site::{model, upstream};

/// The span in which the requests to an upstream are counted, in milliseconds.
const WINDOW: u64 = 4000;

/// The bound in the users' documentation.
fn allowed(limit: f64) -> usize {
    (limit * 6.0 + 5.0) as usize
}

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn fleet(upstreams: usize, nodes: usize) -> Fleet {
    let mut fleet = Fleet::new("gent".parse().unwrap());
    fleet.on_node_count(nodes);
    fleet.on_list((0..upstreams).map(upstream).collect(), false, ms(0));
    fleet
}

fn demand(prompt: u64, authority: Authority) -> Demand {
    Demand {
        prompt: Tokens::new(prompt),
        answer: Tokens::new(2000),
        objective: Duration::from_secs(1),
        patience: Duration::from_secs(8),
        time_left: Duration::from_secs(10),
        authority,
        ..Demand::default()
    }
}

fn place(
    fleet: &mut Fleet,
    demand: &Demand,
    now: u64,
    rng: &mut ChaCha8Rng,
) -> Result<Placement, Overload> {
    fleet.place(&model(), demand, &Policy::default(), ms(now), rng)
}

fn most_in_window(times: &mut [u64]) -> usize {
    times.sort_unstable();
    let starts = times.iter().enumerate();
    let counts = starts.map(|(index, from)| {
        let rest = times[index..].iter();
        rest.take_while(|at| **at < from + WINDOW).count()
    });
    counts.max().unwrap_or(0)
}

#[test]
fn two_placing_nodes_together_stay_within_a_named_limit() {
    for limit in [0.0, 0.1, 1.0, 2.3, 7.5, 40.0, 300.0] {
        let mut rng = ChaCha8Rng::seed_from_u64(1);
        let mut times = Vec::new();
        for _ in 0..2 {
            let mut node = fleet(1, 18);
            node.on_limit(&upstream(0).id, Some(Rate::per_second(limit)), ms(0));
            // Bursts with pauses between them, in which the allowance must not add up.
            for now in (0..20_000).filter(|now| now / 700 % 3 != 0) {
                let demand = demand(5000, Authority::Shared);
                match place(&mut node, &demand, now, &mut rng) {
                    Ok(placement) => {
                        node.grant(7, &placement, ms(now));
                        times.push(now);
                    }
                    Err(Overload::Full(after)) => assert!(after < Duration::from_secs(8)),
                    Err(other) => panic!("{other:?}"),
                }
            }
        }
        let most = most_in_window(&mut times);
        assert!(most <= allowed(limit), "limit {limit}: {most} requests");
        let used = times.len() as f64 / 40.0;
        assert!(
            used >= limit.min(20.0) * 0.4,
            "limit {limit}: {used} a second"
        );
    }
}

#[test]
fn a_placing_node_and_nodes_that_place_alone_stay_within_a_named_limit() {
    for (limit, nodes) in [(1.0, 13), (2.3, 18), (20.0, 13), (40.0, 18), (300.0, 300)] {
        let mut rng = ChaCha8Rng::seed_from_u64(2);
        let mut times = Vec::new();
        for number in 0..nodes {
            let authority = if number == 0 {
                Authority::Shared
            } else {
                Authority::Own
            };
            let mut node = fleet(1, nodes);
            node.on_limit(&upstream(0).id, Some(Rate::per_second(limit)), ms(0));
            for now in (0..8000).step_by(5) {
                let demand = demand(5000, authority);
                if let Ok(placement) = place(&mut node, &demand, now, &mut rng) {
                    let work = node.begin(&placement.primary, placement.cost, ms(now));
                    node.end(work);
                    times.push(now);
                }
            }
        }
        let most = most_in_window(&mut times);
        assert!(
            most <= allowed(limit),
            "limit {limit}, {nodes} nodes: {most}"
        );
    }
}

#[test]
fn what_was_observed_last_counts_in_whatever_order_the_reports_arrive() {
    for seed in 0..20 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let id = upstream(0).id;
        let mut observations: Vec<(u64, Option<Rate>)> = (0..30)
            .map(|index| {
                let limit = rng
                    .random_bool(0.6)
                    .then(|| Rate::per_second(f64::from(index)));
                (u64::from(index as u32) * 10, limit)
            })
            .collect();
        let last = observations.last().unwrap().1;
        let mut node = fleet(1, 18);
        while !observations.is_empty() {
            let index = rng.random_range(0..observations.len());
            let (at, limit) = observations.swap_remove(index);
            let report = LimitReport {
                upstream: Fleet::short_id(&id),
                limit,
                age: Duration::from_millis(1000 - at),
            };
            node.on_limit_report(&report, ms(1000));
        }
        assert_eq!(node.named_limit(&id), last, "seed {seed}");
    }
}

#[test]
fn a_node_reports_the_end_of_a_limit_that_only_others_know() {
    let id = upstream(0).id;
    let mut node = fleet(1, 18);
    let cell = node.cell_of(&id).unwrap();
    assert!(
        !node.on_limit(&id, None, ms(10)),
        "nobody believes in a limit"
    );
    assert_eq!(node.limit_reports(&cell, ms(10)), []);
    node.on_limit_believed(&id);
    assert!(node.on_limit(&id, None, ms(20)));
    let reports = node.limit_reports(&cell, ms(25));
    assert_eq!(reports.len(), 1);
    assert_eq!(reports[0].1.limit, None);
    let mut placer = fleet(1, 18);
    placer.on_limit(&id, Some(Rate::per_second(1.0)), ms(5));
    placer.on_limit_report(&reports[0].1, ms(26));
    assert_eq!(placer.named_limit(&id), None);
}

#[test]
fn a_restarted_upstream_has_no_limit_before_it_names_one() {
    let mut node = fleet(1, 18);
    let id = upstream(0).id;
    node.on_limit(&id, Some(Rate::per_second(1.0)), ms(5));
    let mut again = upstream(0);
    node.on_change(again.clone(), ms(10));
    assert!(node.named_limit(&id).is_some(), "the same process");
    again.started = Some(77);
    node.on_change(again, ms(20));
    assert_eq!(node.named_limit(&id), None);
}

#[test]
fn limits_are_kept_for_long_prompts_and_these_wait_for_them() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut node = fleet(4, 18);
    let limited: Vec<_> = (1..4).map(|number| upstream(number).id).collect();
    for id in &limited {
        node.on_limit(id, Some(Rate::per_second(1.0)), ms(0));
    }
    for now in 0..10 {
        let short = demand(5000, Authority::Shared);
        let placed = place(&mut node, &short, now, &mut rng).unwrap();
        assert_eq!(placed.primary, upstream(0).id, "it names no limit");
        node.begin(&placed.primary, placed.cost, ms(now));
    }
    let long = demand(45_000, Authority::Shared);
    let mut answered = Vec::new();
    let mut waits = false;
    for now in 10..14 {
        match place(&mut node, &long, now, &mut rng) {
            Ok(placed) => {
                assert!(limited.contains(&placed.primary), "{placed:?}");
                let work = node.begin(&placed.primary, placed.cost, ms(now));
                node.end(work);
                answered.push(placed.primary);
            }
            Err(overload) => waits |= matches!(overload, Overload::Queued(_)),
        }
    }
    answered.sort();
    answered.dedup();
    assert_eq!(answered.len(), 3, "each answers one");
    assert!(waits, "the next one waits for a second at most");
}
