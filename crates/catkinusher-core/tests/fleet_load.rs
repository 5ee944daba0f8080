//! The morning and evening load of the appointment assistant, simulated on engines in virtual time.
//!
//! Arrival rates and sizes are those of the users' specification: short
//! questions, letters of 45,000 tokens and catalogues of 210,000 tokens. In a
//! burst, 2.7 times as many catalogues arrive. The tests check the service that
//! callers get: whether the first event and all pauses are within their objectives.

mod engines;
mod site;

use engines::{Balancer, Deployment, Mix, Outcome, simulate};

const SEEDS: [u64; 2] = [1, 2];

/// The fraction of the on-time rate without a burst that must still be reached in it.
const MIN_RETAINED: f64 = 0.9;

fn burst_load() -> Mix {
    Mix {
        short: 12.0,
        letter: 2.7,
        catalogue: 2.3,
    }
}

fn normal_load() -> Mix {
    Mix {
        short: 12.0,
        letter: 2.0,
        catalogue: 0.85,
    }
}

fn run(mix: Mix, balancer: Balancer) -> Outcome {
    run_on(&Deployment::appointments(), mix, balancer)
}

fn run_on(deployment: &Deployment, mix: Mix, balancer: Balancer) -> Outcome {
    SEEDS
        .iter()
        .map(|seed| simulate(deployment, mix, balancer, *seed))
        .fold(Outcome::default(), Outcome::join)
}

#[test]
fn a_burst_of_long_prompts_leaves_short_ones_on_time() {
    let without = run(normal_load(), Balancer::Fleet);
    let with = run(burst_load(), Balancer::Fleet);
    assert!(
        with.short.share() >= MIN_RETAINED * without.short.share(),
        "short on time: {:.3} in the burst, {:.3} without",
        with.short.share(),
        without.short.share()
    );
    assert!(
        with.letter.share() >= MIN_RETAINED * without.letter.share(),
        "letters on time: {:.3} in the burst, {:.3} without",
        with.letter.share(),
        without.letter.share()
    );
}

#[test]
fn pools_and_helpers_serve_a_burst_better_than_least_outstanding() {
    let fleet = run(burst_load(), Balancer::Fleet);
    let baseline = run(burst_load(), Balancer::LeastOutstanding);
    assert!(
        fleet.short.share() > baseline.short.share(),
        "{fleet:?} {baseline:?}"
    );
    assert!(
        fleet.letter.share() > baseline.letter.share(),
        "{fleet:?} {baseline:?}"
    );
    assert!(
        fleet.catalogue.share() > baseline.catalogue.share(),
        "{fleet:?} {baseline:?}"
    );
}

#[test]
fn no_request_is_unfinished_after_a_burst() {
    let fleet = run(burst_load(), Balancer::Fleet);
    assert_eq!(fleet.unfinished, 0, "every request ended or was refused");
}

// Load: a calm phase of a cell, whose short prompts were late on a few crowded engines while others idled.
#[test]
fn a_cell_keeps_short_prompts_on_time_without_delaying_long_ones() {
    let forecasts = Deployment::forecasts();
    let calm = Mix {
        short: 33.0,
        letter: 2.2,
        catalogue: 1.05,
    };
    let by_nodes = run_on(&forecasts, calm, Balancer::Fleet);
    let by_work = run_on(&forecasts, calm, Balancer::Cell);
    assert!(by_work.short.share() >= 0.97, "{by_work:?}");
    assert!(by_nodes.short.share() < 0.95, "{by_nodes:?}");
    assert!(by_work.letter.share() >= 0.95, "{by_work:?}");
    assert!(by_work.catalogue.share() >= 0.95, "{by_work:?}");
}

// Load: the mix has turned over to catalogues, which keep three quarters of the engines busy.
#[test]
fn a_cell_leaves_long_prompts_the_engines_that_they_need() {
    let forecasts = Deployment::forecasts();
    let digests = Mix {
        short: 12.0,
        letter: 2.3,
        catalogue: 3.3,
    };
    let by_nodes = run_on(&forecasts, digests, Balancer::Fleet);
    let by_work = run_on(&forecasts, digests, Balancer::Cell);
    assert!(by_work.short.share() >= 0.95, "{by_work:?}");
    assert!(
        by_work.catalogue.share() >= MIN_RETAINED * by_nodes.catalogue.share(),
        "{by_work:?} {by_nodes:?}"
    );
}
