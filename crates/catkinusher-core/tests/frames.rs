//! Stream reassembly with frames that are late, duplicated, from another request or missing.
//!
//! A stream is received over one connection, a link, at a time. Each new link has a higher
//! number, and frames that arrive on any other link are skipped.

use catkinusher_core::frames::{Allowed, Assembly, Cure, Fault, Frame, Link, Verdict};
use catkinusher_core::id::RequestId;
use proptest::prelude::*;

fn id(text: &str) -> RequestId {
    text.parse().expect("a name")
}

fn piece(seq: u64) -> Frame {
    Frame::Piece {
        request: id("r-1"),
        seq,
    }
}

fn frame() -> impl Strategy<Value = Frame> {
    let request = prop_oneof![8 => Just(id("r-1")), 1 => Just(id("r-2"))];
    let own = (request, 0..8_u64).prop_map(|(request, seq)| Frame::Piece { request, seq });
    let end = prop::option::of(0..8_u64).prop_map(|pieces| Frame::End {
        request: id("r-1"),
        pieces,
    });
    prop_oneof![8 => own, 1 => end, 1 => Just(Frame::Cut)]
}

fn allowed() -> impl Strategy<Value = Allowed> {
    (any::<bool>(), any::<bool>(), 0..4_u32).prop_map(|(resume, restart, links)| Allowed {
        resume,
        restart,
        links,
    })
}

proptest! {
    /// For any sequence of frames, the caller gets pieces 0, 1, 2, ... of its own answer
    /// in order, and a finish only after as many pieces as the end frame reports.
    #[test]
    fn the_caller_gets_its_own_pieces_in_order(
        allowed in allowed(),
        frames in prop::collection::vec((0..4_u32, frame()), 0..60),
    ) {
        let mut assembly = Assembly::new(id("r-1"), allowed);
        let mut got = 0;
        let mut link = Link::default();
        let mut over = false;
        for (number, frame) in frames {
            let on = Link::new(number);
            match (assembly.on_frame(on, &frame), frame) {
                (Verdict::Deliver, Frame::Piece { request, seq }) => {
                    prop_assert_eq!((request, seq, on, over), (id("r-1"), got, link, false));
                    got += 1;
                }
                (Verdict::Finish, Frame::End { pieces, .. }) => {
                    prop_assert!(!over && pieces.is_none_or(|pieces| pieces == got));
                    over = true;
                }
                (Verdict::Close { cure: Cure::Resume { offset, link: new }, .. }, _) => {
                    prop_assert!(allowed.resume && offset == got && new > link);
                    link = new;
                }
                (Verdict::Close { cure: Cure::Restart { link: new }, .. }, _) => {
                    prop_assert!(allowed.restart && got == 0 && new > link);
                    link = new;
                }
                (Verdict::Close { cure: Cure::Fail, .. }, _) => over = true,
                (Verdict::Skip, _) => {}
                (verdict, frame) => prop_assert!(false, "{verdict:?} for {frame:?}"),
            }
            prop_assert_eq!(assembly.delivered(), got);
            prop_assert_eq!(assembly.is_open(), !over);
        }
    }
}

#[test]
fn a_gap_is_resumed_on_a_new_connection_and_the_old_one_is_not_heard_again() {
    let allowed = Allowed {
        resume: true,
        restart: true,
        links: 2,
    };
    let mut assembly = Assembly::new(id("r-1"), allowed);
    let old = Link::new(0);
    let new = Link::new(1);
    let got = [
        assembly.on_frame(old, &piece(0)),
        // Piece 1 is missing, so the stream moves to the new link.
        assembly.on_frame(old, &piece(2)),
        assembly.on_frame(old, &piece(1)),
        assembly.on_frame(new, &piece(1)),
        assembly.on_frame(new, &piece(1)),
    ];
    insta::assert_debug_snapshot!(got);
}

#[test]
fn an_upstream_that_lost_the_stream_restarts_it_only_before_the_first_byte() {
    let allowed = Allowed {
        resume: true,
        restart: true,
        links: 3,
    };
    let mut fresh = Assembly::new(id("r-1"), allowed);
    // Closing link 0 first asks to resume on link 1, and the restart then uses link 2.
    fresh.close(Fault::Truncated);
    assert_eq!(fresh.on_unknown(), Cure::Restart { link: Link::new(2) });
    let mut begun = Assembly::new(id("r-1"), allowed);
    begun.on_frame(Link::default(), &piece(0));
    begun.close(Fault::Truncated);
    assert_eq!(begun.on_unknown(), Cure::Fail);
}
