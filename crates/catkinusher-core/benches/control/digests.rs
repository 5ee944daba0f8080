//! Digests of upstreams: the batches up and down the tree, and between data centres.

use std::collections::BTreeMap;

use catkinusher_core::cache::Sketch;
use catkinusher_core::digest::Digest;
use catkinusher_core::digests::{
    Batch, CoarseDigest, DigestAge, DigestEntry, Digests, FullDigest, NameHash, OutgoingBatch,
    Rollup, Settings, SummaryEntry,
};
use catkinusher_core::id::{DataCentreId, Incarnation, VmId};
use catkinusher_core::rendezvous::{Salt, Tree};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;

use crate::fleet::{DATA_CENTRES, Fleet, MODELS, UPSTREAMS, data_centre, upstream};
use crate::lines::Lines;
use crate::meter::{Cost, Meter, cpu_now, encode, state};

/// Periods in the run.
const PERIODS: u64 = 100;

type Node = Digests<NameHash, CoarseDigest, FullDigest, NameHash, Rollup>;
type Word = Batch<NameHash, CoarseDigest, FullDigest, NameHash, Rollup>;

/// The digest of a busy engine whose sketch is half full.
fn full(number: usize) -> FullDigest {
    let mut sketch = Sketch::default();
    for beginning in 0..Sketch::CAPACITY / 2 {
        sketch.insert(Salt::new(number as u64).score("beginning", &beginning.to_string()));
    }
    FullDigest::from(Digest {
        incarnation: Incarnation::new(1_700_000_000 + number as u64),
        free: Tokens::new(300_000),
        backlog: [1200, 5000, 70_000, 0].map(Tokens::new),
        streams: 27,
        queued: 3,
        limit: 32,
        pace: 9500,
        cold: false,
        sketch,
    })
}

/// The upstreams of the first data centre.
fn local() -> Vec<usize> {
    (0..UPSTREAMS).step_by(DATA_CENTRES).collect()
}

fn key(number: usize) -> NameHash {
    NameHash::of(upstream(number).as_str())
}

fn service(number: usize) -> NameHash {
    NameHash::of(&format!("service-{:02}", number % MODELS))
}

fn node(fleet: &Fleet, me: &VmId) -> Node {
    let mut node = Node::new(me.clone(), Settings::default(), Time::ZERO);
    node.on_members(fleet.members());
    let groups: BTreeMap<NameHash, NameHash> = (0..UPSTREAMS)
        .map(|number| (key(number), service(number)))
        .collect();
    node.set_groups(groups);
    node
}

struct Bench {
    node: Node,
    parent: Option<VmId>,
    children: Vec<VmId>,
    heads: Vec<VmId>,
    own: Vec<usize>,
    meter: Meter,
}

impl Bench {
    fn period(&mut self, period: u64) {
        let length = Settings::default().period.get();
        let now = Time::ZERO + length * period as u32;
        let late = now + length * 9 / 10;
        for number in self.own.clone() {
            self.node.on_own_digest(key(number), full(number), now);
        }
        let local = local();
        if let Some(parent) = self.parent.clone() {
            let far: Vec<usize> = (1..DATA_CENTRES).collect();
            self.hear(&parent, &word(false, &local, &far, period), now);
        }
        let far = period.is_multiple_of(u64::from(Settings::default().far_every));
        for (index, head) in self.heads.clone().iter().enumerate().filter(|_| far) {
            self.hear(head, &word(false, &[], &[index + 1], period), now);
        }
        self.tick(now);
        let share = local.len() / (self.children.len() + 1);
        for (index, child) in self.children.clone().iter().enumerate() {
            let below = &local[index * share..(index + 1) * share];
            self.hear(child, &word(true, below, &[], period), late);
        }
        self.tick(late);
    }

    fn hear(&mut self, from: &VmId, batch: &Word, now: Time) {
        let bytes = encode(batch);
        let batch = self.meter.hears(&bytes);
        let sends = self.node.on_batch(from, batch, now);
        self.take(&sends);
    }

    fn tick(&mut self, now: Time) {
        let sends = self.node.on_tick(now);
        self.take(&sends);
    }

    fn take(
        &mut self,
        sends: &[OutgoingBatch<NameHash, CoarseDigest, FullDigest, NameHash, Rollup>],
    ) {
        for OutgoingBatch { batch, .. } in sends {
            self.meter.sends(batch);
        }
    }
}

/// A batch as full as the settings let it be, its turns moved on with the period.
fn word(up: bool, near: &[usize], far: &[usize], period: u64) -> Word {
    let settings = Settings::default();
    let age = DigestAge::new(settings.period.get());
    let aged = |number: &usize| DigestEntry(key(*number), age, CoarseDigest::from(&full(*number)));
    let turn = period as usize * settings.detail_limit;
    let detail = near.iter().cycle().skip(turn % near.len().max(1));
    let detail = detail.take(settings.detail_limit.min(near.len()));
    let sums: Vec<(usize, usize)> = far
        .iter()
        .enumerate()
        .flat_map(|(index, _)| (0..MODELS).map(move |number| (index, number)))
        .collect();
    let skip = period as usize * settings.far_limit % sums.len().max(1);
    let limit = settings.far_limit.min(sums.len());
    let centres: Vec<DataCentreId> = far.iter().map(|number| data_centre(*number)).collect();
    let sum = Rollup {
        count: 3,
        cold: 0,
        free: 900,
        streams: 50,
        limit: 96,
    };
    Batch {
        upward: up,
        near: near.iter().take(settings.near_limit).map(aged).collect(),
        detail: detail
            .map(|number| DigestEntry(key(*number), age, full(*number)))
            .collect(),
        data_centres: centres,
        far: sums
            .into_iter()
            .cycle()
            .skip(skip)
            .take(limit)
            .map(|(index, number)| SummaryEntry(index as u8, service(number), age, sum))
            .collect(),
    }
}

pub fn run(fleet: &Fleet, lines: &mut Lines) -> Cost {
    let size = fleet.size;
    let mut busiest = Cost::default();
    let mut seen = Vec::new();
    for listed in fleet.list.iter().step_by(DATA_CENTRES) {
        let tree = Tree::new(&listed.vm, fleet.members());
        let role = match (tree.parent(2), tree.children(2).len()) {
            (None, _) => "head",
            (_, 2) => "inner",
            (_, 0) => "leaf",
            _ => continue,
        };
        if seen.contains(&role) {
            continue;
        }
        seen.push(role);
        let cost = one(fleet, &listed.vm, &tree);
        let name = |part: &str| format!("digests.{role}.{part}.{size}");
        lines.told(&name("messages"), cost.messages(), "1/s");
        lines.told(&name("sent"), cost.sent_bytes, "B/s");
        lines.told(&name("heard"), cost.heard_bytes, "B/s");
        lines.told(&name("cpu"), cost.cpu * 1e6, "us/s");
        if cost.bytes() > busiest.bytes() {
            busiest = cost;
        }
    }
    lines.told(&format!("digests.state.{size}"), busiest.state / 1e3, "kB");
    busiest
}

fn one(fleet: &Fleet, me: &VmId, tree: &Tree) -> Cost {
    let per_node = UPSTREAMS.div_ceil(fleet.size);
    let mut bench = Bench {
        node: node(fleet, me),
        parent: tree.parent(2),
        children: tree.children(2),
        heads: tree.remote_roots(),
        own: local().into_iter().rev().take(per_node).collect(),
        meter: Meter::default(),
    };
    let start = cpu_now();
    for period in 1..=PERIODS {
        bench.period(period);
    }
    let cpu = cpu_now() - start;
    let seconds = PERIODS as f64 * Settings::default().period.get().as_secs_f64();
    let held = state(|| {
        let mut copy = node(fleet, me);
        for number in 0..UPSTREAMS {
            copy.on_own_digest(key(number), full(number), Time::ZERO);
        }
        copy
    });
    bench.meter.cost(seconds, cpu, held)
}
