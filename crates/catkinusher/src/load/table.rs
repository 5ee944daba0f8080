//! The report as a table.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::fmt;

use hdrhistogram::Histogram;

use super::report::{Cell, Counts, Report};

/// The most kinds of ends that are named.
const NAMED: usize = 8;

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:5} {:6} {:>6} {:>6} {:>7} {:>7} {:>5} {:>6} {:>6}  {:>9} {:>9} {:>9} {:>9}",
            "phase",
            "class",
            "sent",
            "whole",
            "not-run",
            "may-run",
            "ran",
            "unsent",
            "untold",
            "TTFT p50",
            "p95",
            "p99",
            "max"
        )?;
        for ((phase, class), cell) in self.cells() {
            write!(f, "{phase:5} {class:6} ")?;
            row(f, cell)?;
        }
        let gaps = self.gaps();
        if !gaps.is_empty() {
            writeln!(
                f,
                "between tokens, mixed: p50 {}, p95 {}, p99 {}",
                quantile(&gaps, 0.5),
                quantile(&gaps, 0.95),
                quantile(&gaps, 0.99)
            )?;
        }
        match (self.slowdown(0.5), self.slowdown(0.95)) {
            (Some(middle), Some(high)) => writeln!(
                f,
                "slowdown of short requests, mixed over alone: p50 {middle:.2}, p95 {high:.2}"
            )?,
            _ => writeln!(f, "slowdown of short requests: not measured")?,
        }
        let problems = self.calls().iter().filter_map(|call| call.problem.clone());
        for (problem, count) in counted(problems) {
            writeln!(f, "refused or failed: {count} x {problem}")?;
        }
        let untold = self.untold().map(|call| format!("{:?}", call.ending));
        for (ending, count) in counted(untold) {
            writeln!(f, "untold: {count} x {ending}")?;
        }
        Ok(())
    }
}

fn row(f: &mut fmt::Formatter<'_>, cell: &Cell) -> fmt::Result {
    let Counts {
        whole,
        unrun,
        unclear,
        ran,
        unsent,
        untold,
    } = cell.counts;
    let sent = cell.counts.total() - unsent;
    write!(
        f,
        "{sent:>6} {whole:>6} {unrun:>7} {unclear:>7} {ran:>5} {unsent:>6} {untold:>6} "
    )?;
    for part in [0.5, 0.95, 0.99, 1.0] {
        write!(f, " {:>9}", quantile(&cell.first, part))?;
    }
    writeln!(f)
}

fn quantile(histogram: &Histogram<u64>, part: f64) -> String {
    if histogram.is_empty() {
        return "-".to_owned();
    }
    let millis = histogram.value_at_quantile(part) as f64 / 1000.0;
    format!("{millis:.1}ms")
}

/// The kinds of texts with their counts, the most first.
fn counted<I>(texts: I) -> Vec<(String, u64)>
where
    I: Iterator<Item = String>,
{
    let mut kinds = BTreeMap::<String, u64>::new();
    for text in texts {
        *kinds.entry(text).or_default() += 1;
    }
    let mut kinds = kinds.into_iter().collect::<Vec<_>>();
    kinds.sort_by_key(|(_, count)| Reverse(*count));
    kinds.truncate(NAMED);
    kinds
}
