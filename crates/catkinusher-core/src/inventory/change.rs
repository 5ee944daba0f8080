//! An accepted change of the inventory, as it stands in the object API.

use std::fmt;
use std::iter;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::id::ChangeId;
use crate::object::Version;

/// The kind of the object that holds the inventory.
pub const KIND: &str = "config";

/// The name of the object that holds the inventory.
pub const NAME: &str = "inventory";

/// How the line begins that names a copy's base; a comment to TOML.
const BASE_MARK: &str = "# catkinusher base";

/// The inventory with who changed it, the value of one object.
///
/// The change's id lets an operator whose answer was lost tell by reading
/// back whether the change took effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The id of this change, chosen by its author's client and never used twice.
    pub change: ChangeId,
    /// Who made it.
    pub author: String,
    /// Why, in the author's words; may be empty.
    #[serde(default)]
    pub note: String,
    /// The whole document after it.
    pub toml: String,
    /// The changes before it, the last one first, at most [`HISTORY_LIMIT`] of them.
    ///
    /// They tell whether a change took effect that another has replaced since.
    #[serde(default)]
    pub before: Vec<ChangeId>,
}

/// The most earlier changes that a change names.
pub const HISTORY_LIMIT: usize = 16;

impl Change {
    /// The changes that come before one made over this one.
    #[must_use]
    pub fn history(&self) -> Vec<ChangeId> {
        let ids = iter::once(&self.change).chain(&self.before);
        ids.take(HISTORY_LIMIT).cloned().collect()
    }

    /// Whether this change was made after `other`, or nothing if that is too long ago to tell.
    #[must_use]
    pub fn follows(&self, other: &ChangeId) -> Option<bool> {
        if self.before.contains(other) {
            return Some(true);
        }
        (self.before.len() < HISTORY_LIMIT).then_some(false)
    }
}

/// Where an operator's copy of the inventory was taken, the first line of the copy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Base {
    /// The version that stood then.
    pub version: Version,
    /// The change that had made it.
    pub change: ChangeId,
}

impl Base {
    /// Splits the line of the base off the text of a copy.
    #[must_use]
    pub fn split(text: &str) -> (Option<Self>, &str) {
        let (line, rest) = text.split_once('\n').unwrap_or((text, ""));
        match line.parse() {
            Ok(base) => (Some(base), rest),
            Err(_other) => (None, text),
        }
    }
}

impl fmt::Display for Base {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{BASE_MARK} {} {}", self.version, self.change)
    }
}

impl FromStr for Base {
    type Err = ParseBaseError;

    fn from_str(line: &str) -> Result<Self, Self::Err> {
        let rest = line.strip_prefix(BASE_MARK).ok_or(ParseBaseError)?;
        let (version, change) = rest.trim().split_once(' ').ok_or(ParseBaseError)?;
        Ok(Self {
            version: version.parse().map_err(|_number| ParseBaseError)?,
            change: change.parse().map_err(|_name| ParseBaseError)?,
        })
    }
}

/// Why a line names no base.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the line is not `{BASE_MARK} VERSION CHANGE`")]
pub struct ParseBaseError;
