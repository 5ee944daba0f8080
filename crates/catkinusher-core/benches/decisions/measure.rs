//! What a run showed, and the lines that judge it.

use std::collections::BTreeMap;
use std::time::Duration;

use catkinusher_core::class::{CLASS_COUNT, LengthClass};
use catkinusher_core::owner::Reason;
use catkinusher_core::time::Time;
use hdrhistogram::Histogram;

use crate::case::{Case, Request};

/// Arrivals before this are served but not measured.
const WARM_UP: Time = Time::from_millis(5_000);

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum End {
    /// Whole.
    Done,
    /// Refused as not run.
    Refused,
    /// Failed by the timer at its deadline.
    Late,
    /// Failed with its upstream.
    Failed,
}

/// One request's outcome.
#[derive(Debug, Clone, Copy)]
pub struct Seen {
    pub class: LengthClass,
    pub customer: usize,
    pub tokens: u64,
    pub first: Option<Duration>,
    pub end: Option<End>,
    pub measured: bool,
    /// Whether it was beyond its customer's share.
    pub excess: bool,
}

/// What a run showed.
#[derive(Debug)]
pub struct Stats {
    pub seen: Vec<Seen>,
    pub gaps: Histogram<u64>,
    pub seconds: f64,
    pub overrun: u64,
    pub unended: u64,
    pub memory: u64,
    pub overload: u64,
    /// The same without the first on each engine, which is the first sign of a silent one.
    pub known_overload: u64,
    pub collapses: u64,
    pub rejected: u64,
    pub cached: u64,
    pub prompts: u64,
    /// Seconds until the last engine that turned cold was warm again.
    pub warm_after: f64,
    /// Engines that were not warm again at the end.
    pub still_cold: u64,
    pub choices: u64,
    pub examined: u64,
    pub refusals: BTreeMap<String, u64>,
}

impl Stats {
    pub fn new(case: &Case, requests: &[Request]) -> Self {
        let seen = requests.iter().map(|request| Seen {
            class: request.class(),
            customer: request.customer,
            tokens: request.prompt.get() + request.output.get(),
            first: None,
            end: None,
            measured: request.at >= WARM_UP,
            excess: false,
        });
        Self {
            seen: seen.collect(),
            gaps: Histogram::new(3).expect("three digits"),
            seconds: case.length as f64 - WARM_UP.as_micros() as f64 / 1e6,
            overrun: 0,
            unended: 0,
            memory: 0,
            overload: 0,
            known_overload: 0,
            collapses: 0,
            rejected: 0,
            cached: 0,
            prompts: 0,
            warm_after: 0.0,
            still_cold: 0,
            choices: 0,
            examined: 0,
            refusals: BTreeMap::new(),
        }
    }

    pub fn note_choice(&mut self, examined: u32) {
        self.choices += 1;
        self.examined += u64::from(examined);
    }

    pub fn note_refusal(&mut self, reason: Reason) {
        *self.refusals.entry(format!("{reason:?}")).or_default() += 1;
    }

    pub fn note_first(&mut self, index: usize, ttft: Duration) {
        self.seen[index].first = Some(ttft);
    }

    pub fn note_gaps(&mut self, index: usize, every: Duration, count: u64) {
        if self.seen[index].measured && count > 0 {
            let micros = every.as_micros() as u64;
            self.gaps.record_n(micros, count).expect("in range");
        }
    }

    pub fn note_end(&mut self, index: usize, request: &Request, end: End, now: Time) {
        self.seen[index].end = Some(end);
        self.overrun += u64::from(now > request.deadline);
    }

    /// Seconds to the first token at this percentile of those that `fits` picks.
    ///
    /// A request without a first token counts as one that never gets it.
    pub fn ttft<F>(&self, percent: f64, fits: F) -> f64
    where
        F: Fn(&Seen) -> bool,
    {
        let picked = self.seen.iter().filter(|seen| seen.measured && fits(seen));
        let mut all: Vec<_> = picked
            .map(|seen| {
                seen.first
                    .map_or(f64::INFINITY, |first| first.as_secs_f64())
            })
            .collect();
        all.sort_by(f64::total_cmp);
        let rank = (all.len() as f64 * percent / 100.0).ceil() as usize;
        all.get(rank.saturating_sub(1)).copied().unwrap_or(0.0)
    }

    pub fn class_ttft(&self, percent: f64, class: LengthClass) -> f64 {
        self.ttft(percent, |seen| seen.class == class)
    }

    /// Milliseconds between tokens at this percentile.
    pub fn gap(&self, percent: f64) -> f64 {
        self.gaps.value_at_percentile(percent) as f64 / 1000.0
    }

    /// Requests that ended whole in time, each second.
    pub fn goodput(&self) -> f64 {
        self.done().count() as f64 / self.seconds
    }

    /// Tokens of prompt and answer of requests that ended whole in time, each second.
    pub fn token_goodput(&self) -> f64 {
        self.done().map(|seen| seen.tokens).sum::<u64>() as f64 / self.seconds
    }

    pub fn count(&self, end: End) -> usize {
        let measured = self.seen.iter().filter(|seen| seen.measured);
        measured.filter(|seen| seen.end == Some(end)).count()
    }

    pub fn by_class(&self) -> [usize; CLASS_COUNT] {
        let mut counts = [0; CLASS_COUNT];
        for seen in self.seen.iter().filter(|seen| seen.measured) {
            counts[seen.class.index()] += 1;
        }
        counts
    }

    fn done(&self) -> impl Iterator<Item = &Seen> {
        let measured = self.seen.iter().filter(|seen| seen.measured);
        measured.filter(|seen| seen.end == Some(End::Done))
    }
}

/// The lines printed so far.
#[derive(Debug, Default)]
pub struct Table {
    judged: usize,
    failed: usize,
}

/// How a value is judged.
#[derive(Debug, Clone, Copy)]
pub enum Bound {
    Most(f64),
    Least(f64),
    Below(f64),
    /// Printed to compare.
    None,
}

impl Table {
    /// Prints one line, `name policy value unit bound pass|FAIL`.
    pub fn line(&mut self, name: &str, policy: &str, value: f64, unit: &str, bound: Bound) {
        let (text, good) = match bound {
            Bound::Most(most) => (format!("<={most}"), Some(value <= most)),
            Bound::Least(least) => (format!(">={least}"), Some(value >= least)),
            Bound::Below(limit) => (format!("<{limit}"), Some(value < limit)),
            Bound::None => ("-".to_owned(), None),
        };
        self.judged += usize::from(good.is_some());
        self.failed += usize::from(good == Some(false));
        let verdict = match good {
            Some(true) => "pass",
            Some(false) => "FAIL",
            None => "-",
        };
        println!("{name:<34} {policy:<14} {value:>10.3} {unit:<10} {text:>8} {verdict}");
    }

    /// Prints the count, and answers whether all held.
    pub fn close(&self) -> bool {
        println!(
            "{} bounds, {} passed, {} FAILED",
            self.judged,
            self.judged - self.failed,
            self.failed
        );
        self.failed == 0
    }
}
