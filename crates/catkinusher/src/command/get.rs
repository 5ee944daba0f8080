//! `get`: prints the inventory as it stands.

use std::io::Write;

use getopts::{Matches, Options};

use catkinusher_core::inventory::Base;

use super::{Command, options};
use crate::Invocation;
use crate::config::{Byline, Config};
use crate::failure::Result;

/// Prints the inventory, or who changed it last.
#[derive(Debug)]
pub(crate) struct Get {
    config: Config,
    about: bool,
}

impl Command for Get {
    const NAME: &'static str = "get";
    const OPERANDS: &'static str = "";
    const ABOUT: &'static str = "Prints the inventory that stands in the object API. Its first line names the\n\
        version, so that `apply` of an edited copy can tell when another change came\n\
        between.";

    fn options(options: &mut Options) {
        options::platform(options);
        options.optflag("", "about", "print the version and who made it instead");
    }

    fn parse(matches: &Matches, invocation: &Invocation) -> Result<Self> {
        let [] = options::operands(matches, "no operand", Self::NAME)?;
        Ok(Self {
            config: options::config(matches, invocation, Self::NAME)?,
            about: matches.opt_present("about"),
        })
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        let current = self.config.need().await?;
        if self.about {
            writeln!(out, "{} {}", current.version, Byline(&current.value))?;
            return Ok(());
        }
        let base = Base {
            version: current.version,
            change: current.value.change,
        };
        writeln!(out, "{base}")?;
        out.write_all(current.value.toml.as_bytes())?;
        Ok(())
    }
}
