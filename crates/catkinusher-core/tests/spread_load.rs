//! Even load while many nodes place requests for themselves at the same moment.
//!
//! Load: no placing node answers, and callers send a burst through all nodes, whose information about
//! the load is up to half a second old or missing.

mod site;

use std::collections::BTreeMap;
use std::time::Duration;

use catkinusher_core::directory::Service;
use catkinusher_core::fleet::{
    Authority, Cost, Demand, Fleet, NamedLoad, Overload, Policy, Upstream,
};
use catkinusher_core::id::UpstreamId;
use catkinusher_core::roster::Position;
use catkinusher_core::time::Time;
use catkinusher_core::units::{Rate, Tokens};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// The users' bound on the busiest upstream, as a multiple of the fair share.
const MAX_RATIO: f64 = 1.3;

/// When the information arrives.
const INFORMED: Time = Time::from_millis(10_000);

/// The time within which a burst is sent, in milliseconds.
const BURST: u64 = 20;

fn short() -> Demand {
    Demand {
        prompt: Tokens::new(4960),
        answer: Tokens::new(1500),
        objective: Duration::from_millis(250),
        patience: Duration::from_secs(2),
        time_left: Duration::from_secs(10),
        authority: Authority::Own,
        ..Demand::default()
    }
}

fn long() -> Demand {
    Demand {
        prompt: Tokens::new(45_000),
        ..short()
    }
}

fn plain() -> Service {
    Service {
        engine: None,
        ..site::model()
    }
}

/// Nodes with the same upstreams.
struct Site {
    service: Service,
    nodes: Vec<Fleet>,
    /// The requests placed on each upstream.
    placed: BTreeMap<UpstreamId, u32>,
    refused: u32,
    rng: ChaCha8Rng,
}

impl Site {
    /// `slots` are those of each upstream; `positions` is unset to run the code without the spread.
    fn new(service: Service, slots: &[u32], nodes: usize, positions: bool) -> Self {
        let list: Vec<Upstream> = slots
            .iter()
            .enumerate()
            .map(|(number, slots)| Upstream {
                slots: *slots,
                ..site::upstream(number)
            })
            .collect();
        let node = |rank: usize| {
            let home = ["gent", "kortrijk"][rank % 2];
            let mut fleet = Fleet::new(home.parse().unwrap());
            fleet.on_node_count(nodes);
            if positions {
                fleet.on_position(Position { rank, count: nodes });
            }
            fleet.on_list(list.clone(), false, Time::ZERO);
            fleet
        };
        Self {
            service,
            nodes: (0..nodes).map(node).collect(),
            placed: list.into_iter().map(|one| (one.id, 0)).collect(),
            refused: 0,
            rng: ChaCha8Rng::seed_from_u64(nodes as u64),
        }
    }

    /// Every node reports its load to all others.
    fn inform(&mut self, now: Time) {
        for peer in 0..self.nodes.len() {
            self.report(peer, now);
        }
    }

    fn report(&mut self, peer: usize, now: Time) {
        let loads = self.nodes[peer].loads();
        for (number, node) in self.nodes.iter_mut().enumerate() {
            if number != peer {
                node.on_loads(peer as u64, loads.clone(), true, 0, now);
            }
        }
    }

    fn place(&mut self, node: usize, demand: &Demand, now: Time) -> Result<UpstreamId, Overload> {
        let policy = Policy::default();
        let fleet = &mut self.nodes[node];
        let placed = fleet.place(&self.service, demand, &policy, now, &mut self.rng)?;
        fleet.begin(&placed.primary, placed.cost, now);
        for (helper, cost) in &placed.helpers {
            fleet.begin(helper, *cost, now);
        }
        *self.placed.get_mut(&placed.primary).unwrap() += 1;
        Ok(placed.primary)
    }

    /// Sends `counts[node]` requests through each node, in a random order, `age` after the information arrived.
    fn burst(&mut self, demand: &Demand, counts: &[usize], age: u64) {
        let nodes = counts.iter().enumerate();
        let mut order: Vec<usize> = nodes.flat_map(|(node, n)| vec![node; *n]).collect();
        for index in (1..order.len()).rev() {
            order.swap(index, self.rng.random_range(0..=index));
        }
        let total = order.len() as u64;
        for (index, node) in order.into_iter().enumerate() {
            // With information 0 ms old, each placement is known before the next.
            let delay = if age == 0 {
                0
            } else {
                index as u64 * BURST / total
            };
            let now = INFORMED + Duration::from_millis(age + delay);
            if self.place(node, demand, now).is_err() {
                self.refused += 1;
            }
            if age == 0 {
                self.report(node, now);
            }
        }
    }

    /// The most requests placed on an upstream, as a multiple of the mean.
    fn ratio(&self) -> f64 {
        let all: u32 = self.placed.values().sum();
        let most = self.placed.values().max().copied().unwrap_or_default();
        f64::from(most) * self.placed.len() as f64 / f64::from(all.max(1))
    }
}

/// The ratio after a burst on idle upstreams.
fn ratio(
    service: &Service,
    slots: &[u32],
    demand: &Demand,
    counts: &[usize],
    age: u64,
    positions: bool,
) -> f64 {
    let mut site = Site::new(service.clone(), slots, counts.len(), positions);
    site.inform(INFORMED);
    site.burst(demand, counts, age);
    assert_eq!(site.refused, 0, "there is room for all");
    site.ratio()
}

/// Load: 100 nodes place a burst with information 200 ms old.
#[test]
fn a_burst_on_stale_information_is_even() {
    let cases = [
        ("plain, 4 upstreams", plain(), vec![600; 4], short(), 1),
        ("plain, 4 upstreams", plain(), vec![600; 4], short(), 5),
        ("plain, 4 upstreams", plain(), vec![600; 4], short(), 20),
        ("plain, 24 upstreams", plain(), vec![64; 24], short(), 5),
        (
            "short prompts, 54 engines",
            site::model(),
            vec![16; 54],
            short(),
            1,
        ),
        (
            "short prompts, 54 engines",
            site::model(),
            vec![16; 54],
            short(),
            5,
        ),
        (
            "long prompts, 54 engines",
            site::model(),
            vec![16; 54],
            long(),
            1,
        ),
    ];
    for (name, service, slots, demand, each) in cases {
        let counts = vec![each; 100];
        let with = ratio(&service, &slots, &demand, &counts, 200, true);
        let mut before = Site::new(service, &slots, 100, false);
        before.inform(INFORMED);
        before.burst(&demand, &counts, 200);
        println!(
            "{name}, {each} each: {with:.2} times the fair share; without positions {:.2}, {} refused",
            before.ratio(),
            before.refused
        );
        assert!(with <= MAX_RATIO, "{name}, {each} each: {with:.2}");
    }
}

/// Failure: nodes that count all their sends drift apart, so that a later burst finds them at random positions.
#[test]
fn a_burst_after_uneven_traffic_is_even() {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut site = Site::new(site::model(), &[16; 54], 100, true);
    for node in 0..100 {
        for number in 0..rng.random_range(0..6) {
            let now = INFORMED - Duration::from_millis(2400 - 400 * number);
            let fleet = &mut site.nodes[node];
            let policy = Policy::default();
            let placed = fleet.place(&site.service, &short(), &policy, now, &mut site.rng);
            let placed = placed.unwrap();
            let work = fleet.begin(&placed.primary, placed.cost, now);
            fleet.end(work);
        }
    }
    site.inform(INFORMED);
    site.burst(&short(), &[1; 100], 200);
    assert!(site.ratio() <= MAX_RATIO, "{:?}", site.placed);
}

/// The busiest of some fifty upstreams under independent random choice is about this many standard
/// deviations above the mean; no node knows how unevenly callers use the others.
const MAX_DEVIATIONS: f64 = 3.0;

/// Load: callers send unlike numbers of requests through the nodes.
#[test]
fn uneven_bursts_are_spread_by_any_number_of_nodes() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    for (nodes, most) in [(1, 100), (40, 10), (100, 6), (300, 2)] {
        let counts: Vec<usize> = (0..nodes).map(|_| rng.random_range(0..=most)).collect();
        for age in [0, 10, 50, 100, 200, 500] {
            // Fresh information on all nodes takes a message from each node to each for each request.
            if age == 0 && nodes > 100 {
                continue;
            }
            for (name, service, slots) in [
                ("plain", plain(), vec![200; 4]),
                ("plain", plain(), vec![50; 24]),
                ("engines", site::model(), vec![16; 54]),
            ] {
                // With fresh information prompts fill one engine after the other, as before.
                if name == "engines" && (age == 0 || nodes == 1) {
                    continue;
                }
                let mut site = Site::new(service, &slots, nodes, true);
                site.inform(INFORMED);
                site.burst(&short(), &counts, age);
                let all: u32 = site.placed.values().sum();
                let fair = f64::from(all) / slots.len() as f64;
                let busiest = f64::from(*site.placed.values().max().unwrap());
                let case = format!("{nodes} nodes, {age} ms, {} {name}", slots.len());
                println!("{case}: busiest {busiest}, fair share {fair:.1}");
                assert_eq!(site.refused, 0, "{case}");
                let bound = (fair * MAX_RATIO).max(fair + MAX_DEVIATIONS * fair.sqrt());
                assert!(busiest <= bound, "{case}: {busiest}, fair share {fair:.1}");
            }
        }
    }
}

/// A single decider with fresh information chooses as if it knew nothing of positions.
#[test]
fn a_single_decider_chooses_as_before() {
    for service in [plain(), site::model()] {
        let mut sites = [false, true].map(|positions| {
            let mut site = Site::new(service.clone(), &[16; 12], 1, positions);
            site.inform(INFORMED);
            site
        });
        for _ in 0..150 {
            let [before, after] = &mut sites;
            let expected = before.place(0, &short(), INFORMED);
            assert_eq!(after.place(0, &short(), INFORMED), expected);
        }
    }
}

/// The placing node of a cell decides for all, so its own position does not matter.
#[test]
fn placement_for_all_nodes_does_not_depend_on_positions() {
    for service in [plain(), site::model()] {
        let mut sites =
            [false, true].map(|positions| Site::new(service.clone(), &[16; 12], 30, positions));
        let shared = Demand {
            authority: Authority::Shared,
            ..short()
        };
        for site in &mut sites {
            let load = NamedLoad {
                running: 16,
                waiting: 3,
                slots: 16,
            };
            site.nodes[7].on_named_load(&site::upstream(0).id, load, INFORMED);
        }
        for _ in 0..150 {
            let [before, after] = &mut sites;
            let expected = before.place(7, &shared, INFORMED);
            assert_eq!(after.place(7, &shared, INFORMED), expected);
        }
    }
}

/// Load: other callers keep one upstream busy and fill another, which only the answers show.
#[test]
fn a_busy_upstream_gets_less_and_a_full_one_nothing() {
    for (service, slots) in [(plain(), 64), (site::model(), 16)] {
        let mut site = Site::new(service, &[slots; 12], 100, true);
        for number in 0..12 {
            let running = [slots, slots * 3 / 4].get(number).copied().unwrap_or(0);
            let load = NamedLoad {
                running,
                waiting: 0,
                slots,
            };
            for node in &mut site.nodes {
                node.on_named_load(&site::upstream(number).id, load, INFORMED);
            }
        }
        site.burst(&short(), &[1; 100], 200);
        let counts: Vec<u32> = site.placed.values().copied().collect();
        assert_eq!(counts[0], 0, "it is full: {counts:?}");
        assert!(
            counts[1] < counts[2..].iter().copied().min().unwrap(),
            "{counts:?}"
        );
    }
}

/// Load: one upstream runs some requests more than the others, fewer than a burst brings to each.
#[test]
fn a_difference_that_others_may_have_made_up_for_is_ignored() {
    let mut site = Site::new(plain(), &[64; 4], 100, true);
    for _ in 0..5 {
        let fleet = &mut site.nodes[0];
        fleet.begin(&site::upstream(0).id, Cost::default(), INFORMED);
    }
    site.inform(INFORMED);
    site.burst(&short(), &[1; 100], 200);
    assert!(site.ratio() <= MAX_RATIO, "{:?}", site.placed);
}

/// What an answer named counts no longer when it is old.
#[test]
fn a_named_load_ages() {
    let mut site = Site::new(plain(), &[64; 4], 100, true);
    let full = NamedLoad {
        running: 64,
        waiting: 9,
        slots: 64,
    };
    for node in &mut site.nodes {
        node.on_named_load(&site::upstream(0).id, full, INFORMED);
    }
    site.burst(&short(), &[1; 100], 3000);
    assert!(site.ratio() <= MAX_RATIO, "{:?}", site.placed);
}

/// Load: 100 nodes place alone on upstreams that are cold, or that name a limit.
#[test]
fn limits_of_the_whole_fleet_hold() {
    for (upstream_rate, is_cold) in [(18.0, true), (60.0, false)] {
        let mut site = Site::new(plain(), &[600; 4], 100, true);
        let id = site::upstream(0).id;
        site.service.cold_rate = Some(Rate::per_second(upstream_rate));
        for node in &mut site.nodes {
            if is_cold {
                let cold = Upstream {
                    cold_for: Duration::from_mins(1),
                    slots: 600,
                    ..site::upstream(0)
                };
                node.on_change(cold, INFORMED);
            } else {
                node.on_limit(&id, Some(Rate::per_second(upstream_rate)), INFORMED);
            }
        }
        site.inform(INFORMED);
        site.burst(&short(), &[10; 100], 200);
        let placed = f64::from(site.placed[&id]);
        // What is tolerated within four seconds, all of which may come at once.
        assert!(placed <= upstream_rate * 6.0 + 5.0, "{placed}");
        assert_eq!(site.refused, 0);
    }
}

/// Failure: the placing node is gone, with all that it knew, and all others place alone.
///
/// Its successors have the reports of the others, and the others know only their own requests.
#[test]
fn without_the_placing_node_the_load_stays_even() {
    const NODES: usize = 92;
    const SUCCESSORS: usize = 2;
    for (service, slots) in [(plain(), vec![200; 4]), (site::model(), vec![16; 54])] {
        let mut results = Vec::new();
        for positions in [false, true] {
            let mut site = Site::new(service.clone(), &slots, NODES, positions);
            // The placing node has spread 200 requests evenly.
            let ids: Vec<UpstreamId> = site.placed.keys().cloned().collect();
            for number in 0..200 {
                let id = &ids[number % ids.len()];
                let cost = Cost::default();
                site.nodes[1 + number % (NODES - 1)].begin(id, cost, INFORMED);
                *site.placed.get_mut(id).unwrap() += 1;
            }
            for peer in 1..NODES {
                let loads = site.nodes[peer].loads();
                for successor in 1..=SUCCESSORS {
                    if successor != peer {
                        let reported = loads.clone();
                        site.nodes[successor].on_loads(peer as u64, reported, true, 0, INFORMED);
                    }
                }
            }
            let mut counts = [4; NODES];
            counts[0] = 0;
            site.burst(&short(), &counts, 200);
            results.push((site.ratio(), site.refused));
        }
        println!(
            "{} upstreams: (ratio, refused) before and after {results:?}",
            slots.len()
        );
        let (ratio, refused) = results[1];
        assert_eq!(refused, 0);
        assert!(ratio <= MAX_RATIO, "{results:?}");
    }
}

// Guards against requests that are refused though most upstreams are idle: the few that this node had
// answers from were full, and the others were taken for as busy.
#[test]
fn upstreams_that_named_no_load_are_not_taken_for_full() {
    for service in [site::model(), plain()] {
        let mut site = Site::new(service.clone(), &[16; 12], 60, true);
        let full = NamedLoad {
            running: 16,
            waiting: 20,
            slots: 16,
        };
        let node = &mut site.nodes[7];
        for number in 0..3 {
            node.on_named_load(&site::upstream(number).id, full, INFORMED);
        }
        let now = INFORMED + Duration::from_millis(100);
        let policy = Policy::default();
        let placed = node.place(&service, &short(), &policy, now, &mut site.rng);
        let placed = placed.expect("nine upstreams may have room");
        let is_full = |number| site::upstream(number).id == placed.primary;
        assert!(!(0..3).any(is_full), "{placed:?}");
    }
}
