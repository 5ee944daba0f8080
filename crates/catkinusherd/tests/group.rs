//! Prompts that exceed one engine's memory, on groups of engines.

mod support;

use catkinusher_core::units::Tokens;
use catkinusher_fakes::site::Manner;
use support::{Answer, World, call, expected, post, prompt, until};

/// The memory of one engine, in tokens.
const MEMORY: u64 = 60_000;

/// The words of a prompt of more than twice that memory; one word is one token.
const WORDS: usize = 125_000;

/// Output tokens of a response that lasts long enough to observe its group.
const LONG_OUTPUT: u64 = 400;

/// The test inventory with eight engines that transfer KV caches.
fn inventory() -> String {
    let more = (3..9).map(|number| {
        format!(
            "[[upstream]]\nname = \"engine-{number}\"\nservice = \"taalhulp\"\n\
             vm = \"vm-brugge\"\naddress = \"127.0.0.1:{}\"\n",
            number + 10
        )
    });
    let base = support::SMALL.replace(
        "memory = \"500k\"",
        "memory = \"60k\"\n    kv_transfer = true",
    );
    base + &more.collect::<String>()
}

async fn world() -> World {
    let manner = Manner {
        speed: 20.0,
        ..Manner::default()
    };
    World::start_in(&inventory(), &manner, |_| {}).await
}

async fn ask(to: std::net::SocketAddr, tokens: u64) -> Answer {
    let request = post("/v1/completions")
        .header("x-timeout-ms", "60000")
        .body(prompt(WORDS, tokens).into())
        .expect("a request");
    call(to, request).await
}

fn is_complete(answer: &Answer, tokens: u64) -> bool {
    let (text, done) = answer.tokens();
    answer.status == 200 && done && text == expected(&answer.id(), tokens)
}

/// The memory reserved on each engine.
fn reserved_memory(world: &World) -> Vec<Tokens> {
    let engines = world.site.engines.values();
    engines.map(|engine| engine.records().held).collect()
}

async fn until_free(world: &World) {
    until(|| {
        reserved_memory(world)
            .iter()
            .all(|memory| *memory == Tokens::ZERO)
    })
    .await;
    let owned = || {
        world
            .nodes
            .iter()
            .map(|node| node.state().owners.open_requests())
    };
    until(|| owned().all(|open| open.values().all(|count| *count == 0))).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_of_twice_an_engines_memory_completes_and_frees_all_memory() {
    assert!(WORDS as u64 > 2 * MEMORY);
    let world = world().await;
    let answer = ask(world.callers(0), 10).await;
    assert!(
        is_complete(&answer, 10),
        "{} {}",
        answer.status,
        answer.text()
    );
    until_free(&world).await;
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn two_concurrent_group_prompts_both_complete() {
    let world = world().await;
    let (one, two) = tokio::join!(ask(world.callers(0), 10), ask(world.callers(1), 10));
    for answer in [one, two] {
        assert!(
            is_complete(&answer, 10),
            "{} {}",
            answer.status,
            answer.text()
        );
    }
    until_free(&world).await;
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_member_failure_frees_the_group_and_is_not_reported_as_not_run() {
    let world = world().await;
    let to = world.callers(0);
    let asked = tokio::spawn(ask(to, LONG_OUTPUT));
    let begun = || {
        let mut engines = world.site.engines.values();
        engines.any(|engine| !engine.records().begun.is_empty())
    };
    until(begun).await;
    let mut engines = world.site.engines.values();
    let member = engines.find(|engine| {
        let records = engine.records();
        records.begun.is_empty() && records.held > Tokens::ZERO
    });
    let member = member.expect("a member other than the lead");
    member.faults().set(|faults| faults.link.dead = true);
    let answer = asked.await.expect("a caller");
    // The request ran, so an incomplete response must not report `not-run`.
    if !is_complete(&answer, LONG_OUTPUT) {
        assert!(!answer.text().contains("not-run"), "{}", answer.text());
    }
    member.faults().set(|faults| faults.link.dead = false);
    until_free(&world).await;
    world.stop().await;
}
