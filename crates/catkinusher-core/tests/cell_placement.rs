//! Placement of prompts in a cell by what they do to the engines, one decision at a time.

mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use catkinusher_core::fleet::{
    Authority, Cost, Demand, Fleet, Overload, Placement, Policy, Upstream, WorkId, WorkKind,
};
use catkinusher_core::id::UpstreamId;
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use site::{model, upstream};

const CELL: &str = "gent";

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn fleet(count: usize) -> Fleet {
    let engine = |number| Upstream {
        data_centre: CELL.parse().unwrap(),
        ..upstream(number)
    };
    let mut fleet = Fleet::new(CELL.parse().unwrap());
    fleet.on_list((0..count).map(engine).collect(), false, ms(0));
    fleet
}

fn demand(prompt: u64, objective: u64, pause: u64) -> Demand {
    Demand {
        prompt: Tokens::new(prompt),
        answer: Tokens::new(2000),
        objective: Duration::from_millis(objective),
        pause: Some(Duration::from_millis(pause)),
        patience: Duration::from_secs(2),
        time_left: Duration::from_secs(15),
        within: Some(CELL.parse().unwrap()),
        authority: Authority::Shared,
        ..Demand::default()
    }
}

fn short() -> Demand {
    demand(5000, 300, 200)
}

fn long() -> Demand {
    demand(200_000, 3000, 800)
}

fn place(fleet: &mut Fleet, demand: &Demand, now: Time) -> Result<Placement, Overload> {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    fleet.place(&model(), demand, &Policy::default(), now, &mut rng)
}

fn begin(fleet: &mut Fleet, placement: &Placement, now: Time) -> Vec<WorkId> {
    let primary = (&placement.primary, placement.cost);
    let helpers = placement.helpers.iter().map(|(id, cost)| (id, *cost));
    helpers
        .chain([primary])
        .map(|(id, cost)| fleet.begin(id, cost, now))
        .collect()
}

/// Places and begins a prompt, whose prefill is done at once.
fn run(fleet: &mut Fleet, demand: &Demand, now: Time) -> (Placement, Vec<WorkId>) {
    let placement = place(fleet, demand, now).unwrap();
    let works = begin(fleet, &placement, now);
    for work in &works {
        fleet.on_prefill_done(*work);
    }
    (placement, works)
}

// Load: many short answers, then few. Engines that left the pool for short prompts answered long
// ones, whose prefill stalled the short answers that still ran there.
#[test]
fn an_engine_with_short_answers_does_not_answer_long_prompts() {
    let mut fleet = fleet(18);
    let mut running = Vec::new();
    for number in 0..80 {
        running.push(run(&mut fleet, &short(), ms(number)));
    }
    // Every fourth answer still runs when the pool has shrunk.
    for (number, (_, works)) in running.iter().enumerate() {
        if number % 4 != 0 {
            for work in works {
                fleet.end(*work);
            }
        }
    }
    let busy: Vec<UpstreamId> = running
        .iter()
        .step_by(4)
        .map(|(one, _)| one.primary.clone())
        .collect();
    for number in 0..4 {
        let (placement, _) = run(&mut fleet, &long(), ms(2000 + number));
        assert!(!busy.contains(&placement.primary), "{placement:?}");
    }
}

// Load: few short answers, whose engines got all short prompts while others idled.
#[test]
fn the_pool_for_short_prompts_follows_the_work_that_arrives() {
    let mut fleet = fleet(24);
    let mut sizes = Vec::new();
    // 40 short prompts and one long one a second, then 10 and four.
    for (second, shorts, longs) in [
        (0, 40, 1),
        (1, 40, 1),
        (2, 40, 1),
        (3, 40, 1),
        (4, 10, 4),
        (5, 10, 4),
        (6, 10, 4),
    ] {
        let mut size = 0;
        let step = 1000 / (shorts + longs);
        for number in 0..shorts + longs {
            let now = ms(second * 1000 + number * step);
            let demand = if number % (shorts / longs + 1) == 0 {
                long()
            } else {
                short()
            };
            if let Ok(placement) = place(&mut fleet, &demand, now) {
                for work in begin(&mut fleet, &placement, now) {
                    fleet.end(work);
                }
                if placement.cost.kind == WorkKind::Short {
                    size = placement.basis.shorts;
                }
            }
        }
        sizes.push(size);
    }
    insta::assert_debug_snapshot!(sizes);
}

// Load: prompts that arrive in the same pass and together stall all answers of an engine.
#[test]
fn a_prompt_goes_where_it_stalls_no_answers() {
    let mut fleet = fleet(4);
    let ids: Vec<UpstreamId> = (0..4).map(|number| upstream(number).id).collect();
    let cost = |millis| Cost {
        kind: WorkKind::Short,
        prefill_time: Duration::from_millis(millis),
        held_tokens: Tokens::new(5000),
    };
    for id in &ids {
        for _ in 0..4 {
            let work = fleet.begin(id, cost(20), ms(0));
            fleet.on_prefill_done(work);
        }
    }
    // All but one have 150 ms of prefill pending, and that one has twice as many answers.
    let free = &ids[1];
    for id in ids.iter().filter(|id| *id != free) {
        fleet.begin(id, cost(150), ms(100));
    }
    for _ in 0..4 {
        let work = fleet.begin(free, cost(0), ms(100));
        fleet.on_prefill_done(work);
    }
    let placement = place(&mut fleet, &short(), ms(101)).unwrap();
    assert_eq!(placement.primary, *free);
}

// Load: prompts of 23,000 tokens whose callers tolerate short pauses only. They were answered beside
// the prefill of long prompts, and half of them were late.
#[test]
fn a_long_prompt_with_short_pauses_is_answered_beside_short_ones() {
    let mut fleet = fleet(18);
    let _short = run(&mut fleet, &short(), ms(0));
    let placement = place(&mut fleet, &demand(60_000, 300, 200), ms(1)).unwrap();
    assert_eq!(placement.cost.kind, WorkKind::Short);
    assert!(placement.cost.prefill_time <= Policy::default().long_threshold);
    assert!(!placement.helpers.is_empty());
    let patient = place(&mut fleet, &demand(60_000, 1500, 500), ms(2)).unwrap();
    assert_eq!(patient.cost.kind, WorkKind::Long);
    let longest = place(&mut fleet, &demand(200_000, 3000, 200), ms(3)).unwrap();
    assert_eq!(
        longest.cost.kind,
        WorkKind::Long,
        "it would fill the KV cache"
    );
}

// Load: all callers repeat their requests at once after a loss of many nodes.
#[test]
fn requests_that_are_late_already_give_way_while_engines_have_a_backlog() {
    let mut fleet = fleet(2);
    for number in 0..2 {
        let id = upstream(number).id;
        let cost = Cost {
            kind: WorkKind::Short,
            prefill_time: Duration::from_millis(100),
            held_tokens: Tokens::new(5000),
        };
        fleet.begin(&id, cost, ms(0));
    }
    let late = Demand {
        age: Duration::from_millis(900),
        ..short()
    };
    let waiting = place(&mut fleet, &late, ms(1));
    assert!(matches!(waiting, Err(Overload::Queued(_))), "{waiting:?}");
    assert!(place(&mut fleet, &short(), ms(1)).is_ok());
    let patient = Demand {
        waited: Duration::from_millis(500),
        ..late.clone()
    };
    assert!(
        place(&mut fleet, &patient, ms(1)).is_ok(),
        "it waits for a bounded time"
    );
    assert!(
        place(&mut fleet, &late, ms(80)).is_ok(),
        "the backlog is done"
    );
}

// Load: all callers repeat at once after a loss of all nodes, at a node that has just taken over. It put
// them on the two engines that its own grants filled first, while the others idled.
#[test]
fn a_burst_at_a_node_that_has_just_taken_over_uses_many_engines() {
    let mut fleet = fleet(18);
    let mut placed = BTreeMap::<UpstreamId, u32>::new();
    for number in 0..40 {
        let placement = place(&mut fleet, &short(), ms(number)).unwrap();
        begin(&mut fleet, &placement, ms(number));
        *placed.entry(placement.primary).or_default() += 1;
    }
    let most = placed.values().max().unwrap();
    assert!(placed.len() >= 9 && *most <= 6, "{placed:?}");
}
