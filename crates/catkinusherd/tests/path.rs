//! Requests end to end: caller, node, owner, upstream and back.

mod support;

use catkinusher_core::claim::PARTITIONS;
use support::{Answer, World, call, complete, expected, post, prompt, until};

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_is_streamed_completely_through_every_node() {
    let world = World::start(support::SMALL).await;
    for place in 0..3 {
        let answer = complete(world.callers(place), prompt(200, 20)).await;
        let (text, done) = answer.tokens();
        assert_eq!(answer.status, 200, "{}", answer.text());
        assert_eq!(text, expected(&answer.id(), 20));
        assert!(done && answer.whole);
    }
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_plain_call_passes_through_with_its_path_and_body() {
    let world = World::start(support::SMALL).await;
    let request = post("/afspraak-app/hours?day=mon")
        .body("open?".into())
        .expect("a request");
    let answer = call(world.callers(0), request).await;
    let json = answer.json();
    assert_eq!(answer.status, 200, "{}", answer.text());
    insta::assert_yaml_snapshot!(json, { ".body_sha256" => "[digest]" });
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_booking_with_an_idempotency_key_runs_once_when_repeated() {
    let world = World::start(support::SMALL).await;
    // While nodes disagree on the owner of a key, they may answer that it is busy.
    until(|| (0..PARTITIONS).all(|partition| nodes_agree(&world, partition))).await;
    let mut bodies = Vec::new();
    for place in [0, 1, 2, 0] {
        let answer = book(&world, place, "slot-12").await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        bodies.push(answer.body);
    }
    assert!(bodies.iter().all(|body| *body == bodies[0]));
    let plain = world.site.plains.values().next().expect("a plain service");
    assert_eq!(plain.records().by_key().get("slot-12"), Some(&1));
    world.stop().await;
}

/// Whether all nodes agree on the owner of a partition of the idempotency keys.
fn nodes_agree(world: &World, partition: u32) -> bool {
    let owners = world
        .nodes
        .iter()
        .map(|node| node.state().members.claim_owner(partition));
    let owners: Vec<_> = owners.collect();
    owners[0].is_some() && owners.iter().all(|owner| *owner == owners[0])
}

async fn book(world: &World, place: usize, key: &str) -> Answer {
    let request = post("/afspraak-app/bookings")
        .header("idempotency-key", key)
        .body("slot 12".into())
        .expect("a request");
    call(world.callers(place), request).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_of_a_million_tokens_is_streamed_without_full_buffering() {
    let world = World::start(&support::SMALL.replace("\"500k\"", "\"2M\"")).await;
    let request = post("/v1/completions")
        .header("x-timeout-ms", "300000")
        .body(prompt(1_000_000, 5).into())
        .expect("a request");
    let answer = call(world.callers(0), request).await;
    let (text, done) = answer.tokens();
    assert_eq!(answer.status, 200, "{}", answer.text());
    assert_eq!(text, expected(&answer.id(), 5));
    assert!(done);
    world.stop().await;
}
