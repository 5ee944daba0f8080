//! `load`: traffic with a mix of prompt lengths, measured.

use std::io::Write;
use std::str::FromStr;

use getopts::{Matches, Options};

use super::traffic::{self, tell};
use super::{Command, options};
use crate::Invocation;
use crate::failure::{Failure, Result};
use crate::load::{self, Plan};

/// Sends traffic and prints what callers felt.
#[derive(Debug)]
pub(crate) struct Load {
    plan: Plan,
}

impl Command for Load {
    const NAME: &'static str = "load";
    const OPERANDS: &'static str = "";
    const ABOUT: &'static str = "Sends completions at a given rate, first short prompts alone, then the same short\n\
        prompts among longer ones, and prints the time to first token by length class and\n\
        the slowdown of the short ones. Each answer is checked token by token, as the\n\
        engines' stand-ins make them. Exits with 1 if a request ended without the whole\n\
        answer or a problem that says what became of it.";

    fn options(options: &mut Options) {
        options.optmulti(
            "e",
            "entry",
            "an entry's address; may be given several times",
            "IP:PORT",
        );
        options.optmulti(
            "c",
            "caller",
            "a customer with its key and its share of the traffic; may be given several times",
            "NAME=KEY[=WEIGHT]",
        );
        options.optopt("m", "model", "the model that is asked for", "MODEL");
        traffic::options(options, &Plan::default());
    }

    fn parse(matches: &Matches, _invocation: &Invocation) -> Result<Self> {
        let [] = options::operands(matches, "no operand", Self::NAME)?;
        let mut plan = Plan {
            entries: many(matches, "entry")?,
            callers: many(matches, "caller")?,
            ..Plan::default()
        };
        traffic::set(matches, "model", &mut plan.model, Self::NAME)?;
        traffic::read(matches, &mut plan, Self::NAME)?;
        Ok(Self { plan })
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        let mut lost = None;
        let report = load::run(&self.plan, |progress| {
            lost = tell(out, progress).err().or(lost.take());
        })
        .await?;
        if let Some(fault) = lost {
            return Err(fault.into());
        }
        write!(out, "{report}")?;
        match report.counts().untold {
            0 => Ok(()),
            many => Err(Failure::Untold(many)),
        }
    }
}

fn many<T>(matches: &Matches, name: &str) -> Result<Vec<T>>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let texts = matches.opt_strs(name);
    let values = texts
        .iter()
        .map(|text| options::value(text, name, Load::NAME));
    values.collect()
}
