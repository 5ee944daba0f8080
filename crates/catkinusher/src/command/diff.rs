//! `diff`: what a file would change.

use std::io::Write;

use getopts::{Matches, Options};

use catkinusher_core::inventory::{Diff, Inventory};

use super::{Command, options};
use crate::Invocation;
use crate::config::{self, Byline, Config};
use crate::failure::Result;

/// Compares a file with the inventory that stands.
#[derive(Debug)]
pub(crate) struct Difference {
    config: Config,
    file: String,
}

impl Command for Difference {
    const NAME: &'static str = "diff";
    const OPERANDS: &'static str = "FILE";
    const ABOUT: &'static str = "Prints what `apply FILE` would change in the inventory that stands, one line\n\
        for each entry.";

    fn options(options: &mut Options) {
        options::platform(options);
    }

    fn parse(matches: &Matches, invocation: &Invocation) -> Result<Self> {
        let [file] = options::operands(matches, "one file", Self::NAME)?;
        Ok(Self {
            config: options::config(matches, invocation, Self::NAME)?,
            file,
        })
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        let text = options::read_file(&self.file)?;
        let mine = options::read_inventory(&self.file, &text)?;
        let current = self.config.read().await?;
        let standing = match &current {
            Some(current) => config::standing(&current.value)?,
            None => Inventory::default(),
        };
        if let Some(current) = &current {
            writeln!(
                out,
                "against {} {}",
                current.version,
                Byline(&current.value)
            )?;
        }
        writeln!(out, "{}", Diff::between(&standing, &mine))?;
        Ok(())
    }
}
