//! Faults that the bench once showed in the owner and its parts, one test each.

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
        request: format!("r{number}").parse().expect("a name"),
        customer: "c".parse().expect("a name"),
        weight: 1,
        service: "llm".parse().expect("a name"),
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
    "vm".parse().expect("a name")
}

/// A long prompt that waited was owed all memory, and short ones stood still beside it.
#[test]
fn a_long_prompt_that_waits_leaves_short_ones_their_floor() {
    let mut owner = owner(Some(1536));
    for number in 0..2 {
        let huge = ask(number, 240_000, Role::Whole);
        owner.acquire(huge, vm(), Time::ZERO);
    }
    let reply = owner.acquire(ask(9, 2_000, Role::Whole), vm(), Time::ZERO);
    assert!(matches!(reply, Reply::Granted(_)), "{reply:?}");
}

/// A group's part waited behind a whole prompt that waited for the engine's prefill.
#[test]
fn a_part_of_a_group_passes_prompts_that_wait_for_prefill() {
    let mut owner = owner(Some(1536));
    owner.acquire(ask(0, 110_000, Role::Whole), vm(), Time::ZERO);
    let reply = owner.acquire(ask(1, 110_000, Role::Whole), vm(), Time::ZERO);
    assert_eq!(reply, Reply::Queued);
    let part = ask(2, 900_000, Role::Member(Tokens::new(120_000)));
    let reply = owner.acquire(part, vm(), Time::ZERO);
    assert!(matches!(reply, Reply::Granted(_)), "{reply:?}");
}

/// Without chunks, a long prefill under way was left out of what a short prompt expects.
#[test]
fn an_engine_without_chunks_counts_the_prefill_under_way() {
    let mut owner = owner(None);
    owner.acquire(ask(0, 120_000, Role::Whole), vm(), Time::ZERO);
    let mut short = ask(1, 1_000, Role::Whole);
    short.patience = Some(Duration::from_millis(500));
    let Reply::Refused(refusal) = owner.acquire(short, vm(), Time::ZERO) else {
        panic!("it is taken though it would wait two seconds");
    };
    assert_eq!(refusal.reason, Reason::Busy);
    assert!(refusal.after > Duration::from_secs(1));
}

/// What lies beyond a share took memory that came free while others waited for it.
#[test]
fn excess_waits_while_anything_within_a_share_waits() {
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

/// A cold upstream is slow as a matter of course; that alone kept it cold.
#[test]
fn a_slow_answer_of_a_cold_upstream_counts_as_a_success() {
    let mut ramp = Ramp::new(2, 64, Time::ZERO);
    for second in 0..32 {
        ramp.on_success(4.0, Time::from_millis(second * 1000));
    }
    assert_eq!(ramp.stream_limit(), 64);
    // Once warm, slow answers in a row mean that it turned cold.
    for second in 40..43 {
        ramp.on_success(4.0, Time::from_millis(second * 1000));
    }
    assert_eq!(ramp.stream_limit(), 2);
}
