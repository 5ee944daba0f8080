//! Traffic that is the same each time, and answers that are read token by token.

use std::net::SocketAddr;

use catkinusher::load::{self, Caller, Counts, Ending, Fault, Mix, Phase, Plan, Report, draw};
use catkinusher_core::class::LengthClass;
use catkinusher_core::units::{Rate, Span, Tokens};
use catkinusher_fakes::engine::{self, Config, Faults, Handle};

/// So much faster than their rates that the engines finish at once.
const SPEED: f64 = 1e4;

/// So slow that several requests run at a time.
const OVERLAP_SPEED: f64 = 5.0;

async fn engine(faults: Faults) -> Handle {
    let config = Config {
        speed: SPEED,
        faults,
        ..Config::default()
    };
    engine::start(config).await.expect("started")
}

fn plan(entries: Vec<SocketAddr>) -> Plan {
    let callers = ["Galerij-Zoë=key-1=3", "klein=key-2"];
    let callers = callers.map(|caller| caller.parse::<Caller>().expect("a caller"));
    Plan {
        entries,
        callers: callers.to_vec(),
        rate: Rate::per_second(100.0),
        longest: Tokens::new(200_000),
        alone: Span::from_millis(500),
        mixed: Span::from_secs(1),
        answer: Tokens::new(8),
        ..Plan::default()
    }
}

async fn run(plan: &Plan) -> Report {
    load::run(plan, |_progress| {}).await.expect("sent")
}

/// The ends of a report's requests, each kind once.
fn endings(report: &Report) -> Vec<&Ending> {
    let mut endings = report
        .calls()
        .iter()
        .map(|call| &call.ending)
        .collect::<Vec<_>>();
    endings.dedup();
    endings
}

#[test]
fn the_same_seed_draws_the_same_arrivals() {
    let plan = plan(vec!["127.0.0.1:1".parse().expect("an address")]);
    let arrivals = draw(&plan);
    assert_eq!(arrivals, draw(&plan));
    let shorts = |phase| {
        let mine = arrivals
            .iter()
            .filter(move |arrival| arrival.phase == phase);
        let mine = mine.filter(|arrival| arrival.class == LengthClass::Short);
        mine.map(|arrival| (arrival.at, arrival.prompt))
            .collect::<Vec<_>>()
    };
    let alone = shorts(Phase::Alone);
    assert_eq!(alone, shorts(Phase::Mixed)[..alone.len()]);
    let lines = arrivals.iter().rev().step_by(9).map(|arrival| {
        format!(
            "{} {} {}us {} tokens, caller {}",
            arrival.phase,
            arrival.class,
            arrival.at.as_micros(),
            arrival.prompt,
            arrival.caller
        )
    });
    insta::assert_snapshot!(lines.collect::<Vec<_>>().join("\n"));
}

#[tokio::test]
async fn whole_answers_are_counted_by_phase_and_class() {
    let engines = [
        engine(Faults::default()).await,
        engine(Faults::default()).await,
    ];
    let plan = plan(engines.iter().map(Handle::addr).collect());
    let report = run(&plan).await;
    let arrivals = draw(&plan).len() as u64;
    let whole = Counts {
        whole: arrivals,
        ..Counts::default()
    };
    assert_eq!(report.counts(), whole, "{report}");
    let begun = engines
        .iter()
        .map(|engine| engine.records().begun.len() as u64);
    assert_eq!(begun.sum::<u64>(), arrivals);
    let cells = report.cells().iter().map(|((phase, class), cell)| {
        format!(
            "{phase} {class}: {} first tokens, {} gaps",
            cell.first.len(),
            cell.gaps.len()
        )
    });
    insta::assert_snapshot!(cells.collect::<Vec<_>>().join("\n"));
    assert!(report.slowdown(0.95).is_some());
}

#[tokio::test]
async fn a_prompt_has_the_length_that_was_drawn() {
    let engine = engine(Faults::default()).await;
    let plan = plan(vec![engine.addr()]);
    run(&plan).await;
    let mut drawn = draw(&plan)
        .iter()
        .map(|arrival| arrival.prompt)
        .collect::<Vec<_>>();
    let mut seen = engine
        .records()
        .begun
        .iter()
        .map(|begin| begin.prompt)
        .collect::<Vec<_>>();
    drawn.sort();
    seen.sort();
    assert_eq!(drawn, seen);
}

/// One request at an engine with `faults`.
async fn ending(faults: Faults) -> String {
    let engine = engine(faults).await;
    let plan = Plan {
        most: 1,
        ..plan(vec![engine.addr()])
    };
    let report = run(&plan).await;
    assert_eq!(report.counts().untold, 1);
    format!("{:?}", endings(&report))
}

#[tokio::test]
async fn an_answer_that_is_not_whole_is_never_counted_as_whole() {
    let truncated = Faults {
        truncate: 1,
        truncate_after: 3,
        ..Faults::default()
    };
    let doubled = Faults {
        duplicate: 1,
        ..Faults::default()
    };
    let refused = Faults {
        refuse: true,
        ..Faults::default()
    };
    let lines = [
        ending(truncated).await,
        ending(doubled).await,
        ending(refused).await,
    ];
    insta::assert_snapshot!(lines.join("\n"));
}

#[tokio::test]
async fn a_crossed_frame_is_found() {
    let config = Config {
        speed: OVERLAP_SPEED,
        faults: Faults {
            cross: 1,
            ..Faults::default()
        },
        ..Config::default()
    };
    let engine = engine::start(config).await.expect("started");
    let plan = Plan {
        mix: "short=1".parse().expect("a mix"),
        ..plan(vec![engine.addr()])
    };
    let report = run(&plan).await;
    let wrong = report.untold().map(|call| &call.ending).collect::<Vec<_>>();
    assert!(
        matches!(wrong[..], [Ending::Wrong(Fault::Crossed(_))]),
        "{report}"
    );
}

#[tokio::test]
async fn an_entry_that_is_not_there_and_a_bound_on_open_requests_are_counted() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a listener");
    let closed = listener.local_addr().expect("an address");
    drop(listener);
    let report = run(&Plan {
        most: 3,
        ..plan(vec![closed])
    })
    .await;
    assert_eq!(endings(&report), [&Ending::Unreachable]);
    let engine = engine(Faults::default()).await;
    let report = run(&Plan {
        open: 0,
        most: 3,
        ..plan(vec![engine.addr()])
    })
    .await;
    assert_eq!(endings(&report), [&Ending::Unsent]);
}

#[test]
fn a_mix_and_a_caller_are_read_or_refused() {
    let mixes = [
        "short=1,huge=1",
        "short",
        "tall=3",
        "short=x",
        "short=0",
        "short=-1,long=2",
    ];
    let callers = ["a=k", "a=k=2", "a", "a=k=0", "=k"];
    let mixes = mixes.map(|text| match text.parse::<Mix>() {
        Ok(mix) => format!("{text}: {}", mix.share(LengthClass::Short)),
        Err(fault) => format!("{text}: {fault}"),
    });
    let callers = callers.map(|text| match text.parse::<Caller>() {
        Ok(caller) => format!("{text}: {} of {}", caller.key, caller.weight),
        Err(fault) => format!("{text}: {fault}"),
    });
    insta::assert_snapshot!([mixes.join("\n"), callers.join("\n")].join("\n"));
}
