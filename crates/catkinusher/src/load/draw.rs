//! Arrivals, drawn ahead from a seed.

use std::fmt;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use catkinusher_core::class::LengthClass;
use catkinusher_core::units::Tokens;

use super::plan::{Part, Plan};

/// A part of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// Short prompts only.
    Alone,
    /// Prompts of every class.
    Mixed,
}

impl Phase {
    /// Every phase, in its order.
    pub const ALL: [Self; 2] = [Self::Alone, Self::Mixed];
}

impl fmt::Display for Phase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.pad(match self {
            Self::Alone => "alone",
            Self::Mixed => "mixed",
        })
    }
}

/// One request to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// The phase it belongs to.
    pub phase: Phase,
    /// When, after the phase's start.
    pub at: Duration,
    /// Its length class.
    pub class: LengthClass,
    /// The length of its prompt.
    pub prompt: Tokens,
    /// Its caller, by place in the plan.
    pub caller: usize,
    /// Its entry, by place in the plan.
    pub entry: usize,
    /// What makes its prompt unlike any other.
    pub salt: u64,
}

/// Draws the arrivals of `plan`, in the order of phases and times.
///
/// A class draws from a stream of its own, so that the short prompts of both
/// phases come at the same times and are equally long.
#[must_use]
pub fn draw(plan: &Plan) -> Vec<Arrival> {
    let parts = plan.mix.parts(plan.longest);
    let alone = parts.iter().filter(|part| part.class == LengthClass::Short);
    let mut arrivals = phase(plan, Phase::Alone, alone, plan.alone.get());
    arrivals.extend(phase(plan, Phase::Mixed, parts.iter(), plan.mixed.get()));
    arrivals.truncate(usize::try_from(plan.most).unwrap_or(usize::MAX));
    arrivals
}

fn phase<'a, I>(plan: &Plan, phase: Phase, parts: I, length: Duration) -> Vec<Arrival>
where
    I: Iterator<Item = &'a Part>,
{
    let mut arrivals = Vec::new();
    for part in parts {
        arrivals.extend(class(plan, phase, part, length));
    }
    arrivals.sort_by_key(|arrival| (arrival.at, arrival.class));
    arrivals
}

fn class(plan: &Plan, phase: Phase, part: &Part, length: Duration) -> Vec<Arrival> {
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    rng.set_stream(part.class.index() as u64);
    let rate = plan.rate.get() * part.share;
    let mut arrivals = Vec::new();
    let mut at = 0.0;
    while rate > 0.0 && (arrivals.len() as u64) < plan.most {
        at += -(1.0 - rng.random::<f64>()).ln() / rate;
        if at >= length.as_secs_f64() {
            break;
        }
        arrivals.push(Arrival {
            phase,
            at: Duration::from_secs_f64(at),
            class: part.class,
            prompt: length_of(part, &mut rng),
            caller: caller(plan, &mut rng),
            entry: rng.random_range(0..plan.entries.len()),
            salt: rng.random::<u64>() ^ phase as u64,
        });
    }
    arrivals
}

/// A length of which each tenfold is as likely as the next.
fn length_of(part: &Part, rng: &mut ChaCha8Rng) -> Tokens {
    let least = (part.least.get() as f64).ln();
    let most = (part.most.get() as f64).ln();
    let length = (least + (most - least) * rng.random::<f64>()).exp();
    let length = Tokens::new(length.round() as u64);
    length.clamp(part.least, part.most)
}

fn caller(plan: &Plan, rng: &mut ChaCha8Rng) -> usize {
    let weights = plan.callers.iter().map(|caller| u64::from(caller.weight));
    let mut left = rng.random_range(0..weights.clone().sum());
    for (place, weight) in weights.enumerate() {
        if left < weight {
            return place;
        }
        left -= weight;
    }
    0
}
