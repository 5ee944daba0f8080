//! A prompt of 10^15 tokens, or an engine with odd figures, made the cost model panic.

use std::time::Duration;

use catkinusher_core::engine::EngineProfile;
use catkinusher_core::units::{Rate, Tokens, seconds};

#[test]
fn times_of_any_prompt_and_profile_are_durations() {
    let figures = [0.0, -1.0, 0.9, 1e300, f64::INFINITY, f64::NAN];
    let year = seconds(f64::INFINITY);
    for figure in figures {
        let profile = EngineProfile {
            slots: 16,
            kv_capacity: Tokens::new(450_000),
            step_ms: figure,
            answer_step_ms: figure,
            context_step_ms: figure,
            prefill_rate: Rate::per_second(figure),
            pair_prefill_ms: figure,
            steps_per_pass: u32::MAX,
            mean_answer: Tokens::new(800),
            joint_prefill: true,
        };
        for count in [0, 5000, 1_000_000_000_000_000, u64::MAX] {
            let tokens = Tokens::new(count);
            let times = [
                profile.prefill_time(tokens),
                profile.decode_time(tokens),
                profile.pass_time(u32::MAX, tokens),
            ];
            assert!(times.iter().all(|time| *time <= year), "{figure} {count}");
        }
    }
    assert!(year < Duration::MAX / 1000, "sums are durations, too");
}
