//! `catkinusher where` without a node that answers.

mod support;

use std::net::TcpListener;

use catkinusher::Exit;
use support::{Operator, objects};

#[tokio::test]
async fn a_node_that_cannot_be_reached_is_an_error() {
    let an = Operator::new("an", &objects().await);
    // Nothing listens on the port any more.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap().to_string();
    drop(listener);
    let args = ["where", "--node", &address, "--host", "a", "--path", "/"];
    let outcome = an.call(&args).await;
    assert_eq!((outcome.exit, outcome.out.as_str()), (Exit::Failed, ""));
    assert!(
        outcome.err.contains("no answer from 127.0.0.1:"),
        "{outcome}"
    );
}

#[tokio::test]
async fn missing_options_are_named() {
    let an = Operator::new("an", &objects().await);
    for (args, missing) in [
        (&["--host", "a", "--path", "/"][..], "--node is missing"),
        (
            &["--node", "127.0.0.1:9", "--path", "/"],
            "--host is missing",
        ),
        (
            &["--node", "127.0.0.1:9", "--host", "a"],
            "--path is missing",
        ),
    ] {
        let args: Vec<&str> = ["where"].iter().chain(args).copied().collect();
        let outcome = an.call(&args).await;
        assert_eq!(outcome.exit, Exit::Usage, "{outcome}");
        assert!(outcome.err.contains(missing), "{missing}: {outcome}");
    }
}
