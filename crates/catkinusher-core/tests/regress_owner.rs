//! Regression tests for faults that the bench found in the owner and its parts.

use std::time::Duration;

use catkinusher_core::ask::{Ask, Role};
use catkinusher_core::id::{Incarnation, VmId};
use catkinusher_core::inventory::EngineLimits;
use catkinusher_core::owner::{Event, Limits, Owner, Reason, Reply, Share};
use catkinusher_core::ramp::Ramp;
use catkinusher_core::time::Time;
use catkinusher_core::units::{Rate, Tokens};

fn owner(chunk: Option<u64>) -> Owner {
    let limits = EngineLimits {
        memory: Tokens::new(480_000),
        prefill: Rate::per_second(60_000.0),
        decode: Rate::per_second(80.0),
        streams: 64,
        chunk: chunk.map(Tokens::new),
        cold_streams: 2,
        fencing: true,
        kv_transfer: true,
    };
    let mut owner = Owner::new(Limits::Engine(limits), Share::Full, Time::ZERO);
    owner.reconcile(Incarnation::new(1), &[], Time::ZERO);
    owner.assume_warm();
    owner
}

fn ask(number: u32, prompt: u64, role: Role) -> Ask {
    Ask {
        request: format!("r{number}").parse().expect("a valid name"),
        customer: "c".parse().expect("a valid name"),
        weight: 1,
        service: "llm".parse().expect("a valid name"),
        model: None,
        prompt: Tokens::new(prompt),
        output: Tokens::new(100),
        prefix: Vec::new(),
        role,
        excess: false,
        patience: None,
        deadline: Time::from_millis(600_000),
    }
}

fn vm() -> VmId {
    "vm".parse().expect("a valid name")
}

/// All free memory was kept for a queued long prompt, which blocked the short prompts.
#[test]
fn a_queued_long_prompt_leaves_short_ones_their_reserve() {
    let mut owner = owner(Some(1536));
    for number in 0..2 {
        let huge = ask(number, 240_000, Role::Whole);
        owner.acquire(huge, vm(), Time::ZERO);
    }
    let reply = owner.acquire(ask(9, 2_000, Role::Whole), vm(), Time::ZERO);
    assert!(matches!(reply, Reply::Granted(_)), "{reply:?}");
}

/// A group member was queued behind a prompt that waited for the engine's prefill window.
#[test]
fn a_group_member_overtakes_prompts_that_wait_for_prefill() {
    let mut owner = owner(Some(1536));
    owner.acquire(ask(0, 110_000, Role::Whole), vm(), Time::ZERO);
    let reply = owner.acquire(ask(1, 110_000, Role::Whole), vm(), Time::ZERO);
    assert_eq!(reply, Reply::Queued);
    let member = ask(2, 900_000, Role::Member(Tokens::new(120_000)));
    let reply = owner.acquire(member, vm(), Time::ZERO);
    assert!(matches!(reply, Reply::Granted(_)), "{reply:?}");
}

/// Without chunking, the predicted first token of a short prompt left out a running long prefill.
#[test]
fn an_engine_without_chunking_counts_the_running_prefill() {
    let mut owner = owner(None);
    owner.acquire(ask(0, 120_000, Role::Whole), vm(), Time::ZERO);
    let mut short = ask(1, 1_000, Role::Whole);
    short.patience = Some(Duration::from_millis(500));
    let Reply::Refused(refusal) = owner.acquire(short, vm(), Time::ZERO) else {
        panic!("the request is accepted although it would wait two seconds");
    };
    assert_eq!(refusal.reason, Reason::Busy);
    assert!(refusal.after > Duration::from_secs(1));
}

/// A request beyond its customer's share took freed memory for which others were queued.
#[test]
fn excess_waits_while_a_request_within_its_share_waits() {
    let mut owner = owner(Some(1536));
    owner.acquire(ask(0, 110_000, Role::Whole), vm(), Time::ZERO);
    owner.acquire(ask(1, 110_000, Role::Whole), vm(), Time::ZERO);
    let mut excess = ask(2, 1_000, Role::Whole);
    excess.excess = true;
    assert_eq!(owner.acquire(excess, vm(), Time::ZERO), Reply::Queued);
    let events = owner.poll(Time::ZERO);
    let granted = events
        .iter()
        .any(|event| matches!(event, Event::Granted(_)));
    assert!(!granted, "{events:?}");
}

/// Slow answers, normal for a cold upstream, did not count as successes and kept it cold.
#[test]
fn a_slow_answer_of_a_cold_upstream_counts_as_a_success() {
    let mut ramp = Ramp::new(2, 64, Time::ZERO);
    for second in 0..32 {
        ramp.on_success(4.0, Time::from_millis(second * 1000));
    }
    assert_eq!(ramp.stream_limit(), 64);
    // Once the upstream is warm, consecutive slow answers mean that it has turned cold.
    for second in 40..43 {
        ramp.on_success(4.0, Time::from_millis(second * 1000));
    }
    assert_eq!(ramp.stream_limit(), 2);
}
