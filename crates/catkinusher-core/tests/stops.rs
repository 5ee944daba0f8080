//! The stop of a node, and connections that go silent.

use catkinusher_core::drain::{Action, Drain, Policy, Progress, Shutdown, Stage};
use catkinusher_core::progress::{Limits, Probe, Side, Verdict, Watch};
use catkinusher_core::time::Time;

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1000)
}

#[test]
fn a_stop_waits_for_streams_of_several_minutes() {
    let policy = Policy::default();
    let mut stop = Shutdown::new();
    stop.on_request_start();
    stop.on_request_start();
    let mut seen = vec![(stop.stage(), stop.on_signal(at(10)))];
    assert!(stop.accepts() && !stop.is_ready());
    seen.push((stop.stage(), stop.on_time(&policy, stop.wake(&policy))));
    assert!(!stop.accepts());
    seen.push((stop.stage(), stop.on_handover_done(at(14))));
    seen.push((stop.stage(), stop.on_request_end(at(200))));
    seen.push((stop.stage(), stop.on_request_end(at(500))));
    insta::assert_debug_snapshot!(seen);
}

#[test]
fn a_second_signal_and_the_limit_end_what_is_left_and_count_it() {
    let policy = Policy::default();
    let mut twice = Shutdown::new();
    twice.on_request_start();
    twice.on_signal(at(10));
    let cut = [
        Action::StopAccepting,
        Action::CutRest { open: 1 },
        Action::Leave,
    ];
    assert_eq!(twice.on_signal(at(11)), cut);

    let mut slow = Shutdown::new();
    slow.on_request_start();
    slow.on_signal(at(0));
    slow.on_time(&policy, slow.wake(&policy));
    slow.on_time(&policy, slow.wake(&policy));
    assert_eq!(slow.stage(), Stage::Finishing);
    let cut = [Action::CutRest { open: 1 }, Action::Leave];
    assert_eq!(slow.on_time(&policy, slow.wake(&policy)), cut);
    assert_eq!(slow.wake(&policy), Time::NEVER);
}

#[test]
fn a_drain_ends_with_its_last_request() {
    let mut drain = Drain::new(1, at(0));
    assert!(matches!(
        drain.progress(at(3)),
        Progress::Draining { open: 1, .. }
    ));
    drain.on_request_end();
    assert_eq!(drain.progress(at(4)), Progress::Drained);
}

fn asked(side: Side) -> (Watch, Time) {
    let limits = Limits::of(side);
    let mut watch = Watch::new(side, limits, at(0));
    watch.on_progress(5, at(1));
    let late = at(1) + limits.silence.get();
    assert_eq!(watch.on_time(at(1)), Verdict::Wait { until: late });
    assert_eq!(watch.on_time(late), Verdict::Ask);
    (watch, late)
}

#[test]
fn silence_is_asked_about_before_the_other_end_is_held_dead() {
    for side in [Side::Peer, Side::Upstream, Side::Platform] {
        let (mut watch, now) = asked(side);
        let probe = Probe::Working { done: 9 };
        assert_eq!(watch.on_probe(probe, now), Verdict::Resume);
        let (mut watch, now) = asked(side);
        assert_eq!(watch.on_probe(Probe::Unknown, now), Verdict::Gone);
        let (mut watch, now) = asked(side);
        let until = now + Limits::of(side).probe.get();
        assert_eq!(watch.on_time(now), Verdict::Wait { until });
        assert_eq!(watch.on_time(until), Verdict::Dead);
    }
}

#[test]
fn a_long_prefill_is_no_death_and_an_answer_ends_the_asking() {
    let (mut watch, now) = asked(Side::Upstream);
    let until = now + Limits::of(Side::Upstream).silence.get();
    let probe = Probe::Working { done: 5 };
    assert_eq!(watch.on_probe(probe, now), Verdict::Wait { until });
    assert_eq!(watch.on_time(until), Verdict::Ask);
    watch.on_progress(6, until);
    assert!(matches!(watch.on_time(until), Verdict::Wait { .. }));
}

#[test]
fn a_silent_caller_is_given_up() {
    let limits = Limits::of(Side::Caller);
    let mut watch = Watch::new(Side::Caller, limits, at(0));
    assert_eq!(watch.on_time(at(0) + limits.silence.get()), Verdict::Dead);
}
