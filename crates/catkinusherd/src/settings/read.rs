//! Reads settings and reports all faults in one pass.

use std::net::SocketAddr;

use catkinusher_core::id::{DataCentreId, VmId};
use catkinusher_core::toml_check::{Document, Expect, Faults, Section};
use catkinusher_core::units::{Bytes, Span};
use catkinusher_peer::auth::{MIN_SECRET_LENGTH, Secret};

use super::{LogFormat, Settings};

/// The keys of `[fleet.membership]` that hold durations.
const MEMBERSHIP_SPANS: [&str; 11] = [
    "period",
    "margin",
    "probe_wait",
    "suspect_wait",
    "settle_wait",
    "join_hold",
    "hold_cap",
    "cut_limit",
    "forget_wait",
    "sync_period",
    "news_gap",
];

/// The keys of `[fleet.spread]` that hold durations.
const SPREAD_SPANS: [&str; 6] = [
    "watch_wait",
    "confirm_gap",
    "stale_limit",
    "repair_period",
    "pull_wait",
    "read_gap",
];

impl Expect for LogFormat {
    const EXPECTED: &'static str = "\"human\" or \"json\"";
}

/// Parses and checks the settings in `text`.
///
/// # Errors
///
/// Every fault, each with its line, key, what was found and what was expected.
pub fn read(text: &str) -> Result<Settings, Faults> {
    let document = Document::parse(text);
    let mut root = document.root();
    node(&mut root);
    listen(&mut root);
    platform(&mut root);
    peer(&mut root);
    limits(&mut root);
    fleet(&mut root);
    poison(&mut root);
    stop(&mut root);
    log(&mut root);
    metrics(&mut root);
    let faults = document.finish(root);
    if !faults.is_empty() {
        return Err(faults);
    }
    toml::from_str(text).map_err(|error| document.refuse(&error))
}

/// Returns a table that must be present; reports a fault if it is missing.
fn required_table<'a>(root: &mut Section<'a>, name: &'static str) -> Option<Section<'a>> {
    let table = root.table(name);
    if table.is_none() && !root.has(name) {
        root.missing(name, "a table");
    }
    table
}

fn node(root: &mut Section<'_>) {
    let Some(mut table) = required_table(root, "node") else {
        return;
    };
    table.need::<VmId>("name");
    table.need::<DataCentreId>("data_centre");
    root.join(table);
}

fn listen(root: &mut Section<'_>) {
    let Some(mut table) = required_table(root, "listen") else {
        return;
    };
    for key in ["callers", "peers", "admin"] {
        table.need::<SocketAddr>(key);
    }
    root.join(table);
}

fn platform(root: &mut Section<'_>) {
    let Some(mut table) = required_table(root, "platform") else {
        return;
    };
    table.need::<SocketAddr>("objects");
    table.need::<SocketAddr>("vms");
    positive(&mut table, "timeout");
    root.join(table);
}

fn peer(root: &mut Section<'_>) {
    let Some(mut table) = required_table(root, "peer") else {
        return;
    };
    let secret = table.need::<String>("secret");
    if let Some(entry) = secret.filter(|entry| entry.value.parse::<Secret>().is_err()) {
        // The secret itself must not appear in any message.
        let expected = format!("at least {MIN_SECRET_LENGTH} bytes");
        table.note(entry.fault("a shorter text", expected));
    }
    root.join(table);
}

fn limits(root: &mut Section<'_>) {
    let Some(mut table) = root.table("limits") else {
        return;
    };
    let count = table.find::<u32>("connections");
    table.ensure(count.as_ref(), "1 or more", |count| *count > 0);
    for key in ["head", "body", "peek", "keep", "kept"] {
        let size = table.find::<Bytes>(key);
        table.ensure(size.as_ref(), "a size above 0", |size| size.get() > 0);
    }
    positive(&mut table, "head_time");
    positive(&mut table, "idle");
    root.join(table);
}

fn fleet(root: &mut Section<'_>) {
    let Some(mut table) = root.table("fleet") else {
        return;
    };
    table.find::<Span>("quiet");
    positive(&mut table, "report");
    if let Some(mut digests) = table.table("digests") {
        for key in ["period", "keep", "far_keep"] {
            positive(&mut digests, key);
        }
        digests.find::<u32>("far_every");
        for key in ["near_limit", "detail_limit", "far_limit"] {
            digests.find::<u64>(key);
        }
        table.join(digests);
    }
    if let Some(mut members) = table.table("membership") {
        for key in MEMBERSHIP_SPANS {
            members.find::<Span>(key);
        }
        members.find::<u64>("piggyback");
        members.find::<u32>("repeats");
        members.find::<u64>("helpers");
        table.join(members);
    }
    if let Some(mut spread) = table.table("spread") {
        for key in SPREAD_SPANS {
            spread.find::<Span>(key);
        }
        spread.find::<u64>("watchers");
        spread.find::<u64>("fanout");
        spread.find::<Bytes>("body_limit");
        table.join(spread);
    }
    root.join(table);
}

fn poison(root: &mut Section<'_>) {
    let Some(mut table) = root.table("poison") else {
        return;
    };
    table.find::<u64>("entries");
    table.find::<Span>("suspicion");
    table.find::<Span>("quarantine");
    root.join(table);
}

fn stop(root: &mut Section<'_>) {
    let Some(mut table) = root.table("stop") else {
        return;
    };
    table.find::<Span>("notice");
    positive(&mut table, "limit");
    root.join(table);
}

fn log(root: &mut Section<'_>) {
    let Some(mut table) = root.table("log") else {
        return;
    };
    table.find::<LogFormat>("format");
    let level = table.find::<String>("level");
    let expected = "a filter such as \"info\" or \"catkinusherd=debug\"";
    table.ensure(level.as_ref(), expected, |level| {
        tracing_subscriber::EnvFilter::try_new(level).is_ok()
    });
    root.join(table);
}

fn metrics(root: &mut Section<'_>) {
    let Some(mut table) = root.table("metrics") else {
        return;
    };
    table.find::<SocketAddr>("statsd");
    table.find::<String>("prefix");
    root.join(table);
}

/// Checks that a duration, if present, is not zero.
fn positive(table: &mut Section<'_>, key: &'static str) {
    let span = table.find::<Span>(key);
    table.ensure(span.as_ref(), "a duration above 0", |span| {
        !span.get().is_zero()
    });
}
