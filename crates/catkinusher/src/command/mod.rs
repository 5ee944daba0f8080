//! What the client can be asked to do, each a type with its own options.

mod apply;
mod demo;
mod diff;
mod drain;
mod explain;
mod get;
mod load;
mod options;
mod status;
mod summary;
mod traffic;
mod validate;
mod where_to;

use std::io::Write;

use getopts::{Matches, Options};

use crate::Invocation;
use crate::failure::{Failure, Result};

pub(crate) use apply::Apply;
pub(crate) use demo::Demo;
pub(crate) use diff::Difference;
pub(crate) use drain::{Drain, Undrain};
pub(crate) use explain::Explain;
pub(crate) use get::Get;
pub(crate) use load::Load;
pub(crate) use status::Status;
pub(crate) use validate::Validate;
pub(crate) use where_to::Where;

use summary::Summary;

/// Something that the client can be asked to do.
pub(crate) trait Command: Sized {
    /// The word on the command line.
    const NAME: &'static str;
    /// What follows the word.
    const OPERANDS: &'static str;
    /// What it does, in whole sentences.
    const ABOUT: &'static str;

    /// Declares its options.
    fn options(options: &mut Options);

    /// Reads its options and operands.
    fn parse(matches: &Matches, invocation: &Invocation) -> Result<Self>;

    /// Does it.
    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write;
}

/// Reads the arguments of a command and does it.
pub(crate) async fn execute<C, W>(
    invocation: &Invocation,
    args: &[String],
    out: &mut W,
) -> Result<()>
where
    C: Command,
    W: Write,
{
    let mut options = Options::new();
    C::options(&mut options);
    options.optflag("h", "help", "print this text");
    let matches = options
        .parse(args)
        .map_err(|fault| Failure::Usage(fault.to_string(), C::NAME))?;
    if matches.opt_present("help") {
        let brief = format!(
            "Usage: catkinusher {} {}\n\n{}",
            C::NAME,
            C::OPERANDS,
            C::ABOUT
        );
        write!(out, "{}", options.usage(&brief))?;
        return Ok(());
    }
    C::parse(&matches, invocation)?.run(out).await
}
