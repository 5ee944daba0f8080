//! The plain ways to choose, to measure against.

use rand::{Rng, RngExt};
use std::time::Duration;

use super::{Choice, ChoiceReason, Policy, Pool, View};
use crate::ask::Ask;
use crate::time::Time;

fn plain(view: &View, place: usize, reason: ChoiceReason, examined: u32) -> Choice {
    Choice {
        upstream: view.at(place).upstream().clone(),
        second: None,
        patience: None,
        reason,
        predicted: Duration::ZERO,
        examined,
    }
}

/// Any upstream, by chance.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl Policy for Random {
    fn choose<R>(&mut self, _ask: &Ask, view: &View, rng: &mut R, _now: Time) -> Option<Choice>
    where
        R: Rng,
    {
        let place = view.draw(Pool::All, rng)?;
        Some(plain(view, place, ChoiceReason::Turn, 1))
    }
}

/// One upstream after the other.
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
        Some(plain(view, place, ChoiceReason::Turn, 1))
    }
}

/// The upstream with the fewest requests of this node open, ties by chance.
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
        Some(plain(
            view,
            place,
            ChoiceReason::Fewest,
            places.len() as u32,
        ))
    }
}
