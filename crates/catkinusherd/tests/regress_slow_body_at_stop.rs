//! A caller that sent its body slowly got no answer at the stop limit and kept the process from ending.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::units::Span;
use catkinusher_fakes::site::Manner;
use catkinusherd::explain::Step;
use catkinusherd::settings::Settings;
use support::{KEY, World, until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

const STOP_LIMIT: Span = Span::from_millis(500);

const MARGIN: Duration = Duration::from_secs(10);

const CALLERS: usize = 48;

fn shorten_stop(settings: &mut Settings) {
    settings.stop.limit = STOP_LIMIT;
    settings.limits.idle = Span::from_secs(3600);
}

async fn send_half<'a>(to: SocketAddr, path: &str, body: &'a str) -> (TcpStream, &'a str) {
    let (half, rest) = body.split_at(body.len() / 2);
    let length = body.len();
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {KEY}\r\n\
         Content-Length: {length}\r\n\r\n{half}"
    );
    let mut caller = TcpStream::connect(to).await.expect("a connection");
    let sent = caller.write_all(request.as_bytes()).await;
    sent.expect("the node reads");
    (caller, rest)
}

fn assert_nothing_ran(world: &World) {
    for engine in world.site.engines.values() {
        assert_eq!(engine.records().begun, []);
    }
    for plain in world.site.plains.values() {
        assert_eq!(plain.records().runs, []);
    }
}

async fn check_half_a_body(path: &str, body: &str) {
    let mut world = World::start_in(support::SMALL, &Manner::default(), shorten_stop).await;
    let leaving = world.nodes.remove(0);
    let (mut caller, _rest) = send_half(leaving.callers(), path, body).await;
    until(|| leaving.state().stopping.open() == 1).await;

    leaving.signal();
    let stopped = tokio::spawn(leaving.wait_stopped());
    let mut answer = String::new();
    timeout(
        STOP_LIMIT.get() + MARGIN,
        caller.read_to_string(&mut answer),
    )
    .await
    .expect("an answer at the stop limit")
    .expect("a whole answer");
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(
        answer.contains("urn:catkinusher:problem:stop-limit"),
        "{answer}"
    );
    assert!(answer.contains(r#""outcome":"not-run""#), "{answer}");
    timeout(MARGIN, stopped)
        .await
        .expect("the process ends at its stop limit")
        .expect("the node stops");

    assert_nothing_ran(&world);
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_completion_with_half_its_body_is_refused_at_the_stop_limit() {
    check_half_a_body("/v1/completions", &support::prompt(50, 5)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_with_half_its_body_is_refused_at_the_stop_limit() {
    check_half_a_body("/afspraak-app/bookings", "a booking of two parts").await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_body_that_completes_after_the_stop_limit_begins_no_attempt() {
    let mut world = World::start_in(support::SMALL, &Manner::default(), shorten_stop).await;
    let leaving = world.nodes.remove(0);
    let state = Arc::clone(leaving.state());
    let body = support::prompt(50, 5);
    let mut callers = Vec::new();
    for _caller in 0..CALLERS {
        callers.push(send_half(leaving.callers(), "/v1/completions", &body).await);
    }
    until(|| state.stopping.open() == CALLERS as u32).await;

    leaving.signal();
    leaving.signal();
    let stopped = tokio::spawn(leaving.wait_stopped());
    for (mut caller, rest) in callers {
        let _closed = caller.write_all(rest.as_bytes()).await;
        let mut answer = String::new();
        let read = timeout(MARGIN, caller.read_to_string(&mut answer)).await;
        let _closed = read.expect("an answer at the stop limit");
        let id = answer.split("x-request-id: ").nth(1);
        let id = id.and_then(|rest| rest.lines().next()).expect(&answer);
        let explanation = state.journal.explain(&id.parse().expect("a request ID"));
        let steps = explanation.expect("a known request").steps;
        let chosen = |step: &Step| matches!(step, Step::Chosen { .. });
        assert!(!steps.iter().any(|entry| chosen(&entry.step)), "{steps:?}");
    }
    timeout(MARGIN, stopped)
        .await
        .expect("the process ends at its stop limit")
        .expect("the node stops");
    assert_nothing_ran(&world);
    world.stop().await;
}
