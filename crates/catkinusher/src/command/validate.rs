//! `validate`: tells all faults of an inventory file.

use std::io::Write;

use getopts::{Matches, Options};

use super::{Command, Summary, options};
use crate::Invocation;
use crate::failure::Result;

/// Checks a file without asking anybody.
#[derive(Debug)]
pub(crate) struct Validate {
    file: String,
}

impl Command for Validate {
    const NAME: &'static str = "validate";
    const OPERANDS: &'static str = "FILE";
    const ABOUT: &'static str = "Checks the inventory in FILE and prints every fault with its line, its key,\n\
        what was found and what was expected. Exits with 2 if there is a fault.";

    fn options(_options: &mut Options) {}

    fn parse(matches: &Matches, _invocation: &Invocation) -> Result<Self> {
        let [file] = options::operands(matches, "one file", Self::NAME)?;
        Ok(Self { file })
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        let text = options::read_file(&self.file)?;
        let inventory = options::read_inventory(&self.file, &text)?;
        writeln!(out, "{}: sound: {}", self.file, Summary(&inventory))?;
        Ok(())
    }
}
