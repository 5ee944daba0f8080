//! Nodes, the store and the requests of a run.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use catkinusher_core::claim::{
    ClaimRequest, Decision, Header, KeyId, Nonce, Partition, Policy, Settlement, Step,
    StoredResponse, Value, WallTime, partition_name,
};
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::object::{Answer, Call, Version};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Non-idempotent requests a second, over the whole fleet.
pub const RATE: f64 = 150.0;
pub const LENGTH: Duration = Duration::from_mins(1);
/// One way between two nodes.
const HOP: Duration = Duration::from_millis(1);
/// How long a request runs after it was sent, on average.
const SERVICE_MS: f64 = 80.0;
/// The store's answer takes this and an exponential rest with the next mean.
const STORE_BASE_MS: f64 = 3.0;
const STORE_REST_MS: f64 = 2.0;
/// Where a claim is kept and who writes it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// An object for each key, written by the entry node.
    PerKey,
    /// Partitions, written by every entry node for itself.
    Everyone { partitions: u32, window: u64 },
    /// Partitions, written by their owners.
    Owners { partitions: u32, window: u64 },
}

#[derive(Debug)]
enum Event {
    Arrive,
    ClaimRequest {
        cell: usize,
        bid: ClaimRequest,
    },
    Wake {
        cell: usize,
    },
    Apply {
        cell: usize,
        call: Call<Value>,
    },
    Answer {
        cell: usize,
        answer: Answer<Value>,
    },
    Decided {
        cell: usize,
        nonce: Nonce,
        decision: Decision,
    },
    Settle {
        cell: usize,
        settlement: Settlement,
    },
}

/// An event in the queue; ties go by the order in which they were put in.
#[derive(Debug)]
struct Entry {
    at: Time,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

#[derive(Debug, Default)]
pub struct Count {
    pub requests: u64,
    pub granted: u64,
    pub reads: u64,
    pub writes: u64,
    pub conflicts: u64,
    pub bytes: u64,
    pub waits: Vec<f64>,
}

pub struct Bench {
    way: Way,
    nodes: u32,
    slow: f64,
    rng: ChaCha8Rng,
    now: Time,
    order: u64,
    queue: BinaryHeap<Reverse<Entry>>,
    cells: Vec<Partition>,
    places: BTreeMap<String, usize>,
    begun: BTreeMap<Nonce, (Time, KeyId)>,
    store: BTreeMap<String, (u64, Value)>,
    version: u64,
    count: Count,
}

impl Bench {
    pub fn new(way: Way, nodes: u32, slow: f64, seed: u64) -> Self {
        Self {
            way,
            nodes,
            slow,
            rng: ChaCha8Rng::seed_from_u64(seed),
            now: Time::ZERO,
            order: 0,
            queue: BinaryHeap::new(),
            cells: Vec::new(),
            places: BTreeMap::new(),
            begun: BTreeMap::new(),
            store: BTreeMap::new(),
            version: 0,
            count: Count::default(),
        }
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() * mean / 1000.0)
    }

    fn put(&mut self, after: Duration, event: Event) {
        let at = self.now + after;
        self.order += 1;
        let order = self.order;
        self.queue.push(Reverse(Entry { at, order, event }));
    }

    fn wall(&self) -> WallTime {
        WallTime::from_secs(1_000_000 + self.now.as_micros() / 1_000_000)
    }

    fn policy(&self) -> Policy {
        let window = match self.way {
            Way::PerKey => 0,
            Way::Everyone { window, .. } | Way::Owners { window, .. } => window,
        };
        Policy {
            window: Span::from_millis(window),
            ..Policy::default()
        }
    }

    // Which machine takes the claim: by object, and by node unless the object has an owner.
    fn cell(&mut self, ident: KeyId, spread: u64) -> usize {
        let node = self.rng.random_range(0..self.nodes);
        let policy = self.policy();
        let (place, name) = match self.way {
            Way::PerKey => (ident.to_string(), ident.to_string()),
            Way::Everyone { partitions, .. } => {
                let name = partition_name((spread % u64::from(partitions)) as u32);
                (format!("{node} {name}"), name)
            }
            Way::Owners { partitions, .. } => {
                let name = partition_name((spread % u64::from(partitions)) as u32);
                (name.clone(), name)
            }
        };
        if let Some(cell) = self.places.get(&place) {
            return *cell;
        }
        self.cells.push(match self.way {
            Way::PerKey => Partition::assume_empty(name, policy),
            _ => Partition::new(name, policy),
        });
        self.places.insert(place, self.cells.len() - 1);
        self.cells.len() - 1
    }

    fn hop(&self) -> Duration {
        match self.way {
            Way::Owners { .. } => HOP,
            _ => Duration::ZERO,
        }
    }

    pub fn run(mut self) -> Count {
        self.put(Duration::ZERO, Event::Arrive);
        while let Some(Reverse(entry)) = self.queue.pop() {
            self.now = entry.at;
            self.on_event(entry.event);
        }
        self.count
    }

    fn on_event(&mut self, event: Event) {
        let now = self.now;
        match event {
            Event::Arrive => self.arrive(),
            Event::ClaimRequest { cell, bid } => {
                self.cells[cell].on_claim_request(bid, now);
                self.turn(cell);
            }
            Event::Wake { cell } => self.turn(cell),
            Event::Apply { cell, call } => self.apply(cell, call),
            Event::Answer { cell, answer } => {
                let steps = self.cells[cell].on_answer(answer, now);
                self.take(cell, steps);
                self.turn(cell);
            }
            Event::Decided {
                cell,
                nonce,
                decision,
            } => self.decided(cell, nonce, &decision),
            Event::Settle { cell, settlement } => {
                self.cells[cell].on_settlement(settlement, now);
                self.turn(cell);
            }
        }
    }

    fn arrive(&mut self) {
        if self.now < Time::ZERO + LENGTH {
            let gap = self.exponential(1000.0 / RATE);
            self.put(gap, Event::Arrive);
        } else {
            return;
        }
        self.count.requests += 1;
        let number = self.count.requests;
        let customer = "beurs".parse().expect("a name");
        let service = "afspraak-app".parse().expect("a name");
        let key = format!("k{number}").parse().expect("a key");
        let ident = KeyId::new(&customer, &service, &key);
        let nonce = Nonce::new(number);
        let spread: u64 = self.rng.random();
        let cell = self.cell(ident, spread);
        self.begun.insert(nonce, (self.now, ident));
        let bid = ClaimRequest {
            ident,
            body: Fingerprint::of([b"body".as_slice()]),
            holder: "vm-7".parse().expect("a name"),
            nonce,
            left: Span::from_secs(10),
            life: Span::from_secs(24 * 3600),
        };
        self.put(self.hop(), Event::ClaimRequest { cell, bid });
    }

    fn turn(&mut self, cell: usize) {
        let wall = self.wall();
        let steps = self.cells[cell].next(self.now, wall);
        self.take(cell, steps);
        let wake = self.cells[cell].wake();
        if wake != Time::NEVER {
            let after = wake.since(self.now).max(Duration::from_micros(100));
            self.put(after, Event::Wake { cell });
        }
    }

    fn take(&mut self, cell: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Call { call } => {
                    let rest = self.exponential(STORE_REST_MS * self.slow);
                    let whole = Duration::from_secs_f64(STORE_BASE_MS * self.slow / 1000.0) + rest;
                    self.put(whole / 2, Event::Apply { cell, call });
                }
                Step::Decided { nonce, decision } => {
                    let event = Event::Decided {
                        cell,
                        nonce,
                        decision,
                    };
                    self.put(self.hop(), event);
                }
                Step::Settled { .. } => {}
            }
        }
    }

    fn apply(&mut self, cell: usize, asked: Call<Value>) {
        let answer = self.store(asked);
        let base = Duration::from_secs_f64(STORE_BASE_MS * self.slow / 2000.0);
        let back = base + self.exponential(STORE_REST_MS * self.slow / 2.0);
        self.put(back, Event::Answer { cell, answer });
    }

    fn store(&mut self, call: Call<Value>) -> Answer<Value> {
        match call {
            Call::Read { name } => {
                self.count.reads += 1;
                match self.store.get(&name) {
                    None => Answer::Missing,
                    Some((version, value)) => Answer::Found {
                        version: Version::new(*version),
                        value: value.clone(),
                    },
                }
            }
            Call::Write {
                name,
                version,
                value,
            } => {
                self.count.writes += 1;
                let text = serde_json::to_string(&value).expect("JSON");
                self.count.bytes += text.len() as u64;
                let stands = self.store.get(&name).map_or(0, |object| object.0);
                if stands != version.get() {
                    self.count.conflicts += 1;
                    return Answer::Conflict;
                }
                self.version += 1;
                self.store.insert(name, (self.version, value));
                Answer::Written {
                    version: Version::new(self.version),
                }
            }
            Call::Delete { name } => {
                self.store.remove(&name);
                Answer::Missing
            }
        }
    }

    fn decided(&mut self, cell: usize, nonce: Nonce, decision: &Decision) {
        let (begun, ident) = self.begun[&nonce];
        if *decision != Decision::MaySend {
            return;
        }
        self.count.granted += 1;
        let wait = self.now.since(begun).as_secs_f64() * 1000.0;
        self.count.waits.push(wait);
        let header = Header {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        };
        let kept = Some(StoredResponse::new(200, vec![header], &[b'x'; 120]));
        let settlement = Settlement { ident, nonce, kept };
        let service = self.exponential(SERVICE_MS) + self.hop();
        self.put(service, Event::Settle { cell, settlement });
    }
}
