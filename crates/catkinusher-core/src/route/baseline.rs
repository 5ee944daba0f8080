//! Baseline policies to compare [`Predictive`](super::Predictive) with.

use rand::{Rng, RngExt};
use std::time::Duration;

use super::{Choice, ChoiceReason, Policy, Pool, View};
use crate::ask::Ask;
use crate::time::Time;

fn choice_of(view: &View, place: usize, reason: ChoiceReason, examined: u32) -> Choice {
    Choice {
        upstream: view.at(place).upstream().clone(),
        second: None,
        patience: None,
        reason,
        predicted: Duration::ZERO,
        examined,
    }
}

/// Chooses an upstream at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Policy for Random {
    fn choose<R>(&mut self, _ask: &Ask, view: &View, rng: &mut R, _now: Time) -> Option<Choice>
    where
        R: Rng,
    {
        let place = view.draw(Pool::All, rng)?;
        Some(choice_of(view, place, ChoiceReason::Turn, 1))
    }
}

/// Chooses the upstreams in turn.
#[derive(Debug, Clone, Copy, Default)]
pub struct RoundRobin {
    turn: usize,
}

impl Policy for RoundRobin {
    fn choose<R>(&mut self, _ask: &Ask, view: &View, _rng: &mut R, _now: Time) -> Option<Choice>
    where
        R: Rng,
    {
        let places = view.pool(Pool::All);
        self.turn = (self.turn + 1) % places.len().max(1);
        let place = *places.get(self.turn)?;
        Some(choice_of(view, place, ChoiceReason::Turn, 1))
    }
}

/// Chooses the upstream with the fewest open requests of this node; ties are broken at random.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastOutstanding;

impl Policy for LeastOutstanding {
    fn choose<R>(&mut self, _ask: &Ask, view: &View, rng: &mut R, _now: Time) -> Option<Choice>
    where
        R: Rng,
    {
        let places = view.pool(Pool::All);
        let least = places
            .iter()
            .map(|place| view.at(*place).open_requests())
            .min()?;
        let ties: Vec<_> = places
            .iter()
            .filter(|place| view.at(**place).open_requests() == least)
            .collect();
        let place = *ties[rng.random_range(0..ties.len())];
        Some(choice_of(
            view,
            place,
            ChoiceReason::Fewest,
            places.len() as u32,
        ))
    }
}
