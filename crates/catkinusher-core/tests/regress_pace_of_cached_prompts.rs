//! Regression test: answers to fully cached prompts must not lower the estimated prefill rate.
//!
//! Their prefill is expected to take no time, so any measured duration, such as that of the first
//! token, looks like a slow engine.

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
    let initial = pace.rate().get();
    for _request in 0..200 {
        pace.observe(Duration::ZERO, Duration::from_millis(25));
    }
    assert!((pace.rate().get() - initial).abs() < initial * 0.01);
}

#[test]
fn long_prompts_still_show_a_slow_engine() {
    let mut pace = pace();
    let initial = pace.rate().get();
    for _request in 0..60 {
        let expected = pace.prefill_time(Tokens::new(100_000));
        pace.observe(expected, expected * 3);
    }
    assert!(pace.rate().get() < initial * 0.5);
}
