//! Digests and status reports reach the nodes and the object store.

mod support;

use catkinusher_core::id::{ServiceId, UpstreamId};
use catkinusher_core::status::Report;
use catkinusher_fakes::site::Manner;
use catkinusher_platform::{Gate, Object, Store};
use support::{World, complete, expected, prompt, until};

/// Reads the status reports of all data centres, as operators do.
async fn reports(world: &World) -> Vec<Object<Report>> {
    let address = world.site.objects.addr();
    let timeout = std::time::Duration::from_secs(2);
    let store = Store::new([address], timeout, Gate::unlimited());
    let listing = store.list::<Report>("status", "").await;
    listing
        .expect("the object store should list the reports")
        .objects
}

/// Waits until the stored reports satisfy `test`; the time limit only ends a test that would hang.
async fn until_reported<F>(world: &World, test: F) -> Vec<Object<Report>>
where
    F: Fn(&[Object<Report>]) -> bool,
{
    let wait = async {
        loop {
            let reports = reports(world).await;
            if test(&reports) {
                return reports;
            }
            tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        }
    };
    let limit = std::time::Duration::from_secs(40);
    tokio::time::timeout(limit, wait)
        .await
        .expect("reports should satisfy the condition in time")
}

#[tokio::test(flavor = "multi_thread")]
async fn every_node_hears_of_upstreams_it_does_not_own() {
    let mut world = World::start(support::SMALL).await;
    let centre = world.site.inventory.data_centres[0].name.clone();
    for number in 0..3 {
        world
            .add(&format!("more-{number}"), &centre, &mut |_| {})
            .await;
    }
    world.list();
    world.ready().await;
    let upstreams: Vec<UpstreamId> = world
        .site
        .inventory
        .upstreams
        .iter()
        .map(|upstream| upstream.name.clone())
        .collect();
    world
        .until(|node| {
            let routers = &node.state().routers;
            upstreams
                .iter()
                .all(|name| routers.received_digest(name).is_some())
        })
        .await;
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_data_centre_reports_all_its_nodes_in_one_object() {
    let mut world = World::start(support::SMALL).await;
    let centre = world.site.inventory.data_centres[0].name.clone();
    for number in 0..5 {
        world
            .add(&format!("more-{number}"), &centre, &mut |_| {})
            .await;
    }
    world.list();
    world.ready().await;
    let service: ServiceId = "taalhulp"
        .parse()
        .expect("the service name should be valid");
    let reports = until_reported(&world, |reports| {
        let nodes = |count| {
            let has_ready = |report: &&Object<Report>| report.value.ready == count;
            reports.iter().filter(has_ready).count()
        };
        let up = reports
            .iter()
            .filter_map(|report| report.value.services.get(&service))
            .map(|tally| tally.up)
            .sum::<u32>();
        nodes(6) == 1 && nodes(1) == 2 && up == 2
    })
    .await;
    assert_eq!(reports.len(), 3);
    for report in &reports {
        let counts: Vec<_> = report.value.revisions.iter().map(|(_, n)| *n).collect();
        assert_eq!(counts, [report.value.nodes], "{report:?}");
        assert!(report.value.behind.is_empty());
    }
    world.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn what_runs_on_a_drained_upstream_is_reported_until_it_ends() {
    // Slower engines than in the other tests, so that the streams outlast the period of the report.
    let manner = Manner {
        speed: 2.0,
        ..Manner::default()
    };
    let world = World::start_in(support::SMALL, &manner, |_| {}).await;
    let streams: Vec<_> = (0..4)
        .map(|number| tokio::spawn(complete(world.callers(number % 3), prompt(50, 400))))
        .collect();
    until(|| {
        let engines = world.site.engines.values();
        let running = engines.map(|engine| engine.running().streams.len());
        running.sum::<usize>() == streams.len()
    })
    .await;
    let mut inventory = world.site.inventory.clone();
    for centre in &mut inventory.data_centres[..2] {
        centre.drained = true;
    }
    world.site.apply(&inventory);
    let remaining = |reports: &[Object<Report>]| {
        let counts = reports
            .iter()
            .map(|report| report.value.remaining_requests());
        counts.sum::<u64>()
    };
    until_reported(&world, |reports| remaining(reports) == 4).await;
    for stream in streams {
        let answer = stream.await.expect("the task of a stream should not panic");
        assert_eq!(answer.tokens(), (expected(&answer.id(), 400), true));
    }
    until_reported(&world, |reports| remaining(reports) == 0).await;
    world.stop().await;
}
