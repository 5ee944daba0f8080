//! The model service of the users' specification, for tests of placement.

use std::time::Duration;

use catkinusher_core::directory::Service;
use catkinusher_core::engine::EngineProfile;
use catkinusher_core::fleet::Upstream;
use catkinusher_core::units::{Rate, Tokens};

pub const SERVICE: &str = "taalhulp";

pub fn rates() -> EngineProfile {
    EngineProfile {
        slots: 16,
        kv_capacity: Tokens::new(450_000),
        step_ms: 0.925,
        answer_step_ms: 0.004_83,
        context_step_ms: 0.002_54,
        prefill_rate: Rate::per_second(256_000.0),
        pair_prefill_ms: 0.0917,
        steps_per_pass: 46,
        mean_answer: Tokens::new(1540),
        joint_prefill: true,
    }
}

pub fn model() -> Service {
    Service {
        name: SERVICE.parse().unwrap(),
        cold_rate: Some(Rate::per_second(36.0)),
        engine: Some(rates()),
    }
}

pub fn upstream(number: usize) -> Upstream {
    Upstream {
        id: format!("i-{number:02}").parse().unwrap(),
        service: SERVICE.parse().unwrap(),
        address: format!("127.0.0.1:{}", 9000 + number).parse().unwrap(),
        data_centre: ["gent", "kortrijk"][number % 2].parse().unwrap(),
        slots: 16,
        leaving: false,
        cold_for: Duration::ZERO,
        started: Some(1),
        sequence: None,
    }
}
