//! The decisions under load, in virtual time.
//!
//! Seeded arrivals, the core's own decisions, and the engine stand-in's cost
//! function behind a time-ordered queue; several nodes differ only in how late
//! their reports are. Prints `name policy value unit bound pass|FAIL`, and
//! exits 1 if a bound fails. See docs/design/decisions.md.

#![allow(missing_docs, reason = "a bench has no public items")]

mod capacity;
mod case;
mod choices;
mod engines;
mod even;
mod flow;
mod groups;
mod measure;
mod plan;
mod report;
mod warm;
mod world;

use std::process::ExitCode;

use getopts::Options;

use crate::case::Case;
use crate::measure::Table;

fn main() -> ExitCode {
    let mut options = Options::new();
    options.optopt("", "seed", "seed of arrivals and draws", "N");
    options.optopt(
        "",
        "case",
        "only the deployment of this name, or `even`",
        "NAME",
    );
    options.optflag("", "bench", "given by cargo");
    let found = match options.parse(std::env::args().skip(1)) {
        Ok(found) => found,
        Err(fault) => {
            eprintln!("{fault}");
            return ExitCode::from(2);
        }
    };
    let Ok(seed) = found.opt_get_default("seed", 1) else {
        eprintln!("--seed takes a number");
        return ExitCode::from(2);
    };
    let only = found.opt_str("case");
    let mut table = Table::default();
    choices::measure(&mut table, seed);
    if only.as_ref().is_none_or(|name| name == "even") {
        even::measure(&mut table, seed);
    }
    for case in [Case::taalhulp(), Case::rota(), Case::letter()] {
        if only.as_ref().is_none_or(|name| name == case.name) {
            report::measure(&mut table, &case, seed);
        }
    }
    if table.close() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
