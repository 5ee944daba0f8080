//! Membership: heartbeats at rest, restarts, and a data centre that is lost.

use std::time::Duration;

use catkinusher_core::id::{Incarnation, VmId};
use catkinusher_core::membership::{
    Body, Life, Membership, Message, Output, Settings, State, Update,
};
use catkinusher_core::time::Time;

use crate::fleet::{CHURN, DATA_CENTRES, Fleet, listing};
use crate::lines::Lines;
use crate::meter::{Cost, Meter, cpu_now, encode, state};

/// Virtual seconds at rest.
const REST: u64 = 600;

/// Restarts in the run.
const RESTARTS: u64 = 50;

/// Virtual seconds that a restart takes.
const RESTART_SECONDS: u64 = 12;

/// The node that runs, and what it is fed.
struct Bench {
    node: Membership,
    before: Vec<VmId>,
    meter: Meter,
    moves: usize,
    now: Time,
}

fn node(index: usize, size: usize, seed: u64) -> Membership {
    let list = listing(size);
    let me = &list[index];
    let life = Incarnation::new(1_700_000_000);
    let settings = Settings::default();
    let mut node = Membership::new(
        me.vm.clone(),
        me.location.clone(),
        life,
        seed,
        settings,
        Time::ZERO,
    );
    node.on_vm_list(&list, Time::ZERO);
    node
}

const fn life(restarts: u64) -> Life {
    Life(Incarnation::new(1_700_000_000 + restarts), 0)
}

impl Bench {
    fn new(fleet: &Fleet, seed: u64) -> Self {
        let me = &fleet.list[0].vm;
        let before = (1..fleet.size)
            .map(|index| node(index, fleet.size, seed))
            .filter(|other| other.peers().contains(me))
            .map(|other| other.me().clone())
            .collect();
        let mut bench = Self {
            node: node(0, fleet.size, seed),
            before,
            meter: Meter::default(),
            moves: 0,
            now: Time::ZERO,
        };
        // Every member's life is known, as it is some time after a start.
        let updates = fleet.list.iter().skip(1).map(|listed| Update {
            vm: listed.vm.clone(),
            life: life(0),
            state: State::Alive,
            location: Some(listed.location.clone()),
        });
        let table = Message {
            life: life(0),
            body: Body::Table,
            updates: updates.collect(),
        };
        bench.node.on_message(&fleet.list[1].vm, table, Time::ZERO);
        bench
    }

    fn hear(&mut self, from: &VmId, message: &Message) {
        let bytes = encode(message);
        let message = self.meter.hears(&bytes);
        let outputs = self.node.on_message(from, message, self.now);
        self.take(outputs);
    }

    fn take(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { message, .. } => self.meter.sends(&message),
                Output::Changed(_) => self.moves += 1,
            }
        }
    }

    /// One second: each predecessor beats, and every tenth second a peer compares buckets.
    fn second(&mut self, seq: u64, updates: &[Update]) {
        for (step, from) in self.before.clone().into_iter().enumerate() {
            let now = Time::from_millis(seq * 1000 + 5 * step as u64);
            self.ticks(now);
            let message = Message {
                life: life(0),
                body: Body::Heartbeat(seq),
                updates: updates.to_vec(),
            };
            self.hear(&from, &message);
            if seq.is_multiple_of(10) && step == 0 {
                let body = Body::Sync([seq; 16]);
                let body = self.node_buckets().unwrap_or(body);
                let sync = Message {
                    life: life(0),
                    body,
                    updates: Vec::new(),
                };
                self.hear(&from, &sync);
            }
        }
    }

    /// The node's own bucket hashes, which an agreeing peer has as well.
    fn node_buckets(&self) -> Option<Body> {
        let mut copy = self.node.clone();
        let later = copy.on_tick(self.now + Settings::default().sync_period.get());
        later.into_iter().find_map(|output| match output {
            Output::Send { message, .. } if matches!(message.body, Body::Sync(_)) => {
                Some(message.body)
            }
            _ => None,
        })
    }

    fn ticks(&mut self, until: Time) {
        while self.node.next_wake() <= until {
            self.now = self.now.max(self.node.next_wake());
            let outputs = self.node.on_tick(self.now);
            self.take(outputs);
        }
        self.now = self.now.max(until);
    }
}

pub fn run(fleet: &Fleet, seed: u64, lines: &mut Lines) -> Cost {
    let size = fleet.size;
    let mut bench = Bench::new(fleet, seed);
    let start = cpu_now();
    for seq in 1..=REST {
        bench.second(seq, &[]);
    }
    let rest_cpu = cpu_now() - start;
    let held = state(|| node(0, size, seed));
    let rest = bench.meter.cost(REST as f64, rest_cpu, held);
    lines.told(
        &format!("membership.rest.messages.{size}"),
        rest.messages(),
        "1/s",
    );
    lines.told(
        &format!("membership.rest.payload.{size}"),
        rest.payload(),
        "B/s",
    );
    lines.told(
        &format!("membership.rest.cpu.{size}"),
        rest.cpu * 1e6,
        "us/s",
    );
    lines.told(&format!("membership.state.{size}"), held / 1e3, "kB");

    let restart = restarts(&mut bench, fleet);
    lines.told(
        &format!("membership.restart.payload.{size}"),
        restart.payload(),
        "B/event",
    );
    lines.told(
        &format!("membership.restart.cpu.{size}"),
        restart.cpu * 1e6,
        "us/event",
    );
    let (lost, seconds) = lost_centre(fleet, seed);
    let rate = lost.bytes() / seconds;
    lines.told(
        &format!("membership.lost-centre.seconds.{size}"),
        seconds,
        "s",
    );
    lines.most(
        &format!("membership.lost-centre.rate.{size}"),
        rate,
        "B/s",
        7000.0,
    );
    lines.told(
        &format!("membership.lost-centre.payload.{size}"),
        lost.payload(),
        "B/event",
    );
    lines.told(
        &format!("membership.lost-centre.cpu.{size}"),
        lost.cpu * 1e6,
        "us/event",
    );

    let churn = CHURN * size as f64 / 360.0;
    Cost {
        sent: rest.sent + churn * restart.sent,
        sent_bytes: rest.sent_bytes + churn * restart.sent_bytes,
        heard: rest.heard + churn * restart.heard,
        heard_bytes: rest.heard_bytes + churn * restart.heard_bytes,
        cpu: rest.cpu + churn * restart.cpu,
        state: held,
    }
}

/// What one crash and restart adds, out of many.
fn restarts(bench: &mut Bench, fleet: &Fleet) -> Cost {
    let quiet = rate_of(bench, REST + 1, REST, &[]);
    let mut seq = 2 * REST + 1;
    let mut all = Cost::default();
    let start = cpu_now();
    for count in 0..RESTARTS {
        let one = restart(bench, fleet, count, seq);
        all = Cost::sum(&[&all, &one]);
        seq += RESTART_SECONDS;
    }
    let cpu = cpu_now() - start;
    let each =
        |sum: f64, rate: f64| (sum / RESTARTS as f64 - rate * RESTART_SECONDS as f64).max(0.0);
    Cost {
        sent: each(all.sent, quiet.sent),
        sent_bytes: each(all.sent_bytes, quiet.sent_bytes),
        heard: each(all.heard, quiet.heard),
        heard_bytes: each(all.heard_bytes, quiet.heard_bytes),
        cpu: each(cpu, quiet.cpu),
        state: 0.0,
    }
}

/// The seconds of one crash and restart: three words, each told by every predecessor twice.
fn restart(bench: &mut Bench, fleet: &Fleet, count: u64, from: u64) -> Cost {
    let listed = &fleet.list[fleet.size - 1];
    let words = [
        (life(count), State::Suspect, None),
        (life(count), State::Gone, None),
        (life(count + 1), State::Alive, Some(listed.location.clone())),
    ];
    let mut seq = from;
    let mut sum = Cost::default();
    for (life, state, location) in words {
        let vm = listed.vm.clone();
        let update = Update {
            vm,
            life,
            state,
            location,
        };
        for updates in [vec![update.clone()], vec![update], Vec::new(), Vec::new()] {
            let loud = rate_of(bench, seq, 1, &updates);
            sum = Cost::sum(&[&sum, &loud]);
            seq += 1;
        }
    }
    sum
}

/// The cost per second over these seconds.
fn rate_of(bench: &mut Bench, from: u64, seconds: u64, updates: &[Update]) -> Cost {
    bench.meter = Meter::default();
    let start = cpu_now();
    for seq in from..from + seconds {
        bench.second(seq, updates);
    }
    let cpu = cpu_now() - start;
    bench.meter.cost(seconds as f64, cpu, 0.0)
}

/// The whole event of a data centre that is lost, and its seconds: every
/// member of it suspected, then gone, the traffic at rest included.
fn lost_centre(fleet: &Fleet, seed: u64) -> (Cost, f64) {
    let mut bench = Bench::new(fleet, seed);
    for seq in 1..=20 {
        bench.second(seq, &[]);
    }
    let lost: Vec<Update> = fleet
        .list
        .iter()
        .skip(1)
        .step_by(DATA_CENTRES)
        .map(|listed| Update {
            vm: listed.vm.clone(),
            life: life(0),
            state: State::Suspect,
            location: None,
        })
        .collect();
    bench
        .before
        .retain(|vm| !lost.iter().any(|update| update.vm == *vm));
    bench.meter = Meter::default();
    let begun = bench.now;
    let start = cpu_now();
    let mut seq = 21;
    for state in [State::Suspect, State::Gone] {
        for part in lost.chunks(Settings::default().piggyback) {
            let words: Vec<Update> = part
                .iter()
                .cloned()
                .map(|update| Update { state, ..update })
                .collect();
            bench.second(seq, &words);
            seq += 1;
        }
    }
    let end = bench.now + Duration::from_secs(10);
    bench.ticks(end);
    let cost = bench.meter.cost(1.0, cpu_now() - start, 0.0);
    (cost, bench.now.since(begun).as_secs_f64())
}
