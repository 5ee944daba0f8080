//! Retries while every upstream of a service fails.

mod support;

use support::{World, complete, prompt};

/// The number of requests that callers send.
const REQUESTS: u32 = 60;

#[tokio::test(flavor = "multi_thread")]
async fn failing_engines_get_no_more_than_the_budget_of_retries() {
    let world = World::start(support::SMALL).await;
    for engine in world.site.engines.values() {
        engine.faults().set(|faults| faults.refuse = true);
    }
    for _ in 0..REQUESTS {
        let answer = complete(world.callers(0), prompt(50, 5)).await;
        assert_ne!(answer.status, 200, "{}", answer.text());
        assert_eq!(answer.json()["outcome"], "not-run", "{}", answer.text());
    }
    let engines = world.site.engines.values();
    let sends: u64 = engines.map(|engine| engine.records().refused).sum();
    let policy = &world.nodes[0].state().retry;
    let retry_limit = f64::from(REQUESTS) * policy.share + policy.burst;
    println!("{REQUESTS} requests, {sends} sends, {retry_limit} retries in the budget");
    assert!(
        sends as f64 <= f64::from(REQUESTS) + retry_limit,
        "{sends} sends"
    );
    assert!(
        sends > u64::from(REQUESTS),
        "{sends} sends: nothing was retried"
    );
    world.stop().await;
}
