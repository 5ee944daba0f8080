//! Isolation of suspects at an owner, and the crash suspects that it reports.

use std::time::Duration;

use catkinusher_core::ask::{Ask, Role};
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::id::Incarnation;
use catkinusher_core::owner::{Event, Limits, Outcome, Owner, Reply, Report, RunOptions, Share};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;

const START: Time = Time::from_millis(1_000);

fn ask(name: &str) -> Ask {
    Ask {
        request: name.parse().expect("a valid name"),
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
        deadline: START + Duration::from_mins(1),
    }
}

fn fingerprint(name: &str) -> Fingerprint {
    Fingerprint::of([name.as_bytes()])
}

struct TestOwner(Owner);

impl TestOwner {
    fn new() -> Self {
        let mut owner = Owner::new(Limits::Plain(8), Share::Full, START);
        owner.assume_warm();
        owner.reconcile(Incarnation::new(1), &[], START);
        Self(owner)
    }

    fn acquire(&mut self, name: &str, isolated: bool) -> &'static str {
        let options = RunOptions {
            fingerprint: Some(fingerprint(name)),
            isolated,
        };
        let holder = "entry-1".parse().expect("a valid name");
        match self.0.acquire_with(options, ask(name), holder, START) {
            Reply::Granted(_) => "granted",
            Reply::Queued => "queued",
            Reply::Refused(_) => "refused",
        }
    }

    fn release(&mut self, name: &str, outcome: Outcome) -> Vec<String> {
        let request = name.parse().expect("a valid name");
        self.0.release(&request, &Report::new(outcome), START);
        let events = self.0.poll(START);
        let granted = events.into_iter().filter_map(|event| match event {
            Event::Granted(permit) => Some(permit.request.to_string()),
            _ => None,
        });
        granted.collect()
    }
}

#[test]
fn an_isolated_suspect_waits_for_running_requests_and_runs_alone() {
    let mut owner = TestOwner::new();
    assert_eq!(owner.acquire("a", false), "granted");
    assert_eq!(owner.acquire("suspect", true), "queued");
    assert_eq!(owner.acquire("b", false), "queued");
    assert_eq!(owner.release("a", Outcome::Done), ["suspect"]);
    assert_eq!(owner.acquire("c", false), "queued");
    assert_eq!(owner.0.digest().limit, 1);
    assert_eq!(owner.release("suspect", Outcome::Done), ["b", "c"]);
}

#[test]
fn a_crash_reports_each_running_request_once_and_no_unsent_one() {
    let mut owner = TestOwner::new();
    for name in ["a", "b", "unsent"] {
        assert_eq!(owner.acquire(name, false), "granted");
    }
    owner.release("unsent", Outcome::Unreached);
    owner.release("a", Outcome::Crashed);
    assert_eq!(
        owner.0.take_crash_suspects(),
        [fingerprint("a"), fingerprint("b")]
    );
    owner.release("b", Outcome::Crashed);
    owner.0.reconcile(Incarnation::new(2), &[], START);
    assert_eq!(owner.0.take_crash_suspects(), []);
}

#[test]
fn a_broken_request_becomes_a_crash_suspect_with_the_next_incarnation() {
    let mut owner = TestOwner::new();
    assert_eq!(owner.acquire("a", false), "granted");
    owner.release("a", Outcome::Failed);
    assert_eq!(owner.0.take_crash_suspects(), []);
    owner.0.reconcile(Incarnation::new(2), &[], START);
    assert_eq!(owner.0.take_crash_suspects(), [fingerprint("a")]);
}
