//! Property tests of the memory ledger, the warm-up ramp and fair sharing.

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
    format!("r{number}").parse().expect("a valid name")
}

fn customer(number: usize) -> CustomerId {
    format!("c{number}").parse().expect("a valid name")
}

fn reservation(memory: u64, expires: Time) -> Reservation {
    let holder: VmId = "vm".parse().expect("a valid name");
    Reservation {
        holder,
        memory: Tokens::new(memory),
        expires,
        since: Time::ZERO,
        orphan: false,
    }
}

proptest! {
    /// Under any sequence of operations, the used memory equals the sum of all reservations and
    /// never exceeds the total.
    #[test]
    fn a_ledger_adds_up(steps in prop::collection::vec((0_u8..4, 0_u8..16, 0_u64..4_000), 1..200)) {
        let mut ledger = Ledger::new(TOTAL);
        for (at, (kind, number, memory)) in steps.into_iter().enumerate() {
            let now = Time::from_millis(at as u64);
            match kind {
                0 | 1 => {
                    let end = now + Duration::from_millis(20);
                    ledger.reserve(request(number), reservation(memory, end));
                }
                2 => {
                    ledger.release(&request(number));
                }
                _ => ledger.mark_orphan(&request(number), now + Duration::from_millis(5)),
            }
            while let Some(expired) = ledger.expired(now) {
                ledger.release(&expired);
            }
            let sum: Tokens = ledger.iter().map(|(_, reservation)| reservation.memory).sum();
            prop_assert_eq!(sum, ledger.used());
            prop_assert!(ledger.used() <= TOTAL);
            prop_assert_eq!(ledger.free(), TOTAL - ledger.used());
        }
    }

    /// Every reservation expires, so no memory is held forever.
    #[test]
    fn every_reservation_expires(memories in prop::collection::vec(1_u64..500, 1..16)) {
        let mut ledger = Ledger::new(TOTAL);
        for (number, memory) in memories.iter().enumerate() {
            let end = Time::from_millis(*memory);
            prop_assert!(ledger.reserve(request(number as u8), reservation(*memory, end)));
        }
        while let Some(expired) = ledger.expired(Time::from_millis(500)) {
            ledger.release(&expired);
        }
        prop_assert!(ledger.is_empty());
        prop_assert_eq!(ledger.used(), Tokens::ZERO);
    }

    /// The stream limit stays between the cold and the full limit and grows by at most one
    /// step per success.
    #[test]
    fn a_ramp_grows_in_steps(cold in 1_u32..8, full in 8_u32..256, slowdowns in prop::collection::vec(0.5_f64..5.0, 1..100)) {
        let mut ramp = Ramp::new(cold, full, Time::ZERO);
        let step = (full - cold).div_ceil(WARM_SUCCESSES);
        for (at, slowdown) in slowdowns.into_iter().enumerate() {
            let before = ramp.stream_limit();
            let restarted = ramp.on_success(slowdown, Time::from_millis(at as u64));
            prop_assert!(ramp.stream_limit() >= cold && ramp.stream_limit() <= full);
            prop_assert!(ramp.stream_limit() <= before + step);
            prop_assert!(!restarted || ramp.stream_limit() == cold);
        }
    }

    /// While both customers have queued items, each is served in proportion to its weight.
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
            let (tag, _) = queue.first().expect("the queue still holds items");
            let number = queue.serve(tag).expect("the first item is in the queue");
            served[number] += 1;
        }
        let [one, two] = weights.map(i64::from);
        let fair = 400 * one / (one + two);
        // The division of costs by weights is rounded down, which shifts a few items.
        prop_assert!((served[0] - fair).abs() <= 12, "{served:?} by {weights:?}");
    }

    /// No request exceeds a share while the capacity covers all demand.
    #[test]
    fn idle_shares_are_lent(weights in prop::collection::vec(1_u32..10, 2..6)) {
        let mut limiter = FairShareLimiter::new(1_000.0);
        for at in 0..2_000_u64 {
            let number = (at % weights.len() as u64) as usize;
            // The first customer asks for nearly all of the capacity, the others for little.
            let cost = if number == 0 { 50.0 } else { 1.0 };
            let now = Time::from_millis(at * 10);
            prop_assert!(limiter.record(&customer(number), weights[number], cost, 6_000.0, now));
        }
    }

    /// The requests of a customer far above its share are marked, those of others never are.
    #[test]
    fn a_flood_is_beyond_its_share(others in 1_usize..6) {
        let mut limiter = FairShareLimiter::new(1_000.0);
        let mut exceeded = 0;
        for at in 0..4_000_u64 {
            let now = Time::from_millis(at * 10);
            let number = 1 + at as usize % others;
            prop_assert!(limiter.record(&customer(number), 1, 1.0, 1_000.0, now));
            exceeded += u32::from(!limiter.record(&customer(0), 1, 100.0, 1_000.0, now));
        }
        prop_assert!(exceeded > 2_000, "{exceeded} of 4000");
    }
}
