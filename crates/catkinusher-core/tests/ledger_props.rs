//! Properties of the memory ledger, the ramp and shares, over seeds.

use std::time::Duration;

use catkinusher_core::fair::{FairQueue, FairShareLimiter};
use catkinusher_core::id::{CustomerId, RequestId, VmId};
use catkinusher_core::ledger::{Ledger, Reservation};
use catkinusher_core::ramp::{Ramp, WARM_SUCCESSES};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use proptest::prelude::*;

const TOTAL: Tokens = Tokens::new(10_000);

fn request(number: u8) -> RequestId {
    format!("r{number}").parse().expect("a name")
}

fn customer(number: usize) -> CustomerId {
    format!("c{number}").parse().expect("a name")
}

fn lease(memory: u64, expires: Time) -> Reservation {
    let holder: VmId = "vm".parse().expect("a name");
    Reservation {
        holder,
        memory: Tokens::new(memory),
        expires,
        since: Time::ZERO,
        orphan: false,
    }
}

proptest! {
    /// Whatever comes in whatever order, the books add up and never pass the total.
    #[test]
    fn a_ledger_adds_up(steps in prop::collection::vec((0_u8..4, 0_u8..16, 0_u64..4_000), 1..200)) {
        let mut ledger = Ledger::new(TOTAL);
        for (at, (kind, number, memory)) in steps.into_iter().enumerate() {
            let now = Time::from_millis(at as u64);
            match kind {
                0 | 1 => {
                    let end = now + Duration::from_millis(20);
                    ledger.reserve(request(number), lease(memory, end));
                }
                2 => {
                    ledger.release(&request(number));
                }
                _ => ledger.mark_orphan(&request(number), now + Duration::from_millis(5)),
            }
            while let Some(gone) = ledger.expired(now) {
                ledger.release(&gone);
            }
            let sum: Tokens = ledger.iter().map(|(_, lease)| lease.memory).sum();
            prop_assert_eq!(sum, ledger.used());
            prop_assert!(ledger.used() <= TOTAL);
            prop_assert_eq!(ledger.free(), TOTAL - ledger.used());
        }
    }

    /// Every lease ends by itself, so nothing is held for good.
    #[test]
    fn every_lease_runs_out(memories in prop::collection::vec(1_u64..500, 1..16)) {
        let mut ledger = Ledger::new(TOTAL);
        for (number, memory) in memories.iter().enumerate() {
            let end = Time::from_millis(*memory);
            prop_assert!(ledger.reserve(request(number as u8), lease(*memory, end)));
        }
        while let Some(gone) = ledger.expired(Time::from_millis(500)) {
            ledger.release(&gone);
        }
        prop_assert!(ledger.is_empty());
        prop_assert_eq!(ledger.used(), Tokens::ZERO);
    }

    /// A ramp stays between what a cold and a warm upstream bear, and grows by no
    /// more than its part of a success.
    #[test]
    fn a_ramp_grows_in_parts(cold in 1_u32..8, full in 8_u32..256, paces in prop::collection::vec(0.5_f64..5.0, 1..100)) {
        let mut ramp = Ramp::new(cold, full, Time::ZERO);
        let part = (full - cold).div_ceil(WARM_SUCCESSES);
        for (at, pace) in paces.into_iter().enumerate() {
            let before = ramp.stream_limit();
            let restarted = ramp.on_success(pace, Time::from_millis(at as u64));
            prop_assert!(ramp.stream_limit() >= cold && ramp.stream_limit() <= full);
            prop_assert!(ramp.stream_limit() <= before + part);
            prop_assert!(!restarted || ramp.stream_limit() == cold);
        }
    }

    /// While both have something waiting, each is served in proportion to its weight.
    #[test]
    fn waiting_customers_are_served_by_weight(weights in (1_u32..10, 1_u32..10), cost in 100_u64..1_000) {
        let mut queue = FairQueue::default();
        let weights = [weights.0, weights.1];
        for _ in 0..400 {
            for (number, weight) in weights.iter().enumerate() {
                queue.push(&customer(number), *weight, cost, number);
            }
        }
        let mut served = [0_i64; 2];
        for _ in 0..400 {
            let (tag, _) = queue.first().expect("more than that waits");
            let number = queue.serve(tag).expect("it stood first");
            served[number] += 1;
        }
        let [one, two] = weights.map(i64::from);
        let fair = 400 * one / (one + two);
        // Costs are divided in whole numbers, which is worth a few places.
        prop_assert!((served[0] - fair).abs() <= 12, "{served:?} by {weights:?}");
    }

    /// Nobody is beyond its share while there is enough for all.
    #[test]
    fn idle_shares_are_lent(weights in prop::collection::vec(1_u32..10, 2..6)) {
        let mut demand = FairShareLimiter::new(1_000.0);
        for at in 0..2_000_u64 {
            let number = (at % weights.len() as u64) as usize;
            // One of them asks for nearly all of the capacity, the rest for little.
            let cost = if number == 0 { 50.0 } else { 1.0 };
            let now = Time::from_millis(at * 10);
            prop_assert!(demand.record(&customer(number), weights[number], cost, 6_000.0, now));
        }
    }

    /// A customer far beyond its share is told so, and the others never are.
    #[test]
    fn a_flood_is_beyond_its_share(others in 1_usize..6) {
        let mut demand = FairShareLimiter::new(1_000.0);
        let mut beyond = 0;
        for at in 0..4_000_u64 {
            let now = Time::from_millis(at * 10);
            let number = 1 + at as usize % others;
            prop_assert!(demand.record(&customer(number), 1, 1.0, 1_000.0, now));
            beyond += u32::from(!demand.record(&customer(0), 1, 100.0, 1_000.0, now));
        }
        prop_assert!(beyond > 2_000, "{beyond} of 4000");
    }
}
