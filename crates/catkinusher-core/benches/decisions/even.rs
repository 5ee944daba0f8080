//! Ways to choose an upstream while many nodes place for themselves on stale information.
//!
//! Requests arrive evenly in time, with a burst through all nodes every two seconds. What a node
//! knows of the others is exact and of one age; its own requests are known at once.

use std::time::Duration;

use catkinusher_core::fleet::spread::{Offer, Sends, Spread};
use catkinusher_core::roster::Position;
use catkinusher_core::time::Time;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::measure::{Bound, Table};

const DECIDERS: [usize; 4] = [1, 10, 100, 300];
const AGES_MS: [u64; 4] = [0, 100, 200, 500];

/// The users' bound on the busiest upstream, as a multiple of the mean.
const MAX_RATIO: f64 = 1.3;

/// The load without the bursts, and what a burst adds, as fractions of all slots.
const STEADY: f64 = 0.45;
const BURST: f64 = 0.25;
const BURST_PERIOD: Duration = Duration::from_secs(2);
const BURST_TIME: Duration = Duration::from_millis(20);

/// Upstreams of one kind.
#[derive(Clone, Copy)]
struct Pool {
    name: &'static str,
    upstreams: usize,
    slots: usize,
    /// The mean time for which a request occupies a slot.
    hold: Duration,
    length: Duration,
}

const POOLS: [Pool; 2] = [
    Pool {
        name: "plain",
        upstreams: 4,
        slots: 64,
        hold: Duration::from_millis(40),
        length: Duration::from_secs(9),
    },
    Pool {
        name: "engines",
        upstreams: 54,
        slots: 12,
        hold: Duration::from_secs(2),
        length: Duration::from_secs(21),
    },
];

#[derive(Clone, Copy, PartialEq)]
enum Way {
    /// The fewer requests of two random upstreams.
    TwoRandom,
    /// The least known load.
    Known,
    /// The least known load with own requests added.
    Expected,
    /// The same, with differences that shrink and a noise that grows with the age.
    Aged,
    /// The next one from the node's own position.
    Positions,
    /// The least expected load in a quarter of the upstreams, from the node's own position.
    Subset,
    /// The lesser load of two upstreams at the node's own position.
    TwoPositions,
    /// The product: positions, and differences that exceed the unseen requests.
    Spread,
    /// One node places for all.
    OnePlacer,
}

const WAYS: [(Way, &str); 9] = [
    (Way::TwoRandom, "2-random"),
    (Way::Known, "known"),
    (Way::Expected, "expected"),
    (Way::Aged, "aged"),
    (Way::Positions, "positions"),
    (Way::Subset, "subset"),
    (Way::TwoPositions, "2-positions"),
    (Way::Spread, "spread"),
    (Way::OnePlacer, "one-placer"),
];

struct Request {
    node: usize,
    sent: Time,
    end: Time,
}

impl Request {
    fn is_at(&self, at: Time) -> bool {
        self.sent <= at && at < self.end
    }
}

#[derive(Default)]
struct Upstream {
    requests: Vec<Request>,
    /// When each slot is free.
    free_at: Vec<Time>,
}

impl Upstream {
    fn load(&self, at: Time) -> usize {
        self.requests.iter().filter(|one| one.is_at(at)).count()
    }

    /// The requests that a node knows of: its own ones of now, and the others' of `then`.
    fn known(&self, node: usize, then: Time, now: Time) -> usize {
        let known = |one: &&Request| one.is_at(if one.node == node { now } else { then });
        self.requests.iter().filter(known).count()
    }
}

/// The index with the least load.
fn least<I>(choices: I) -> usize
where
    I: Iterator<Item = (f64, usize)>,
{
    let best = choices.min_by(|a, b| a.0.total_cmp(&b.0));
    best.expect("there are upstreams").1
}

/// What one run showed.
#[derive(Default)]
struct Shown {
    /// The load of the busiest upstream after each burst, over the mean.
    ratios: Vec<f64>,
    requests: usize,
    /// Requests that waited while another upstream had a free slot.
    needless: usize,
}

struct Run {
    pool: Pool,
    way: Way,
    age: Duration,
    upstreams: Vec<Upstream>,
    nodes: Vec<Sends>,
    turns: Vec<usize>,
    rng: ChaCha8Rng,
    /// The draws of the way, so that all ways get the same requests.
    noise: ChaCha8Rng,
}

impl Run {
    fn new(pool: Pool, way: Way, deciders: usize, age: Duration, seed: u64) -> Self {
        let upstream = || Upstream {
            requests: Vec::new(),
            free_at: vec![Time::ZERO; pool.slots],
        };
        Self {
            pool,
            way,
            age,
            upstreams: (0..pool.upstreams).map(|_| upstream()).collect(),
            nodes: vec![Sends::default(); deciders],
            turns: vec![0; deciders],
            rng: ChaCha8Rng::seed_from_u64(seed),
            noise: ChaCha8Rng::seed_from_u64(!seed),
        }
    }

    /// The times and nodes of all requests, the same for each way.
    ///
    /// A burst reaches all nodes alike, other requests any of them.
    fn arrivals(&mut self) -> Vec<(Time, usize)> {
        let nodes = self.nodes.len();
        let slots = (self.pool.upstreams * self.pool.slots) as f64;
        let mean = self.pool.hold.as_secs_f64() / (slots * STEADY);
        let mut times = Vec::new();
        let mut at = Time::ZERO;
        while at < Time::ZERO + self.pool.length {
            at = at + Duration::from_secs_f64(-self.rng.random_range(1e-9_f64..1.0).ln() * mean);
            times.push((at, self.rng.random_range(0..nodes)));
        }
        let mut burst = Time::ZERO + BURST_PERIOD;
        while burst < Time::ZERO + self.pool.length {
            let mut order: Vec<usize> = (0..nodes).collect();
            for index in (1..nodes).rev() {
                order.swap(index, self.rng.random_range(0..=index));
            }
            for index in 0..(slots * BURST) as usize {
                let at = burst + BURST_TIME.mul_f64(self.rng.random());
                times.push((at, order[index % nodes]));
            }
            burst = burst + BURST_PERIOD;
        }
        times.sort();
        times
    }

    fn run(mut self) -> Shown {
        let mut shown = Shown::default();
        let mut after_burst = Time::ZERO + BURST_PERIOD + BURST_TIME;
        for (now, node) in self.arrivals() {
            if now >= after_burst {
                shown.ratios.push(self.ratio(after_burst));
                after_burst = after_burst + BURST_PERIOD;
            }
            let hold = -self.rng.random_range(1e-9_f64..1.0).ln();
            let chosen = self.choose(node, now);
            self.nodes[node].on_send(now);
            self.turns[node] += 1;
            let has_slot = |one: &Upstream| one.free_at.iter().any(|at| *at <= now);
            shown.requests += 1;
            shown.needless += usize::from(
                !has_slot(&self.upstreams[chosen]) && self.upstreams.iter().any(has_slot),
            );
            let keep = now - self.age;
            let upstream = &mut self.upstreams[chosen];
            upstream.requests.retain(|one| one.end > keep);
            let slot = upstream.free_at.iter_mut().min().expect("it has slots");
            *slot = (*slot).max(now) + self.pool.hold.mul_f64(hold);
            let request = Request {
                node,
                sent: now,
                end: *slot,
            };
            upstream.requests.push(request);
        }
        shown
    }

    fn ratio(&self, at: Time) -> f64 {
        let loads = self.upstreams.iter().map(|one| one.load(at));
        let (most, all) = loads.fold((0, 0), |(most, all), load| (load.max(most), all + load));
        (most * self.pool.upstreams) as f64 / all.max(1) as f64
    }

    fn choose(&mut self, node: usize, now: Time) -> usize {
        let count = self.pool.upstreams;
        let then = now - self.age;
        let known = |index: usize| self.upstreams[index].known(node, then, now) as f64;
        let start = node * count / self.nodes.len() + self.turns[node];
        let mut draw = || self.noise.random_range(0.0..0.5);
        let all = 0..count;
        match self.way {
            Way::TwoRandom => {
                let pair = [(); 2].map(|()| (draw() * 2.0 * count as f64) as usize);
                least(pair.into_iter().map(|index| (known(index), index)))
            }
            Way::Known => least(all.map(|index| {
                let load = self.upstreams[index].load(then) as f64;
                (load + draw(), index)
            })),
            Way::Expected => least(all.map(|index| (known(index) + draw(), index))),
            Way::Aged => {
                let spans = self.age.as_secs_f64() / self.pool.hold.as_secs_f64();
                let spread = (self.pool.slots as f64 * STEADY * spans).sqrt() * 4.0 + 1.0;
                let kept = (-spans).exp();
                least(all.map(|index| (known(index) * kept + draw() * spread, index)))
            }
            Way::Positions => start % count,
            Way::Subset => {
                let own = node * count / self.nodes.len();
                let subset = (0..(count / 4).max(2)).map(|index| (own + index) % count);
                least(subset.map(|index| (known(index) + draw(), index)))
            }
            Way::TwoPositions => {
                let pair = [start % count, (start + count / 2) % count];
                least(pair.into_iter().map(|index| (known(index), index)))
            }
            Way::Spread if self.nodes.len() > 1 => self.spread(node, now),
            // A single decider chooses as before.
            Way::Spread => least(all.map(|index| (known(index) + draw(), index))),
            Way::OnePlacer => least(all.map(|index| {
                let load = self.upstreams[index].load(now) as f64;
                (load + draw(), index)
            })),
        }
    }

    fn spread(&self, node: usize, now: Time) -> usize {
        let position = Position {
            rank: node,
            count: self.nodes.len(),
        };
        let spread = Spread::new(position, &self.nodes[node], self.age, now);
        let slots = self.pool.slots as f64;
        let choice = |one: &Upstream| {
            let load = one.known(node, now - self.age, now) as f64;
            Offer {
                load: load / slots,
                step: 1.0 / slots,
                room: (slots - load).max(0.0),
            }
        };
        let choices = self.upstreams.iter().map(choice);
        spread.pick(choices).expect("there are upstreams")
    }
}

/// Prints, for each way, the busiest upstream after a burst over the mean, and the requests that
/// waited needlessly in percent.
pub fn measure(table: &mut Table, seed: u64) {
    let names: Vec<String> = WAYS.iter().map(|(_, name)| format!("{name:>13}")).collect();
    println!("# even: deciders, age     {}", names.concat());
    for pool in POOLS {
        for deciders in DECIDERS {
            for age in AGES_MS {
                let mut two_random = f64::INFINITY;
                let mut row = format!("# even/{:<8}{deciders:>4}{age:>5} ms", pool.name);
                for (way, name) in WAYS {
                    let age = Duration::from_millis(age);
                    let shown = Run::new(pool, way, deciders, age, seed).run();
                    let ratio = shown.ratios.iter().sum::<f64>() / shown.ratios.len() as f64;
                    let needless = shown.needless as f64 * 100.0 / shown.requests as f64;
                    let cell = format!(" {ratio:>5.2} {needless:>4.1} %");
                    row.push_str(&cell);
                    if way == Way::TwoRandom {
                        two_random = (ratio * 100.0).round() / 100.0;
                    }
                    if way == Way::Spread && deciders == 100 && age == Duration::from_millis(200) {
                        // Few requests come to each engine, and those beside the burst at random.
                        let most = if pool.slots > 12 {
                            MAX_RATIO
                        } else {
                            two_random
                        };
                        let line = format!("even/{}-100-200ms", pool.name);
                        table.line(&line, name, ratio, "x", Bound::Most(most));
                    }
                }
                println!("{row}");
            }
        }
    }
}
