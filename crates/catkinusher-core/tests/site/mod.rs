//! The model service of the users' specification, for tests of placement.

use std::time::Duration;

use catkinusher_core::directory::Service;
use catkinusher_core::engine::Rates;
use catkinusher_core::fleet::Upstream;
use catkinusher_core::units::{Rate, Tokens};

pub const SERVICE: &str = "taalhulp";

pub fn rates() -> Rates {
    Rates {
        slots: 16,
        memory: Tokens::new(450_000),
        step: 0.925,
        answer: 0.004_83,
        context: 0.002_54,
        read: Rate::per_second(256_000.0),
        pairs: 0.0917,
        stride: 46,
        usual: Tokens::new(1540),
        joint: true,
    }
}

pub fn model() -> Service {
    Service {
        name: SERVICE.parse().unwrap(),
        cold: Some(Rate::per_second(36.0)),
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
        cold: Duration::ZERO,
        started: Some(1),
    }
}
