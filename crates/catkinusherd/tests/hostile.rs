//! Malformed and hostile input from callers and peers is refused, and runs nothing.

mod support;

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::units::{Bytes, Span};
use catkinusher_fakes::site::Manner;
use catkinusher_peer::link::Links;
use catkinusherd::settings::Settings;
use support::{Answer, KEY, World, call, post};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The timeout of a read, so that a hanging connection fails the test.
const READ_TIMEOUT: Duration = Duration::from_secs(20);

/// The limits for reading a head and for an idle body in these tests.
const SHORT_LIMIT: Span = Span::from_millis(300);

fn shorten_limits(settings: &mut Settings) {
    settings.limits.head_time = SHORT_LIMIT;
    settings.limits.idle = SHORT_LIMIT;
    settings.limits.body = Bytes::new(64 << 10);
}

async fn world() -> World {
    World::start_in(support::SMALL, &Manner::default(), shorten_limits).await
}

/// Sends raw bytes, shuts down the writing side if `cut`, and reads the response.
async fn raw(to: SocketAddr, bytes: &[u8], cut: bool) -> String {
    let mut stream = TcpStream::connect(to).await.expect("a connection");
    // The server may refuse and close before everything is written.
    let _refused = stream.write_all(bytes).await;
    if cut {
        let _closed = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let mut piece = [0; 4096];
    let read = async {
        while let Ok(count) = stream.read(&mut piece).await {
            if count == 0 {
                break;
            }
            answer.extend_from_slice(&piece[..count]);
            if is_complete(&answer) {
                break;
            }
        }
    };
    tokio::time::timeout(READ_TIMEOUT, read)
        .await
        .expect("an answer or an end");
    String::from_utf8_lossy(&answer).into_owned()
}

/// Whether a response with a `Content-Length` is complete.
fn is_complete(answer: &[u8]) -> bool {
    let text = String::from_utf8_lossy(answer);
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return false;
    };
    let length = head.to_ascii_lowercase();
    let length = length.split("content-length: ").nth(1);
    let length = length.and_then(|rest| rest.split("\r\n").next()?.parse().ok());
    length.is_some_and(|length: usize| body.len() >= length)
}

/// Summarizes a response in one line: status, problem type and outcome.
fn summary(answer: &str) -> String {
    let Some((head, body)) = answer.split_once("\r\n\r\n") else {
        return "the connection is closed".to_owned();
    };
    let status = head.split(' ').nth(1).unwrap_or("?");
    match serde_json::from_str::<serde_json::Value>(body) {
        Ok(json) => format!("{status} {} {}", json["type"], json["outcome"]),
        Err(_none) => format!("{status} without a document"),
    }
}

fn request(path: &str, headers: &str, body: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer {KEY}\r\n{headers}\r\n{body}"
    )
}

fn completion(body: &str) -> String {
    let length = format!("Content-Length: {}\r\n", body.len());
    request("/v1/completions", &length, body)
}

fn assert_nothing_ran(world: &World) {
    for engine in world.site.engines.values() {
        assert_eq!(engine.records().begun, []);
    }
    for plain in world.site.plains.values() {
        assert_eq!(plain.records().runs, []);
    }
}

const GOOD: &str = r#"{"model":"taalhulp-8b","prompt":"abc"}"#;

fn malformed_bodies() -> Vec<(&'static str, String)> {
    let cases = [
        ("empty body", ""),
        ("no JSON", "abc"),
        ("cut JSON", r#"{"model":"taalhulp-8b","prompt":"ab"#),
        ("an array", "[1,2]"),
        ("model missing", r#"{"prompt":"abc"}"#),
        ("model a number", r#"{"model":5,"prompt":"abc"}"#),
        (
            "model twice",
            r#"{"model":"taalhulp-8b","model":"b","prompt":"abc"}"#,
        ),
        ("model unknown", r#"{"model":"none","prompt":"abc"}"#),
        ("prompt missing", r#"{"model":"taalhulp-8b"}"#),
        (
            "stream a text",
            r#"{"model":"taalhulp-8b","stream":"yes","prompt":"abc"}"#,
        ),
        (
            "max_tokens below zero",
            r#"{"model":"taalhulp-8b","max_tokens":-1,"prompt":"abc"}"#,
        ),
        (
            "messages no list",
            r#"{"model":"taalhulp-8b","messages":5}"#,
        ),
    ];
    let cases = cases.into_iter();
    let mut cases: Vec<_> = cases.map(|(name, body)| (name, completion(body))).collect();
    let deep = format!(
        r#"{{"model":"taalhulp-8b","prompt":{}1"#,
        "[".repeat(10_000)
    );
    cases.push(("nested without end", completion(&deep)));
    let large = completion(&format!(
        r#"{{"model":"taalhulp-8b","prompt":"{}"}}"#,
        "a".repeat(70_000)
    ));
    cases.push(("oversized body", large));
    cases
}

fn malformed_heads() -> Vec<(&'static str, String)> {
    let with = |headers: &str| {
        let length = format!("Content-Length: {}\r\n{headers}", GOOD.len());
        request("/v1/completions", &length, GOOD)
    };
    let bare = |auth: &str| {
        let length = GOOD.len();
        format!(
            "POST /v1/completions HTTP/1.1\r\nHost: test\r\n{auth}Content-Length: {length}\r\n\r\n{GOOD}"
        )
    };
    let book = |headers: &str| {
        let headers = format!("Content-Length: 1\r\n{headers}");
        request("/afspraak-app/bookings", &headers, "a")
    };
    vec![
        ("no key", bare("")),
        ("unknown key", bare("Authorization: Bearer nobody\r\n")),
        ("another scheme", bare("Authorization: Basic abc\r\n")),
        ("two keys", with("Authorization: Bearer nobody\r\n")),
        (
            "unknown service",
            request("/none/x", "Content-Length: 0\r\n", ""),
        ),
        (
            "model service as plain",
            request("/taalhulp/x", "Content-Length: 0\r\n", ""),
        ),
        ("unknown route", request("/", "Content-Length: 0\r\n", "")),
        ("timeout zero", with("X-Timeout-Ms: 0\r\n")),
        ("timeout below zero", with("X-Timeout-Ms: -5\r\n")),
        ("timeout a word", with("X-Timeout-Ms: soon\r\n")),
        ("timeout over the cap", with("X-Timeout-Ms: 99999999\r\n")),
        (
            "timeout over 64 bits",
            with("X-Timeout-Ms: 99999999999999999999999\r\n"),
        ),
        ("idempotency key empty", book("Idempotency-Key: \r\n")),
        (
            "idempotency key with a space",
            book("Idempotency-Key: a b\r\n"),
        ),
        (
            "idempotency key twice",
            book("Idempotency-Key: a\r\nIdempotency-Key: b\r\n"),
        ),
        (
            "idempotency key too long",
            book(&format!("Idempotency-Key: {}\r\n", "k".repeat(300))),
        ),
    ]
}

fn ambiguous_framing() -> Vec<(&'static str, String)> {
    let request_with =
        |headers: &str| request("/afspraak-app/bookings", headers, "1\r\na\r\n0\r\n\r\n");
    vec![
        (
            "two lengths that differ",
            request_with("Content-Length: 1\r\nContent-Length: 2\r\n"),
        ),
        (
            "two lengths alike",
            request_with("Content-Length: 1\r\nContent-Length: 1\r\n"),
        ),
        (
            "a list of lengths",
            request_with("Content-Length: 1, 1\r\n"),
        ),
        (
            "length and chunked",
            request_with("Content-Length: 1\r\nTransfer-Encoding: chunked\r\n"),
        ),
        (
            "chunked and length",
            request_with("Transfer-Encoding: chunked\r\nContent-Length: 1\r\n"),
        ),
        (
            "chunked twice",
            request_with("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n"),
        ),
        (
            "chunked then identity",
            request_with("Transfer-Encoding: chunked, identity\r\n"),
        ),
        (
            "an unknown coding",
            request_with("Transfer-Encoding: xchunked\r\n"),
        ),
        ("a signed length", request_with("Content-Length: +1\r\n")),
        (
            "a space before the colon",
            request_with("Transfer-Encoding : chunked\r\n"),
        ),
        (
            "a folded line",
            request_with("X-A: b\r\n Transfer-Encoding: chunked\r\nContent-Length: 1\r\n"),
        ),
        (
            "a bad chunk size",
            request(
                "/afspraak-app/bookings",
                "Transfer-Encoding: chunked\r\n",
                "zz\r\na\r\n0\r\n\r\n",
            ),
        ),
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_requests_are_refused_clearly_and_nothing_runs() {
    let world = world().await;
    let mut table = String::new();
    for (name, text) in malformed_bodies().into_iter().chain(malformed_heads()) {
        let answer = raw(world.callers(0), text.as_bytes(), false).await;
        let _infallible = writeln!(table, "{name}: {}", summary(&answer));
    }
    assert_nothing_ran(&world);
    insta::assert_snapshot!(table);
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn floods_cuts_and_slow_callers_are_refused_and_nothing_runs() {
    let world = world().await;
    let flood = (0..100).fold(String::new(), |flood, n| flood + &format!("X-{n}: a\r\n"));
    let long = format!("X-Long: {}\r\n", "a".repeat(1 << 20));
    let cases = [
        (
            "a flood of headers",
            request("/v1/completions", &flood, ""),
            false,
        ),
        (
            "a head of a megabyte",
            request("/v1/completions", &long, ""),
            false,
        ),
        (
            "a cut upload",
            request("/v1/completions", "Content-Length: 100\r\n", "{"),
            true,
        ),
        (
            "a slow head",
            "POST /v1/completions HTTP/1.1\r\nHost: te".to_owned(),
            false,
        ),
        (
            "a slow body",
            request("/v1/completions", "Content-Length: 100\r\n", "{"),
            false,
        ),
        (
            "a slow booking",
            request("/afspraak-app/bookings", "Content-Length: 100\r\n", "{"),
            false,
        ),
    ];
    let mut table = String::new();
    for (name, text, cut) in cases {
        let answer = raw(world.callers(0), text.as_bytes(), cut).await;
        let _infallible = writeln!(table, "{name}: {}", summary(&answer));
    }
    assert_nothing_ran(&world);
    insta::assert_snapshot!(table);
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn ambiguous_framing_is_refused_and_nothing_runs() {
    let world = world().await;
    let mut served = String::new();
    for (name, text) in ambiguous_framing() {
        let answer = raw(world.callers(0), text.as_bytes(), false).await;
        let line = summary(&answer);
        if line.starts_with("200") {
            let _infallible = writeln!(served, "{name}: {line}");
        }
    }
    assert_eq!(served, "", "these were served");
    assert_nothing_ran(&world);
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_smuggled_second_request_never_runs() {
    let world = world().await;
    let inner = request("/afspraak-app/bookings", "Content-Length: 1\r\n", "a");
    let shapes = [
        "Content-Length: 0\r\nTransfer-Encoding: chunked\r\n",
        "Content-Length: 0\r\nContent-Length: 400\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 400\r\n",
    ];
    for shape in shapes {
        let outer = request("/afspraak-app/hours", shape, &format!("0\r\n\r\n{inner}"));
        let _answer = raw(world.callers(0), outer.as_bytes(), true).await;
    }
    for plain in world.site.plains.values() {
        let runs = plain.records().runs;
        let inner = runs.iter().find(|run| run.path.starts_with("/bookings"));
        assert_eq!(inner, None, "the inner request ran");
    }
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn forged_peer_messages_change_nothing() {
    let world = world().await;
    let before: Vec<_> = world
        .nodes
        .iter()
        .map(|node| node.state().owners.open_requests())
        .collect();
    let wrong = "not the secret of the tests"
        .parse()
        .expect("a long secret");
    let links = Links::new(wrong);
    for node in &world.nodes {
        let upstream = "plain-brugge".parse().expect("a name");
        let request = "forged".parse().expect("a name");
        let call = links.call(
            node.peers(),
            Duration::from_secs(2),
            |client, context| async move { client.withdraw(context, upstream, request).await },
        );
        assert!(
            call.await.is_err(),
            "a peer without the secret was accepted"
        );
        let upgrade = "GET / HTTP/1.1\r\nHost: test\r\nConnection: Upgrade\r\nUpgrade: websocket\r\n\
                       Sec-WebSocket-Version: 13\r\nSec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n";
        let forged = format!("{upgrade}\u{2}\u{3}garbage in place of an answer");
        let _closed = raw(node.peers(), forged.as_bytes(), true).await;
        let _closed = raw(node.peers(), &[0xff; 512], true).await;
    }
    let after: Vec<_> = world
        .nodes
        .iter()
        .map(|node| node.state().owners.open_requests())
        .collect();
    assert_eq!(before, after);
    let answer = book(&world, "expo", "slot-1", "a").await;
    assert_eq!(answer.status, 200, "{}", answer.text());
    world.stop().await;
}

async fn book(world: &World, customer: &str, key: &str, body: &'static str) -> Answer {
    let mut request = post("/afspraak-app/bookings")
        .header("idempotency-key", key)
        .body(body.into())
        .expect("a request");
    let bearer = format!("Bearer key-of-{customer}")
        .parse()
        .expect("a value");
    request.headers_mut().insert("authorization", bearer);
    call(world.callers(1), request).await
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stored_response_is_not_replayed_to_another_customer_or_another_body() {
    let world = world().await;
    let first = book(&world, "expo", "slot-1", "a").await;
    assert_eq!(first.status, 200, "{}", first.text());
    let other = book(&world, "beurs", "slot-1", "a").await;
    assert_eq!(other.status, 200, "{}", other.text());
    assert!(!other.headers.contains_key("idempotency-replayed"));
    let changed = book(&world, "expo", "slot-1", "b").await;
    assert_eq!(changed.status, 422, "{}", changed.text());
    let kind = changed.json()["type"].to_string();
    assert!(kind.ends_with(":key-reused\""), "{kind}");
    let plain = world.site.plains.values().next().expect("a plain service");
    assert_eq!(plain.records().runs.len(), 2);
    // The key is busy until the outcome of the first request is recorded.
    let again = loop {
        let again = book(&world, "expo", "slot-1", "a").await;
        if again.status != 409 {
            break again;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    };
    assert_eq!(again.body, first.body);
    assert_eq!(plain.records().runs.len(), 2);
    world.stop().await;
}
