//! Placing requests on upstreams, one decision at a time.

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

fn begin(fleet: &mut Fleet, placement: &Placement, now: Time) {
    fleet.begin(&placement.primary, placement.cost, now);
    for (helper, cost) in &placement.helpers {
        fleet.begin(helper, *cost, now);
    }
}

#[test]
fn a_short_prompt_keeps_off_the_engines_that_read_a_long_one() {
    let mut fleet = fleet(8);
    let reader = place(&mut fleet, &long(200_000), ms(0)).unwrap();
    begin(&mut fleet, &reader, ms(0));
    let busy: BTreeSet<_> = reader
        .helpers
        .iter()
        .map(|(id, _)| id.clone())
        .chain([reader.primary.clone()])
        .collect();
    for _ in 0..8 {
        let placed = place(&mut fleet, &short(), ms(5)).unwrap();
        assert!(!busy.contains(&placed.primary), "{placed:?}");
        begin(&mut fleet, &placed, ms(5));
    }
}

#[test]
fn a_long_prompt_is_read_by_several_engines_in_even_parts() {
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
        "the engines hold the prompt between them: {shares:?}"
    );
    assert!(
        shares.iter().all(|share| *share <= 75_000),
        "no engine is filled by one prompt: {shares:?}"
    );
}

#[test]
fn a_longer_prompt_waits_while_a_shorter_one_is_read() {
    let mut fleet = fleet(8);
    let small = place(&mut fleet, &long(60_000), ms(0)).unwrap();
    begin(&mut fleet, &small, ms(0));
    let big = place(&mut fleet, &long(300_000), ms(1));
    assert!(matches!(big, Err(Overload::Queued(_))), "{big:?}");
    let smaller = place(&mut fleet, &long(45_000), ms(1));
    assert!(smaller.is_ok(), "the shorter goes at once: {smaller:?}");
}

#[test]
fn a_prompt_that_is_late_already_waits_until_the_engines_are_idle() {
    let mut fleet = fleet(8);
    let first = place(&mut fleet, &long(300_000), ms(0)).unwrap();
    begin(&mut fleet, &first, ms(0));
    let mut late = long(60_000);
    late.age = Duration::from_secs(4);
    assert!(matches!(
        place(&mut fleet, &late, ms(1)),
        Err(Overload::Queued(_))
    ));
    // The reading that was asked is over after two seconds, seen or not.
    assert!(place(&mut fleet, &late, ms(2500)).is_ok());
    late.waited = Duration::from_secs(11);
    assert!(
        place(&mut fleet, &late, ms(2)).is_ok(),
        "it goes before its caller leaves"
    );
}

#[test]
fn a_prompt_that_cannot_end_in_time_is_refused_at_once() {
    let mut fleet = fleet(8);
    let mut demand = long(200_000);
    demand.time_left = Duration::from_millis(900);
    let placed = place(&mut fleet, &demand, ms(0));
    assert!(matches!(placed, Err(Overload::Late(_))), "{placed:?}");
    let mut brief = short();
    brief.time_left = Duration::from_millis(900);
    let placed = place(&mut fleet, &brief, ms(0));
    assert!(matches!(placed, Err(Overload::Late(_))), "{placed:?}");
}

#[test]
fn a_prompt_that_no_engine_holds_is_refused_at_once() {
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
fn a_prompt_above_one_memory_is_held_by_several_engines() {
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
        "all of it is held once"
    );
    let shares = placed.helpers.iter().map(|(_, cost)| cost.held_tokens);
    assert!(shares.max().unwrap() <= Tokens::new(270_000), "{placed:?}");
    // Its caller is about to leave, so that it goes whatever is read.
    let mut urgent = long(500_000);
    urgent.waited = Duration::from_secs(11);
    let refused = (0..40).find_map(|_| match place(&mut fleet, &urgent, ms(1)) {
        Ok(placed) => {
            begin(&mut fleet, &placed, ms(1));
            None
        }
        Err(refused) => Some(refused),
    });
    assert!(matches!(refused, Some(Overload::Full(_))), "{refused:?}");
    let held = fleet.loads().into_values().map(|load| load.held_tokens);
    assert!(
        held.max().unwrap() <= 450_000,
        "no engine holds more than it can"
    );
}

#[test]
fn full_engines_refuse_with_a_time_to_come_back() {
    let mut fleet = fleet(2);
    let mut refused = None;
    for _ in 0..64 {
        match place(&mut fleet, &short(), ms(0)) {
            Ok(placed) => begin(&mut fleet, &placed, ms(0)),
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
fn loads_of_peers_count_and_run_out() {
    let mut fleet = fleet(2);
    let placed = place(&mut fleet, &short(), ms(0)).unwrap();
    let mut peer = fleet.clone();
    for _ in 0..20 {
        begin(&mut peer, &placed, ms(0));
    }
    fleet.on_loads(1, peer.loads(), true, ms(1));
    let other = place(&mut fleet, &short(), ms(2)).unwrap();
    assert_ne!(other.primary, placed.primary, "a peer has filled it");
    assert_eq!(fleet.live_nodes(ms(2)), 2);
    assert_eq!(
        fleet.live_nodes(ms(4000)),
        1,
        "nothing was heard for too long"
    );
    let again = place(&mut fleet, &short(), ms(4000)).unwrap();
    assert_eq!(again.primary, placed.primary);
}

#[test]
fn a_change_told_by_a_peer_leaves_the_rest_of_its_loads() {
    let mut fleet = fleet(2);
    let load = |shorts| Load {
        short_requests: shorts,
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
    fleet.on_loads(1, whole, true, ms(0));
    fleet.on_loads(1, HashMap::from([(ids[0], load(0))]), false, ms(1));
    for _ in 0..5 {
        let placed = place(&mut fleet, &short(), ms(2)).unwrap();
        assert_eq!(
            placed.basis.load.short_requests, 0,
            "the other is still full"
        );
    }
}

#[test]
fn nothing_goes_to_what_leaves_or_is_drained() {
    let mut fleet = fleet(4);
    let mut leaving = upstream(0);
    leaving.leaving = true;
    fleet.on_change(leaving.clone(), ms(0));
    fleet.on_drained(BTreeSet::from(["kortrijk".parse().unwrap()]));
    for _ in 0..8 {
        let placed = place(&mut fleet, &short(), ms(1)).unwrap();
        assert_eq!(placed.primary, upstream(2).id);
        begin(&mut fleet, &placed, ms(1));
    }
    assert!(!fleet.accepts_requests(&leaving.id));
    fleet.on_removed(&upstream(2).id, false, ms(2));
    assert_eq!(place(&mut fleet, &short(), ms(2)), Err(Overload::None));
}

#[test]
fn an_entry_that_lapsed_in_an_outage_is_kept_for_its_grace_only() {
    let mut fleet = fleet(2);
    fleet.on_list(vec![upstream(0)], true, ms(10_000));
    assert!(fleet.accepts_requests(&upstream(1).id));
    assert!(fleet.expire(ms(12_100)).is_empty());
    assert_eq!(fleet.expire(ms(12_300)), [upstream(1).id]);
    assert!(!fleet.accepts_requests(&upstream(1).id));
    let mut back = fleet.clone();
    back.on_list(vec![upstream(0), upstream(1)], true, ms(12_400));
    back.on_list(vec![upstream(0)], false, ms(20_000));
    assert!(
        !back.accepts_requests(&upstream(1).id),
        "without an outage it is gone at once"
    );
}

#[test]
fn an_entry_that_returns_within_its_grace_stays() {
    let mut fleet = fleet(2);
    fleet.on_removed(&upstream(1).id, true, ms(10_000));
    fleet.on_change(upstream(1), ms(11_000));
    assert!(fleet.expire(ms(60_000)).is_empty());
    assert!(fleet.accepts_requests(&upstream(1).id));
}

#[test]
fn the_nodes_together_stay_under_what_a_cold_upstream_bears() {
    let nodes = 18;
    let mut sent = 0;
    for _ in 0..nodes {
        let mut fleet = fleet(1);
        let mut cold = upstream(0);
        cold.cold_for = Duration::from_secs(3);
        fleet.on_change(cold, ms(0));
        for millis in 0..1000 {
            if let Ok(placed) = place(&mut fleet, &short(), ms(millis)) {
                begin(&mut fleet, &placed, ms(millis));
                sent += 1;
            }
        }
    }
    // 36 a second, by half more, and 5: the bound of the users' pages.
    assert!(sent <= 59, "{sent} requests in one second");
    assert!(sent >= nodes, "each node gets through");
}

#[test]
fn an_upstream_that_fails_rests_and_comes_back() {
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
            begin(&mut fleet, &placed, ms(500));
            placed.primary
        })
        .collect();
    assert!(chosen.contains(&first), "{chosen:?}");
}

#[test]
fn a_new_start_under_an_old_name_forgets_the_failures() {
    let mut fleet = fleet(1);
    let id = upstream(0).id;
    fleet.on_fault(&id, Fault::Unreachable, ms(0));
    let mut reborn = upstream(0);
    reborn.started = Some(2);
    fleet.on_change(reborn, ms(10));
    assert!(place(&mut fleet, &short(), ms(11)).is_ok());
}

#[test]
fn work_that_ends_unread_gives_back_all_that_it_held() {
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
fn an_engine_that_failed_now_and_then_comes_before_a_wait_for_a_place() {
    let mut fleet = fleet(3);
    let rare = upstream(0).id;
    for _ in 0..3 {
        fleet.on_fault(&rare, Fault::Failed, ms(0));
    }
    let slots = rates().slots as usize;
    for _ in 0..3 * slots {
        let placed = place(&mut fleet, &short(), ms(1)).unwrap();
        begin(&mut fleet, &placed, ms(1));
    }
    let under: Vec<u32> = fleet
        .loads()
        .into_values()
        .map(|load| load.short_requests)
        .collect();
    assert!(
        under.iter().all(|count| *count as usize == slots),
        "no engine has requests that wait while another has places: {under:?}"
    );
}
