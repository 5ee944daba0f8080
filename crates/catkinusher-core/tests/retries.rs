//! Which failed attempts are retried, and the limit on retries.

use catkinusher_core::outcome::Outcome;
use catkinusher_core::retry::{Budget, Decision, Failure, Policy, Reason, decide};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn failure() -> Failure {
    Failure {
        idempotent: true,
        outcome: Outcome::MayHaveRun,
        sends: 1,
        delivered: false,
        attempts: 1,
        failed_upstreams: vec!["engine-3".parse().expect("a valid name")],
        retry_after: None,
        min_attempt: Span::from_millis(100),
        deadline: Time::from_millis(10_000),
    }
}

fn ask(failure: &Failure, saved: bool) -> Decision {
    let mut policy = Policy::default();
    if !saved {
        policy.burst = 0.0;
    }
    let mut budget = Budget::new(&policy);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    decide(&policy, &mut budget, failure, Time::ZERO, &mut rng)
}

#[test]
fn each_reason_holds_a_retry_back() {
    let base = failure();
    let sent_once = Failure {
        idempotent: false,
        outcome: Outcome::NotRun,
        ..base.clone()
    };
    let never_left = Failure {
        sends: 0,
        ..sent_once.clone()
    };
    let delivered = Failure {
        delivered: true,
        ..base.clone()
    };
    let too_many = Failure {
        attempts: 4,
        ..base.clone()
    };
    let too_late = Failure {
        retry_after: Some(Span::from_secs(10)),
        ..base.clone()
    };
    insta::assert_debug_snapshot!([
        ask(&base, true),
        ask(&base, false),
        ask(&sent_once, true),
        ask(&never_left, true),
        ask(&delivered, true),
        ask(&too_many, true),
        ask(&too_late, true),
    ]);
}

#[test]
fn retries_stay_within_their_share_while_every_attempt_fails() {
    let policy = Policy::default();
    let mut budget = Budget::new(&policy);
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut retries = 0;
    for _ in 0..10_000 {
        budget.on_new_request(&policy);
        let mut failure = failure();
        while let Decision::Retry { .. } =
            decide(&policy, &mut budget, &failure, Time::ZERO, &mut rng)
        {
            failure.attempts += 1;
            retries += 1;
        }
    }
    let most = 10_000.0 * policy.share + policy.burst;
    assert!(f64::from(retries) <= most, "{retries} retries");
}

proptest! {
    #[test]
    fn no_retry_passes_the_deadline_or_repeats_what_must_run_once(
        seed in any::<u64>(),
        idempotent in any::<bool>(),
        sends in 0..3_u32,
        attempts in 1..6_u32,
        now in 0..12_000_u64,
        wait in prop::option::of(0..12_000_u64),
    ) {
        let failure = Failure {
            idempotent,
            sends,
            attempts,
            retry_after: wait.map(Span::from_millis),
            ..failure()
        };
        let policy = Policy::default();
        let mut budget = Budget::new(&policy);
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let now = Time::from_millis(now);
        match decide(&policy, &mut budget, &failure, now, &mut rng) {
            Decision::Retry { at, avoid } => {
                prop_assert!(idempotent);
                prop_assert!(at >= now && at + failure.min_attempt.get() < failure.deadline);
                prop_assert_eq!(avoid, failure.failed_upstreams);
            }
            Decision::GiveUp { reason } => prop_assert!(reason != Reason::Budget),
        }
    }
}
