//! Splitting a stream into complete events.

use catkinusher_core::events::{EVENT_LIMIT, EventError, EventSplitter, Malformed};
use proptest::prelude::*;

/// The fault of a push before which no event was complete.
fn fault(pushed: Result<Vec<u8>, Malformed>) -> Option<EventError> {
    let fault = pushed.err()?;
    assert_eq!(fault.events, b"");
    Some(fault.error)
}

fn event(number: u64) -> String {
    format!("id: {number}\ndata: token {number}\n\n")
}

fn stream(numbers: std::ops::RangeInclusive<u64>) -> String {
    numbers.map(event).collect()
}

#[test]
fn only_complete_events_are_forwarded() {
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
fn a_resumed_run_must_continue_after_the_last_event() {
    for wrong in [1, 2, 4] {
        let mut events = EventSplitter::resume_after(None);
        events.push(stream(0..=2).as_bytes()).unwrap();
        events.discard_partial();
        let found = fault(events.push(event(wrong).as_bytes()));
        assert_eq!(
            found,
            Some(EventError::OutOfOrder {
                last: 2,
                found: wrong
            })
        );
    }
}

#[test]
fn a_resumed_stream_does_not_go_back() {
    let mut events = EventSplitter::resume_after(Some(12));
    let found = fault(events.push(event(12).as_bytes()));
    assert_eq!(
        found,
        Some(EventError::OutOfOrder {
            last: 12,
            found: 12
        })
    );
}

#[test]
fn an_event_above_the_limit_is_rejected() {
    let mut events = EventSplitter::resume_after(None);
    let piece = vec![b'a'; EVENT_LIMIT + 1];
    assert_eq!(fault(events.push(&piece)), Some(EventError::TooLong));
}

#[test]
fn both_kinds_of_line_ending_end_an_event() {
    let mut events = EventSplitter::resume_after(None);
    let whole = events.push(b"id: 3\r\ndata: x\r\n\r\nid: 4\n\n").unwrap();
    assert_eq!(whole, b"id: 3\r\ndata: x\r\n\r\nid: 4\n\n");
    assert_eq!(events.last(), Some(4));
}

proptest! {
    #[test]
    fn chunk_boundaries_do_not_change_the_result(lengths in prop::collection::vec(1..40_usize, 1..30)) {
        let text = stream(0..=9);
        let mut events = EventSplitter::resume_after(None);
        let mut forwarded = Vec::new();
        let mut rest = text.as_bytes();
        for length in lengths {
            let (now, later) = rest.split_at(length.min(rest.len()));
            forwarded.extend(events.push(now).unwrap());
            rest = later;
        }
        forwarded.extend(events.push(rest).unwrap());
        prop_assert_eq!(forwarded, text.into_bytes());
        prop_assert_eq!(events.last(), Some(9));
    }
}

#[test]
fn text_without_an_id_is_no_event_of_a_numbered_stream() {
    let mut splitter = EventSplitter::resume_after(None);
    let plain = b"data: a\n\ndata: b\n\n";
    assert_eq!(splitter.push(plain), Ok(plain.to_vec()), "no ids at all");
    let numbered = b"id: 1\ndata: c\n\n: keep-alive\n\n";
    assert_eq!(splitter.push(numbered), Ok(numbered.to_vec()));
    let head = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 3\r\n\r\n";
    assert_eq!(
        fault(splitter.push(head)),
        Some(EventError::NoId { last: 1 })
    );
}

#[test]
fn events_before_a_fault_in_the_same_bytes_are_not_lost() {
    let mut splitter = EventSplitter::resume_after(None);
    let sound = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let bytes = [&sound[..], b"id: 7\ndata: c\n\n"].concat();
    let fault = splitter.push(&bytes).unwrap_err();
    assert_eq!(fault.events, sound);
    assert_eq!(fault.error, EventError::OutOfOrder { last: 2, found: 7 });
    assert_eq!(splitter.last(), Some(2), "the stream resumes after them");
    assert!(splitter.is_at_boundary());
}
