//! Options of traffic, which `load` and `demo` share.

use std::fmt::Display;
use std::io::{self, Write};
use std::str::FromStr;

use getopts::{Matches, Options};

use crate::failure::Result;
use crate::load::{Plan, Progress};

use super::options::find;

/// Declares how much traffic of which lengths is sent; `plan` is what is sent otherwise.
pub(super) fn options(options: &mut Options, plan: &Plan) {
    let shares = "shares of the length classes (short=88,medium=7,long=3,huge=2)";
    options.optopt("", "mix", shares, "SHARES");
    let mut option = |name: &str, about: &str, otherwise: String, hint: &str| {
        options.optopt("", name, &format!("{about} ({otherwise})"), hint);
    };
    option(
        "longest",
        "the longest prompt",
        plan.longest.to_string(),
        "TOKENS",
    );
    option("rate", "arrivals a second", plan.rate.to_string(), "RATE");
    option(
        "alone",
        "how long short prompts arrive alone",
        plan.alone.to_string(),
        "SPAN",
    );
    option(
        "mixed",
        "how long all classes arrive",
        plan.mixed.to_string(),
        "SPAN",
    );
    option(
        "answer",
        "the length of each answer",
        plan.answer.to_string(),
        "TOKENS",
    );
    option(
        "timeout",
        "the time that each request is given",
        plan.timeout.to_string(),
        "SPAN",
    );
    option(
        "most",
        "the most requests that are sent",
        plan.most.to_string(),
        "COUNT",
    );
    option(
        "open",
        "the most requests that are open at a time",
        plan.open.to_string(),
        "COUNT",
    );
    option(
        "seed",
        "what the arrivals are drawn from",
        plan.seed.to_string(),
        "NUMBER",
    );
}

/// Reads how much traffic of which lengths is sent.
pub(super) fn read(matches: &Matches, plan: &mut Plan, command: &'static str) -> Result<()> {
    set(matches, "mix", &mut plan.mix, command)?;
    set(matches, "longest", &mut plan.longest, command)?;
    set(matches, "rate", &mut plan.rate, command)?;
    set(matches, "alone", &mut plan.alone, command)?;
    set(matches, "mixed", &mut plan.mixed, command)?;
    set(matches, "answer", &mut plan.answer, command)?;
    set(matches, "timeout", &mut plan.timeout, command)?;
    set(matches, "most", &mut plan.most, command)?;
    set(matches, "open", &mut plan.open, command)?;
    set(matches, "seed", &mut plan.seed, command)
}

/// Sets a field to the value of an option, if it is there.
pub(super) fn set<T>(
    matches: &Matches,
    name: &str,
    field: &mut T,
    command: &'static str,
) -> Result<()>
where
    T: FromStr,
    T::Err: Display,
{
    if let Some(value) = find(matches, name, command)? {
        *field = value;
    }
    Ok(())
}

/// Prints a line of progress.
pub(super) fn tell<W>(out: &mut W, progress: Progress) -> io::Result<()>
where
    W: Write,
{
    let Progress {
        phase,
        sent,
        ended,
        planned,
    } = progress;
    writeln!(out, "{phase}: {sent} of {planned} sent, {ended} ended")?;
    out.flush()
}
