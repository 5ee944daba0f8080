//! An estimate, between reports, of the prefill work that an engine still has to do.

use std::collections::BTreeMap;

use super::EXCESS_PRIORITY;
use crate::id::RequestId;
use crate::time::Time;
use crate::units::{Rate, Tokens};

/// The number of engine priorities.
const LEVELS: usize = EXCESS_PRIORITY as usize + 1;

/// The position of a prefill: most urgent priority first, then in order of grants.
type Position = (u8, u64);

/// A prefill that is not known to have finished.
#[derive(Debug, Clone)]
struct Pending {
    left: f64,
}

/// The pending prefills of one engine in order of execution.
#[derive(Debug, Clone, Default)]
pub(super) struct Backlog {
    /// Whether the engine prefills each prompt without chunking, so that none is overtaken.
    whole: bool,
    clock: Time,
    serial: u64,
    pending: BTreeMap<Position, Pending>,
    positions: BTreeMap<RequestId, Position>,
    left: [f64; LEVELS],
}

impl Backlog {
    /// An empty backlog of an engine that prefills in chunks, or without chunking if `whole`.
    pub(super) fn new(whole: bool) -> Self {
        Self {
            whole,
            ..Self::default()
        }
    }

    /// Adds a prefill that is about to be sent to the engine.
    pub(super) fn push(&mut self, request: RequestId, priority: u8, work: Tokens) {
        self.serial += 1;
        let position = (priority, self.serial);
        let left = work.get() as f64;
        self.left[usize::from(priority)] += left;
        self.positions.insert(request, position);
        self.pending.insert(position, Pending { left });
    }

    /// Removes a finished or abandoned prefill and returns whether it was pending.
    pub(super) fn remove(&mut self, request: &RequestId) -> bool {
        let Some(position) = self.positions.remove(request) else {
            return false;
        };
        let index = usize::from(position.0);
        if let Some(pending) = self.pending.remove(&position) {
            self.left[index] = (self.left[index] - pending.left).max(0.0);
        }
        true
    }

    /// Accounts for the work done at `rate` until `now`.
    pub(super) fn advance(&mut self, rate: Rate, now: Time) {
        let mut budget = rate.get() * now.since(self.clock).as_secs_f64();
        self.clock = self.clock.max(now);
        for (position, pending) in &mut self.pending {
            let done = pending.left.min(budget);
            pending.left -= done;
            budget -= done;
            self.left[usize::from(position.0)] -= done;
            if budget <= 0.0 {
                return;
            }
        }
    }

    /// The pending prefill at this and more urgent priorities, or all of it without chunking.
    pub(super) fn ahead(&self, priority: u8) -> Tokens {
        let last = if self.whole {
            LEVELS - 1
        } else {
            usize::from(priority)
        };
        let sum = self.left[..=last].iter().sum::<f64>();
        Tokens::new(sum.max(0.0) as u64)
    }

    /// The time up to which the engine's work is accounted for.
    pub(super) const fn clock(&self) -> Time {
        self.clock
    }

    /// Removes all pending prefills.
    pub(super) fn clear(&mut self) {
        self.pending.clear();
        self.positions.clear();
        self.left = [0.0; LEVELS];
    }
}
