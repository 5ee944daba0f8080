//! Reports of status up the tree.

use std::time::Duration;

use catkinusher_core::id::VmId;
use catkinusher_core::rendezvous::Tree;
use catkinusher_core::spread::{Revision, Settings};
use catkinusher_core::status::{Collector, Report, UpstreamCounts};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;

use crate::fleet::{DATA_CENTRES, Fleet, MODELS, upstream};
use crate::lines::Lines;
use crate::meter::{Cost, Meter, cpu_now, encode, state};

/// Seconds between two reports.
pub const PERIOD: u64 = 6;

const PERIODS: u64 = 100;

fn own(number: usize) -> Report {
    let vm: VmId = format!("entry-{number:04}").parse().expect("a valid name");
    Report::for_node(vm, Some(Revision::of(5, "five")), true, 3)
}

/// The sum of so many nodes, while a data centre drains: as long as it gets.
fn many(nodes: usize) -> Report {
    let mut sum = Report::default();
    for number in 0..nodes {
        sum.merge(&own(number));
    }
    for number in 0..100 {
        sum.add_draining(upstream(number), 4);
    }
    sum
}

/// The sum as the first of the data centre writes it.
fn written(nodes: usize) -> Report {
    let mut sum = many(nodes);
    for number in 0..MODELS {
        let service = format!("service-{number:02}")
            .parse()
            .expect("a valid name");
        let tally = UpstreamCounts {
            up: 2,
            cold: 1,
            down: 0,
        };
        sum.add_service(service, tally);
    }
    sum
}

pub fn run(fleet: &Fleet, lines: &mut Lines) -> Cost {
    let size = fleet.size;
    let fanout = Settings::default().fanout;
    let each = size.div_ceil(DATA_CENTRES);
    let inner = fleet.list.iter().step_by(DATA_CENTRES).find(|listed| {
        let tree = Tree::new(&listed.vm, fleet.members());
        tree.parent(fanout).is_some() && tree.children(fanout).len() == fanout
    });
    let me = inner.unwrap_or(&fleet.list[0]).vm.clone();
    let tree = Tree::new(&me, fleet.members());
    let children = tree.children(fanout);
    let below = encode(&many(each / fanout));
    let mut collector = Collector::new(Span::from_secs(3 * PERIOD));
    let mut meter = Meter::default();
    let start = cpu_now();
    for period in 1..=PERIODS {
        let now = Time::ZERO + Duration::from_secs(PERIOD * period);
        for child in &children {
            let report = meter.hears(&below);
            collector.on_report(child.clone(), report, now);
        }
        let sum = collector.aggregate(&own(0), &children, now);
        meter.sends(&sum);
    }
    let cpu = cpu_now() - start;
    let held = state(|| {
        let mut copy = Collector::new(Span::from_secs(3 * PERIOD));
        for child in &children {
            copy.on_report(child.clone(), many(each / fanout), Time::ZERO);
        }
        copy
    });
    let cost = meter.cost((PERIOD * PERIODS) as f64, cpu, held);
    lines.told(
        &format!("status.draining.payload.{size}"),
        cost.payload(),
        "B/s",
    );
    lines.told(
        &format!("status.draining.cpu.{size}"),
        cost.cpu * 1e6,
        "us/s",
    );
    let largest = encode(&written(each)).len();
    lines.most(
        &format!("status.report.{size}"),
        largest as f64,
        "B",
        1_000_000.0,
    );
    cost
}
