//! Whether a node is cut off from all upstreams, told from faults of a few.

use std::net::SocketAddr;

use catkinusher_core::reach::Reach;
use catkinusher_core::time::Time;

fn ms(millis: u64) -> Time {
    Time::from_millis(millis)
}

fn upstream(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, 1], number))
}

#[test]
fn failures_at_several_upstreams_without_a_connection_show_a_cut() {
    let mut reach = Reach::default();
    reach.on_connected(ms(0));
    let cuts = [1, 1, 2, 3, 4].map(|number| reach.on_unreachable(upstream(number), ms(100), 18));
    assert_eq!(cuts, [false, false, false, true, false]);
    assert!(reach.is_cut() && reach.is_doubtful(ms(60_000)));
    assert!(reach.on_connected(ms(900)));
    assert!(!reach.is_cut() && !reach.is_doubtful(ms(900)));
}

#[test]
fn a_connection_between_the_failures_shows_that_the_link_is_sound() {
    let mut reach = Reach::default();
    for number in 0..10 {
        let at = u64::from(number) * 100;
        assert!(!reach.on_unreachable(upstream(number), ms(at), 18));
        reach.on_connected(ms(at + 50));
    }
    for number in 0..10 {
        let is_cut = reach.on_unreachable(upstream(number), ms(900), 18);
        assert!(!is_cut, "the attempt began before one that succeeded");
    }
}

#[test]
fn rare_failures_do_not_add_up_and_a_fleet_of_two_is_judged_by_both() {
    let mut reach = Reach::default();
    for number in 0..10 {
        let at = u64::from(number) * 6000;
        assert!(!reach.on_unreachable(upstream(number), ms(at), 18));
    }
    let mut reach = Reach::default();
    assert!(!reach.on_unreachable(upstream(0), ms(0), 2));
    assert!(reach.on_unreachable(upstream(1), ms(0), 2));
}

#[test]
fn probes_follow_on_a_failure_and_end_with_the_doubt() {
    let mut reach = Reach::default();
    assert!(!reach.take_probe(ms(0)));
    reach.on_unreachable(upstream(0), ms(0), 18);
    let probes = [0, 100, 400, 700, 800].map(|at| reach.take_probe(ms(at)));
    assert_eq!(probes, [true, false, true, false, true]);
    reach.on_connected(ms(800));
    assert!(!reach.take_probe(ms(1200)));
}
