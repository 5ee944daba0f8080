//! The deployments, their request mix, and seeded arrivals.

use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::class::LengthClass;
use catkinusher_core::inventory::EngineLimits;
use catkinusher_core::time::Time;
use catkinusher_core::units::{Rate, Tokens};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Tokens in one block of the engines' prefix cache.
const BLOCK: u64 = 512;

/// The share of requests that go on from an earlier prompt of their customer.
const FOLLOW_UPS: f64 = 0.25;

/// The time that a caller gives a request, besides what its length needs.
const TIMEOUT: Duration = Duration::from_mins(1);

/// Prompt tokens for which a caller gives one more second.
const TOKENS_A_SECOND: u64 = 5_000;

/// A deployment.
#[derive(Debug, Clone)]
pub struct Case {
    pub name: &'static str,
    pub engines: usize,
    pub routers: usize,
    pub customers: usize,
    /// Requests a second at the peak.
    pub peak: f64,
    /// One way between data centres, and between callers and us.
    pub hop: Duration,
    pub client: Duration,
    /// How long arrivals last, in seconds.
    pub length: u64,
    /// The same for the runs under overload or faults.
    pub short_length: u64,
    pub limits: EngineLimits,
}

/// The peak of one upstream at the letter's size: 1,500 requests a second over 600 servers.
const PEAK_EACH: f64 = 2.5;

pub fn limits() -> EngineLimits {
    EngineLimits {
        memory: Tokens::new(480_000),
        prefill: Rate::per_second(60_000.0),
        decode: Rate::per_second(80.0),
        streams: 64,
        chunk: Some(Tokens::new(1536)),
        cold_streams: 2,
        fencing: true,
        kv_transfer: true,
    }
}

impl Case {
    pub fn taalhulp() -> Self {
        Self {
            name: "taalhulp",
            engines: 16,
            routers: 15,
            customers: 10,
            peak: 16.0 * PEAK_EACH,
            hop: Duration::from_millis(1),
            client: Duration::from_millis(3),
            length: 480,
            short_length: 240,
            limits: limits(),
        }
    }

    pub fn rota() -> Self {
        Self {
            name: "rota-llm",
            engines: 20,
            routers: 18,
            peak: 20.0 * PEAK_EACH,
            hop: Duration::from_micros(1500),
            client: Duration::from_millis(1),
            ..Self::taalhulp()
        }
    }

    pub fn letter() -> Self {
        Self {
            name: "letter",
            engines: 600,
            routers: 18,
            customers: 240,
            peak: 1500.0,
            length: 20,
            short_length: 20,
            ..Self::taalhulp()
        }
    }
}

/// One request of the arrival stream.
#[derive(Debug, Clone)]
pub struct Request {
    pub at: Time,
    pub router: usize,
    pub customer: usize,
    pub prompt: Tokens,
    pub output: Tokens,
    pub blocks: Arc<[u64]>,
    pub deadline: Time,
}

impl Request {
    pub fn class(&self) -> LengthClass {
        LengthClass::of(self.prompt)
    }

    /// The chained hashes that the core knows a prompt by.
    pub fn prefix(&self) -> Vec<u64> {
        let ends = (0..12).map(|power| (1_usize << power) - 1);
        ends.map_while(|end| self.blocks.get(end).copied())
            .collect()
    }
}

/// What arrives.
#[derive(Debug, Clone, Copy)]
pub struct Traffic {
    /// Requests a second over all customers.
    pub rate: f64,
    /// Whether long and huge prompts come along.
    pub bulky: bool,
    /// How many times its share the first customer sends.
    pub greed: f64,
    pub seed: u64,
}

fn log_uniform<R>(low: f64, high: f64, rng: &mut R) -> u64
where
    R: Rng,
{
    let part: f64 = rng.random();
    (low * (high / low).powf(part)) as u64
}

/// A bounded Pareto length of shape 1.5: many of 100 k, few of a million.
fn huge<R>(rng: &mut R) -> u64
where
    R: Rng,
{
    let part: f64 = rng.random();
    let tail = 1.0 - part * (1.0 - 0.1_f64.powf(1.5));
    (100_001.0 * tail.powf(-1.0 / 1.5)).min(1_000_000.0) as u64
}

/// The length of a prompt: one in fifty over 100 k, nine in ten short.
fn prompt<R>(rng: &mut R) -> u64
where
    R: Rng,
{
    match rng.random_range(0..1000) {
        0..20 => huge(rng),
        20..35 => log_uniform(32_001.0, 100_000.0, rng),
        35..95 => log_uniform(8_001.0, 32_000.0, rng),
        _ => log_uniform(1_000.0, 8_000.0, rng),
    }
}

/// The share of each customer: a few large ones, many small.
pub fn shares(count: usize) -> Vec<f64> {
    let raw: Vec<_> = (0..count).map(|n| 1.0 / (n as f64 + 2.0)).collect();
    let sum = raw.iter().sum::<f64>();
    raw.into_iter().map(|part| part / sum).collect()
}

/// Every request of a run, in the order of arrival.
pub fn arrivals(case: &Case, traffic: Traffic) -> Vec<Request> {
    let mut all = Vec::new();
    for (customer, share) in shares(case.customers).into_iter().enumerate() {
        let greed = if customer == 0 { traffic.greed } else { 1.0 };
        let stream = Stream {
            customer,
            rate: traffic.rate * share * greed,
            last: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(traffic.seed ^ (customer as u64) << 32),
        };
        all.extend(stream.run(case));
    }
    if !traffic.bulky {
        all.retain(|request| !request.class().is_bulky());
    }
    all.sort_by_key(|request| request.at);
    all
}

/// The requests of one customer; others' greed leaves them as they are.
struct Stream {
    customer: usize,
    rate: f64,
    last: Vec<Arc<[u64]>>,
    rng: ChaCha8Rng,
}

impl Stream {
    fn run(mut self, case: &Case) -> Vec<Request> {
        let end = Time::from_millis(case.length * 1000);
        let mut at = Time::ZERO;
        let mut requests = Vec::new();
        loop {
            let part: f64 = self.rng.random();
            at = at + Duration::from_secs_f64(-(1.0 - part).ln() / self.rate);
            if at >= end {
                return requests;
            }
            requests.push(self.request(case, at));
        }
    }

    fn request(&mut self, case: &Case, at: Time) -> Request {
        let prompt = prompt(&mut self.rng);
        let output = log_uniform(40.0, 1_100.0, &mut self.rng);
        let timeout = TIMEOUT + Duration::from_secs(prompt / TOKENS_A_SECOND);
        Request {
            at,
            router: self.rng.random_range(0..case.routers),
            customer: self.customer,
            prompt: Tokens::new(prompt),
            output: Tokens::new(output),
            blocks: self.blocks(prompt),
            deadline: at + timeout,
        }
    }

    /// The blocks of a new prompt behind its customer's own opening, or of one that goes on
    /// from an earlier prompt.
    fn blocks(&mut self, prompt: u64) -> Arc<[u64]> {
        let count = (prompt / BLOCK) as usize;
        let fits = |old: &Arc<[u64]>| old.len() * 4 >= count * 3 && old.len() <= count;
        let earlier = self.last.iter().rev().find(|old| fits(old)).cloned();
        let follow = self.rng.random_bool(FOLLOW_UPS);
        let head = match earlier {
            Some(old) if follow => old,
            _ => Arc::from(vec![self.customer as u64 + 1; 1]),
        };
        let fresh = self.rng.random::<u64>();
        let tail = (head.len()..count).map(|n| fresh.wrapping_add(n as u64));
        let blocks: Arc<[u64]> = head.iter().copied().take(count).chain(tail).collect();
        self.last.push(Arc::clone(&blocks));
        if self.last.len() > 64 {
            self.last.remove(0);
        }
        blocks
    }
}
