//! A simulation of engines in virtual time: they work in passes and prefill the newest part first.

use std::collections::VecDeque;
use std::time::Duration;

use catkinusher_core::directory::Service;
use catkinusher_core::engine::EngineProfile;
use catkinusher_core::fleet::{Authority, Demand, Fleet, Overload, Policy, Upstream, WorkId};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::site::{model, rates, upstream};

const NODES: usize = 13;
/// The data centre of the nodes, and of the engines of a cell.
const CELL: &str = "gent";
/// The period in which requests arrive, and the end of the simulation, in milliseconds.
const ARRIVAL_PERIOD: u64 = 20_000;
const END: u64 = 60_000;
/// The interval of load reports between nodes, in milliseconds.
const REPORT_INTERVAL: u64 = 15;

/// Arrivals per second.
#[derive(Debug, Clone, Copy)]
pub struct Mix {
    pub short: f64,
    pub letter: f64,
    pub catalogue: f64,
}

/// The policy that chooses the engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Balancer {
    /// Each node places its own requests on the whole service.
    Fleet,
    /// One node places all requests of a cell.
    Cell,
    LeastOutstanding,
}

/// The engines, and what callers expect of them.
#[derive(Debug, Clone)]
pub struct Deployment {
    pub engines: usize,
    pub profile: EngineProfile,
    /// The objectives and longest pauses of short prompts, letters and catalogues, in milliseconds.
    pub limits: [(u64, u64); 3],
}

impl Deployment {
    /// The appointment assistant of the users' specification.
    pub fn appointments() -> Self {
        Self {
            engines: 16,
            profile: rates(),
            limits: [(300, 200), (1500, 500), (3000, 800)],
        }
    }

    /// A cell of the forecast service: uneven demand, small batches and little memory.
    pub fn forecasts() -> Self {
        let profile = EngineProfile {
            slots: 12,
            kv_capacity: Tokens::new(232_000),
            step_ms: 1.02,
            answer_step_ms: 0.002_26,
            context_step_ms: 0.004_31,
            prefill_rate: catkinusher_core::units::Rate::per_second(206_000.0),
            pair_prefill_ms: 0.138,
            steps_per_pass: 48,
            ..rates()
        };
        Self {
            engines: 26,
            profile,
            limits: [(300, 250), (1500, 600), (3000, 1000)],
        }
    }

    fn service(&self) -> Service {
        Service {
            engine: Some(self.profile.clone()),
            ..model()
        }
    }

    fn upstreams(&self, balancer: Balancer) -> Vec<Upstream> {
        let engine = |number| {
            let mut engine = upstream(number);
            engine.slots = self.profile.slots;
            if balancer == Balancer::Cell {
                engine.data_centre = CELL.parse().unwrap();
            }
            engine
        };
        (0..self.engines).map(engine).collect()
    }
}

/// The results of one class of requests.
#[derive(Debug, Clone, Copy, Default)]
pub struct Class {
    pub total: u32,
    pub on_time: u32,
    /// Requests whose first event was late or missing.
    pub late: u32,
    /// Requests with a pause above the limit.
    pub paused: u32,
}

impl Class {
    pub fn share(&self) -> f64 {
        f64::from(self.on_time) / f64::from(self.total.max(1))
    }

    fn join(self, other: Self) -> Self {
        Self {
            total: self.total + other.total,
            on_time: self.on_time + other.on_time,
            late: self.late + other.late,
            paused: self.paused + other.paused,
        }
    }
}

/// The results of a simulation.
#[derive(Debug, Clone, Copy, Default)]
pub struct Outcome {
    pub short: Class,
    pub letter: Class,
    pub catalogue: Class,
    pub unfinished: usize,
}

impl Outcome {
    pub fn join(self, other: Self) -> Self {
        Self {
            short: self.short.join(other.short),
            letter: self.letter.join(other.letter),
            catalogue: self.catalogue.join(other.catalogue),
            unfinished: self.unfinished + other.unfinished,
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
    /// The mean and the spread of the prompt length, and the mean number of events.
    const fn parameters(self) -> (f64, f64, f64) {
        match self {
            Self::Short => (4960.0, 0.9, 34.9),
            Self::Letter => (45_000.0, 0.5, 20.9),
            Self::Catalogue => (210_000.0, 0.55, 17.4),
        }
    }
}

struct Request {
    kind: Kind,
    objective: u64,
    pause: u64,
    node: usize,
    at: u64,
    prompt: u64,
    events: u32,
    parts: usize,
    engine: usize,
    retry_at: u64,
    works: Vec<WorkId>,
    last: u64,
    first: Option<u64>,
    max_pause: u64,
    done: bool,
}

struct Engine {
    profile: EngineProfile,
    /// The parts in prefill with the remaining milliseconds of each, the newest last.
    prefills: Vec<(usize, f64)>,
    decodes: Vec<usize>,
    queue: VecDeque<(usize, f64)>,
    busy_until: u64,
}

impl Default for Engine {
    fn default() -> Self {
        Self {
            profile: rates(),
            prefills: Vec::new(),
            decodes: Vec::new(),
            queue: VecDeque::new(),
            busy_until: 0,
        }
    }
}

fn normal(rng: &mut ChaCha8Rng) -> f64 {
    let (a, b): (f64, f64) = (rng.random_range(1e-9..1.0), rng.random_range(0.0..1.0));
    (-2.0 * a.ln()).sqrt() * (std::f64::consts::TAU * b).cos()
}

fn arrivals(deployment: &Deployment, mix: Mix, rng: &mut ChaCha8Rng) -> Vec<Request> {
    let mut requests = Vec::new();
    for (kind, rate) in [
        (Kind::Short, mix.short),
        (Kind::Letter, mix.letter),
        (Kind::Catalogue, mix.catalogue),
    ] {
        let (mean, spread, events) = kind.parameters();
        let (objective, pause) = deployment.limits[kind as usize];
        let mut at = 0.0;
        loop {
            at += -rng.random_range(1e-9_f64..1.0).ln() * 1000.0 / rate;
            if at >= ARRIVAL_PERIOD as f64 {
                break;
            }
            let drawn = mean * (spread * normal(rng) - spread * spread / 2.0).exp();
            requests.push(Request {
                kind,
                objective,
                pause,
                node: rng.random_range(0..NODES),
                at: at as u64,
                // Other tests cover prompts that exceed the KV cache.
                prompt: drawn.min(400_000.0) as u64,
                events: (events * rng.random_range(0.5..1.5)) as u32,
                parts: 0,
                engine: 0,
                retry_at: at as u64,
                works: Vec::new(),
                last: 0,
                first: None,
                max_pause: 0,
                done: false,
            });
        }
    }
    requests.sort_by_key(|request| request.at);
    requests
}

/// Simulates one load and returns the results.
pub fn simulate(deployment: &Deployment, mix: Mix, balancer: Balancer, seed: u64) -> Outcome {
    let policy = &Policy::default();
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut requests = arrivals(deployment, mix, &mut rng);
    let engine = || Engine {
        profile: deployment.profile.clone(),
        ..Engine::default()
    };
    let mut engines: Vec<Engine> = (0..deployment.engines).map(|_| engine()).collect();
    let count = if balancer == Balancer::Cell { 1 } else { NODES };
    let mut nodes: Vec<Fleet> = (0..count)
        .map(|_| Fleet::new(CELL.parse().unwrap()))
        .collect();
    for node in &mut nodes {
        node.on_list(deployment.upstreams(balancer), false, Time::ZERO);
    }
    for request in &mut requests {
        request.node %= count;
    }
    let mut waiting: Vec<usize> = Vec::new();
    let mut next = 0;
    for now in 0..END {
        while next < requests.len() && requests[next].at <= now {
            waiting.push(next);
            next += 1;
        }
        waiting.retain(|index| {
            !try_place(
                *index,
                now,
                deployment,
                balancer,
                policy,
                &mut requests,
                &mut engines,
                &mut nodes,
                &mut rng,
            )
        });
        for number in 0..engines.len() {
            for index in engines[number].run_pass(now, &mut requests, &mut nodes) {
                let engine = requests[index].engine;
                engines[engine].decodes.push(index);
            }
        }
        if now % REPORT_INTERVAL == 0 {
            exchange_loads(&mut nodes, now);
        }
    }
    evaluate(&requests)
}

fn exchange_loads(nodes: &mut [Fleet], now: u64) {
    let loads: Vec<_> = nodes.iter().map(Fleet::loads).collect();
    for (peer, loads) in loads.into_iter().enumerate() {
        for (number, node) in nodes.iter_mut().enumerate() {
            if number != peer {
                node.on_loads(peer as u64, loads.clone(), true, 0, Time::from_millis(now));
            }
        }
    }
}

/// Tries to place a request; returns whether it no longer waits.
#[expect(
    clippy::too_many_arguments,
    reason = "placement needs the whole state of the simulation"
)]
fn try_place(
    index: usize,
    now: u64,
    deployment: &Deployment,
    balancer: Balancer,
    policy: &Policy,
    requests: &mut [Request],
    engines: &mut [Engine],
    nodes: &mut [Fleet],
    rng: &mut ChaCha8Rng,
) -> bool {
    let request = &mut requests[index];
    if now < request.retry_at {
        return false;
    }
    let (objective, pause) = (request.objective, request.pause);
    let prefill = deployment.profile.prefill_time(Tokens::new(request.prompt));
    if balancer == Balancer::LeastOutstanding {
        let least = (0..engines.len())
            .min_by_key(|number| engines[*number].outstanding())
            .unwrap();
        request.parts = 1;
        request.engine = least;
        engines[least].push(index, prefill.as_secs_f64() * 1e3, true);
        return true;
    }
    let waited = Duration::from_millis(now - request.at);
    let demand = Demand {
        prompt: Tokens::new(request.prompt),
        answer: Tokens::new(u64::from(request.events) * 46),
        objective: Duration::from_millis(objective),
        pause: Some(Duration::from_millis(pause)),
        age: waited,
        patience: Duration::from_millis((objective * 4).max(pause * 8).max(2000)),
        waited,
        time_left: Duration::from_secs(15).saturating_sub(waited),
        avoid: Vec::new(),
        within: (balancer == Balancer::Cell).then(|| CELL.parse().unwrap()),
        trace: false,
        authority: if balancer == Balancer::Cell {
            Authority::Shared
        } else {
            Authority::Own
        },
    };
    let node = &mut nodes[request.node];
    let time = Time::from_millis(now);
    match node.place(&deployment.service(), &demand, policy, time, rng) {
        Ok(placed) => {
            request.parts = placed.helpers.len() + 1;
            request
                .works
                .push(node.begin(&placed.primary, placed.cost, time));
            let number = |id: &str| id[2..].parse::<usize>().unwrap();
            let part = placed.cost.prefill_time.as_secs_f64() * 1e3;
            request.engine = number(placed.primary.as_str());
            engines[request.engine].push(index, part, true);
            for (helper, cost) in &placed.helpers {
                request.works.push(node.begin(helper, *cost, time));
                let part = cost.prefill_time.as_secs_f64() * 1e3;
                engines[number(helper.as_str())].push(index, part, false);
            }
            true
        }
        Err(Overload::Queued(pause)) => {
            request.retry_at = now + pause.as_millis() as u64;
            false
        }
        Err(_refused) => {
            request.done = true;
            true
        }
    }
}

impl Engine {
    fn outstanding(&self) -> usize {
        self.prefills.len() + self.decodes.len() + self.queue.len()
    }

    fn push(&mut self, index: usize, millis: f64, first: bool) {
        if first && self.decodes.len() + self.prefills.len() >= self.profile.slots as usize {
            self.queue.push_back((index, millis));
        } else {
            self.prefills.push((index, millis));
        }
    }

    /// Runs one pass if the previous one is over; returns the requests whose prefill is now done.
    fn run_pass(&mut self, now: u64, requests: &mut [Request], nodes: &mut [Fleet]) -> Vec<usize> {
        let mut prefilled = Vec::new();
        if now < self.busy_until {
            return prefilled;
        }
        while self.decodes.len() + self.prefills.len() < self.profile.slots as usize
            && let Some(next) = self.queue.pop_front()
        {
            self.prefills.push(next);
        }
        let context: u64 = self
            .decodes
            .iter()
            .map(|index| requests[*index].prompt)
            .sum();
        let decode_ms = if self.decodes.is_empty() {
            0.0
        } else {
            let answers = self.decodes.len() as u32;
            self.profile
                .pass_time(answers, Tokens::new(context))
                .as_secs_f64()
                * 1e3
        };
        // A pass has 46 steps with a chunk of 8 ms each; it is shorter without answers.
        let max_prefill_ms = if self.decodes.is_empty() {
            10.0
        } else {
            46.0 * 8.0
        };
        let mut prefill_ms = 0.0;
        let mut done_parts = Vec::new();
        while prefill_ms < max_prefill_ms
            && let Some((index, left)) = self.prefills.pop()
        {
            let step = left.min(max_prefill_ms - prefill_ms);
            prefill_ms += step;
            if left > step {
                self.prefills.push((index, left - step));
            } else {
                done_parts.push(index);
            }
        }
        if decode_ms + prefill_ms <= 0.0 {
            return prefilled;
        }
        let end = now + (decode_ms + prefill_ms).ceil() as u64;
        self.busy_until = end;
        let mut finished = Vec::new();
        for index in &self.decodes {
            if requests[*index].on_event(end) {
                finished.push(*index);
            }
        }
        self.decodes.retain(|index| !finished.contains(index));
        for index in done_parts {
            let request = &mut requests[index];
            request.parts -= 1;
            if request.parts == 0 {
                request.first = Some(end);
                request.last = end;
                for work in &request.works {
                    nodes[request.node].on_prefill_done(*work);
                }
                prefilled.push(index);
            }
        }
        for index in finished {
            let request = &mut requests[index];
            request.done = true;
            for work in std::mem::take(&mut request.works) {
                nodes[request.node].end(work);
            }
        }
        prefilled
    }
}

impl Request {
    /// Records one event; returns whether it was the last.
    fn on_event(&mut self, now: u64) -> bool {
        // The last part may be in prefill on another engine whose pass ends later.
        if now <= self.last {
            return false;
        }
        self.max_pause = self.max_pause.max(now - self.last);
        self.last = now;
        self.events = self.events.saturating_sub(1);
        self.events == 0
    }
}

fn evaluate(requests: &[Request]) -> Outcome {
    let mut outcome = Outcome::default();
    for request in requests {
        let (objective, pause) = (request.objective, request.pause);
        let class = match request.kind {
            Kind::Short => &mut outcome.short,
            Kind::Letter => &mut outcome.letter,
            Kind::Catalogue => &mut outcome.catalogue,
        };
        class.total += 1;
        let in_time = request
            .first
            .is_some_and(|first| first - request.at <= objective);
        class.late += u32::from(!in_time);
        class.paused += u32::from(request.max_pause > pause);
        class.on_time += u32::from(in_time && request.max_pause <= pause && request.done);
        outcome.unfinished += usize::from(!request.done);
    }
    outcome
}
