//! Confirmations by peers are never younger than what they prove, and few nodes read.

use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::confirm::{
    Action, ConfirmReply, Confirmer, ReplyOutcome, StorePosition, WatchProgress,
};
use catkinusher_core::object::Version;
use catkinusher_core::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const RHYTHM: Duration = Duration::from_millis(1200);
const STEP: u64 = 20;

/// What is on its way, and when it comes.
enum Flight {
    Ask(usize, usize, u64),
    Word(usize, ConfirmReply),
    /// A read of the store that began then; it saw this revision, or failed.
    Read(usize, Time, Option<u64>),
}

struct World {
    nodes: Vec<Confirmer>,
    known: Vec<u64>,
    flights: Vec<(u64, Flight)>,
    /// When each revision was written.
    written: Vec<u64>,
    reads: u64,
    rng: ChaCha8Rng,
    way: Way,
}

/// How the ways between nodes, and to the store, are.
#[derive(Clone, Copy)]
struct Way {
    lost: f64,
    late: f64,
    read_ms: u64,
}

const CALM: Way = Way {
    lost: 0.01,
    late: 0.0,
    read_ms: 20,
};

const ROUGH: Way = Way {
    lost: 0.1,
    late: 0.05,
    read_ms: 400,
};

fn address(node: usize) -> SocketAddr {
    format!("10.1.0.{}:7340", node + 1).parse().unwrap()
}

impl World {
    fn new(count: usize, seed: u64, way: Way) -> Self {
        Self {
            nodes: (0..count)
                .map(|node| Confirmer::new(address(node), RHYTHM))
                .collect(),
            known: vec![0; count],
            flights: Vec::new(),
            written: vec![0],
            reads: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            way,
        }
    }

    /// Plays one step at `now`; `alive` and `store` tell who takes part.
    fn step<A>(&mut self, now: u64, store: bool, alive: A)
    where
        A: Fn(usize) -> bool,
    {
        let at = Time::from_millis(now);
        let flights = std::mem::take(&mut self.flights);
        let (due, later): (Vec<_>, Vec<_>) =
            flights.into_iter().partition(|(when, _)| *when <= now);
        self.flights = later;
        for (_, flight) in due {
            match flight {
                Flight::Ask(to, from, number) if alive(to) => {
                    let known = StorePosition {
                        revision: self.known[to],
                        ..StorePosition::default()
                    };
                    if let Some(word) = self.nodes[to].reply(number, known, at) {
                        self.fly(now, Flight::Word(from, word));
                    }
                }
                Flight::Word(to, word) if alive(to) => {
                    let _worth = self.nodes[to].on_reply(&word, self.known[to]);
                }
                Flight::Read(node, began, Some(revision)) if alive(node) => {
                    self.known[node] = self.known[node].max(revision);
                    self.nodes[node].on_read(began);
                }
                Flight::Read(node, _, None) if alive(node) => self.nodes[node].on_failure(at),
                _ => {}
            }
        }
        for node in 0..self.nodes.len() {
            if !alive(node) {
                continue;
            }
            if now.is_multiple_of(800) {
                for other in 0..self.nodes.len() {
                    self.nodes[other].on_peer_seen(address(node), at);
                }
            }
            for action in self.nodes[node].poll(at) {
                match action {
                    Action::Read => {
                        self.reads += 1;
                        // The store answers at some moment between; what it says is of its beginning at the worst.
                        let revision = store.then_some(self.written.len() as u64 - 1);
                        let took = self.rng.random_range(5..self.way.read_ms);
                        let read = Flight::Read(node, at, revision);
                        self.flights.push((now + took, read));
                    }
                    Action::Ask(peer, number) => {
                        let to = (0..self.nodes.len())
                            .find(|other| address(*other) == peer)
                            .unwrap();
                        self.fly(now, Flight::Ask(to, node, number));
                    }
                }
            }
        }
        self.check(now);
    }

    /// A datagram takes a while, at times long, and may be lost.
    fn fly(&mut self, now: u64, flight: Flight) {
        if !self.rng.random_bool(self.way.lost) {
            let late = self.rng.random_bool(self.way.late);
            let took = self.rng.random_range(1..if late { 3000 } else { 40 });
            self.flights.push((now + took, flight));
        }
    }

    /// No node may count as confirmed since a moment at which it knew an older revision than stood.
    fn check(&self, now: u64) {
        for (node, one) in self.nodes.iter().enumerate() {
            let Some(age) = one.freshness().age(Time::from_millis(now)) else {
                continue;
            };
            let since = now - (age.as_millis() as u64).min(now);
            let stood = self.written.iter().rposition(|at| *at < since).unwrap_or(0) as u64;
            assert!(
                self.known[node] >= stood,
                "at {now} node {node} knows {} and counts as confirmed since {since}, when {stood} stood",
                self.known[node]
            );
        }
    }

    fn oldest(&self, now: u64) -> Duration {
        let age = |one: &Confirmer| one.freshness().age(Time::from_millis(now));
        self.nodes
            .iter()
            .map(|one| age(one).unwrap_or(Duration::MAX))
            .max()
            .unwrap()
    }
}

#[test]
fn a_hundred_nodes_read_as_often_as_a_few() {
    let mut world = World::new(100, 1, CALM);
    for now in (0..5000).step_by(STEP as usize) {
        world.step(now, true, |_| true);
    }
    let before = world.reads;
    let mut oldest = Duration::ZERO;
    for now in (5000..35_000).step_by(STEP as usize) {
        world.step(now, true, |_| true);
        oldest = oldest.max(world.oldest(now));
    }
    // Three readers each 0.6 s, and now and then one who lost its questions.
    let each_s = (world.reads - before) as f64 / 30.0;
    assert!(each_s < 3.0 / 0.6 * 2.0, "{each_s} reads a second");
    // With 4.3 s of trust, an outage of more than two seconds is bridged at the worst.
    assert!(oldest < Duration::from_millis(2100), "{oldest:?}");
}

#[test]
fn nobody_is_confirmed_falsely_whatever_is_lost_late_down_or_frozen() {
    for seed in 0..20 {
        let mut world = World::new(12, seed, ROUGH);
        let mut luck = ChaCha8Rng::seed_from_u64(seed + 1000);
        let mut frozen = vec![0; 12];
        let mut down = 0;
        for now in (0..40_000).step_by(STEP as usize) {
            if luck.random_bool(0.01) {
                world.written.push(now);
            }
            if luck.random_bool(0.004) {
                down = now + luck.random_range(500..6000);
            }
            for until in &mut frozen {
                if luck.random_bool(0.001) {
                    *until = now + luck.random_range(200..8000);
                }
            }
            world.step(now, now >= down, |node| now >= frozen[node]);
        }
    }
}

#[test]
fn without_its_readers_a_node_reads_by_itself() {
    let mut world = World::new(30, 3, CALM);
    for now in (0..4000).step_by(STEP as usize) {
        world.step(now, true, |_| true);
    }
    // All but four nodes are killed at once, readers among them or not.
    for now in (4000..14_000).step_by(STEP as usize) {
        world.step(now, true, |node| node >= 26);
        if now > 7000 {
            let age =
                (26..30).map(|node| world.nodes[node].freshness().age(Time::from_millis(now)));
            let oldest = age.map(Option::unwrap).max().unwrap();
            assert!(oldest < Duration::from_millis(2500), "{oldest:?} at {now}");
        }
    }
}

#[test]
fn an_outage_costs_few_calls_and_its_end_is_seen_soon() {
    let mut world = World::new(100, 4, CALM);
    for now in (0..4000).step_by(STEP as usize) {
        world.step(now, true, |_| true);
    }
    for now in (4000..7000).step_by(STEP as usize) {
        world.step(now, false, |_| true);
    }
    let before = world.reads;
    for now in (7000..17_000).step_by(STEP as usize) {
        world.step(now, false, |_| true);
    }
    let each_s = (world.reads - before) as f64 / 10.0;
    // Far below one a node and second.
    assert!(each_s < 60.0, "{each_s} reads a second in the outage");
    for now in (17_000..19_500).step_by(STEP as usize) {
        world.step(now, true, |_| true);
    }
    let oldest = world.oldest(19_480);
    assert!(oldest < RHYTHM * 2, "{oldest:?} after the outage");
}

#[test]
fn a_peer_that_knows_more_makes_a_node_read_and_a_late_answer_counts_for_nothing() {
    let peer = address(1);
    let mut node = Confirmer::new(address(0), RHYTHM);
    let ms = Time::from_millis;
    node.on_peer_seen(peer, ms(0));
    let ask = |node: &mut Confirmer, now: u64| {
        let actions = node.poll(ms(now));
        actions.into_iter().find_map(|action| match action {
            Action::Ask(_, number) => Some(number),
            Action::Read => None,
        })
    };
    let first = ask(&mut node, 0).unwrap();
    node.on_read(ms(0));
    node.on_peer_seen(peer, ms(1000));
    let second = ask(&mut node, 1000).unwrap();
    node.on_read(ms(1000));
    let word = |number, revision| ConfirmReply {
        number,
        age: 100,
        known: StorePosition {
            revision,
            upstreams: Version::NONE,
            drained: Version::NONE,
        },
    };
    assert_eq!(
        node.on_reply(&word(first, 7), 7),
        ReplyOutcome::Ignored,
        "too late"
    );
    assert_eq!(node.on_reply(&word(second, 8), 7), ReplyOutcome::Behind);
    assert!(node.poll(ms(1001)).contains(&Action::Read));
    assert_eq!(
        node.freshness().age(ms(1001)),
        Some(Duration::from_millis(1))
    );
}

#[test]
fn a_watch_that_went_silent_is_told_by_the_second_word_of_peers() {
    let version = Version::new;
    let mut followed = WatchProgress::default();
    followed.on_answer(version(10), Some(version(7)));
    assert_eq!(followed.newest(), version(7));
    assert!(
        !followed.on_peer_version(version(10)),
        "the same changes are known"
    );
    assert!(
        !followed.on_peer_version(version(12)),
        "the change may be on its way"
    );
    assert!(followed.on_peer_version(version(12)));
    assert!(
        !followed.on_peer_version(version(12)),
        "the call that this led to is on its way"
    );
    followed.on_answer(version(15), None);
    assert!(
        !followed.on_peer_version(version(12)),
        "an empty answer tells as much"
    );
    assert!(!followed.on_peer_version(version(12)));
    assert_eq!(followed.newest(), version(7), "only changes count");
}
