//! A permit granted before the upstream's incarnation is known must end with its report.
//!
//! The owner learned the first incarnation from the report and kept the permit reserved until its
//! lease expired.

use std::time::Duration;

use catkinusher_core::ask::{Ask, Role};
use catkinusher_core::id::Incarnation;
use catkinusher_core::owner::{Limits, Outcome, Owner, Reply, Report, Share};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;

#[test]
fn a_report_frees_a_permit_from_before_the_first_incarnation() {
    let now = Time::from_millis(1_000);
    let mut owner = Owner::new(Limits::Plain(8), Share::Full, now);
    let ask = Ask {
        request: "r".parse().expect("a valid name"),
        customer: "expo".parse().expect("a valid name"),
        weight: 1,
        service: "afspraak-app".parse().expect("a valid name"),
        model: None,
        prompt: Tokens::ZERO,
        output: Tokens::ZERO,
        prefix: Vec::new(),
        role: Role::Whole,
        excess: false,
        patience: None,
        deadline: now + Duration::from_mins(1),
    };
    let request = ask.request.clone();
    let holder = "entry-1".parse().expect("a valid name");
    assert!(matches!(owner.acquire(ask, holder, now), Reply::Granted(_)));
    let mut report = Report::new(Outcome::Done);
    report.incarnation = Some(Incarnation::new(1));
    owner.release(&request, &report, now);
    assert_eq!(owner.ledger().streams(), 0);
    assert_eq!(owner.incarnation(), Incarnation::new(1));
}
