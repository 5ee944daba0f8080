//! What a run measured.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;

use catkinusher_core::class::LengthClass;
use catkinusher_core::outcome::Outcome;

use super::call::{Call, Ending};
use super::draw::Phase;

/// The significant digits of every quantile.
const DIGITS: u8 = 3;

/// The longest time that is told from longer ones, an hour, in microseconds.
const LONGEST: u64 = 3_600_000_000;

/// How requests ended, counted.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// With the whole answer.
    pub whole: u64,
    /// Refused and not run.
    pub unrun: u64,
    /// Refused or failed after they may have run.
    pub unclear: u64,
    /// Refused or failed after they ran.
    pub ran: u64,
    /// Not sent, as too many were open.
    pub unsent: u64,
    /// Without a true end: no connection, cut, silent, wrong or odd.
    pub untold: u64,
}

impl Counts {
    /// All of them.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.whole + self.unrun + self.unclear + self.ran + self.unsent + self.untold
    }

    fn take(&mut self, ending: &Ending) {
        let count = match ending {
            Ending::Whole => &mut self.whole,
            Ending::Refused(outcome) | Ending::Failed(outcome) => match outcome {
                Outcome::NotRun => &mut self.unrun,
                Outcome::MayHaveRun => &mut self.unclear,
                Outcome::Ran => &mut self.ran,
            },
            Ending::Unsent => &mut self.unsent,
            Ending::Unreachable
            | Ending::Cut
            | Ending::Silent
            | Ending::Wrong(_)
            | Ending::Odd(_) => &mut self.untold,
        };
        *count += 1;
    }
}

/// What was measured of one class in one phase, in microseconds.
#[derive(Debug, Clone)]
pub struct Cell {
    /// How its requests ended.
    pub counts: Counts,
    /// From arrival to first token.
    pub first: Histogram<u64>,
    /// Between tokens.
    pub gaps: Histogram<u64>,
}

impl Default for Cell {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST, DIGITS);
        let histogram = histogram.expect("the bounds and digits are within its own");
        Self {
            counts: Counts::default(),
            first: histogram.clone(),
            gaps: histogram,
        }
    }
}

/// What a run measured.
#[derive(Debug, Clone, Default)]
pub struct Report {
    cells: BTreeMap<(Phase, LengthClass), Cell>,
    calls: Vec<Call>,
}

impl Report {
    pub(super) fn take(&mut self, mut call: Call) {
        let measured = self.cells.entry((call.phase, call.class)).or_default();
        measured.counts.take(&call.ending);
        if let Some(first) = call.first {
            measured.first.saturating_record(micros(first));
        }
        for gap in call.gaps.drain(..) {
            measured.gaps.saturating_record(micros(gap));
        }
        self.calls.push(call);
    }

    pub(super) const fn ended(&self) -> u64 {
        self.calls.len() as u64
    }

    /// What was measured of each class in each phase.
    #[must_use]
    pub const fn cells(&self) -> &BTreeMap<(Phase, LengthClass), Cell> {
        &self.cells
    }

    /// Each request that was seen, without its gaps between tokens.
    #[must_use]
    pub fn calls(&self) -> &[Call] {
        &self.calls
    }

    /// How all requests ended.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let mut counts = Counts::default();
        for call in &self.calls {
            counts.take(&call.ending);
        }
        counts
    }

    /// The requests whose callers were not told what became of them.
    pub fn untold(&self) -> impl Iterator<Item = &Call> {
        self.calls.iter().filter(|call| !call.ending.is_told())
    }

    /// A quantile of the time to first token.
    #[must_use]
    pub fn first(&self, phase: Phase, class: LengthClass, quantile: f64) -> Option<Duration> {
        let cell = self.cells.get(&(phase, class))?;
        (!cell.first.is_empty())
            .then(|| Duration::from_micros(cell.first.value_at_quantile(quantile)))
    }

    /// The time to first token of short prompts among long ones over that of short prompts alone.
    #[must_use]
    pub fn slowdown(&self, quantile: f64) -> Option<f64> {
        let alone = self.first(Phase::Alone, LengthClass::Short, quantile)?;
        let mixed = self.first(Phase::Mixed, LengthClass::Short, quantile)?;
        (!alone.is_zero()).then(|| mixed.as_secs_f64() / alone.as_secs_f64())
    }

    /// The times between tokens in the phase of all classes.
    #[must_use]
    pub fn gaps(&self) -> Histogram<u64> {
        let mut all = Cell::default().gaps;
        let mixed = self
            .cells
            .iter()
            .filter(|((phase, _), _)| *phase == Phase::Mixed);
        for (_, cell) in mixed {
            all += &cell.gaps;
        }
        all
    }
}

fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}
