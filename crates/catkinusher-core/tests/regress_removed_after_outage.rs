//! A server that left two seconds after the store's return was kept as if it had lapsed, and got a
//! request 2.3 s after it had said so (DRAIN, tzv-afspraken trouble-1 --seed 114383451095).

use catkinusher_core::freshness::StoreOutage;

#[test]
fn only_the_first_answer_after_an_outage_may_miss_what_lapsed() {
    let mut absence = StoreOutage::default();
    assert!(!absence.is_ongoing());
    absence.on_failure();
    assert_eq!(absence.on_failure(), 2);
    assert!(absence.is_ongoing(), "the next answer is the first");
    assert_eq!(absence.on_answer(), 2);
    assert!(
        !absence.is_ongoing(),
        "what is removed from now on has left"
    );
    assert_eq!(absence.on_answer(), 0);
}
