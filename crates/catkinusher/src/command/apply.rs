//! `apply`: puts an inventory in force.

use std::io::Write;
use std::str::FromStr;

use getopts::{Matches, Options};

use catkinusher_core::inventory::{Base, Change, Diff, Inventory};
use catkinusher_core::object::Version;

use super::{Command, Summary, options};
use crate::Invocation;
use crate::config::{Byline, Config, Conflict, Current, Written, fresh_id, standing};
use crate::failure::{Failure, Result};

/// What must stand there for a change to be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Expected {
    /// Whatever stands there.
    Latest,
    /// This version.
    Exactly(Version),
}

impl FromStr for Expected {
    type Err = <Version as FromStr>::Err;

    fn from_str(text: &str) -> std::result::Result<Self, Self::Err> {
        match text {
            "latest" => Ok(Self::Latest),
            number => number.parse().map(Self::Exactly),
        }
    }
}

/// Puts the inventory of a file in force.
#[derive(Debug)]
pub(crate) struct Apply {
    config: Config,
    file: String,
    expect: Option<Expected>,
    author: String,
    note: String,
}

impl Command for Apply {
    const NAME: &'static str = "apply";
    const OPERANDS: &'static str = "FILE";
    const ABOUT: &'static str = "Puts the inventory in FILE in force, if it has no fault and if the version it was\n\
        made over still stands. That version is the one that `get` wrote in the first\n\
        line, or the one of --expect. Otherwise the other's change is printed and the\n\
        exit code is 3. A lost answer is settled by reading back.";

    fn options(options: &mut Options) {
        options::platform(options);
        options::author(options);
        options.optopt(
            "e",
            "expect",
            "the version that must stand, or `latest` for whatever stands",
            "VERSION",
        );
    }

    fn parse(matches: &Matches, invocation: &Invocation) -> Result<Self> {
        let [file] = options::operands(matches, "one file", Self::NAME)?;
        Ok(Self {
            config: options::config(matches, invocation, Self::NAME)?,
            file,
            expect: options::find(matches, "expect", Self::NAME)?,
            author: options::author_of(matches, invocation),
            note: options::note_of(matches),
        })
    }

    async fn run<W>(self, out: &mut W) -> Result<()>
    where
        W: Write,
    {
        let text = options::read_file(&self.file)?;
        let mine = options::read_inventory(&self.file, &text)?;
        let (base, toml) = Base::split(&text);
        let expect = self.expect.or_else(|| {
            let version = base.as_ref().map(|base| base.version);
            version.map(Expected::Exactly)
        });
        let current = self.config.read().await?;
        if current
            .as_ref()
            .is_some_and(|current| current.value.toml == toml)
        {
            writeln!(out, "no difference; nothing written")?;
            return Ok(());
        }
        let current = expected(expect, current, &mine)?;
        let diff = changes(current.as_ref(), &mine);
        let change = Change {
            change: fresh_id(),
            author: self.author,
            note: self.note,
            toml: toml.to_owned(),
            before: current
                .as_ref()
                .map(|base| base.value.history())
                .unwrap_or_default(),
        };
        let written = self.config.write(current.as_ref(), &change).await?;
        report(out, current.as_ref(), &change, &mine, written)?;
        match (&current, diff) {
            (None, _) => writeln!(out, "the first inventory: {}", Summary(&mine))?,
            (Some(_), Some(diff)) => writeln!(out, "{diff}")?,
            (Some(_), None) => writeln!(out, "what stood there before had faults")?,
        }
        Ok(())
    }
}

/// Holds what stands there against what the operator expects.
fn expected(
    expect: Option<Expected>,
    current: Option<Current>,
    mine: &Inventory,
) -> Result<Option<Current>> {
    let standing = current.as_ref().map(|current| current.version);
    let base = match expect {
        Some(Expected::Latest) => return Ok(current),
        Some(Expected::Exactly(version)) => Some(version),
        None => None,
    };
    if base == standing || (base == Some(Version::NONE) && standing.is_none()) {
        return Ok(current);
    }
    let conflict = Conflict::new(base, current, mine);
    Err(Failure::Conflict(Box::new(conflict)))
}

/// What the change makes of what stands there, which may hold faults of its own.
fn changes(current: Option<&Current>, mine: &Inventory) -> Option<Diff> {
    let old = match current {
        Some(current) => standing(&current.value).ok()?,
        None => Inventory::default(),
    };
    Some(Diff::between(&old, mine))
}

/// Prints what became of a write, or fails with the conflict.
fn report<W>(
    out: &mut W,
    base: Option<&Current>,
    change: &Change,
    mine: &Inventory,
    written: Written,
) -> Result<()>
where
    W: Write,
{
    let id = &change.change;
    match written {
        Written::Standing {
            version,
            settled: false,
        } => writeln!(out, "{version} stands: change {id}")?,
        Written::Standing {
            version,
            settled: true,
        } => writeln!(
            out,
            "{version} stands: change {id} (an answer was lost; found by reading back)"
        )?,
        Written::Replaced(current) => writeln!(
            out,
            "change {id} took effect, and has been replaced since: {} {}",
            current.version,
            Byline(&current.value)
        )?,
        Written::Refused(standing) => {
            let base = base.map(|base| base.version);
            let conflict = Conflict::new(base, standing, mine);
            return Err(Failure::Conflict(Box::new(conflict)));
        }
    }
    Ok(())
}
