//! Suspects that run apart at an owner, and whom it blames for a crash.

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
        request: name.parse().expect("a good name"),
        customer: "expo".parse().expect("a good name"),
        weight: 1,
        service: "afspraak-app".parse().expect("a good name"),
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

fn print(name: &str) -> Fingerprint {
    Fingerprint::of([name.as_bytes()])
}

struct Bench(Owner);

impl Bench {
    fn new() -> Self {
        let mut owner = Owner::new(Limits::Plain(8), Share::Full, START);
        owner.assume_warm();
        owner.reconcile(Incarnation::new(1), &[], START);
        Self(owner)
    }

    fn acquire(&mut self, name: &str, apart: bool) -> &'static str {
        let terms = RunOptions {
            fingerprint: Some(print(name)),
            isolated: apart,
        };
        let holder = "entry-1".parse().expect("a good name");
        match self.0.acquire_with(terms, ask(name), holder, START) {
            Reply::Granted(_) => "granted",
            Reply::Queued => "queued",
            Reply::Refused(_) => "refused",
        }
    }

    fn release(&mut self, name: &str, outcome: Outcome) -> Vec<String> {
        let request = name.parse().expect("a good name");
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
fn a_suspect_waits_for_the_rest_and_nothing_joins_it() {
    let mut bench = Bench::new();
    assert_eq!(bench.acquire("a", false), "granted");
    assert_eq!(bench.acquire("suspect", true), "queued");
    assert_eq!(bench.acquire("b", false), "queued");
    assert_eq!(bench.release("a", Outcome::Done), ["suspect"]);
    assert_eq!(bench.acquire("c", false), "queued");
    assert_eq!(bench.0.digest().limit, 1);
    assert_eq!(bench.release("suspect", Outcome::Done), ["b", "c"]);
}

#[test]
fn a_crash_blames_each_that_ran_once_and_none_that_was_not_sent() {
    let mut bench = Bench::new();
    for name in ["a", "b", "unsent"] {
        assert_eq!(bench.acquire(name, false), "granted");
    }
    bench.release("unsent", Outcome::Unreached);
    bench.release("a", Outcome::Crashed);
    assert_eq!(bench.0.take_crash_suspects(), [print("a"), print("b")]);
    bench.release("b", Outcome::Crashed);
    bench.0.reconcile(Incarnation::new(2), &[], START);
    assert_eq!(bench.0.take_crash_suspects(), []);
}

#[test]
fn a_broken_request_is_blamed_once_the_next_life_shows() {
    let mut bench = Bench::new();
    assert_eq!(bench.acquire("a", false), "granted");
    bench.release("a", Outcome::Failed);
    assert_eq!(bench.0.take_crash_suspects(), []);
    bench.0.reconcile(Incarnation::new(2), &[], START);
    assert_eq!(bench.0.take_crash_suspects(), [print("a")]);
}
