//! The explanation of a request on the admin interface.

mod support;

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use support::{Answer, World, call, complete, prompt};

/// Requests the explanation of a request, with hyphens percent-encoded so that the node has to
/// decode the ID.
async fn explain(world: &World, place: usize, request: &str) -> Answer {
    let path = format!("/admin/explain/{}", request.replace('-', "%2D"));
    let request = Request::get(path).header("host", "test");
    let request = request.body(Full::<Bytes>::default()).expect("a request");
    call(world.nodes[place].admin(), request).await
}

/// The names of the steps of an explanation, in order.
fn steps(answer: &Answer) -> Vec<String> {
    let json = answer.json();
    let steps = json["steps"].as_array().cloned().unwrap_or_default();
    let names = steps.iter().filter_map(|step| step["step"].as_str());
    names.map(str::to_owned).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn the_accepting_node_tells_how_a_request_was_decided() {
    let world = World::start(support::SMALL).await;
    let answer = complete(world.callers(1), prompt(200, 20)).await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    let explanation = explain(&world, 1, &answer.id()).await;
    assert_eq!(explanation.json()["request"], answer.id());
    assert_eq!(
        steps(&explanation),
        ["chosen", "granted", "done"],
        "{}",
        explanation.text()
    );
    assert_eq!(explain(&world, 0, &answer.id()).await.status, 404);
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_failed_request_tells_each_attempt_and_what_the_caller_heard() {
    let world = World::start(support::SMALL).await;
    for engine in world.site.engines.values() {
        engine.faults().set(|faults| faults.refuse = true);
    }
    let answer = complete(world.callers(0), prompt(200, 20)).await;
    assert_ne!(answer.status, 200);
    let explanation = explain(&world, 0, &answer.id()).await;
    let steps = steps(&explanation);
    for step in ["chosen", "granted", "failed", "retried"] {
        assert!(
            steps.iter().any(|name| name == step),
            "{step}: {}",
            explanation.text()
        );
    }
    assert_eq!(steps.last().map(String::as_str), Some("refused"));
    world.stop().await;
}
