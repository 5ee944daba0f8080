//! Lease renewal, lost answers, release and takeover, and engines that ignore fencing tokens.

use catkinusher_core::lease::{FencingToken, Holder, Lease, Timing};
use catkinusher_core::object::{Answer, Call, Version};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1000)
}

fn node(number: u64) -> Holder {
    let vm = format!("vm-{number}").parse().expect("valid name");
    Holder::new("orders".to_owned(), vm, number, Timing::default())
}

fn written(call: Option<Call<Lease>>) -> (Version, Lease) {
    match call {
        Some(Call::Write { version, value, .. }) => (Version::new(version.get() + 1), value),
        other => panic!("expected a write, got {other:?}"),
    }
}

/// A node that acquired the free lease at time zero, and the lease that it wrote.
fn holding() -> (Holder, Lease) {
    let mut node = node(1);
    node.on_time(at(0));
    node.on_answer(Answer::Missing, at(0));
    let (version, lease) = written(node.on_time(at(0)));
    node.on_answer(Answer::Written { version }, at(0));
    (node, lease)
}

fn observe(node: &mut Holder, version: u64, value: &Lease, now: Time) {
    let read = node.on_time(now);
    assert!(matches!(read, Some(Call::Read { .. })), "{read:?}");
    let answer = Answer::Found {
        version: Version::new(version),
        value: value.clone(),
    };
    node.on_answer(answer, now);
}

#[test]
fn a_holder_stops_before_another_may_take_over() {
    let (first, lease) = holding();
    let timing = Timing::default();
    assert_eq!(first.may_order(at(9)), Some(FencingToken::new(1)));
    assert_eq!(first.may_order(Time::ZERO + timing.hold.get()), None);

    let mut second = node(2);
    observe(&mut second, 1, &lease, at(0));
    let before = Time::ZERO + timing.term.get() - Span::from_millis(1).get();
    observe(&mut second, 1, &lease, before);
    let (version, next) = written(second.on_time(second.wake().max(at(15))));
    second.on_answer(Answer::Written { version }, at(16));
    assert_eq!(next.fence, FencingToken::new(2));
    assert!(second.may_order(at(17)).is_some());
}

#[test]
fn an_engine_that_ignores_fencing_is_left_alone_at_first() {
    let (node, _) = holding();
    let timing = Timing {
        hold: Span::from_secs(60),
        term: Span::from_secs(90),
        ..Timing::default()
    };
    assert!(node.may_order(at(1)).is_some());
    assert_eq!(node.may_order_unfenced(at(1)), None);
    let vm = "vm-1".parse().expect("valid name");
    let mut patient = Holder::new("orders".to_owned(), vm, 1, timing);
    patient.on_time(at(0));
    patient.on_answer(Answer::Missing, at(0));
    for now in [0, 50, 96] {
        let (version, _) = written(patient.on_time(at(now)));
        patient.on_answer(Answer::Written { version }, at(now));
    }
    assert_eq!(patient.may_order_unfenced(at(94)), None);
    assert_eq!(
        patient.may_order_unfenced(at(96)),
        Some(FencingToken::new(1))
    );
}

#[test]
fn a_renewal_whose_answer_is_lost_counts_from_when_it_was_sent() {
    let (mut node, _) = holding();
    let (version, lease) = written(node.on_time(at(4)));
    node.on_answer(Answer::Lost, at(6));
    assert!(node.may_order(at(9)).is_some());
    let now = node.wake();
    observe(&mut node, version.get(), &lease, now);
    assert!(node.may_order(at(13)).is_some());
    assert_eq!(node.may_order(at(14)), None);
}

#[test]
fn a_stopping_holder_gives_the_lease_back() {
    let (mut first, _) = holding();
    let (version, lease) = written(first.on_stop(at(2)));
    assert!(lease.free && first.may_order(at(2)).is_none());
    first.on_answer(Answer::Written { version }, at(2));
    assert_eq!(first.wake(), Time::NEVER);
    let mut second = node(2);
    observe(&mut second, version.get(), &lease, at(3));
    let (_, next) = written(second.on_time(at(3)));
    assert_eq!(next.fence, FencingToken::new(2));
}
