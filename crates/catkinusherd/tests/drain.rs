//! Graceful shutdowns and drains abort no running request and take no new ones.

mod support;

use std::sync::Arc;

use catkinusher_fakes::site::Manner;
use support::{World, complete, expected, prompt, until};

/// The number of concurrent streams, enough for both engines to get some.
const STREAMS: usize = 8;

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_stops_ends_its_streams_whole_and_takes_no_new_ones() {
    let mut world = World::start(support::SMALL).await;
    let to = world.callers(0);
    let streams: Vec<_> = (0..STREAMS)
        .map(|_| tokio::spawn(complete(to, prompt(50, 400))))
        .collect();
    let leaving = world.nodes.remove(0);
    until(|| leaving.state().stopping.open() == STREAMS as u32).await;
    leaving.signal();
    let stopped = tokio::spawn(leaving.wait_stopped());
    for stream in streams {
        let answer = stream.await.expect("a stream");
        let (text, done) = answer.tokens();
        assert_eq!(text, expected(&answer.id(), 400));
        assert!(done && answer.whole);
    }
    stopped.await.expect("the node stops");
    assert!(tokio::net::TcpStream::connect(to).await.is_err());
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_second_signal_cuts_what_is_left_and_says_so() {
    // At the default engine speed the stream outlasts the two signals.
    let mut world = World::start_in(support::SMALL, &Manner::default(), |_| {}).await;
    let to = world.callers(0);
    let stream = tokio::spawn(complete(to, prompt(50, 200)));
    let leaving = world.nodes.remove(0);
    let state = Arc::clone(leaving.state());
    until(|| state.stopping.open() == 1).await;
    until(|| {
        world
            .site
            .engines
            .values()
            .any(|engine| !engine.running().streams.is_empty())
    })
    .await;
    leaving.signal();
    leaving.signal();
    let stopped = tokio::spawn(leaving.wait_stopped());
    let answer = stream.await.expect("a stream");
    let (_text, done) = answer.tokens();
    assert!(!done, "an aborted stream must not end with [DONE]");
    assert!(answer.text().contains("urn:catkinusher:problem:stop-limit"));
    stopped.await.expect("the node stops");
    until(|| {
        world
            .site
            .engines
            .values()
            .all(|engine| engine.memory_held().get() == 0)
    })
    .await;
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_data_centre_gets_no_new_work_and_gets_it_again_after() {
    let world = World::start(support::SMALL).await;
    let in_gent = world.site.engines["engine-gent"].records().begun.len();
    let running: Vec<_> = (0..STREAMS)
        .map(|number| tokio::spawn(complete(world.callers(number % 3), prompt(50, 400))))
        .collect();
    until(|| {
        let begun = world
            .site
            .engines
            .values()
            .map(|engine| engine.records().begun.len());
        begun.sum::<usize>() == STREAMS + in_gent
    })
    .await;
    let mut inventory = world.site.inventory.clone();
    inventory.data_centres[0].drained = true;
    world.apply(&inventory).await;
    let before = world.site.engines["engine-gent"].records().begun.len();
    for place in 0..3 {
        for _turn in 0..5 {
            let answer = complete(world.callers(place), prompt(50, 5)).await;
            assert_eq!(answer.status, 200, "{}", answer.text());
        }
    }
    assert_eq!(
        world.site.engines["engine-gent"].records().begun.len(),
        before
    );
    for stream in running {
        let answer = stream.await.expect("a stream");
        assert_eq!(answer.tokens(), (expected(&answer.id(), 400), true));
    }
    world.apply(&world.site.inventory).await;
    loop {
        let answer = complete(world.callers(0), prompt(50, 5)).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        if world.site.engines["engine-gent"].records().begun.len() > before {
            break;
        }
    }
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_that_dies_moves_its_upstreams_and_cuts_only_its_own_callers() {
    let mut world = World::start(support::SMALL).await;
    let dead = world.nodes.remove(0);
    let name = dead.state().settings.node.name.clone();
    dead.kill();
    world
        .until(|node| {
            let members = &node.state().members;
            let owner = |upstream: &str| members.owner(&upstream.parse().expect("a name"));
            let moved = owner("engine-gent").is_some_and(|owner| owner != name);
            moved && owner("engine-kortrijk").is_some_and(|owner| owner != name)
        })
        .await;
    for place in 0..2 {
        let answer = complete(world.callers(place), prompt(50, 5)).await;
        assert_eq!(answer.tokens(), (expected(&answer.id(), 5), true));
    }
    world.stop().await;
}
