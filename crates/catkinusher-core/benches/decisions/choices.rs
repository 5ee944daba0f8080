//! The cost of one routing decision, counted and timed.

use std::time::{Duration, Instant};

use catkinusher_core::ask::{Ask, Role};
use catkinusher_core::digest::Digest;
use catkinusher_core::route::{LeastOutstanding, Policy, Predictive, View};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::measure::{Bound, Table};

/// Sizes of fleets to choose from.
const SIZES: [usize; 3] = [15, 150, 600];

/// Decisions at each size.
const ROUNDS: u32 = 2_000;

/// Prints the cost of a decision by size, and judges how it grows.
pub fn measure(table: &mut Table, seed: u64) {
    let mut few = [0.0; SIZES.len()];
    for (size, few) in SIZES.into_iter().zip(&mut few) {
        *few = at_size(table, "product", Predictive::default(), size, seed);
        at_size(table, "least", LeastOutstanding, size, seed);
    }
    let growth = few[SIZES.len() - 1] / few[0];
    let sizes = (SIZES[SIZES.len() - 1] / SIZES[0]) as f64;
    table.line(
        "choice/growth-15-to-600",
        "product",
        growth,
        "x",
        Bound::Below(sizes),
    );
}

fn at_size<P>(table: &mut Table, name: &str, mut policy: P, size: usize, seed: u64) -> f64
where
    P: Policy,
{
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut view = view_of(size, &mut rng);
    let start = Instant::now();
    let mut examined = 0;
    for round in 0..ROUNDS {
        let ask = ask_of(round, &mut rng);
        let now = Time::from_millis(u64::from(round));
        let choice = policy.choose(&ask, &view, &mut rng, now);
        let choice = choice.expect("some upstream is open");
        examined += choice.examined;
        view.on_sent(&choice.upstream, &ask, now);
    }
    let each = start.elapsed() / ROUNDS;
    let mean = f64::from(examined) / f64::from(ROUNDS);
    let line = format!("choice/examined-of-{size}");
    table.line(&line, name, mean, "upstreams", Bound::None);
    println!(
        "# choice among {size} by {name}: {} ns of wall time",
        each.as_nanos()
    );
    mean
}

fn view_of(size: usize, rng: &mut ChaCha8Rng) -> View {
    let mut view = View::new("dc-0".parse().expect("a name"));
    for place in 0..size {
        let name: catkinusher_core::id::UpstreamId =
            format!("engine-{place}").parse().expect("a name");
        view.insert(
            name.clone(),
            format!("dc-{}", place % 3).parse().expect("a name"),
        );
        let digest = Digest {
            free: Tokens::new(rng.random_range(0..480_000)),
            backlog: [Tokens::new(rng.random_range(0..50_000)); 4],
            streams: rng.random_range(0..64),
            limit: 64,
            pace: 35_000,
            ..Digest::default()
        };
        view.on_digest(&name, digest, Time::ZERO);
    }
    view.set_bulk_count(size / 3);
    view
}

fn ask_of(round: u32, rng: &mut ChaCha8Rng) -> Ask {
    Ask {
        request: format!("r{round}").parse().expect("a name"),
        customer: "customer".parse().expect("a name"),
        weight: 1,
        service: "llm".parse().expect("a name"),
        model: None,
        prompt: Tokens::new(rng.random_range(1_000..200_000)),
        output: Tokens::new(300),
        prefix: (0..8).map(|_| rng.random_range(0..500)).collect(),
        role: Role::Whole,
        excess: false,
        patience: None,
        deadline: Time::ZERO + Duration::from_hours(1),
    }
}
