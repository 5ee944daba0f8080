//! The configuration: confirmations at rest, and a change with its body.

use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::id::VmId;
use catkinusher_core::inventory::{
    Customer, DataCentre, EngineLimits, Inventory, Service, ServiceKind, Upstream, Vm,
};
use catkinusher_core::rendezvous::Tree;
use catkinusher_core::spread::{Age, ConfigReplica, Message, Output, Patch, Revision, Settings};
use catkinusher_core::time::Time;
use catkinusher_core::units::{Rate, Span, Tokens};

use crate::fleet::{
    CHANGES, CUSTOMERS, DATA_CENTRES, Fleet, MODELS, UPSTREAMS, data_centre, region, upstream,
};
use crate::lines::Lines;
use crate::meter::{Cost, Meter, cpu_now, encode, state};

/// Virtual seconds at rest.
const REST: u64 = 600;

/// Seconds between two confirmations by a watcher.
const CONFIRM: u64 = 3;

/// Changes in the run.
const CHANGE_COUNT: u64 = 200;

struct Bench {
    node: ConfigReplica,
    parent: Option<VmId>,
    children: Vec<VmId>,
    heads: Vec<VmId>,
    meter: Meter,
    bodies: usize,
    text: Arc<str>,
}

impl Bench {
    fn new(fleet: &Fleet, me: &VmId, seed: u64) -> Self {
        let settings = Settings::default();
        let tree = Tree::new(me, fleet.members());
        let parent = tree.parent(settings.fanout);
        let children = tree.children(settings.fanout);
        let mut node = ConfigReplica::new(me.clone(), seed, settings, Time::ZERO);
        node.on_members(fleet.members(), true, Time::ZERO);
        Self {
            node,
            parent,
            children,
            heads: tree.remote_roots(),
            meter: Meter::default(),
            bodies: 0,
            text: "".into(),
        }
    }

    fn hear(&mut self, from: &VmId, message: &Message, now: Time) {
        let bytes = encode(message);
        let message = self.meter.hears(&bytes);
        let outputs = self.node.on_message(from, message, now);
        self.take(outputs);
    }

    fn take(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            if let Output::Send { message, .. } = output {
                self.bodies +=
                    usize::from(matches!(message, Message::Body(..) | Message::Patch(..)));
                self.meter.sends(&message);
            }
        }
    }

    /// One second at rest: ticks, a confirmation from above, a word of a random peer.
    fn second(&mut self, second: u64, text: &Arc<str>, version: u64, fleet: &Fleet) {
        let now = Time::from_millis(second * 1000);
        while self.node.next_wake() <= now {
            let outputs = self.node.on_tick(now);
            self.take(outputs);
        }
        let have = |millis| {
            let age = Age::new(Duration::from_millis(millis));
            Message::Have(Some(Revision::of(version, text)), age)
        };
        if second.is_multiple_of(CONFIRM) {
            if let Some(parent) = self.parent.clone() {
                self.hear(&parent, &have(10), now);
            } else {
                let outputs = self.node.on_unchanged(version, version, now);
                self.take(outputs);
            }
        }
        if second.is_multiple_of(3) {
            let peer = &fleet.list[fleet.size - 1].vm;
            self.hear(peer, &have(1500), now);
        }
    }

    /// A change: what leads to it comes from above, or from the platform, and each child pulls it.
    fn change(&mut self, version: u64, text: &Arc<str>, now: Time) {
        let old = self.node.revision();
        let revision = Revision::of(version, text);
        let age = Age::new(Duration::from_millis(20));
        let have = Message::Have(Some(revision), age);
        if let Some(parent) = self.parent.clone() {
            self.hear(&parent, &have, now);
            let body = match old {
                Some(base) => Message::Patch(revision, age, Patch::between(base, &self.text, text)),
                None => Message::Body(revision, age, Arc::clone(text)),
            };
            self.hear(&parent, &body, now);
        } else {
            let outputs = self.node.on_platform(version, text, now);
            self.take(outputs);
        }
        for head in self.heads.clone() {
            self.hear(&head, &have, now);
        }
        for child in self.children.clone() {
            self.hear(&child, &Message::Pull(revision, old), now);
        }
        self.text = Arc::clone(text);
    }
}

pub fn run(fleet: &Fleet, seed: u64, lines: &mut Lines) -> Cost {
    let size = fleet.size;
    let (head, inner, leaf) = roles(fleet);
    let text = [inventory(false), inventory(true)];
    if size == 360 {
        lines.most("spread.body", text[0].len() as f64, "B", 1_000_000.0);
    }
    let mut busiest = Cost::default();
    for (role, me) in [("head", head), ("inner", inner), ("leaf", leaf)] {
        let Some(me) = me else { continue };
        let cost = one(fleet, &me, role, seed, &text, lines);
        if cost.bytes() > busiest.bytes() {
            busiest = cost;
        }
    }
    lines.told(&format!("spread.state.{size}"), busiest.state / 1e3, "kB");
    busiest
}

/// A node of each kind of place in the first data centre's tree.
fn roles(fleet: &Fleet) -> (Option<VmId>, Option<VmId>, Option<VmId>) {
    let (mut head, mut inner, mut leaf) = (None, None, None);
    for listed in fleet.list.iter().step_by(DATA_CENTRES) {
        let tree = Tree::new(&listed.vm, fleet.members());
        let fanout = Settings::default().fanout;
        let place = match (tree.parent(fanout), tree.children(fanout).len()) {
            (None, _) => &mut head,
            (Some(_), 0) => &mut leaf,
            (Some(_), _) => &mut inner,
        };
        place.get_or_insert_with(|| listed.vm.clone());
    }
    (head, inner, leaf)
}

fn one(
    fleet: &Fleet,
    me: &VmId,
    role: &str,
    seed: u64,
    text: &[Arc<str>; 2],
    lines: &mut Lines,
) -> Cost {
    let size = fleet.size;
    let mut bench = Bench::new(fleet, me, seed);
    bench.meter = Meter::default();
    bench.change(1, &text[0], Time::ZERO);
    let full = bench.meter.cost(1.0, 0.0, 0.0);
    bench.meter = Meter::default();
    let start = cpu_now();
    for second in 1..=REST {
        bench.second(second, &text[0], 1, fleet);
    }
    let held = state(|| held(fleet, me, seed, text));
    let rest = bench.meter.cost(REST as f64, cpu_now() - start, held);

    bench.meter = Meter::default();
    bench.bodies = 0;
    let start = cpu_now();
    for step in 0..CHANGE_COUNT {
        let now = Time::from_millis((REST + 10 + step) * 1000);
        bench.change(2 + step, &text[(1 + step as usize) % 2], now);
    }
    let change = bench
        .meter
        .cost(CHANGE_COUNT as f64, cpu_now() - start, 0.0);
    let name = |part: &str| format!("spread.{role}.{part}.{size}");
    lines.told(&name("rest.messages"), rest.messages(), "1/s");
    lines.told(&name("rest.payload"), rest.payload(), "B/s");
    lines.told(&name("full.payload"), full.payload(), "B/event");
    lines.told(&name("change.payload"), change.payload(), "B/event");
    lines.told(&name("change.cpu"), change.cpu * 1e6, "us/event");
    let sent = bench.bodies as f64 / CHANGE_COUNT as f64;
    lines.most(
        &name("change.bodies"),
        sent,
        "1/event",
        Settings::default().fanout as f64,
    );
    Cost {
        sent: rest.sent + CHANGES * change.sent,
        sent_bytes: rest.sent_bytes + CHANGES * change.sent_bytes,
        heard: rest.heard + CHANGES * change.heard,
        heard_bytes: rest.heard_bytes + CHANGES * change.heard_bytes,
        cpu: rest.cpu + CHANGES * change.cpu,
        state: held,
    }
}

/// A node that keeps as many texts as it ever does.
fn held(fleet: &Fleet, me: &VmId, seed: u64, text: &[Arc<str>; 2]) -> ConfigReplica {
    let mut bench = Bench::new(fleet, me, seed);
    for version in 1..=4 {
        let own: Arc<str> = text[version % 2].as_ref().into();
        bench.change(version as u64, &own, Time::ZERO);
    }
    bench.node
}

/// An inventory of the size designed for, as text, with a data centre drained or not.
pub fn inventory(drained: bool) -> Arc<str> {
    let name = |text: String| text;
    let data_centres = (0..DATA_CENTRES)
        .map(|number| DataCentre {
            name: data_centre(number),
            region: region(number),
            drained: drained && number == 3,
        })
        .collect();
    let services = (0..MODELS)
        .map(|number| Service {
            name: name(format!("service-{number:02}"))
                .parse()
                .expect("a valid name"),
            kind: ServiceKind::Model,
            models: vec![format!("model-{number:02}").parse().expect("a valid name")],
            timeout: Span::from_secs(60),
            timeout_cap: Span::from_secs(600),
            engine: Some(engine()),
            concurrency: 64,
        })
        .collect();
    let mut inventory = Inventory {
        data_centres,
        services,
        ..Inventory::default()
    };
    for number in 0..UPSTREAMS {
        let vm: VmId = format!("vm-{number:04}").parse().expect("a valid name");
        inventory.vms.push(Vm {
            name: vm.clone(),
            data_centre: data_centre(number % DATA_CENTRES),
            drained: false,
        });
        inventory.upstreams.push(Upstream {
            name: upstream(number),
            service: format!("service-{:02}", number % MODELS)
                .parse()
                .expect("a valid name"),
            vm,
            address: ([10, 1, (number / 250) as u8, (number % 250) as u8], 8000).into(),
            drained: false,
        });
    }
    inventory.customers = (0..CUSTOMERS)
        .map(|number| Customer {
            name: format!("customer-{number:03}")
                .parse()
                .expect("a valid name"),
            key_sha256: format!("{number:064x}"),
            weight: 1,
            open_limit: Some(100),
            services: Vec::new(),
        })
        .collect();
    toml::to_string(&inventory)
        .expect("an inventory can be written")
        .into()
}

fn engine() -> EngineLimits {
    EngineLimits {
        memory: Tokens::new(500_000),
        prefill: Rate::per_second(10_000.0),
        decode: Rate::per_second(50.0),
        streams: 32,
        chunk: Some(Tokens::new(4096)),
        cold_streams: 1,
        fencing: true,
        kv_transfer: true,
    }
}
