//! Prompts that the cache holds must not teach an owner that its engine is slow.

use std::time::Duration;

use catkinusher_core::inventory::EngineLimits;
use catkinusher_core::pace::Pace;
use catkinusher_core::units::{Rate, Tokens};

fn pace() -> Pace {
    Pace::new(&EngineLimits {
        memory: Tokens::new(500_000),
        prefill: Rate::per_second(40_000.0),
        decode: Rate::per_second(50.0),
        streams: 32,
        chunk: Some(Tokens::new(2_000)),
        cold_streams: 4,
        fencing: false,
        kv_transfer: false,
    })
}

#[test]
fn cached_prompts_leave_the_pace_as_it_is() {
    let mut pace = pace();
    let before = pace.rate().get();
    for _request in 0..200 {
        pace.observe(Duration::ZERO, Duration::from_millis(25));
    }
    assert!((pace.rate().get() - before).abs() < before * 0.01);
}

#[test]
fn long_prompts_still_show_a_slow_engine() {
    let mut pace = pace();
    let before = pace.rate().get();
    for _request in 0..60 {
        let expected = pace.prefill_time(Tokens::new(100_000));
        pace.observe(expected, expected * 3);
    }
    assert!(pace.rate().get() < before * 0.5);
}
