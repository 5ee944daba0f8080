//! What would be decided on an ask, without deciding it.

use std::time::Duration;

use rand::Rng;

use super::{Ask, Context, Placer};
use crate::directory::Directory;
use crate::fleet::{Cell, Fleet, Overload, Placement, Policy};
use crate::time::Time;

/// The decision that an ask would get now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Preview {
    /// It would be placed; the basis holds the scores of all candidates.
    Placed(Box<Placement>),
    /// It would wait for other prompts.
    Waiting,
    /// It could not be placed.
    Overloaded(Overload),
    /// It would be passed on to the node that places requests in another cell.
    Forwarded(Cell),
    /// This node does not know the service.
    Unable,
}

impl Placer {
    /// Decides on a new ask as [`Self::on_ask`] does, on copies of the queue and of `fleet`.
    ///
    /// Nothing is granted, queued or counted.
    #[must_use]
    pub fn preview<R>(
        &self,
        ask: &Ask,
        fleet: &Fleet,
        directory: &Directory,
        policy: &Policy,
        now: Time,
        rng: &mut R,
    ) -> Preview
    where
        R: Rng,
    {
        let (mut placer, mut fleet) = (self.clone(), fleet.clone());
        let mut context = Context {
            fleet: &mut fleet,
            directory,
            policy,
            now,
        };
        if let Some(cell) = placer.better_cell(ask, &context) {
            return Preview::Forwarded(cell);
        }
        let result = super::place(ask, Duration::ZERO, true, &mut context, rng);
        let overload = match result {
            None => return Preview::Unable,
            Some(Ok(placement)) => return Preview::Placed(Box::new(placement)),
            Some(Err(Overload::Queued(_))) => return Preview::Waiting,
            Some(Err(overload)) => overload,
        };
        let is_full = matches!(overload, Overload::Full(_) | Overload::None);
        match placer.least_pressed(ask, &context).filter(|_| is_full) {
            Some(cell) => Preview::Forwarded(cell),
            None => Preview::Overloaded(overload),
        }
    }
}
