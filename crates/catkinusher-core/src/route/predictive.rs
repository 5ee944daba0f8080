//! The product's way to choose: a few upstreams, compared by expected first token.

use std::time::Duration;

use rand::Rng;

use super::{Choice, ChoiceReason, Policy, Pool, View};
use crate::ask::Ask;
use crate::cache::covered_tokens;
use crate::time::Time;
use crate::units::Tokens;

/// How much later than the second choice the first may be before the second is asked.
const PATIENCE_MARGIN: Duration = Duration::from_millis(10);

/// The least part of a prompt that must be cached to be worth a look.
const WORTH_PART: u64 = 4;

/// The fewest cached tokens that are worth a look.
const WORTH_LEAST: Tokens = Tokens::new(1024);

/// What can be tuned in [`Predictive`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tuning {
    /// How many upstreams are drawn by chance.
    pub draws: u32,
    /// Whether those that probably have the prompt cached are looked at too.
    pub affinity: bool,
    /// The first token that is late enough to look beyond the class's part.
    pub spill: [Duration; 2],
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            draws: 3,
            affinity: true,
            spill: [Duration::from_millis(150), Duration::from_secs(4)],
        }
    }
}

/// Compares a few upstreams by the first token to be expected of each.
#[derive(Debug, Clone, Default)]
pub struct Predictive {
    tuning: Tuning,
}

impl Predictive {
    /// A policy with this tuning.
    #[must_use]
    pub const fn new(tuning: Tuning) -> Self {
        Self { tuning }
    }
}

/// The best candidates so far.
#[derive(Debug, Default)]
struct Best {
    first: Option<Candidate>,
    second: Option<Candidate>,
    examined: u32,
}

#[derive(Debug, Clone, Copy)]
struct Candidate {
    place: usize,
    predicted: Duration,
    reason: ChoiceReason,
}

impl Best {
    fn offer(&mut self, candidate: Candidate) {
        self.examined += 1;
        let same = |other: &Option<Candidate>| other.is_some_and(|o| o.place == candidate.place);
        if same(&self.first) || same(&self.second) {
            return;
        }
        if self
            .first
            .is_none_or(|first| candidate.predicted < first.predicted)
        {
            self.second = self.first.replace(candidate);
        } else if self
            .second
            .is_none_or(|second| candidate.predicted < second.predicted)
        {
            self.second = Some(candidate);
        }
    }
}

impl Policy for Predictive {
    fn choose<R>(&mut self, ask: &Ask, view: &View, rng: &mut R, now: Time) -> Option<Choice>
    where
        R: Rng,
    {
        let mut best = Best::default();
        let bulky = ask.class().is_bulky();
        let (own, other) = if bulky {
            (Pool::Bulk, Pool::Short)
        } else {
            (Pool::Short, Pool::Bulk)
        };
        let look = |best: &mut Best, place: usize, reason: ChoiceReason| {
            let predicted = view
                .at(place)
                .predict(ask, view.cached(place, ask), view.home(), now);
            best.offer(Candidate {
                place,
                predicted,
                reason,
            });
        };
        if self.tuning.affinity {
            for place in cached_places(ask, view, own) {
                look(&mut best, place, ChoiceReason::Cached);
            }
        }
        for _ in 0..self.tuning.draws {
            look(&mut best, view.draw(own, rng)?, ChoiceReason::Soonest);
        }
        let spill = self.tuning.spill[usize::from(bulky)];
        if best.first.is_some_and(|first| first.predicted > spill) {
            for _ in 0..self.tuning.draws {
                look(&mut best, view.draw(other, rng)?, ChoiceReason::Spilled);
            }
        }
        answer(view, &best)
    }
}

/// Places that probably have so much of the prompt cached that it is worth a look.
fn cached_places(ask: &Ask, view: &View, pool: Pool) -> impl Iterator<Item = usize> {
    let worth = (ask.prompt.get() / WORTH_PART).max(WORTH_LEAST.get());
    let known = view.known(&ask.prefix);
    let known = known.filter(|found| covered_tokens(found.index).get() >= worth);
    // All nodes name the same place by the same beginning, known to them or not.
    let ends = ask.prefix.iter().enumerate();
    let mut half = ends.filter(|(index, _)| covered_tokens(*index).get() * 2 <= ask.prompt.get());
    let root = half
        .next_back()
        .filter(|(index, _)| covered_tokens(*index).get() >= worth);
    let named = root.and_then(|(_, hash)| view.named(pool, *hash));
    [known.map(|found| found.place), named]
        .into_iter()
        .flatten()
}

fn answer(view: &View, best: &Best) -> Option<Choice> {
    let first = best.first?;
    let reason = if view.open_count() == 1 {
        ChoiceReason::Only
    } else {
        first.reason
    };
    Some(Choice {
        upstream: view.at(first.place).upstream().clone(),
        second: best
            .second
            .map(|second| view.at(second.place).upstream().clone()),
        reason,
        patience: best.second.map(|second| second.predicted + PATIENCE_MARGIN),
        predicted: first.predicted,
        examined: best.examined,
    })
}
