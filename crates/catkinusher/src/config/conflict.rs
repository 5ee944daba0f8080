//! A conflict, told with the other's change.

use std::fmt;

use catkinusher_core::inventory::{self, Change, Diff, Inventory};
use catkinusher_core::object::Version;

use super::Current;

/// What stands in the way of a change.
#[derive(Debug)]
pub(crate) struct Conflict {
    /// The version that the change was made over, if it named one.
    pub(crate) base: Option<Version>,
    /// What stands there, or nothing if the inventory is gone.
    pub(crate) standing: Option<Current>,
    /// What the change would have made of what stands there.
    pub(crate) undone: Option<Diff>,
}

impl Conflict {
    /// The conflict of an inventory that was made over `base` with what stands there.
    pub(crate) fn new(base: Option<Version>, standing: Option<Current>, mine: &Inventory) -> Self {
        let undone = standing
            .as_ref()
            .and_then(|current| inventory::read(&current.value.toml).ok())
            .map(|theirs| Diff::between(&theirs, mine));
        Self {
            base,
            standing,
            undone,
        }
    }
}

impl fmt::Display for Conflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Some(standing) = &self.standing else {
            return f.write_str("conflict: the inventory is gone; nothing was changed");
        };
        match self.base {
            Some(base) => write!(f, "conflict: your change was made over {base}, ")?,
            None => write!(f, "conflict: your file names no base, ")?,
        }
        writeln!(
            f,
            "but {} stands there; nothing was changed",
            standing.version
        )?;
        write!(f, "  {}", Byline(&standing.value))?;
        if let Some(undone) = &self.undone {
            write!(f, "\n  your file against it:")?;
            for line in undone.to_string().lines() {
                write!(f, "\n    {line}")?;
            }
        }
        write!(
            f,
            "\nTake it in with `catkinusher get`, or write over it with `--expect {}`.",
            standing.version
        )
    }
}

/// Who made a change and why, on one line.
pub(crate) struct Byline<'a>(pub(crate) &'a Change);

impl fmt::Display for Byline<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Change {
            change,
            author,
            note,
            ..
        } = self.0;
        write!(f, "change {change} by {author}")?;
        if note.is_empty() {
            Ok(())
        } else {
            write!(f, ": {note}")
        }
    }
}
