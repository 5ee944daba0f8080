//! Regression test: an upstream that left two seconds after the end of a store outage was kept as if
//! its entry had expired, and got a request 2.3 s after it had announced that it was leaving (DRAIN,
//! tzv-afspraken trouble-1 --seed 114383451095).

use catkinusher_core::freshness::StoreOutage;

#[test]
fn only_the_first_response_after_an_outage_may_miss_expired_entries() {
    let mut outage = StoreOutage::default();
    assert!(!outage.is_ongoing());
    outage.on_failure();
    assert_eq!(outage.on_failure(), 2);
    assert!(
        outage.is_ongoing(),
        "the next response is the first after the outage"
    );
    assert_eq!(outage.on_answer(), 2);
    assert!(
        !outage.is_ongoing(),
        "upstreams removed from now on have left"
    );
    assert_eq!(outage.on_answer(), 0);
}
