//! Graceful shutdown of a node, and probing of silent connections.

use catkinusher_core::drain::{Action, Drain, Policy, Progress, Shutdown, Stage};
use catkinusher_core::progress::{Limits, Probe, Side, Verdict, Watch};
use catkinusher_core::time::Time;

fn at(secs: u64) -> Time {
    Time::from_millis(secs * 1000)
}

#[test]
fn a_stop_waits_for_streams_of_several_minutes() {
    let policy = Policy::default();
    let mut shutdown = Shutdown::new();
    shutdown.on_request_start();
    shutdown.on_request_start();
    let mut seen = vec![(shutdown.stage(), shutdown.on_signal(at(10)))];
    assert!(shutdown.accepts() && !shutdown.is_ready());
    seen.push((
        shutdown.stage(),
        shutdown.on_time(&policy, shutdown.wake(&policy)),
    ));
    assert!(!shutdown.accepts());
    seen.push((shutdown.stage(), shutdown.on_handover_done(at(14))));
    seen.push((shutdown.stage(), shutdown.on_request_end(at(200))));
    seen.push((shutdown.stage(), shutdown.on_request_end(at(500))));
    insta::assert_debug_snapshot!(seen);
}

#[test]
fn a_second_signal_or_the_time_limit_cuts_and_counts_the_open_requests() {
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

fn probed(side: Side) -> (Watch, Time) {
    let limits = Limits::of(side);
    let mut watch = Watch::new(side, limits, at(0));
    watch.on_progress(5, at(1));
    let late = at(1) + limits.silence.get();
    assert_eq!(watch.on_time(at(1)), Verdict::Wait { until: late });
    assert_eq!(watch.on_time(late), Verdict::Ask);
    (watch, late)
}

#[test]
fn a_silent_connection_is_probed_before_it_is_declared_dead() {
    for side in [Side::Peer, Side::Upstream, Side::Platform] {
        let (mut watch, now) = probed(side);
        let probe = Probe::Working { done: 9 };
        assert_eq!(watch.on_probe(probe, now), Verdict::Resume);
        let (mut watch, now) = probed(side);
        assert_eq!(watch.on_probe(Probe::Unknown, now), Verdict::Gone);
        let (mut watch, now) = probed(side);
        let until = now + Limits::of(side).probe.get();
        assert_eq!(watch.on_time(now), Verdict::Wait { until });
        assert_eq!(watch.on_time(until), Verdict::Dead);
    }
}

#[test]
fn a_long_prefill_is_not_a_failure_and_progress_ends_the_probing() {
    let (mut watch, now) = probed(Side::Upstream);
    let until = now + Limits::of(Side::Upstream).silence.get();
    let probe = Probe::Working { done: 5 };
    assert_eq!(watch.on_probe(probe, now), Verdict::Wait { until });
    assert_eq!(watch.on_time(until), Verdict::Ask);
    watch.on_progress(6, until);
    assert!(matches!(watch.on_time(until), Verdict::Wait { .. }));
}

#[test]
fn a_silent_caller_is_declared_dead() {
    let limits = Limits::of(Side::Caller);
    let mut watch = Watch::new(Side::Caller, limits, at(0));
    assert_eq!(watch.on_time(at(0) + limits.silence.get()), Verdict::Dead);
}
