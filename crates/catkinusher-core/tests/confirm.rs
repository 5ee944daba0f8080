//! Confirmations by peers are never newer than what they prove, and only few nodes read the store.

use std::net::SocketAddr;
use std::time::Duration;

use catkinusher_core::confirm::{
    ANY_REVISION, Action, ConfirmReply, Confirmer, ReplyOutcome, StorePosition, WatchProgress,
};
use catkinusher_core::id::{Incarnation, Serial};
use catkinusher_core::object::{Era, Version};
use catkinusher_core::roster::{Member, Roster};
use catkinusher_core::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const INTERVAL: Duration = Duration::from_millis(1200);
const STEP: u64 = 20;

/// A message in transit.
enum Message {
    Query(usize, usize, Serial),
    Reply(usize, usize, ConfirmReply),
    /// A fetch that saw this revision, or failed.
    Fetched(usize, Option<u64>),
    /// A read of the store that began at this time and saw this revision, or failed.
    Read(usize, Time, Option<u64>),
}

struct Simulation {
    nodes: Vec<Confirmer>,
    rosters: Vec<Roster>,
    known: Vec<u64>,
    in_transit: Vec<(u64, Message)>,
    /// The time at which each revision was written.
    written: Vec<u64>,
    reads: u64,
    fetches: u64,
    rng: ChaCha8Rng,
    network: Network,
}

/// The properties of the network between nodes and to the store.
#[derive(Clone, Copy)]
struct Network {
    loss: f64,
    delay_probability: f64,
    max_read_ms: u64,
    /// How long a read of a silent store takes to fail, or `None` if it fails like any other.
    timeout_ms: Option<u64>,
    /// The most revisions that the answer to a fetch may lack.
    max_lag: u64,
}

const RELIABLE: Network = Network {
    loss: 0.01,
    delay_probability: 0.0,
    max_read_ms: 20,
    timeout_ms: None,
    max_lag: 2,
};

const UNRELIABLE: Network = Network {
    loss: 0.1,
    delay_probability: 0.05,
    max_read_ms: 400,
    timeout_ms: None,
    max_lag: 2,
};

fn address(node: usize) -> SocketAddr {
    format!("10.1.0.{}:7340", node + 1).parse().unwrap()
}

fn member(node: usize) -> Member {
    Member {
        address: address(node),
        capacity: 12,
        data_centre: None,
    }
}

/// The roster of a node that knows all others from the store's list.
fn roster(node: usize, count: usize) -> Roster {
    let mut roster = Roster::new(member(node), Time::ZERO);
    roster.on_list((0..count).map(member).collect(), Time::ZERO);
    roster
}

impl Simulation {
    fn new(count: usize, seed: u64, network: Network) -> Self {
        Self {
            nodes: (0..count)
                .map(|_| Confirmer::new(Incarnation::new(1), INTERVAL))
                .collect(),
            rosters: (0..count).map(|node| roster(node, count)).collect(),
            known: vec![0; count],
            in_transit: Vec::new(),
            written: vec![0],
            reads: 0,
            fetches: 0,
            rng: ChaCha8Rng::seed_from_u64(seed),
            network,
        }
    }

    /// Simulates one step at `now`; `store` and `alive` tell whether the store and which nodes are up.
    fn step<A>(&mut self, now: u64, store: bool, alive: A)
    where
        A: Fn(usize) -> bool,
    {
        self.step_with(now, |_| store, alive);
    }

    /// As `step`, with a store that may serve only some nodes.
    fn step_with<S, A>(&mut self, now: u64, store: S, alive: A)
    where
        S: Fn(usize) -> bool,
        A: Fn(usize) -> bool,
    {
        let at = Time::from_millis(now);
        let in_transit = std::mem::take(&mut self.in_transit);
        let (due, later): (Vec<_>, Vec<_>) =
            in_transit.into_iter().partition(|(when, _)| *when <= now);
        self.in_transit = later;
        for (_, message) in due {
            match message {
                Message::Query(to, from, serial) if alive(to) => {
                    self.rosters[to].on_heard(address(from), at);
                    let known = self.position(to);
                    let reply = self.nodes[to].on_query(address(from), serial, known, at);
                    self.send(now, Message::Reply(to, from, reply));
                }
                Message::Reply(from, to, reply) if alive(to) => {
                    self.rosters[to].on_heard(address(from), at);
                    let _outcome = self.nodes[to].on_reply(&reply, self.known[to], at);
                }
                Message::Read(node, began, Some(revision)) if alive(node) => {
                    self.known[node] = self.known[node].max(revision);
                    let (known, roster) = (self.known[node], &self.rosters[node]);
                    let confirms = self.nodes[node].on_read(began, known, Era::NONE, roster, at);
                    assert!(
                        confirms,
                        "a store that loses nothing shows what a peer had before"
                    );
                }
                Message::Fetched(node, Some(revision)) if alive(node) => {
                    self.known[node] = self.known[node].max(revision);
                    let _suffices = self.nodes[node].on_fetch(self.known[node]);
                }
                Message::Read(node, _, None) if alive(node) => {
                    self.nodes[node].on_failure(&self.rosters[node], at);
                }
                Message::Fetched(node, None) if alive(node) => {
                    self.nodes[node].on_fetch_failure(&self.rosters[node], at);
                }
                _ => {}
            }
        }
        for node in 0..self.nodes.len() {
            if !alive(node) {
                continue;
            }
            for action in self.nodes[node].poll(&mut self.rosters[node], at) {
                match action {
                    Action::Read => {
                        self.reads += 1;
                        // The response reflects the store at some time during the read, in the worst case at its start.
                        let revision = store(node).then_some(self.written.len() as u64 - 1);
                        let took = self.read_time(revision.is_some());
                        let read = Message::Read(node, at, revision);
                        self.in_transit.push((now + took, read));
                    }
                    Action::Fetch(_) => {
                        // An old answer has any earlier revision, and confirms nothing.
                        self.fetches += 1;
                        let newest = self.written.len() as u64 - 1;
                        let lag = newest.min(self.network.max_lag);
                        let revision = store(node).then(|| newest - self.rng.random_range(0..=lag));
                        let took = self.read_time(revision.is_some());
                        self.in_transit
                            .push((now + took, Message::Fetched(node, revision)));
                    }
                    Action::Ask(peer, serial) => {
                        let to = self.number(peer);
                        self.send(now, Message::Query(to, node, serial));
                    }
                    Action::Reply(peer, serial) => {
                        let to = self.number(peer);
                        let reply = self.nodes[node].reply(serial, self.position(node), at);
                        self.send(now, Message::Reply(node, to, reply));
                    }
                }
            }
        }
        self.check(now);
    }

    fn number(&self, node: SocketAddr) -> usize {
        (0..self.nodes.len())
            .find(|other| address(*other) == node)
            .unwrap()
    }

    fn position(&self, node: usize) -> StorePosition {
        StorePosition {
            revision: self.known[node],
            ..StorePosition::default()
        }
    }

    fn read_time(&mut self, answered: bool) -> u64 {
        let took = self.rng.random_range(5..self.network.max_read_ms);
        self.network
            .timeout_ms
            .filter(|_| !answered)
            .unwrap_or(took)
    }

    /// Sends a datagram, which may be delayed or lost.
    fn send(&mut self, now: u64, message: Message) {
        if !self.rng.random_bool(self.network.loss) {
            let late = self.rng.random_bool(self.network.delay_probability);
            let took = self.rng.random_range(1..if late { 3000 } else { 40 });
            self.in_transit.push((now + took, message));
        }
    }

    /// Checks that no node counts as confirmed since a time at which a newer revision than its own was in force.
    fn check(&self, now: u64) {
        for (node, one) in self.nodes.iter().enumerate() {
            let Some(age) = one.freshness().age(Time::from_millis(now)) else {
                continue;
            };
            let since = now - (age.as_millis() as u64).min(now);
            let in_force = self.written.iter().rposition(|at| *at < since).unwrap_or(0) as u64;
            assert!(
                self.known[node] >= in_force,
                "at {now} node {node} has revision {} and counts as confirmed since {since}, when {in_force} was in force",
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
    let mut simulation = Simulation::new(100, 1, RELIABLE);
    for now in (0..5000).step_by(STEP as usize) {
        simulation.step(now, true, |_| true);
    }
    let before = simulation.reads;
    let mut oldest = Duration::ZERO;
    for now in (5000..35_000).step_by(STEP as usize) {
        simulation.step(now, true, |_| true);
        oldest = oldest.max(simulation.oldest(now));
    }
    // Three readers read every 0.6 s, and occasionally a node whose queries were lost.
    let reads_per_s = (simulation.reads - before) as f64 / 30.0;
    assert!(
        reads_per_s < 3.0 / 0.6 * 2.0,
        "{reads_per_s} reads per second"
    );
    // Configurations are valid for 4.3 s, so in the worst case this bridges an outage of more than two seconds.
    assert!(oldest < Duration::from_millis(2100), "{oldest:?}");
}

#[test]
fn no_node_is_confirmed_wrongly_despite_loss_delay_outages_and_pauses() {
    for seed in 0..20 {
        let mut simulation = Simulation::new(12, seed, UNRELIABLE);
        let mut faults = ChaCha8Rng::seed_from_u64(seed + 1000);
        let mut frozen = vec![0; 12];
        let mut down = 0;
        for now in (0..40_000).step_by(STEP as usize) {
            if faults.random_bool(0.01) {
                simulation.written.push(now);
            }
            if faults.random_bool(0.004) {
                down = now + faults.random_range(500..6000);
            }
            for until in &mut frozen {
                if faults.random_bool(0.001) {
                    *until = now + faults.random_range(200..8000);
                }
            }
            simulation.step(now, now >= down, |node| now >= frozen[node]);
        }
    }
}

#[test]
fn a_node_without_readers_reads_the_store_itself() {
    let mut simulation = Simulation::new(30, 3, RELIABLE);
    for now in (0..4000).step_by(STEP as usize) {
        simulation.step(now, true, |_| true);
    }
    // All but four nodes are killed at the same time, which may include all readers.
    for now in (4000..14_000).step_by(STEP as usize) {
        simulation.step(now, true, |node| node >= 26);
        if now > 7000 {
            let age = (26..30).map(|node| {
                simulation.nodes[node]
                    .freshness()
                    .age(Time::from_millis(now))
            });
            let oldest = age.map(Option::unwrap).max().unwrap();
            assert!(oldest < Duration::from_millis(2500), "{oldest:?} at {now}");
        }
    }
}

#[test]
fn an_outage_costs_few_calls_and_its_end_is_seen_soon() {
    let mut simulation = Simulation::new(100, 4, RELIABLE);
    for now in (0..4000).step_by(STEP as usize) {
        simulation.step(now, true, |_| true);
    }
    for now in (4000..7000).step_by(STEP as usize) {
        simulation.step(now, false, |_| true);
    }
    let before = simulation.reads;
    for now in (7000..17_000).step_by(STEP as usize) {
        simulation.step(now, false, |_| true);
    }
    let reads_per_s = (simulation.reads - before) as f64 / 10.0;
    // Far below one read per node and second.
    assert!(
        reads_per_s < 60.0,
        "{reads_per_s} reads per second in the outage"
    );
    for now in (17_000..19_500).step_by(STEP as usize) {
        simulation.step(now, true, |_| true);
    }
    let oldest = simulation.oldest(19_480);
    assert!(oldest < INTERVAL * 2, "{oldest:?} after the outage");
}

#[test]
fn a_peer_with_a_newer_revision_triggers_a_read_and_a_late_reply_is_ignored() {
    let mut node = Confirmer::new(Incarnation::new(1), INTERVAL);
    let mut roster = roster(0, 2);
    let ms = Time::from_millis;
    let query = |node: &mut Confirmer, roster: &mut Roster, now: u64| {
        let actions = node.poll(roster, ms(now));
        actions.into_iter().find_map(|action| match action {
            Action::Ask(_, serial) => Some(serial),
            _ => None,
        })
    };
    let first = query(&mut node, &mut roster, 0).unwrap();
    assert!(node.on_read(ms(0), 7, Era::NONE, &roster, ms(0)));
    assert!(node.on_fetch(7));
    roster.on_heard(address(1), ms(1000));
    let second = query(&mut node, &mut roster, 1000).unwrap();
    assert!(node.on_read(ms(1000), 7, Era::NONE, &roster, ms(1000)));
    let reply = |serial, revision| ConfirmReply {
        serial,
        age: Some(100),
        failing: false,
        known: StorePosition {
            revision,
            upstreams: Version::NONE,
            drained: Version::NONE,
            nodes: Version::NONE,
            quarantine: Version::NONE,
        },
    };
    assert_eq!(
        node.on_reply(&reply(first, 7), 7, ms(1000)),
        ReplyOutcome::Ignored,
        "a reply to an earlier query"
    );
    assert_eq!(
        node.on_reply(&reply(second, 8), 7, ms(1000)),
        ReplyOutcome::Behind
    );
    assert!(node.poll(&mut roster, ms(1001)).contains(&Action::Fetch(8)));
    assert!(!node.on_fetch(7));
    assert!(
        node.poll(&mut roster, ms(1002)).contains(&Action::Read),
        "what was fetched is too old"
    );
    assert_eq!(
        node.freshness().age(ms(1002)),
        Some(Duration::from_millis(2))
    );
}

#[test]
fn a_stalled_watch_is_detected_by_the_second_reply_of_peers() {
    let version = Version::new;
    let mut progress = WatchProgress::default();
    progress.on_answer(version(10), Some(version(7)));
    assert_eq!(progress.newest(), version(7));
    assert!(
        !progress.on_peer_version(version(10)),
        "the peer knows the same changes"
    );
    assert!(
        !progress.on_peer_version(version(12)),
        "the change may still arrive"
    );
    assert!(progress.on_peer_version(version(12)));
    assert!(
        !progress.on_peer_version(version(12)),
        "the restarted call is still pending"
    );
    progress.on_answer(version(15), None);
    assert!(
        !progress.on_peer_version(version(12)),
        "an empty response counts as progress"
    );
    assert!(!progress.on_peer_version(version(12)));
    assert_eq!(progress.newest(), version(7), "only changes count");
}

#[test]
fn a_change_that_only_one_of_the_readers_knows_is_not_missed() {
    let version = Version::new;
    let mut progress = WatchProgress::default();
    progress.on_answer(version(10), Some(version(7)));
    assert!(!progress.on_peer_version(version(12)));
    assert!(!progress.on_peer_version(version(7)), "another reader");
    assert!(progress.on_peer_version(version(12)));
    progress.on_answer(version(11), None);
    assert!(progress.is_behind(), "the answer was old");
    progress.on_answer(version(12), Some(version(12)));
    assert!(!progress.is_behind());
}

#[test]
fn a_store_that_turns_the_readers_away_is_read_by_others() {
    for seed in 0..10 {
        let mut simulation = Simulation::new(60, seed, RELIABLE);
        for now in (0..4000).step_by(STEP as usize) {
            simulation.step(now, true, |_| true);
        }
        let at = Time::from_millis(4000);
        let readers = simulation.nodes[0].readers(&simulation.rosters[0], at);
        let refused: Vec<usize> = (0..60)
            .filter(|node| readers.contains(&address(*node)) || node % 3 == 0)
            .collect();
        let before = simulation.reads;
        let mut oldest = Duration::ZERO;
        for now in (4000..12_000).step_by(STEP as usize) {
            simulation.step_with(now, |node| !refused.contains(&node), |_| true);
            if now > 7000 {
                oldest = oldest.max(simulation.oldest(now));
            }
        }
        // Keys are refused after 4.3 s, and callers are sent elsewhere after 2.1 s.
        assert!(oldest < Duration::from_millis(2100), "{oldest:?}");
        let reads_per_s = (simulation.reads - before) as f64 / 8.0;
        // Two sets of three readers at the most, each twice in the interval.
        assert!(reads_per_s < 10.0, "{reads_per_s} reads per second");
    }
}

#[test]
fn a_node_reads_at_once_after_an_outage_instead_of_ending_its_pause() {
    const RETURNS: u64 = 8000;
    const CONFIG_BOUND: u64 = 2000;
    let silent = Network {
        timeout_ms: Some(900),
        ..RELIABLE
    };
    let mut late = Vec::new();
    for seed in 0..40 {
        let mut simulation = Simulation::new(18, seed, silent);
        simulation.rosters = (0..18)
            .map(|node| Roster::new(member(node), Time::ZERO))
            .collect();
        // All nodes have just started and do not know each other until the store returns.
        let starts = RETURNS - 4000 - seed * 40;
        for now in (starts..RETURNS + 460 + CONFIG_BOUND).step_by(STEP as usize) {
            if now == RETURNS {
                simulation.rosters = (0..18).map(|node| roster(node, 18)).collect();
            }
            if now > RETURNS + 300 && now <= RETURNS + 460 {
                simulation.written.push(now);
            }
            simulation.step(now, now >= RETURNS, |_| true);
        }
        let newest = simulation.written.len() as u64 - 1;
        let behind = simulation.known.iter().filter(|known| **known < newest);
        late.push((seed, behind.count()));
    }
    late.retain(|(_, behind)| *behind > 0);
    assert_eq!(late, [], "seeds and nodes that lack the newest revision");
}

/// A reply that proves that `revision` was the newest `age` milliseconds ago.
fn proof(serial: Serial, revision: u64, age: u64) -> ConfirmReply {
    ConfirmReply {
        serial,
        age: Some(age),
        failing: false,
        known: StorePosition {
            revision,
            ..StorePosition::default()
        },
    }
}

/// The number of a node among `count` that is a reader, or that is none.
fn node_that(is_reader: bool, count: usize) -> usize {
    let one = Confirmer::new(Incarnation::new(1), INTERVAL);
    (0..count)
        .find(|node| one.is_reader(&roster(*node, count), Time::ZERO) == is_reader)
        .unwrap()
}

#[test]
fn a_node_that_has_just_started_fetches_before_it_knows_any_peer() {
    // It read the store at the full price as if it were a reader, and fetched the same revision
    // again when a reply told of it.
    let ms = Time::from_millis;
    let own = node_that(false, 92);
    let mut node = Confirmer::new(Incarnation::new(1), INTERVAL);
    let mut roster = Roster::new(member(own), Time::ZERO);
    assert_eq!(
        node.poll(&mut roster, ms(0)),
        [Action::Fetch(ANY_REVISION)],
        "neither a read nor a query"
    );
    assert_eq!(node.poll(&mut roster, ms(20)), []);
    roster.on_list((0..92).map(member).collect(), ms(40));
    let actions = node.poll(&mut roster, ms(40));
    let [Action::Ask(_, serial)] = actions[..] else {
        panic!("the first query follows at once on the list: {actions:?}");
    };
    let outcome = node.on_reply(&proof(serial, 7, 10), 0, ms(60));
    assert_eq!(outcome, ReplyOutcome::Behind);
    assert_eq!(node.poll(&mut roster, ms(61)), [], "it is on its way");
    assert_eq!(node.freshness().age(ms(90)), None);
    assert!(node.on_fetch(7));
    let age = node.freshness().age(ms(90));
    assert_eq!(age, Some(Duration::from_millis(60)), "since 30 ms");
    assert_eq!(node.poll(&mut roster, ms(91)), [], "no further call");
}

#[test]
fn a_fetch_confirms_nothing_by_itself() {
    let ms = Time::from_millis;
    let own = node_that(false, 92);
    let mut node = Confirmer::new(Incarnation::new(1), INTERVAL);
    let mut roster = roster(own, 92);
    let actions = node.poll(&mut roster, ms(0));
    let [Action::Ask(_, serial), Action::Fetch(ANY_REVISION)] = actions[..] else {
        panic!("{actions:?}");
    };
    let _outcome = node.on_reply(&proof(serial, 8, 10), 0, ms(20));
    assert!(!node.on_fetch(7), "the answer of the store was old");
    assert_eq!(node.freshness().age(ms(30)), None);
    assert_eq!(node.poll(&mut roster, ms(31)), [Action::Read]);
    assert!(node.on_read(ms(31), 8, Era::NONE, &roster, ms(40)));

    let mut node = Confirmer::new(Incarnation::new(1), INTERVAL);
    let _actions = node.poll(&mut roster, ms(0));
    assert!(node.on_fetch(7));
    assert_eq!(node.freshness().age(ms(30)), None, "no reply has arrived");
}

#[test]
fn a_reader_that_has_just_started_reads_while_it_fetches() {
    // All other nodes wait for its confirmation.
    let ms = Time::from_millis;
    let own = node_that(true, 92);
    let mut node = Confirmer::new(Incarnation::new(1), INTERVAL);
    let mut roster = Roster::new(member(own), Time::ZERO);
    assert_eq!(
        node.poll(&mut roster, ms(0)),
        [Action::Fetch(ANY_REVISION)],
        "it does not know yet that it is a reader"
    );
    roster.on_list((0..92).map(member).collect(), ms(40));
    assert!(node.poll(&mut roster, ms(40)).contains(&Action::Read));
    let query = Serial::new(Incarnation::new(5), 1);
    let reply = node.on_query(address(90), query, StorePosition::default(), ms(50));
    assert_eq!((reply.age, reply.failing), (None, false), "it may succeed");
    assert!(node.on_fetch(7));
    assert!(node.on_read(ms(40), 7, Era::NONE, &roster, ms(50)));
    assert_eq!(
        node.poll(&mut roster, ms(60)),
        [Action::Reply(address(90), query)]
    );
    assert_eq!(node.poll(&mut roster, ms(61)), [], "it replies once");
}

#[test]
fn after_a_loss_of_all_nodes_each_is_confirmed_soon_and_only_readers_read() {
    const COUNT: usize = 92;
    const CONFIGURATION_BOUND: u64 = 250;
    let network = Network {
        max_lag: 0,
        ..RELIABLE
    };
    for seed in 0..20 {
        let mut simulation = Simulation::new(COUNT, seed, network);
        simulation.written.push(0);
        simulation.rosters = (0..COUNT)
            .map(|node| Roster::new(member(node), Time::ZERO))
            .collect();
        let mut lists = ChaCha8Rng::seed_from_u64(seed + 1000);
        let listed_at: Vec<u64> = (0..COUNT)
            .map(|_| lists.random_range(15..90_u64).next_multiple_of(STEP))
            .collect();
        for now in (0..=CONFIGURATION_BOUND).step_by(STEP as usize) {
            for node in (0..COUNT).filter(|node| listed_at[*node] == now) {
                let members = (0..COUNT).map(member).collect();
                simulation.rosters[node].on_list(members, Time::from_millis(now));
            }
            simulation.step(now, true, |_| true);
        }
        assert_eq!(simulation.fetches, COUNT as u64, "one each, seed {seed}");
        assert_eq!(simulation.reads, 3, "one for each reader, seed {seed}");
        let confirmed = |one: &&Confirmer| one.freshness().age(Time::ZERO).is_some();
        let count = simulation.nodes.iter().filter(confirmed).count();
        // Of the first queries and replies, one in fifty is lost.
        assert!(count >= COUNT - 8, "{count} are confirmed, seed {seed}");
    }
}

#[test]
fn a_peer_in_a_later_era_of_the_store_restarts_a_watch_at_once() {
    let in_era = |era, number| Version::new(number).in_era(Era::new(era));
    let mut progress = WatchProgress::default();
    progress.on_answer(in_era(1, 40), Some(in_era(1, 40)));
    assert!(
        !progress.on_peer_version(in_era(1, 41)),
        "a change may be on its way"
    );
    assert!(progress.on_peer_version(in_era(2, 12)));
    progress.on_answer(in_era(2, 12), None);
    assert!(
        !progress.on_peer_version(in_era(1, 90)),
        "of an era that is over"
    );
    assert!(!progress.is_behind());
}

#[test]
fn a_read_that_shows_an_older_revision_than_a_peer_had_before_confirms_nothing() {
    let ms = Time::from_millis;
    let own = node_that(true, 92);
    let mut node = Confirmer::new(Incarnation::new(1), INTERVAL);
    let mut roster = roster(own, 92);
    let era = Era::new(2);
    let actions = node.poll(&mut roster, ms(0));
    let serial = actions.iter().find_map(|action| match action {
        Action::Ask(_, serial) => Some(*serial),
        _ => None,
    });
    assert!(
        node.on_read(ms(0), 7, era, &roster, ms(20)),
        "no peer has told of a newer one"
    );
    let outcome = node.on_reply(&proof(serial.unwrap(), 8, 10), 7, ms(30));
    assert_eq!(outcome, ReplyOutcome::Behind);
    assert!(!node.on_fetch(7));
    assert!(node.poll(&mut roster, ms(40)).contains(&Action::Read));
    assert!(!node.on_read(ms(40), 7, era, &roster, ms(50)));
    assert_eq!(
        node.freshness().age(ms(50)),
        None,
        "the first read proves no more than this one"
    );
    assert!(
        node.reply(serial.unwrap(), StorePosition::default(), ms(60))
            .failing
    );
    assert!(node.on_fetch(8), "written again");
    assert!(
        node.freshness().age(ms(70)).is_some(),
        "by the proof of the peer"
    );
}

#[test]
fn the_first_reader_that_can_read_does_not_wait_for_those_that_cannot() {
    // Four readers were turned away, and the change came into force after 2 s (CONFIG).
    let ms = Time::from_millis;
    let mut node = Confirmer::new(Incarnation::new(1), INTERVAL);
    let (mut roster, mut readers) = (roster(0, 18), Vec::new());
    let start = ms(10_000);
    let own = (0..18).find(|own| {
        roster = Roster::new(member(*own), Time::ZERO);
        roster.on_list((0..18).map(member).collect(), Time::ZERO);
        readers = node.readers(&roster, start);
        readers.last() == Some(&roster.own())
    });
    assert!(own.is_some(), "no node is the last reader");
    let _first_calls = node.poll(&mut roster, start);
    assert!(node.on_fetch(7));
    assert!(node.on_read(start, 7, Era::NONE, &roster, start));
    let half = INTERVAL / 2 + Duration::from_millis(1);
    let step = node.poll_interval();
    let mut now = start;
    let mut read_at = None;
    while read_at.is_none() && now < start + INTERVAL {
        now = now + step;
        for action in node.poll(&mut roster, now) {
            match action {
                Action::Ask(peer, serial) if readers.contains(&peer) => {
                    roster.on_heard(peer, now);
                    let reply = ConfirmReply {
                        serial,
                        age: Some(now.since(start).as_millis() as u64),
                        failing: true,
                        known: StorePosition::default(),
                    };
                    let _outcome = node.on_reply(&reply, 7, now);
                }
                Action::Read => read_at = Some(now),
                _ => {}
            }
        }
    }
    let waited = read_at.map(|at| at.since(start));
    assert!(
        waited.is_some_and(|waited| waited < half + step),
        "{waited:?}"
    );
}
