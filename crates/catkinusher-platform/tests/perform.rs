//! Executes the core's calls against the fake platform, with and without injected faults.

use std::time::Duration;

use catkinusher_core::object::{Answer, Call, Version};
use catkinusher_fakes::object::{self, Config, Faults, Handle};
use catkinusher_platform::{Gate, Store};

/// Far above the latency of loopback.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Injects a fault.
type Switch = fn(&mut Faults);

async fn started() -> (Handle, Store) {
    let handle = object::start(Config::default()).await.expect("started");
    let store = Store::new([handle.addr()], TIMEOUT, Gate::unlimited());
    (handle, store)
}

fn write(version: Version, value: u32) -> Call<u32> {
    Call::Write {
        name: "gent/7".to_owned(),
        version,
        value,
    }
}

fn read() -> Call<u32> {
    Call::Read {
        name: "gent/7".to_owned(),
    }
}

#[tokio::test]
async fn each_call_has_its_answer() {
    let (_handle, store) = started().await;
    let delete = || Call::Delete {
        name: "gent/7".to_owned(),
    };
    let calls = [
        read(),
        write(Version::NONE, 1),
        write(Version::NONE, 2),
        write(Version::new(1), 3),
        write(Version::new(1), 4),
        read(),
        delete(),
        delete(),
    ];
    let mut lines = Vec::new();
    for call in calls {
        let line = format!("{call:?}");
        lines.push(format!(
            "{line} -> {:?}",
            store.perform("claim", call).await
        ));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test]
async fn each_fault_is_told_apart() {
    let faults: [(&str, Switch); 4] = [
        ("outage", |faults| faults.outage = true),
        ("answer lost", |faults| faults.lose_answers = 1),
        ("write lost", |faults| faults.drop_writes = 1),
        ("none", |_faults| {}),
    ];
    let mut lines = Vec::new();
    for (name, switch) in faults {
        let (handle, store) = started().await;
        store.perform("claim", write(Version::NONE, 1)).await;
        handle.faults().set(switch);
        let answer: Answer<u32> = store.perform("claim", write(Version::new(1), 2)).await;
        let stands = handle.get("claim", "gent/7").map(|object| object.value);
        let stands = stands.unwrap_or_default();
        lines.push(format!("{name}: {answer:?}, {stands} stands"));
    }
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test]
async fn a_silent_connection_costs_one_call_only() {
    let (handle, _store) = started().await;
    let store = Store::new(
        [handle.addr()],
        Duration::from_millis(200),
        Gate::unlimited(),
    );
    store.perform("claim", write(Version::NONE, 1)).await;
    handle.faults().set(|faults| faults.link.silent = true);
    let lost = store.perform("claim", read()).await;
    let found = store.perform("claim", read()).await;
    insta::assert_snapshot!(format!("{lost:?}, {found:?}"));
}
