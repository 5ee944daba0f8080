//! Secrets are never logged, at any level.

mod support;

use std::io;
use std::sync::{Arc, Mutex};

use support::{KEY, World, call, complete, post, prompt};

/// The peer secret in the test settings.
const SECRET: &str = "a secret of the tests";

#[derive(Clone, Default)]
struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl io::Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> io::Result<usize> {
        self.0.lock().expect("no panic").extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn no_secret_is_logged() {
    let lines = LogBuffer::default();
    let writer = lines.clone();
    tracing_subscriber::fmt()
        .with_max_level(tracing::Level::TRACE)
        .with_ansi(false)
        .with_writer(move || writer.clone())
        .init();
    let world = World::start(support::SMALL).await;
    let answer = complete(world.callers(0), prompt(20, 3)).await;
    assert_eq!(answer.status, 200);
    for bearer in [KEY, "key-of-nobody"] {
        let mut request = post("/afspraak-app/bookings")
            .header("idempotency-key", "slot-3")
            .body("a".into())
            .expect("a request");
        let value = format!("Bearer {bearer}").parse().expect("a value");
        request.headers_mut().insert("authorization", value);
        call(world.callers(1), request).await;
    }
    tracing::info!("settings: {:?}", world.nodes[0].state().settings);
    world.stop().await;
    let text = String::from_utf8_lossy(&lines.0.lock().expect("no panic")).into_owned();
    assert!(text.contains("front: done"), "the log was not captured");
    assert!(text.contains("claim: decided"), "the log was not captured");
    for secret in [KEY, "key-of-nobody", SECRET] {
        let line = text.lines().find(|line| line.contains(secret));
        assert_eq!(line, None, "a secret is logged");
    }
}
