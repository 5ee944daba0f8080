//! Model placement follows demand and stays within the load rate of the weight store.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use catkinusher_core::id::{ModelId, UpstreamId};
use catkinusher_core::placement::{Decision, Engine, Placement, Settings, targets};
use catkinusher_core::time::Time;
use proptest::prelude::*;

fn model(number: usize) -> ModelId {
    format!("m{number:02}").parse().expect("a valid name")
}

fn upstream(number: usize) -> UpstreamId {
    format!("u{number:03}").parse().expect("a valid name")
}

fn engine(number: usize, models: &[usize]) -> Engine {
    Engine {
        data_centre: format!("d{}", number % 3).parse().expect("a valid name"),
        models: models.iter().map(|number| model(*number)).collect(),
        slots: 1,
        usable: true,
    }
}

fn demand(rates: &[f64]) -> BTreeMap<ModelId, f64> {
    let rates = rates.iter().enumerate();
    rates.map(|(number, rate)| (model(number), *rate)).collect()
}

/// A service whose engines complete each order before the next decision.
struct Service {
    placement: Placement,
    engines: BTreeMap<UpstreamId, Engine>,
    now: Time,
}

impl Service {
    fn new(count: usize, held: impl Fn(usize) -> Vec<usize>) -> Self {
        let engines: BTreeMap<_, _> = (0..count)
            .map(|number| (upstream(number), engine(number, &held(number))))
            .collect();
        let mut placement = Placement::new(Settings::default(), Time::ZERO);
        for (name, engine) in &engines {
            placement.on_engine(name.clone(), engine.clone(), Time::ZERO);
        }
        Self {
            placement,
            engines,
            now: Time::ZERO,
        }
    }

    fn run(&mut self, steps: usize) -> Vec<Decision<u64>> {
        let mut decisions = Vec::new();
        for _ in 0..steps {
            self.now = self.now + Duration::from_secs(10);
            if let Some(decision) = self.placement.decide(7, self.now) {
                self.carry_out(&decision);
                decisions.push(decision);
            }
        }
        decisions
    }

    fn carry_out(&mut self, decision: &Decision<u64>) {
        let engine = self
            .engines
            .get_mut(&decision.upstream)
            .expect("the engine exists");
        if let Some(unload) = &decision.unload {
            assert!(engine.models.remove(unload));
        }
        engine.models.insert(decision.load.clone());
        assert!(engine.models.len() <= engine.slots);
        let engine = engine.clone();
        self.placement
            .on_engine(decision.upstream.clone(), engine, self.now);
    }

    fn copies(&self) -> BTreeMap<&ModelId, usize> {
        let mut copies = BTreeMap::new();
        for model in self.engines.values().flat_map(|engine| &engine.models) {
            *copies.entry(model).or_default() += 1;
        }
        copies
    }
}

#[test]
fn empty_engines_get_every_model_first_and_then_by_demand() {
    let mut service = Service::new(6, |_| Vec::new());
    service.placement.on_demand(demand(&[100.0, 1.0, 1.0]));
    let decisions = service.run(10);
    let told: Vec<String> = decisions.iter().map(ToString::to_string).collect();
    insta::assert_yaml_snapshot!(told);
}

#[test]
fn a_shift_of_demand_moves_copies_and_then_nothing_more() {
    let mut service = Service::new(12, |number| vec![number % 4]);
    service.placement.on_demand(demand(&[8.0, 1.0, 1.0, 1.0]));
    assert!(!service.run(200).is_empty());
    assert_eq!(service.run(500), []);
    let copies: Vec<usize> = service.copies().into_values().collect();
    assert!(
        copies[0] >= 6 && copies.iter().all(|count| *count >= 1),
        "{copies:?}"
    );
}

#[test]
fn small_changes_of_demand_move_nothing() {
    let mut service = Service::new(12, |number| vec![number % 4]);
    for rates in [
        [1.0, 1.0, 1.0, 1.1],
        [1.1, 1.0, 1.0, 1.0],
        [0.9, 1.0, 1.1, 1.0],
    ] {
        service.placement.on_demand(demand(&rates));
        assert_eq!(service.run(50), []);
    }
}

#[test]
fn loads_keep_to_the_rate_of_the_weight_store() {
    let mut service = Service::new(39, |_| Vec::new());
    service.placement.on_demand(demand(&[1.0; 39]));
    let mut loads = 0;
    for millis in (0..60_000).step_by(100) {
        let now = Time::from_millis(millis);
        loads += usize::from(service.placement.decide(1_u64, now).is_some());
    }
    // One load per ten seconds is allowed, and four at a time; none of them is reported as
    // complete.
    assert_eq!(loads, 4);
}

#[test]
fn an_order_that_is_not_read_back_holds_its_engine_only_for_a_time() {
    let mut service = Service::new(1, |_| Vec::new());
    service.placement.on_demand(demand(&[1.0]));
    let first = service.placement.decide(1_u64, Time::ZERO);
    assert!(first.is_some());
    assert_eq!(
        service.placement.decide(1_u64, Time::from_millis(60_000)),
        None
    );
    let wait = Settings::default().order_wait.get();
    assert_eq!(service.placement.decide(1_u64, Time::ZERO + wait), first);
}

#[test]
fn thirty_nine_models_over_six_hundred_engines_settle() {
    let mut service = Service::new(600, |number| vec![number % 39]);
    let rates: Vec<f64> = (0..39).map(|number| 1.0 / f64::from(number + 1)).collect();
    service.placement.on_demand(demand(&rates));
    let moves = service.run(2000).len();
    assert_eq!(service.run(100), []);
    let targets_by_model = targets(&demand(&rates), 600);
    for (model, count) in service.copies() {
        assert!(
            (count as f64 - targets_by_model[model]).abs() < 2.0,
            "{model}: {count}"
        );
    }
    // Each copy that is missing at the start is placed once, with one extra move per model for
    // rounding.
    let missing = targets_by_model
        .values()
        .map(|target| (target - 600.0 / 39.0).max(0.0));
    assert!(moves as f64 <= missing.sum::<f64>() + 39.0, "{moves} moves");
}

proptest! {
    /// A model in demand never loses its last copy, whatever the demand.
    #[test]
    fn the_last_copy_is_kept(
        held in prop::collection::vec(0_usize..6, 6..20),
        rates in prop::collection::vec(0.0_f64..100.0, 6),
        lost in prop::collection::vec(any::<bool>(), 20),
    ) {
        let mut service = Service::new(held.len(), |number| vec![held[number]]);
        for (number, lost) in lost.iter().enumerate().take(held.len()).filter(|(_, a)| **a) {
            let engine = service.engines.get_mut(&upstream(number)).expect("the engine exists");
            engine.usable = !lost;
            service.placement.on_engine(upstream(number), engine.clone(), Time::ZERO);
        }
        service.placement.on_demand(demand(&rates));
        let before: BTreeSet<ModelId> = service.engines.values().filter(|e| e.usable)
            .flat_map(|e| e.models.clone()).collect();
        service.run(60);
        let after: BTreeSet<ModelId> = service.engines.values().filter(|e| e.usable)
            .flat_map(|e| e.models.clone()).collect();
        prop_assert!(before.is_subset(&after));
    }
}
