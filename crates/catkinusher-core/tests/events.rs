//! Cutting a stream into whole events.

use catkinusher_core::events::{EVENT_LIMIT, EventError, EventSplitter};
use proptest::prelude::*;

fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

fn stream(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(event).collect()
}

#[test]
fn only_whole_events_pass() {
    let mut events = EventSplitter::resume_after(None);
    assert_eq!(events.push(b"id: 0\ndata: a").unwrap(), b"");
    assert!(!events.is_at_boundary());
    assert_eq!(
        events.push(b"b\n\nid: 1\n").unwrap(),
        b"id: 0\ndata: ab\n\n"
    );
    assert_eq!(events.last(), Some(0));
    events.discard_partial();
    assert!(events.is_at_boundary());
    assert_eq!(
        events.push(event(1).as_bytes()).unwrap(),
        event(1).as_bytes()
    );
}

#[test]
fn a_run_that_goes_on_must_follow_the_last_event() {
    for wrong in [1, 2, 4] {
        let mut events = EventSplitter::resume_after(None);
        events.push(stream(0..=2).as_bytes()).unwrap();
        events.discard_partial();
        let found = events.push(event(wrong).as_bytes());
        assert_eq!(
            found,
            Err(EventError::OutOfOrder {
                last: 2,
                found: wrong
            })
        );
    }
}

#[test]
fn a_resumed_stream_does_not_go_back() {
    let mut events = EventSplitter::resume_after(Some(12));
    let found = events.push(event(12).as_bytes());
    assert_eq!(
        found,
        Err(EventError::OutOfOrder {
            last: 12,
            found: 12
        })
    );
}

#[test]
fn an_endless_event_is_refused() {
    let mut events = EventSplitter::resume_after(None);
    let piece = vec![b'a'; EVENT_LIMIT + 1];
    assert_eq!(events.push(&piece), Err(EventError::TooLong));
}

#[test]
fn line_ends_of_both_kinds_end_an_event() {
    let mut events = EventSplitter::resume_after(None);
    let whole = events.push(b"id: 3\r\ndata: x\r\n\r\nid: 4\n\n").unwrap();
    assert_eq!(whole, b"id: 3\r\ndata: x\r\n\r\nid: 4\n\n");
    assert_eq!(events.last(), Some(4));
}

proptest! {
    #[test]
    fn cuts_between_reads_change_nothing(cuts in prop::collection::vec(1..40_usize, 1..30)) {
        let text = stream(0..=9);
        let mut events = EventSplitter::resume_after(None);
        let mut passed = Vec::new();
        let mut rest = text.as_bytes();
        for cut in cuts {
            let (now, later) = rest.split_at(cut.min(rest.len()));
            passed.extend(events.push(now).unwrap());
            rest = later;
        }
        passed.extend(events.push(rest).unwrap());
        prop_assert_eq!(passed, text.into_bytes());
        prop_assert_eq!(events.last(), Some(9));
    }
}
