//! A request that had started to run was reported as "not run" when its retry found no upstream.

mod support;

use support::{World, complete};

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_ran_is_not_reported_as_not_run_by_a_later_attempt() {
    let world = World::start(support::SMALL).await;
    for engine in world.site.engines.values() {
        let pill = Some("pill".to_owned());
        engine.faults().set(|faults| faults.poison = pill);
    }
    let body = r#"{"model":"taalhulp-8b","prompt":"pill","max_tokens":2}"#;
    let answer = complete(world.callers(0), body.to_owned()).await;
    let engines = world.site.engines.values();
    let started: usize = engines.map(|engine| engine.records().begun.len()).sum();
    assert!(started > 0, "the request never started");
    assert_eq!(
        answer.json()["outcome"],
        "may-have-run",
        "{}",
        answer.text()
    );
    world.stop().await;
}
