//! Property tests of the bound on the data that a node holds.

use catkinusher_core::memory::{AnswerNumber, HeldMemory, Purpose};
use catkinusher_core::units::Bytes;
use proptest::prelude::*;

const BOUND: u64 = 8_000;
const SHARED: u64 = 6_000;
const ANSWERS: usize = 6;

fn purpose(kind: usize) -> Purpose {
    match kind {
        0 => Purpose::Body,
        1 => Purpose::Events,
        2 => Purpose::UnreadEvents,
        answer => Purpose::Answer(AnswerNumber::new(answer as u64)),
    }
}

proptest! {
    /// Guards against a sum above the bound, memory that is not given back, and answers that wait
    /// for each other's memory.
    #[test]
    fn the_sum_stays_within_the_bound_and_one_answer_always_grows(
        steps in prop::collection::vec((any::<bool>(), 0..3 + ANSWERS, 1_u64..3_000), 1..300)
    ) {
        let mut memory = HeldMemory::new(Some(Bytes::new(BOUND)));
        let mut holders = vec![0_u64; 3 + ANSWERS];
        for (is_take, kind, amount) in steps {
            if is_take {
                if memory.try_take(purpose(kind), Bytes::new(amount)) {
                    holders[kind] += amount;
                }
            } else {
                memory.give_back(Bytes::new(std::mem::take(&mut holders[kind])));
                if let Purpose::Answer(number) = purpose(kind) {
                    memory.end_answer(number);
                }
            }
            let sum: u64 = holders.iter().sum();
            prop_assert_eq!(memory.held().get(), sum);
            prop_assert!(sum <= BOUND);
            // Some answer can grow to the part of the bound that is kept for it.
            let grows = (3..3 + ANSWERS).any(|kind| {
                let mut next = memory.clone();
                let wanted = (BOUND - SHARED).saturating_sub(holders[kind]);
                next.try_take(purpose(kind), Bytes::new(wanted))
            });
            prop_assert!(grows, "{memory:?} {holders:?}");
        }
        for held in holders {
            memory.give_back(Bytes::new(held));
        }
        prop_assert_eq!(memory.held().get(), 0);
    }
}

/// Guards against new bodies and unread streams that leave no room for answers.
#[test]
fn each_purpose_has_its_limit() {
    let limits = [
        (Purpose::UnreadEvents, 4_000),
        (Purpose::Body, 5_000),
        (Purpose::Events, SHARED),
        (Purpose::Answer(AnswerNumber::new(1)), BOUND),
    ];
    for (purpose, limit) in limits {
        let mut memory = HeldMemory::new(Some(Bytes::new(BOUND)));
        assert!(memory.try_take(purpose, Bytes::new(limit)), "{purpose:?}");
        assert!(!memory.try_take(purpose, Bytes::new(1)), "{purpose:?}");
    }
}

/// Guards against a bound where the settings name none.
#[test]
fn without_a_bound_all_is_taken() {
    let mut memory = HeldMemory::new(None);
    for purpose in [Purpose::Body, Purpose::Events, Purpose::UnreadEvents] {
        assert!(memory.try_take(purpose, Bytes::new(1 << 40)));
    }
    assert_eq!(memory.held(), Bytes::new(3 << 40));
}
