//! Engines in virtual time: they work in passes and read the newest part first.

use std::collections::VecDeque;
use std::time::Duration;

use catkinusher_core::fleet::{Demand, Fleet, Overload, Policy, WorkId};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::site::{model, rates, upstream};

const ENGINES: usize = 16;
const NODES: usize = 13;
/// How long requests come, and how long all that came has to end.
const ARRIVALS: u64 = 20_000;
const END: u64 = 60_000;
/// How late nodes hear of each other, in milliseconds.
const TOLD: u64 = 15;

/// Arrivals a second.
#[derive(Debug, Clone, Copy)]
pub struct Mix {
    pub short: f64,
    pub letter: f64,
    pub catalogue: f64,
}

/// Who chooses the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    Fleet,
    LeastOutstanding,
}

/// Requests of one class.
#[derive(Debug, Clone, Copy, Default)]
pub struct Class {
    pub asked: u32,
    pub timely: u32,
    /// Those whose first event came late, or not at all.
    pub slow: u32,
    /// Those that paused for too long.
    pub paused: u32,
}

impl Class {
    pub fn share(&self) -> f64 {
        f64::from(self.timely) / f64::from(self.asked.max(1))
    }

    fn join(self, other: Self) -> Self {
        Self {
            asked: self.asked + other.asked,
            timely: self.timely + other.timely,
            slow: self.slow + other.slow,
            paused: self.paused + other.paused,
        }
    }
}

/// What the callers got.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub short: Class,
    pub letter: Class,
    pub catalogue: Class,
    pub left: usize,
}

impl Outcome {
    pub fn join(self, other: Self) -> Self {
        Self {
            short: self.short.join(other.short),
            letter: self.letter.join(other.letter),
            catalogue: self.catalogue.join(other.catalogue),
            left: self.left + other.left,
        }
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Short,
    Letter,
    Catalogue,
}

impl Kind {
    /// The mean prompt, its spread, the objective, the longest pause, the mean events.
    fn figures(self) -> (f64, f64, u64, u64, f64) {
        match self {
            Self::Short => (4960.0, 0.9, 300, 200, 34.9),
            Self::Letter => (45_000.0, 0.5, 1500, 500, 20.9),
            Self::Catalogue => (210_000.0, 0.55, 3000, 800, 17.4),
        }
    }
}

struct Ask {
    kind: Kind,
    node: usize,
    at: u64,
    prompt: u64,
    events: u32,
    parts: usize,
    engine: usize,
    look: u64,
    works: Vec<WorkId>,
    last: u64,
    first: Option<u64>,
    pause: u64,
    done: bool,
}

#[derive(Default)]
struct Engine {
    /// Parts to read with what is left of each in milliseconds, the newest last.
    reads: Vec<(usize, f64)>,
    writes: Vec<usize>,
    waiting: VecDeque<(usize, f64)>,
    until: u64,
}

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(1e-9..1.0), rng.random_range(0.0..1.0));
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

fn arrivals(mix: Mix, rng: &mut ChaCha8Rng) -> Vec<Ask> {
    let mut asks = Vec::new();
    for (kind, rate) in [
        (Kind::Short, mix.short),
        (Kind::Letter, mix.letter),
        (Kind::Catalogue, mix.catalogue),
    ] {
        let (mean, spread, _, _, events) = kind.figures();
        let mut at = 0.0;
        loop {
            at += -rng.random_range(1e-9_f64..1.0).ln() * 1000.0 / rate;
            if at >= ARRIVALS as f64 {
                break;
            }
            let drawn = mean * (spread * normal(rng) - spread * spread / 2.0).exp();
            asks.push(Ask {
                kind,
                node: rng.random_range(0..NODES),
                at: at as u64,
                // What no engine's memory holds is another test's matter.
                prompt: drawn.min(400_000.0) as u64,
                events: (events * rng.random_range(0.5..1.5)) as u32,
                parts: 0,
                engine: 0,
                look: at as u64,
                works: Vec::new(),
                last: 0,
                first: None,
                pause: 0,
                done: false,
            });
        }
    }
    asks.sort_by_key(|ask| ask.at);
    asks
}

/// Plays one load and tells what callers got.
pub fn play(mix: Mix, choice: Choice, seed: u64) -> Outcome {
    let policy = &Policy::default();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut asks = arrivals(mix, &mut rng);
    let mut engines: Vec<Engine> = (0..ENGINES).map(|_| Engine::default()).collect();
    let mut nodes: Vec<Fleet> = (0..NODES)
        .map(|_| Fleet::new("gent".parse().unwrap()))
        .collect();
    for node in &mut nodes {
        node.on_list((0..ENGINES).map(upstream).collect(), false, Time::ZERO);
    }
    let mut waiting: Vec<usize> = Vec::new();
    let mut next = 0;
    for now in 0..END {
        while next < asks.len() && asks[next].at <= now {
            waiting.push(next);
            next += 1;
        }
        waiting.retain(|index| {
            !go(
                *index,
                now,
                choice,
                policy,
                &mut asks,
                &mut engines,
                &mut nodes,
                &mut rng,
            )
        });
        for number in 0..engines.len() {
            for index in engines[number].turn(now, &mut asks, &mut nodes) {
                let engine = asks[index].engine;
                engines[engine].writes.push(index);
            }
        }
        if now % TOLD == 0 {
            tell(&mut nodes, now);
        }
    }
    judge(&asks)
}

fn tell(nodes: &mut [Fleet], now: u64) {
    let loads: Vec<_> = nodes.iter().map(Fleet::loads).collect();
    for (peer, loads) in loads.into_iter().enumerate() {
        for (number, node) in nodes.iter_mut().enumerate() {
            if number != peer {
                node.on_loads(peer as u64, loads.clone(), true, Time::from_millis(now));
            }
        }
    }
}

/// Tries to send a request; tells whether it waits no more.
#[expect(clippy::too_many_arguments, reason = "the whole world takes part")]
fn go(
    index: usize,
    now: u64,
    choice: Choice,
    policy: &Policy,
    asks: &mut [Ask],
    engines: &mut [Engine],
    nodes: &mut [Fleet],
    rng: &mut ChaCha8Rng,
) -> bool {
    let ask = &mut asks[index];
    if now < ask.look {
        return false;
    }
    let (_, _, objective, pause, _) = ask.kind.figures();
    let reading = rates().prefill_time(Tokens::new(ask.prompt));
    if choice == Choice::LeastOutstanding {
        let least = (0..engines.len())
            .min_by_key(|number| engines[*number].outstanding())
            .unwrap();
        ask.parts = 1;
        ask.engine = least;
        engines[least].take(index, reading.as_secs_f64() * 1e3, true);
        return true;
    }
    let waited = Duration::from_millis(now - ask.at);
    let demand = Demand {
        prompt: Tokens::new(ask.prompt),
        answer: Tokens::new(u64::from(ask.events) * 46),
        objective: Duration::from_millis(objective),
        age: waited,
        patience: Duration::from_millis((objective * 4).max(pause * 8).max(2000)),
        waited,
        time_left: Duration::from_secs(15).saturating_sub(waited),
        avoid: Vec::new(),
    };
    let node = &mut nodes[ask.node];
    let time = Time::from_millis(now);
    match node.place(&model(), &demand, policy, time, rng) {
        Ok(placed) => {
            ask.parts = placed.helpers.len() + 1;
            ask.works
                .push(node.begin(&placed.primary, placed.cost, time));
            let number = |id: &str| id[2..].parse::<usize>().unwrap();
            let part = placed.cost.prefill_time.as_secs_f64() * 1e3;
            ask.engine = number(placed.primary.as_str());
            engines[ask.engine].take(index, part, true);
            for (helper, cost) in &placed.helpers {
                ask.works.push(node.begin(helper, *cost, time));
                engines[number(helper.as_str())].take(index, part, false);
            }
            true
        }
        Err(Overload::Queued(pause)) => {
            ask.look = now + pause.as_millis() as u64;
            false
        }
        Err(_refused) => {
            ask.done = true;
            true
        }
    }
}

impl Engine {
    fn outstanding(&self) -> usize {
        self.reads.len() + self.writes.len() + self.waiting.len()
    }

    fn take(&mut self, index: usize, millis: f64, first: bool) {
        if first && self.writes.len() + self.reads.len() >= 16 {
            self.waiting.push_back((index, millis));
        } else {
            self.reads.push((index, millis));
        }
    }

    /// One pass, if the last one is over; gives what may now be answered.
    fn turn(&mut self, now: u64, asks: &mut [Ask], nodes: &mut [Fleet]) -> Vec<usize> {
        let mut read_whole = Vec::new();
        if now < self.until {
            return read_whole;
        }
        while self.writes.len() + self.reads.len() < 16
            && let Some(next) = self.waiting.pop_front()
        {
            self.reads.push(next);
        }
        let context: u64 = self.writes.iter().map(|index| asks[*index].prompt).sum();
        let writing = if self.writes.is_empty() {
            0.0
        } else {
            let answers = self.writes.len() as u32;
            rates()
                .pass_time(answers, Tokens::new(context))
                .as_secs_f64()
                * 1e3
        };
        // A pass has so many steps of one chunk each; without answers it ends sooner.
        let most = if self.writes.is_empty() {
            10.0
        } else {
            46.0 * 8.0
        };
        let mut read = 0.0;
        let mut done = Vec::new();
        while read < most
            && let Some((index, left)) = self.reads.pop()
        {
            let step = left.min(most - read);
            read += step;
            if left > step {
                self.reads.push((index, left - step));
            } else {
                done.push(index);
            }
        }
        if writing + read <= 0.0 {
            return read_whole;
        }
        let end = now + (writing + read).ceil() as u64;
        self.until = end;
        let mut over = Vec::new();
        for index in &self.writes {
            if asks[*index].event(end) {
                over.push(*index);
            }
        }
        self.writes.retain(|index| !over.contains(index));
        for index in done {
            let ask = &mut asks[index];
            ask.parts -= 1;
            if ask.parts == 0 {
                ask.first = Some(end);
                ask.last = end;
                for work in &ask.works {
                    nodes[ask.node].on_prefill_done(*work);
                }
                read_whole.push(index);
            }
        }
        for index in over {
            let ask = &mut asks[index];
            ask.done = true;
            for work in std::mem::take(&mut ask.works) {
                nodes[ask.node].end(work);
            }
        }
        read_whole
    }
}

impl Ask {
    /// Takes one event; tells whether it was the last.
    fn event(&mut self, now: u64) -> bool {
        // The last part may be read by another engine whose pass ends later.
        if now <= self.last {
            return false;
        }
        self.pause = self.pause.max(now - self.last);
        self.last = now;
        self.events = self.events.saturating_sub(1);
        self.events == 0
    }
}

fn judge(asks: &[Ask]) -> Outcome {
    let mut outcome = Outcome::default();
    for ask in asks {
        let (_, _, objective, pause, _) = ask.kind.figures();
        let class = match ask.kind {
            Kind::Short => &mut outcome.short,
            Kind::Letter => &mut outcome.letter,
            Kind::Catalogue => &mut outcome.catalogue,
        };
        class.asked += 1;
        let prompt = ask.first.is_some_and(|first| first - ask.at <= objective);
        class.slow += u32::from(!prompt);
        class.paused += u32::from(ask.pause > pause);
        class.timely += u32::from(prompt && ask.pause <= pause && ask.done);
        outcome.left += usize::from(!ask.done);
    }
    outcome
}
