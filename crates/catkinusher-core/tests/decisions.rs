//! Snapshot tests of small, seeded runs of the decision code.

use std::time::Duration;

use catkinusher_core::ask::{Ask, Role};
use catkinusher_core::cache::PrefixHasher;
use catkinusher_core::class::LengthClass;
use catkinusher_core::cost::TokenEstimator;
use catkinusher_core::digest::Digest;
use catkinusher_core::id::UpstreamId;
use catkinusher_core::limit::AdaptiveLimit;
use catkinusher_core::route::{Policy, Predictive, View};
use catkinusher_core::shares::PoolSplit;
use catkinusher_core::time::Time;
use catkinusher_core::units::{Bytes, Tokens};
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn ask(number: u64, prompt: u64) -> Ask {
    Ask {
        request: format!("r{number}").parse().expect("a valid name"),
        customer: "c".parse().expect("a valid name"),
        weight: 1,
        service: "llm".parse().expect("a valid name"),
        model: None,
        prompt: Tokens::new(prompt),
        output: Tokens::new(100),
        prefix: vec![number % 3, number % 3 + 10],
        role: Role::Whole,
        excess: false,
        patience: None,
        deadline: Time::from_millis(600_000),
    }
}

fn view(engines: u64) -> View {
    let mut view = View::new("gent".parse().expect("a valid name"));
    for place in 0..engines {
        let name: UpstreamId = format!("engine-{place}").parse().expect("a valid name");
        view.insert(name.clone(), "gent".parse().expect("a valid name"));
        let digest = Digest {
            free: Tokens::new(400_000),
            backlog: [Tokens::new(place * 3_000); 4],
            limit: 64,
            pace: 30_000,
            ..Digest::default()
        };
        view.on_digest(&name, digest, Time::ZERO);
    }
    view
}

#[test]
fn the_same_seed_makes_the_same_choices() {
    let mut view = view(6);
    view.set_bulk_count(2);
    view.set_closed(&"engine-1".parse().expect("a valid name"), true);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut policy = Predictive::default();
    let mut lines = Vec::new();
    for number in 0..10 {
        let ask = ask(number, if number % 4 == 3 { 150_000 } else { 3_000 });
        let now = Time::from_millis(number);
        let choice = policy
            .choose(&ask, &view, &mut rng, now)
            .expect("an upstream is open");
        view.on_sent(&choice.upstream, &ask, now);
        lines.push(format!(
            "{} {} {:?} {}",
            ask.class(),
            choice.upstream,
            choice.predicted,
            choice.reason
        ));
    }
    insta::assert_yaml_snapshot!(lines);
}

#[test]
fn a_closed_upstream_gets_nothing() {
    let mut view = view(3);
    let closed: UpstreamId = "engine-0".parse().expect("a valid name");
    view.set_closed(&closed, true);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for number in 0..200 {
        let now = Time::from_millis(number);
        let choice = Predictive::default().choose(&ask(number, 3_000), &view, &mut rng, now);
        assert_ne!(choice.expect("two upstreams are open").upstream, closed);
    }
}

/// Mostly short prompts, then mostly long ones, with a few seconds of jitter.
#[test]
fn shares_follow_the_mix_with_hysteresis() {
    let mut shares = PoolSplit::new(Time::ZERO);
    let mut counts = Vec::new();
    let mut moves = 0;
    let mut last = 0;
    for second in 0..600 {
        let now = Time::from_millis(second * 1000);
        let evening = second >= 300;
        shares.on_request(LengthClass::Short, Tokens::new(30_000), now);
        let jitter = second % 7 * 1_000;
        let long = if evening { 60_000 } else { 6_000 } + jitter;
        shares.on_request(LengthClass::Huge, Tokens::new(long), now);
        let count = shares.bulk_upstreams(20, now);
        moves += u32::from(count != last);
        last = count;
        if second % 60 == 59 {
            counts.push(count);
        }
    }
    insta::assert_snapshot!(format!("{counts:?}, {moves} moves"));
}

#[test]
fn prefix_hashes_do_not_depend_on_how_the_prompt_is_split() {
    let text = vec![b'x'; 9_000];
    let mut whole = PrefixHasher::new("m");
    whole.update(&text);
    let mut chunked = PrefixHasher::new("m");
    for chunk in text.chunks(777) {
        chunked.update(chunk);
    }
    let hashes = whole.into_hashes();
    assert_eq!(hashes.len(), 3);
    assert_eq!(hashes, chunked.into_hashes());
}

#[test]
fn estimates_follow_what_engines_count() {
    let model = "m".parse().expect("a valid name");
    let mut estimator = TokenEstimator::default();
    let before = estimator.tokens(&model, Bytes::new(30_000));
    for _ in 0..100 {
        estimator.on_usage(&model, Bytes::new(30_000), Tokens::new(10_000));
    }
    let after = estimator.tokens(&model, Bytes::new(30_000));
    insta::assert_snapshot!(format!("{before} then {after}"));
}

#[test]
fn a_limit_falls_under_load_and_comes_back() {
    let mut limit = AdaptiveLimit::new(64);
    let mut seen = vec![limit.get()];
    for (millis, rounds) in [(10, 2_000), (60, 200), (10, 2_000)] {
        for _ in 0..rounds {
            limit.on_answer(Duration::from_millis(millis), limit.get());
        }
        seen.push(limit.get());
    }
    insta::assert_snapshot!(format!("{seen:?}"));
}
