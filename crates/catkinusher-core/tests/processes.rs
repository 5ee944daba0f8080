//! What a restarted process does with messages of its last process, and the others with both.

use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::confirm::{Action, ConfirmReply, Confirmer, ReplyOutcome, StorePosition};
use catkinusher_core::id::{Incarnation, Serial};
use catkinusher_core::process::{Origin, Processes};
use catkinusher_core::roster::{Member, Roster};
use catkinusher_core::time::Time;

const LAST: Incarnation = Incarnation::new(1);
const CURRENT: Incarnation = Incarnation::new(2);

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn member(last: u8) -> Member {
    Member {
        address: SocketAddr::from(([127, 0, 0, last], 7340)),
        capacity: 100,
        data_centre: None,
    }
}

#[test]
fn a_late_reply_to_the_last_process_confirms_nothing() {
    // It would prove too fresh a configuration, by which removed keys are accepted (CONFIG).
    let first_query = |process| {
        let mut node = Confirmer::new(process, Duration::from_secs(1));
        let mut roster = Roster::new(member(1), ms(0));
        roster.on_list(vec![member(1), member(2)], ms(0));
        let actions = node.poll(&mut roster, ms(2000));
        let query = actions.into_iter().find_map(|action| match action {
            Action::Ask(_, serial) => Some(serial),
            _ => None,
        });
        (node, query.unwrap())
    };
    let reply = |serial| ConfirmReply {
        serial,
        age: Some(1),
        failing: false,
        known: StorePosition::default(),
    };
    let (_, late) = first_query(LAST);
    let (mut node, serial) = first_query(CURRENT);
    let ignored = node.on_reply(&reply(late), 0, ms(2100));
    assert_eq!(ignored, ReplyOutcome::Ignored);
    let confirmed = node.on_reply(&reply(serial), 0, ms(2100));
    assert_eq!(confirmed, ReplyOutcome::Confirmed);
}

#[test]
fn messages_of_an_ended_process_are_told_from_those_of_the_current_one() {
    let mut processes = Processes::default();
    let origins =
        [LAST, LAST, CURRENT, LAST, CURRENT].map(|process| processes.on_message(7, process));
    let expected = [
        Origin::New,
        Origin::Current,
        Origin::New,
        Origin::Ended,
        Origin::Current,
    ];
    assert_eq!(origins, expected);
    assert_eq!(processes.on_message(8, LAST), Origin::New, "another peer");
}

#[test]
fn a_report_of_grants_of_the_last_process_covers_none_of_the_current_one() {
    // The load of new grants was not counted until the reporting node had used them.
    let granted = Serial::new(LAST, 57);
    assert_eq!(granted.number_of(LAST), Some(57));
    assert_eq!(granted.number_of(CURRENT), None);
}
