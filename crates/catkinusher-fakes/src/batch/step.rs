//! A run of equal steps, so that the cost of a step is paid once for all of them.

use std::time::Duration;

use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;

use super::job::{Job, Rates};

/// A request in the batch.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub(super) job: Job,
    /// Order of arrival, which names the run within the engine.
    pub(super) order: u64,
    pub(super) memory: Tokens,
    pub(super) cached: Tokens,
    /// Prompt tokens still to prefill.
    pub(super) left: u64,
    pub(super) generated: u64,
}

impl Run {
    pub(super) fn to_generate(&self) -> u64 {
        self.job.output.get().max(1) - self.generated
    }
}

/// Prompt tokens of one run in each step of a plan.
#[derive(Debug, Clone, Copy)]
pub(super) struct Piece {
    pub(super) order: u64,
    pub(super) tokens: u64,
}

/// Steps of equal length and content, one after another.
#[derive(Debug, Clone, Default)]
pub(super) struct Plan {
    pub(super) start: Time,
    pub(super) length: Duration,
    pub(super) steps: u64,
    pub(super) done: u64,
    pub(super) pieces: Vec<Piece>,
}

impl Plan {
    pub(super) fn end(&self) -> Time {
        self.after(self.steps)
    }

    pub(super) fn after(&self, steps: u64) -> Time {
        let micros = self.length.as_micros() as u64;
        self.start + Duration::from_micros(micros.saturating_mul(steps))
    }

    /// Steps that are complete at `now`.
    pub(super) fn reached(&self, now: Time) -> u64 {
        let micros = self.length.as_micros() as u64;
        let gone = now.since(self.start).as_micros() as u64;
        (gone / micros).min(self.steps)
    }

    /// Ends the plan with the step that is under way at `now`.
    pub(super) fn cut(&mut self, now: Time) {
        self.steps = self.steps.min(self.reached(now) + 1);
    }

    /// The steps that this batch takes until its content changes.
    ///
    /// The runs stand in order of urgency. Answers whether there is anything to do.
    pub(super) fn refill(&mut self, start: Time, runs: &[Run], rates: &Rates, speed: f64) -> bool {
        self.pieces.clear();
        self.start = start;
        self.done = 0;
        self.steps = self.fill_pieces(runs, rates);
        let decoding = runs.iter().filter(|run| run.left == 0);
        let shortest = decoding.map(Run::to_generate).min();
        if let Some(shortest) = shortest {
            self.steps = self.steps.min(shortest);
        }
        self.length = self.step_length(runs, rates, speed);
        shortest.is_some() || !self.pieces.is_empty()
    }

    /// Fills the prefill part of a step, and answers how often it can repeat.
    fn fill_pieces(&mut self, runs: &[Run], rates: &Rates) -> u64 {
        let mut prefilling = runs.iter().filter(|run| run.left > 0);
        let Some(first) = prefilling.next() else {
            return u64::MAX;
        };
        let chunk = rates.chunk.map_or(first.left, |chunk| chunk.get().max(1));
        self.push_piece(first, chunk);
        if first.left >= chunk {
            return first.left / chunk;
        }
        let mut budget = chunk - first.left;
        for run in prefilling {
            if budget == 0 {
                break;
            }
            budget -= self.push_piece(run, budget);
        }
        1
    }

    fn push_piece(&mut self, run: &Run, budget: u64) -> u64 {
        let tokens = run.left.min(budget);
        self.pieces.push(Piece {
            order: run.order,
            tokens,
        });
        tokens
    }

    fn step_length(&self, runs: &[Run], rates: &Rates, speed: f64) -> Duration {
        let prefill = self.pieces.iter().map(|piece| piece.tokens).sum();
        let decoding = runs.iter().filter(|run| run.left == 0).count();
        let base = rates.decode.time_for(1);
        let streams = rates.stream_cost * decoding.saturating_sub(1) as u32;
        let warm = base
            .saturating_add(rates.prefill.time_for(prefill))
            .saturating_add(streams);
        let micros = (warm.as_micros() as f64 / speed).ceil();
        Duration::from_micros((micros as u64).max(1))
    }
}
