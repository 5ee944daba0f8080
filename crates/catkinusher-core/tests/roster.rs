//! Duties of a few nodes: every node finds the same ones, and their successors.

use std::net::SocketAddr;

use catkinusher_core::roster::{Duty, Member, Roster};
use catkinusher_core::time::Time;

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn address(node: usize) -> SocketAddr {
    format!("10.1.{}.{}:7340", node / 200, node % 200 + 1)
        .parse()
        .unwrap()
}

fn member(node: usize) -> Member {
    Member {
        address: address(node),
        // One node in twenty is large.
        capacity: if node.is_multiple_of(20) { 50 } else { 12 },
        data_centre: Some(["gent", "leuven"][node % 2].parse().unwrap()),
    }
}

fn roster(own: usize, count: usize) -> Roster {
    let mut roster = Roster::new(member(own), ms(0));
    roster.on_list((0..count).map(member).collect(), ms(0));
    roster
}

fn duty(name: &str, centre: Option<&str>) -> Duty {
    Duty {
        name: name.to_owned(),
        data_centre: centre.map(|centre| centre.parse().unwrap()),
    }
}

#[test]
fn all_nodes_find_the_same_holders_and_large_ones_come_first() {
    let duty = duty("place", Some("gent"));
    let expected = roster(1, 300).holders(&duty, 2, ms(5000));
    for own in [0, 2, 17, 299] {
        assert_eq!(roster(own, 300).holders(&duty, 2, ms(5000)), expected);
    }
    for holder in expected {
        let node = (0..300).find(|node| address(*node) == holder).unwrap();
        assert_eq!(member(node).capacity, 50);
        assert_eq!(member(node).data_centre, duty.data_centre);
    }
}

#[test]
fn a_silent_holder_is_replaced_and_comes_back_after_a_probation() {
    let duty = duty("place", None);
    let mut roster = roster(1, 30);
    let first = roster.holders(&duty, 1, ms(5000))[0];
    roster.on_silent(first, ms(5000));
    let second = roster.holders(&duty, 1, ms(5000))[0];
    assert_ne!(first, second);
    assert_eq!(roster.take_probe(&duty, ms(5100)), None, "not at once");
    assert_eq!(roster.take_probe(&duty, ms(5600)), Some(first));
    assert_eq!(roster.take_probe(&duty, ms(5700)), None, "and more rarely");
    roster.on_heard(first, ms(7000));
    assert_eq!(roster.holders(&duty, 1, ms(7100)), [second]);
    assert!(
        roster.informed(&duty, 1, ms(7100)).contains(&first),
        "it gets reports before it gets requests"
    );
    assert_eq!(roster.holders(&duty, 1, ms(9000)), [first]);
}

#[test]
fn an_answer_after_the_message_shows_that_the_node_lives() {
    let duty = duty("place", None);
    let mut roster = roster(1, 30);
    let first = roster.holders(&duty, 1, ms(5000))[0];
    roster.on_heard(first, ms(6000));
    roster.on_unanswered(first, ms(5900), ms(6100));
    assert_eq!(roster.holders(&duty, 1, ms(6100)), [first]);
    roster.on_unanswered(first, ms(6050), ms(6200));
    assert_ne!(roster.holders(&duty, 1, ms(6200)), [first]);
}

#[test]
fn a_node_that_joins_or_has_just_started_carries_no_duty_yet() {
    let duty = duty("place", None);
    let mut roster = roster(1, 30);
    let before = roster.holders(&duty, 1, ms(5000));
    let mut joiner = member(1000);
    joiner.capacity = 100;
    let members = (0..30).map(member).chain([joiner]).collect();
    roster.on_list(members, ms(5000));
    assert_eq!(roster.holders(&duty, 1, ms(5100)), before);
    assert_eq!(roster.holders(&duty, 1, ms(7000)), [address(1000)]);
    let mut own = member(0);
    own.capacity = 100;
    let mut started = Roster::new(own, ms(0));
    started.on_list((1..30).map(member).collect(), ms(0));
    assert_ne!(started.holders(&duty, 1, ms(100)), [address(0)]);
    assert_eq!(started.holders(&duty, 1, ms(2000)), [address(0)]);
}

#[test]
fn a_lone_node_carries_all_duties() {
    let roster = Roster::new(member(0), ms(0));
    assert_eq!(
        roster.holders(&duty("place", None), 2, ms(10)),
        [address(0)]
    );
}

#[test]
fn single_changes_lead_to_the_same_holders_as_a_list() {
    let duties = [duty("place", Some("gent")), duty("read", None)];
    let mut changed = roster(1, 40);
    for duty in &duties {
        let _ranked = changed.holders(duty, 3, ms(5000));
    }
    for node in 0..10 {
        changed.on_left(address(node * 3));
        changed.on_joined(member(100 + node), ms(5000));
    }
    let mut grown = member(41);
    grown.capacity = 70;
    changed.on_joined(grown.clone(), ms(5000));
    let mut listed = Roster::new(member(1), ms(0));
    let left = (0..40).filter(|node| node % 3 != 0 || *node >= 30);
    let members = left.chain(100..110).map(member).chain([grown]).collect();
    listed.on_list(members, ms(0));
    assert_eq!(changed.len(), listed.len());
    for duty in &duties {
        assert_eq!(
            changed.holders(duty, 20, ms(9000)),
            listed.holders(duty, 20, ms(9000))
        );
    }
}

/// Failure: two nodes with the same position would choose the same upstreams.
#[test]
fn every_node_has_its_own_position_and_those_of_a_data_centre_stand_apart() {
    for count in [1, 2, 7, 92, 300] {
        // A third of the nodes run in the first data centre, and the others in the second.
        let members: Vec<Member> = (0..count)
            .map(|node| Member {
                data_centre: Some(["gent", "leuven", "leuven"][node % 3].parse().unwrap()),
                ..member(node)
            })
            .collect();
        let mut positions = Vec::new();
        for own in &members {
            let mut roster = Roster::new(own.clone(), ms(0));
            roster.on_list(members.clone(), ms(0));
            assert_eq!(roster.position().count, count);
            positions.push(roster.position().rank);
        }
        let mut gent: Vec<usize> = positions.iter().copied().step_by(3).collect();
        gent.sort_unstable();
        let gaps = gent.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.clone().all(|gap| (2..=4).contains(&gap)), "{gent:?}");
        positions.sort_unstable();
        assert_eq!(positions, (0..count).collect::<Vec<_>>());
    }
}

#[test]
fn nodes_whose_registration_a_restored_store_has_lost_have_time_to_register_again() {
    let mut roster = roster(0, 4);
    roster.on_restored_list(vec![member(1)], ms(1000));
    assert_eq!(roster.len(), 4, "none is dropped at once");
    roster.on_joined(member(2), ms(1500));
    assert!(!roster.expire(ms(3900)));
    assert!(roster.expire(ms(4000)));
    let mut peers = roster.peers();
    peers.sort_unstable();
    assert_eq!(peers, [address(1), address(2)]);
    assert!(!roster.expire(ms(9000)));
}
