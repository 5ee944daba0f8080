//! The first report from an engine that names its incarnation must still free its own permit.
//!
//! The owner learned the incarnation from that report and did not free the permit.

use std::time::Duration;

use catkinusher_core::ask::{Ask, Role};
use catkinusher_core::id::Incarnation;
use catkinusher_core::inventory::EngineLimits;
use catkinusher_core::owner::{Limits, Outcome, Owner, Reply, Report, Share};
use catkinusher_core::time::Time;
use catkinusher_core::units::{Rate, Tokens};

#[test]
fn a_report_with_the_first_incarnation_frees_its_permit() {
    let limits = EngineLimits {
        memory: Tokens::new(480_000),
        prefill: Rate::per_second(60_000.0),
        decode: Rate::per_second(80.0),
        streams: 64,
        chunk: None,
        cold_streams: 2,
        fencing: true,
        kv_transfer: true,
    };
    let mut owner = Owner::new(Limits::Engine(limits), Share::Full, Time::ZERO);
    let ask = Ask {
        request: "r1".parse().expect("a valid name"),
        customer: "c".parse().expect("a valid name"),
        weight: 1,
        service: "llm".parse().expect("a valid name"),
        model: None,
        prompt: Tokens::new(1_000),
        output: Tokens::new(100),
        prefix: Vec::new(),
        role: Role::Whole,
        excess: false,
        patience: None,
        deadline: Time::from_millis(600_000),
    };
    let request = ask.request.clone();
    let reply = owner.acquire(ask, "vm".parse().expect("a valid name"), Time::ZERO);
    assert!(matches!(reply, Reply::Granted(_)), "{reply:?}");
    let mut report = Report::new(Outcome::Done);
    report.incarnation = Some(Incarnation::new(1));
    owner.release(&request, &report, Time::ZERO + Duration::from_millis(100));
    assert_eq!(owner.ledger().streams(), 0);
}
