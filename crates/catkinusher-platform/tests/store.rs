//! The client's handling of valid and invalid platform responses.

use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::units::Rate;
use catkinusher_platform::{Error, Gate, Listing, Object, Priority, Store, Version, Vms, Watched};
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

/// Far above the latency of loopback, so that only a missing response reaches it.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one connection per given response and returns the request lines with their conditions.
async fn canned<const N: usize>(answers: [String; N]) -> (SocketAddr, JoinHandle<Vec<String>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let task = tokio::spawn(async move {
        let mut asked = Vec::new();
        for answer in answers {
            let (mut socket, _) = listener.accept().await.expect("a connection");
            let mut head = vec![0; 4096];
            let size = socket.read(&mut head).await.expect("a request");
            let text = String::from_utf8_lossy(&head[..size]).into_owned();
            let line = text.lines().next().unwrap_or_default();
            let condition = text.lines().filter(|line| line.starts_with("if-"));
            asked.push(
                [line]
                    .into_iter()
                    .chain(condition)
                    .collect::<Vec<_>>()
                    .join("; "),
            );
            socket.write_all(answer.as_bytes()).await.expect("sent");
        }
        asked
    });
    (addr, task)
}

fn http(status: &str, body: &Value) -> String {
    let body = body.to_string();
    format!(
        "HTTP/1.1 {status}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

fn store(addr: SocketAddr) -> Store {
    Store::new([addr], TIMEOUT, Gate::unlimited())
}

#[tokio::test]
async fn each_call_speaks_the_protocol() {
    let object = json!({"name": "lịch", "version": 7, "value": {"a": 1}});
    let answers = [
        http("200 OK", &object),
        http("404 Not Found", &json!({})),
        http("200 OK", &json!({"version": 9, "objects": [object]})),
        http("200 OK", &json!({"version": 10})),
        http("200 OK", &json!({"version": 11})),
        http("200 OK", &json!({})),
        http("404 Not Found", &json!({})),
        http(
            "200 OK",
            &json!({"version": 12, "events": [{"name": "x", "version": 12, "value": null}]}),
        ),
    ];
    let (addr, task) = canned(answers).await;
    let store = store(addr);
    let read: Option<Object<Value>> = store.get("config", "lịch").await.expect("an object");
    let none: Option<Object<Value>> = store.get("config", "a b").await.expect("no object");
    let list: Listing<Value> = store.list("claim", "a/b").await.expect("a list");
    let made = store.create("claim", "k", &1).await.expect("made");
    let changed = store.update("claim", "k", &2, made).await.expect("changed");
    let gone = store
        .delete("claim", "k", Some(changed))
        .await
        .expect("gone");
    let absent = store.delete("claim", "k", None).await.expect("absent");
    let seen: Watched<Value> = store
        .watch("claim", Version::new(9), Duration::from_millis(20))
        .await
        .expect("events");
    insta::assert_yaml_snapshot!((read, none, list, made, changed, gone, absent, seen));
    insta::assert_yaml_snapshot!("asked", task.await.expect("served"));
}

async fn outcome(answer: String) -> String {
    let (addr, task) = canned([answer]).await;
    let fault = store(addr)
        .update("config", "inventory", &json!({}), Version::new(3))
        .await
        .expect_err("a fault");
    task.await.expect("served");
    let proof = if fault.proves_not_written() {
        "not taken"
    } else {
        "unknown"
    };
    format!("{proof}: {fault}")
}

#[tokio::test]
async fn a_write_tells_what_its_fault_proves() {
    let throttled = "HTTP/1.1 429 Slow\r\nRetry-After: 7\r\nContent-Length: 0\r\n\r\n";
    let cut = "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n{\"version\":";
    let lines = [
        outcome(http("412 Precondition Failed", &json!({"version": 8}))).await,
        outcome(throttled.to_owned()).await,
        outcome(http("503 Away", &json!({}))).await,
        outcome(http("500 Broken", &json!({}))).await,
        outcome(http("418 Teapot", &json!({}))).await,
        outcome(http("200 OK", &json!({"verse": 1}))).await,
        outcome(http("200 OK", &json!("x".repeat(100_000)))).await,
        outcome(cut.to_owned()).await,
        outcome(String::new()).await,
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test]
async fn a_refused_connection_took_nothing_and_the_next_address_serves() {
    let closed = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let dead = closed.local_addr().expect("an address");
    drop(closed);
    let (addr, _task) = canned([http("200 OK", &json!({"version": 1}))]).await;
    let store = Store::new([dead, addr], TIMEOUT, Gate::unlimited());
    let fault = store.create("lease", "x", &1).await.expect_err("refused");
    assert!(matches!(fault, Error::Outage(_)), "{fault}");
    assert_eq!(
        store.create("lease", "x", &1).await.expect("made"),
        Version::new(1)
    );
}

#[tokio::test]
async fn a_silent_connection_is_a_lost_answer() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let addr = listener.local_addr().expect("an address");
    let store = Store::new([addr], Duration::from_millis(100), Gate::unlimited());
    let fault = store.create("lease", "x", &1).await.expect_err("silence");
    insta::assert_snapshot!(fault, @"no answer: none within 100ms");
}

#[tokio::test]
async fn a_value_over_the_limit_is_not_sent() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let value = "x".repeat(1_000_000);
    let fault = store(addr)
        .create("config", "x", &value)
        .await
        .expect_err("too large");
    insta::assert_snapshot!(fault, @"not sent: value of 1000002 bytes, limit 1000000");
}

#[tokio::test(start_paused = true)]
async fn status_leaves_its_part_of_the_budget_to_claims() {
    let addr = SocketAddr::from(([127, 0, 0, 1], 1));
    let gate = Gate::new(Rate::per_second(1e-6), 10);
    let store = Store::new([addr], TIMEOUT, gate);
    let mut taken = Vec::new();
    for priority in [
        Priority::Status,
        Priority::Configuration,
        Priority::Lease,
        Priority::Claim,
    ] {
        let mut count = 0;
        while !matches!(
            store.at(priority).get::<Value>("x", "y").await,
            Err(Error::Throttled { .. })
        ) {
            count += 1;
        }
        taken.push((priority, count));
    }
    insta::assert_compact_debug_snapshot!(taken, @"[(Status, 6), (Configuration, 3), (Lease, 3), (Claim, 2)]");
}

#[tokio::test]
async fn the_vm_list_is_typed() {
    let vms = json!({"vms": [{"vm": "gent-1", "address": "127.0.0.1:9", "data_centre": "gent",
        "role": "entry", "state": "leaving"}]});
    let (addr, _task) = canned([http("200 OK", &vms)]).await;
    let vms = Vms::new([addr], TIMEOUT, Gate::unlimited());
    insta::assert_yaml_snapshot!(vms.list().await.expect("a list"));
}
