//! Placement of requests on upstreams, one decision at a time.

mod site;

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use catkinusher_core::fleet::{Cost, Demand, Fault, Fleet, Load, Overload, Placement, Policy};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use site::{model, rates, upstream};

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn fleet(count: usize) -> Fleet {
    let mut fleet = Fleet::new("gent".parse().unwrap());
    fleet.on_list((0..count).map(upstream).collect(), false, ms(0));
    fleet
}

fn demand(prompt: u64, objective: u64) -> Demand {
    Demand {
        prompt: Tokens::new(prompt),
        answer: Tokens::new(2000),
        objective: Duration::from_millis(objective),
        patience: Duration::from_millis(objective * 4),
        time_left: Duration::from_secs(15),
        ..Demand::default()
    }
}

fn short() -> Demand {
    demand(5000, 300)
}

fn long(prompt: u64) -> Demand {
    demand(prompt, 3000)
}

fn place(fleet: &mut Fleet, demand: &Demand, now: Time) -> Result<Placement, Overload> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    fleet.place(&model(), demand, &Policy::default(), now, &mut rng)
}

fn start(fleet: &mut Fleet, placement: &Placement, now: Time) {
    fleet.begin(&placement.primary, placement.cost, now);
    for (helper, cost) in &placement.helpers {
        fleet.begin(helper, *cost, now);
    }
}

#[test]
fn short_prompts_avoid_engines_in_prefill_of_a_long_one() {
    let mut fleet = fleet(8);
    let reader = place(&mut fleet, &long(200_000), ms(0)).unwrap();
    start(&mut fleet, &reader, ms(0));
    let busy: BTreeSet<_> = reader
        .helpers
        .iter()
        .map(|(id, _)| id.clone())
        .chain([reader.primary.clone()])
        .collect();
    for _ in 0..8 {
        let placed = place(&mut fleet, &short(), ms(5)).unwrap();
        assert!(!busy.contains(&placed.primary), "{placed:?}");
        start(&mut fleet, &placed, ms(5));
    }
}

#[test]
fn a_long_prompt_is_split_evenly_over_several_engines() {
    let mut fleet = fleet(8);
    let placed = place(&mut fleet, &long(200_000), ms(0)).unwrap();
    let whole = rates().prefill_time(Tokens::new(200_000));
    let parts = placed.helpers.len() as u32 + 1;
    assert!(parts > 3, "{placed:?}");
    assert!(
        placed
            .helpers
            .iter()
            .all(|(_, cost)| cost.prefill_time == whole / parts)
    );
    let shares: Vec<u64> = placed
        .helpers
        .iter()
        .map(|(_, cost)| cost.held_tokens.get())
        .chain([placed.cost.held_tokens.get()])
        .collect();
    assert_eq!(
        shares.iter().sum::<u64>(),
        202_000,
        "the engines together hold the whole prompt: {shares:?}"
    );
    assert!(
        shares.iter().all(|share| *share <= 75_000),
        "one prompt does not fill an engine: {shares:?}"
    );
}

#[test]
fn a_longer_prompt_waits_while_a_shorter_one_is_in_prefill() {
    let mut fleet = fleet(8);
    let small = place(&mut fleet, &long(60_000), ms(0)).unwrap();
    start(&mut fleet, &small, ms(0));
    let big = place(&mut fleet, &long(300_000), ms(1));
    assert!(matches!(big, Err(Overload::Queued(_))), "{big:?}");
    let smaller = place(&mut fleet, &long(45_000), ms(1));
    assert!(
        smaller.is_ok(),
        "the shorter prompt is placed at once: {smaller:?}"
    );
}

#[test]
fn a_prompt_that_is_late_already_waits_until_the_engines_are_idle() {
    let mut fleet = fleet(8);
    let first = place(&mut fleet, &long(300_000), ms(0)).unwrap();
    start(&mut fleet, &first, ms(0));
    let mut late = long(60_000);
    late.age = Duration::from_secs(4);
    assert!(matches!(
        place(&mut fleet, &late, ms(1)),
        Err(Overload::Queued(_))
    ));
    // The prefill that was requested is over after two seconds, whether or not its end was observed.
    assert!(place(&mut fleet, &late, ms(2500)).is_ok());
    late.waited = Duration::from_secs(11);
    assert!(
        place(&mut fleet, &late, ms(2)).is_ok(),
        "it is placed before its caller gives up"
    );
}

#[test]
fn a_prompt_that_cannot_end_in_time_is_refused_at_once() {
    let mut fleet = fleet(8);
    let mut demand = long(200_000);
    demand.time_left = Duration::from_millis(900);
    let placed = place(&mut fleet, &demand, ms(0));
    assert!(matches!(placed, Err(Overload::Late(_))), "{placed:?}");
    let mut short_demand = short();
    short_demand.time_left = Duration::from_millis(900);
    let placed = place(&mut fleet, &short_demand, ms(0));
    assert!(matches!(placed, Err(Overload::Late(_))), "{placed:?}");
}

#[test]
fn a_prompt_that_fits_no_engine_is_refused_at_once() {
    let mut fleet = fleet(8);
    let mut service = model();
    service.engine.as_mut().unwrap().joint_prefill = false;
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let demand = long(460_000);
    let placed = fleet.place(&service, &demand, &Policy::default(), ms(0), &mut rng);
    assert_eq!(placed, Err(Overload::TooLong));
    let mut huge = long(4_000_000);
    huge.time_left = Duration::from_secs(1000);
    let placed = place(&mut fleet, &huge, ms(0));
    assert!(matches!(placed, Err(Overload::Full(_))), "{placed:?}");
}

#[test]
fn a_prompt_larger_than_one_kv_cache_is_spread_over_several_engines() {
    let mut fleet = fleet(16);
    let placed = place(&mut fleet, &long(500_000), ms(0)).unwrap();
    let held: u64 = placed
        .helpers
        .iter()
        .map(|(_, cost)| cost.held_tokens.get())
        .sum();
    assert_eq!(
        held + placed.cost.held_tokens.get(),
        502_000,
        "each token is held once"
    );
    let shares = placed.helpers.iter().map(|(_, cost)| cost.held_tokens);
    assert!(shares.max().unwrap() <= Tokens::new(270_000), "{placed:?}");
    // Its caller is about to give up, so that it is placed regardless of other prefill work.
    let mut urgent = long(500_000);
    urgent.waited = Duration::from_secs(11);
    let refused = (0..40).find_map(|_| match place(&mut fleet, &urgent, ms(1)) {
        Ok(placed) => {
            start(&mut fleet, &placed, ms(1));
            None
        }
        Err(refused) => Some(refused),
    });
    assert!(matches!(refused, Some(Overload::Full(_))), "{refused:?}");
    let held = fleet.loads().into_values().map(|load| load.held_tokens);
    assert!(
        held.max().unwrap() <= 450_000,
        "no engine holds more than its capacity"
    );
}

#[test]
fn full_engines_refuse_with_a_retry_delay() {
    let mut fleet = fleet(2);
    let mut refused = None;
    for _ in 0..64 {
        match place(&mut fleet, &short(), ms(0)) {
            Ok(placed) => start(&mut fleet, &placed, ms(0)),
            Err(overload) => {
                refused = Some(overload);
                break;
            }
        }
    }
    let Some(Overload::Full(wait)) = refused else {
        panic!("expected a refusal, found {refused:?}");
    };
    assert!(wait > Duration::ZERO);
}

#[test]
fn peer_loads_count_until_they_expire() {
    let mut fleet = fleet(2);
    let placed = place(&mut fleet, &short(), ms(0)).unwrap();
    let mut peer = fleet.clone();
    for _ in 0..20 {
        start(&mut peer, &placed, ms(0));
    }
    fleet.on_loads(1, peer.loads(), true, 0, ms(1));
    let other = place(&mut fleet, &short(), ms(2)).unwrap();
    assert_ne!(
        other.primary, placed.primary,
        "a peer has filled the first one"
    );
    assert_eq!(fleet.live_nodes(ms(2)), 2);
    assert_eq!(
        fleet.live_nodes(ms(4000)),
        1,
        "the report of the peer has expired"
    );
    let again = place(&mut fleet, &short(), ms(4000)).unwrap();
    assert_eq!(again.primary, placed.primary);
}

#[test]
fn a_partial_report_of_a_peer_keeps_its_other_loads() {
    let mut fleet = fleet(2);
    let load = |short_requests| Load {
        short_requests,
        ..Load::default()
    };
    let ids: Vec<u32> = {
        let mut all = fleet.clone();
        for number in 0..2 {
            let id = upstream(number).id;
            all.begin(&id, Cost::default(), ms(0));
        }
        all.loads().into_keys().collect()
    };
    let whole = HashMap::from([(ids[0], load(16)), (ids[1], load(16))]);
    fleet.on_loads(1, whole, true, 0, ms(0));
    fleet.on_loads(1, HashMap::from([(ids[0], load(0))]), false, 0, ms(1));
    for _ in 0..5 {
        let placed = place(&mut fleet, &short(), ms(2)).unwrap();
        assert_eq!(
            placed.basis.load.short_requests, 0,
            "the other engine is still full"
        );
    }
}

#[test]
fn leaving_and_drained_upstreams_get_no_requests() {
    let mut fleet = fleet(4);
    let mut leaving = upstream(0);
    leaving.leaving = true;
    fleet.on_change(leaving.clone(), ms(0));
    fleet.on_drained(BTreeSet::from(["kortrijk".parse().unwrap()]));
    for _ in 0..8 {
        let placed = place(&mut fleet, &short(), ms(1)).unwrap();
        assert_eq!(placed.primary, upstream(2).id);
        start(&mut fleet, &placed, ms(1));
    }
    assert!(!fleet.accepts_requests(&leaving.id, &model().name, ms(1)));
    fleet.on_removed(&upstream(2).id, false, ms(2));
    assert_eq!(place(&mut fleet, &short(), ms(2)), Err(Overload::None));
}

#[test]
fn an_entry_that_expired_in_an_outage_is_kept_for_the_grace_period_only() {
    let mut fleet = fleet(2);
    fleet.on_list(vec![upstream(0)], true, ms(10_000));
    assert!(fleet.accepts_requests(&upstream(1).id, &model().name, ms(10_000)));
    assert!(fleet.expire(ms(12_100)).is_empty());
    assert_eq!(fleet.expire(ms(12_300)), [upstream(1).id]);
    assert!(!fleet.accepts_requests(&upstream(1).id, &model().name, ms(12_300)));
    let mut later = fleet.clone();
    later.on_list(vec![upstream(0), upstream(1)], true, ms(12_400));
    later.on_list(vec![upstream(0)], false, ms(20_000));
    assert!(
        !later.accepts_requests(&upstream(1).id, &model().name, ms(20_000)),
        "without an outage it is removed at once"
    );
}

#[test]
fn an_entry_that_returns_within_the_grace_period_stays() {
    let mut fleet = fleet(2);
    fleet.on_removed(&upstream(1).id, true, ms(10_000));
    fleet.on_change(upstream(1), ms(11_000));
    assert!(fleet.expire(ms(60_000)).is_empty());
    assert!(fleet.accepts_requests(&upstream(1).id, &model().name, ms(60_000)));
}

#[test]
fn the_nodes_together_stay_below_the_rate_of_a_cold_upstream() {
    let nodes = 18;
    let mut sent = 0;
    for _ in 0..nodes {
        let mut fleet = fleet(1);
        let mut cold = upstream(0);
        cold.cold_for = Duration::from_secs(3);
        fleet.on_change(cold, ms(0));
        for millis in 0..1000 {
            if let Ok(placed) = place(&mut fleet, &short(), ms(millis)) {
                start(&mut fleet, &placed, ms(millis));
                sent += 1;
            }
        }
    }
    // 36 per second, half of that in addition, and 5: the bound in the users' documentation.
    assert!(sent <= 59, "{sent} requests in one second");
    assert!(sent >= nodes, "each node sends at least one request");
}

#[test]
fn an_unreachable_upstream_is_avoided_during_its_backoff() {
    let mut fleet = fleet(2);
    let first = place(&mut fleet, &short(), ms(0)).unwrap().primary;
    fleet.on_fault(&first, Fault::Unreachable, ms(0));
    for millis in [1, 100, 350] {
        let placed = place(&mut fleet, &short(), ms(millis)).unwrap();
        assert_ne!(placed.primary, first);
    }
    fleet.on_success(&first, ms(0));
    let chosen: BTreeSet<_> = (0..20)
        .map(|_| {
            let placed = place(&mut fleet, &short(), ms(500)).unwrap();
            start(&mut fleet, &placed, ms(500));
            placed.primary
        })
        .collect();
    assert!(chosen.contains(&first), "{chosen:?}");
}

#[test]
fn a_restart_under_the_same_id_resets_the_failures() {
    let mut fleet = fleet(1);
    let id = upstream(0).id;
    fleet.on_fault(&id, Fault::Unreachable, ms(0));
    let mut restarted = upstream(0);
    restarted.started = Some(2);
    fleet.on_change(restarted, ms(10));
    assert!(place(&mut fleet, &short(), ms(11)).is_ok());
}

#[test]
fn work_that_ends_before_its_prefill_releases_its_load() {
    let mut fleet = fleet(4);
    let placed = place(&mut fleet, &long(150_000), ms(0)).unwrap();
    let mut works = vec![fleet.begin(&placed.primary, placed.cost, ms(0))];
    for (id, cost) in &placed.helpers {
        works.push(fleet.begin(id, *cost, ms(0)));
    }
    for work in works {
        fleet.end(work);
        fleet.end(work);
    }
    for load in fleet.loads().into_values() {
        let left = (
            load.short_requests,
            load.long_requests,
            load.parts,
            load.pending_prefill_ms,
            load.held_tokens,
        );
        assert_eq!(left, (0, 0, 0, 0, 0));
    }
}

#[test]
fn an_engine_with_some_failures_is_better_than_waiting_for_a_slot() {
    let mut fleet = fleet(3);
    let flaky = upstream(0).id;
    for _ in 0..3 {
        fleet.on_fault(&flaky, Fault::Failed, ms(0));
    }
    let slots = rates().slots as usize;
    for _ in 0..3 * slots {
        let placed = place(&mut fleet, &short(), ms(1)).unwrap();
        start(&mut fleet, &placed, ms(1));
    }
    let active: Vec<u32> = fleet
        .loads()
        .into_values()
        .map(|load| load.short_requests)
        .collect();
    assert!(
        active.iter().all(|count| *count as usize == slots),
        "no engine has queued requests while another has free slots: {active:?}"
    );
}
