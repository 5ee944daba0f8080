//! Regression test: an upstream that failed each request immediately looked idle and attracted a
//! quarter of all requests of 99 nodes.

#[path = "site/mod.rs"]
mod site;

use std::time::Duration;

use catkinusher_core::fleet::{Demand, Fault, Fleet, Policy};
use catkinusher_core::id::UpstreamId;
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use site::{model, upstream};

const NODES: usize = 40;
const ENGINES: usize = 12;
const REQUESTS: usize = 4000;

/// The nodes place requests in turn and report their loads to all peers; one engine fails all requests.
#[test]
fn nodes_report_to_each_other_which_engine_fails() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut nodes: Vec<Fleet> = (0..NODES)
        .map(|_| {
            let mut fleet = Fleet::new("gent".parse().unwrap());
            fleet.on_list((0..ENGINES).map(upstream).collect(), false, Time::ZERO);
            fleet
        })
        .collect();
    let demand = Demand {
        prompt: Tokens::new(5000),
        answer: Tokens::new(2000),
        objective: Duration::from_millis(300),
        patience: Duration::from_secs(2),
        time_left: Duration::from_secs(10),
        ..Demand::default()
    };
    let mut failing: Option<UpstreamId> = None;
    let mut lost = 0;
    for request in 0..REQUESTS {
        // A hundred requests per second.
        let now = Time::from_millis(request as u64 * 10);
        let node = request % NODES;
        let fleet = &mut nodes[node];
        let placed = fleet
            .place(&model(), &demand, &Policy::default(), now, &mut rng)
            .unwrap();
        let failing = failing.get_or_insert_with(|| placed.primary.clone());
        let work = fleet.begin(&placed.primary, placed.cost, now);
        fleet.end(work);
        if placed.primary == *failing {
            lost += 1;
            fleet.on_fault(&placed.primary, Fault::Failed, now);
        } else {
            fleet.on_success(&placed.primary, now);
        }
        let loads = fleet.loads();
        for (other, peer) in nodes.iter_mut().enumerate() {
            if other != node {
                peer.on_loads(node as u64, loads.clone(), false, 0, now);
            }
        }
    }
    let share = f64::from(lost) / REQUESTS as f64;
    assert!(
        share < 0.02,
        "{share} of all requests went to the failing engine"
    );
    assert!(
        lost > 12,
        "the failing engine is retried occasionally: {lost}"
    );
}
