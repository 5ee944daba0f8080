//! The production policy: compares a few upstreams by predicted time to first token.

use std::time::Duration;

use rand::Rng;

use super::{Choice, ChoiceReason, Policy, Pool, View};
use crate::ask::Ask;
use crate::cache::covered_tokens;
use crate::time::Time;
use crate::units::Tokens;

/// How much later than the second choice the first may answer before the second is asked.
const FALLBACK_MARGIN: Duration = Duration::from_millis(10);

/// The minimum cached share of a prompt to consider an upstream, as a divisor of its length.
const MIN_CACHED_DIVISOR: u64 = 4;

/// The minimum number of cached tokens to consider an upstream.
const MIN_CACHED_TOKENS: Tokens = Tokens::new(1024);

/// The parameters of [`Predictive`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Tuning {
    /// The number of upstreams sampled at random.
    pub samples: u32,
    /// Whether upstreams that probably have the prompt cached are considered, too.
    pub affinity: bool,
    /// The predicted time to first token above which the other pool is sampled, too: for short
    /// and for long prompts.
    pub spill_threshold: [Duration; 2],
}

impl Default for Tuning {
    fn default() -> Self {
        Self {
            samples: 3,
            affinity: true,
            spill_threshold: [Duration::from_millis(150), Duration::from_secs(4)],
        }
    }
}

/// Compares a few upstreams by their predicted time to first token.
#[derive(Debug, Clone, Default)]
pub struct Predictive {
    tuning: Tuning,
}

impl Predictive {
    /// A policy with these parameters.
    #[must_use]
    pub const fn new(tuning: Tuning) -> Self {
        Self { tuning }
    }
}

/// The two best candidates so far.
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
        let consider = |best: &mut Best, place: usize, reason: ChoiceReason| {
            let predicted =
                view.at(place)
                    .predict(ask, view.cached_tokens(place, ask), view.home(), now);
            best.offer(Candidate {
                place,
                predicted,
                reason,
            });
        };
        if self.tuning.affinity {
            for place in cached_places(ask, view, own) {
                consider(&mut best, place, ChoiceReason::Cached);
            }
        }
        for _ in 0..self.tuning.samples {
            consider(&mut best, view.draw(own, rng)?, ChoiceReason::Soonest);
        }
        let spill_threshold = self.tuning.spill_threshold[usize::from(bulky)];
        if best
            .first
            .is_some_and(|first| first.predicted > spill_threshold)
        {
            for _ in 0..self.tuning.samples {
                consider(&mut best, view.draw(other, rng)?, ChoiceReason::Spilled);
            }
        }
        choice_of(view, &best)
    }
}

/// Upstreams that probably have enough of the prompt cached to be considered.
fn cached_places(ask: &Ask, view: &View, pool: Pool) -> impl Iterator<Item = usize> {
    let minimum = (ask.prompt.get() / MIN_CACHED_DIVISOR).max(MIN_CACHED_TOKENS.get());
    let recent = view.last_upstream(&ask.prefix);
    let recent = recent.filter(|found| covered_tokens(found.index).get() >= minimum);
    // All nodes map the same prefix to the same upstream, whether or not they have seen it before.
    let ends = ask.prefix.iter().enumerate();
    let mut half = ends.filter(|(index, _)| covered_tokens(*index).get() * 2 <= ask.prompt.get());
    let prefix = half
        .next_back()
        .filter(|(index, _)| covered_tokens(*index).get() >= minimum);
    let assigned = prefix.and_then(|(_, hash)| view.assigned(pool, *hash));
    [recent.map(|found| found.place), assigned]
        .into_iter()
        .flatten()
}

fn choice_of(view: &View, best: &Best) -> Option<Choice> {
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
        patience: best.second.map(|second| second.predicted + FALLBACK_MARGIN),
        predicted: first.predicted,
        examined: best.examined,
    })
}
