//! Quarantine of requests that crash every engine that runs them.

mod support;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use catkinusher_core::id::Incarnation;
use catkinusher_core::units::Tokens;
use catkinusher_fakes::site::Manner;
use catkinusherd::settings::Settings;
use support::{World, complete, expected, prompt, until};

/// A prompt that contains this text crashes an engine.
const MARKER: &str = "PILL";

/// How often the poisonous request is sent.
const SENDS: usize = 6;

/// The number of callers that send other requests.
const OTHERS: usize = 6;

/// The number of engines that one poisonous request may crash: one until it is suspected, one until
/// it is proven to crash engines, and one more if two owners suspect it before they learn of each
/// other.
const MAX_CRASHES: u64 = 3;

/// The result of one run.
#[derive(Debug, Default)]
struct Run {
    /// The number of engine crashes that the poisonous request caused.
    crashes: u64,
    /// The answers to the poisonous request that refuse it as quarantined.
    refused: usize,
    /// Other requests that were refused as quarantined.
    wrongly_refused: usize,
    /// Other requests that completed.
    completed: usize,
}

fn four_engines() -> String {
    let more = r#"
    [[upstream]]
    name = "engine-brugge"
    service = "taalhulp"
    vm = "vm-brugge"
    address = "127.0.0.1:4"
    [[upstream]]
    name = "engine-gent-2"
    service = "taalhulp"
    vm = "vm-gent"
    address = "127.0.0.1:5"
    "#;
    format!("{}{more}", support::SMALL)
}

/// Sends the poisonous request repeatedly through all nodes while other callers use the fleet.
async fn run<F>(change: F) -> Run
where
    F: FnMut(&mut Settings),
{
    let manner = Manner {
        speed: 20.0,
        ..Manner::default()
    };
    let world = World::start_in(&four_engines(), &manner, change).await;
    for engine in world.site.engines.values() {
        engine
            .faults()
            .set(|faults| faults.poison = Some(MARKER.to_owned()));
    }
    until(|| known_incarnations(&world) == world.site.engines.len()).await;
    let stop = Arc::new(AtomicBool::new(false));
    let others: Vec<_> = (0..OTHERS)
        .map(|number| {
            let to = world.callers(number % world.nodes.len());
            tokio::spawn(send_others(to, number, Arc::clone(&stop)))
        })
        .collect();
    let mut run = Run::default();
    for send in 0..SENDS {
        let body = prompt(200, 20).replacen("abc", MARKER, 1);
        let answer = complete(world.callers(send % world.nodes.len()), body).await;
        assert_ne!(answer.status, 200, "{}", answer.text());
        let refused = answer.text().contains("quarantined");
        run.refused += usize::from(refused);
        assert!(
            !(refused && is_started(&world, &answer.id())),
            "{}",
            answer.text()
        );
    }
    stop.store(true, Ordering::SeqCst);
    for other in others {
        let (completed, wrongly_refused) =
            other.await.expect("the task of a caller should not panic");
        run.completed += completed;
        run.wrongly_refused += wrongly_refused;
    }
    let engines = world.site.engines.values();
    run.crashes = engines.map(|engine| engine.records().poisoned).sum();
    let held = || {
        let engines = world.site.engines.values();
        engines.map(|engine| engine.records().held).sum::<Tokens>()
    };
    until(|| held() == Tokens::ZERO).await;
    world.stop().await;
    run
}

/// Whether an engine started the request.
fn is_started(world: &World, id: &str) -> bool {
    let engines = world.site.engines.values();
    let mut records = engines.map(catkinusher_fakes::engine::Handle::records);
    records.any(|records| records.begun.iter().any(|begin| begin.id.as_str() == id))
}

/// The number of engines whose incarnation is known to their owners.
fn known_incarnations(world: &World) -> usize {
    let nodes = world.nodes.iter();
    let digests = nodes.flat_map(|node| node.state().owners.digests());
    digests
        .filter(|(upstream, digest)| {
            let engine = world.site.engines.contains_key(upstream);
            engine && digest.incarnation != Incarnation::default()
        })
        .count()
}

/// Sends other prompts one after the other until `stop` is set, and counts those that completed and
/// those refused as quarantined.
async fn send_others(
    to: std::net::SocketAddr,
    number: usize,
    stop: Arc<AtomicBool>,
) -> (usize, usize) {
    let mut counts = (0, 0);
    while !stop.load(Ordering::SeqCst) {
        let body = prompt(100 + number, 10);
        let answer = complete(to, body).await;
        counts.1 += usize::from(answer.text().contains("quarantined"));
        let (text, done) = answer.tokens();
        if done && text == expected(&answer.id(), 10) {
            counts.0 += 1;
        }
    }
    counts
}

#[tokio::test(flavor = "multi_thread")]
async fn a_poisonous_request_costs_few_engines_and_is_then_refused() {
    let run = run(|_| {}).await;
    println!("with quarantine: {run:?}");
    assert!(run.crashes <= MAX_CRASHES, "{run:?}");
    assert!(run.refused >= SENDS - 2, "{run:?}");
    assert_eq!(run.wrongly_refused, 0, "{run:?}");
    assert!(run.completed > 0, "{run:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn without_entries_each_send_costs_engines() {
    let run = run(|settings| settings.poison.entries = 0).await;
    println!("without quarantine: {run:?}");
    assert!(run.crashes >= SENDS as u64, "{run:?}");
    assert_eq!(run.refused, 0, "{run:?}");
}
