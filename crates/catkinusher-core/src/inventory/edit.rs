//! Takes a data centre, a VM or an upstream out, or back in, within the document's text.
//!
//! The rest of the text stays as its author wrote it, comments included.

use std::fmt;

use thiserror::Error;
use toml_edit::{DocumentMut, Item, TableLike, Value, value};

use crate::id::{DataCentreId, UpstreamId, VmId};

/// The key that takes an entry out.
const KEY: &str = "drained";

/// What operators take out of service and back in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Target {
    /// All upstreams of a data centre.
    DataCentre(DataCentreId),
    /// All upstreams of a VM.
    Vm(VmId),
    /// One upstream.
    Upstream(UpstreamId),
}

impl Target {
    fn table(&self) -> &'static str {
        match self {
            Self::DataCentre(_) => "data_centre",
            Self::Vm(_) => "vm",
            Self::Upstream(_) => "upstream",
        }
    }

    /// The bare name.
    #[must_use]
    pub fn name(&self) -> &str {
        match self {
            Self::DataCentre(name) => name.as_str(),
            Self::Vm(name) => name.as_str(),
            Self::Upstream(name) => name.as_str(),
        }
    }
}

impl fmt::Display for Target {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let table = self.table().replace('_', "-");
        write!(f, "{table} {}", self.name())
    }
}

/// Why a text could not be edited.
#[derive(Debug, Error)]
pub enum EditError {
    /// The text is no TOML.
    #[error("{0}")]
    Syntax(#[from] toml_edit::TomlError),
    /// The text does not name the target.
    #[error("there is no {0} in the inventory")]
    Unknown(Target),
}

/// What an edit made of a text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Edited {
    /// The new text.
    Text(String),
    /// The text says so already.
    Unchanged,
}

/// Marks `target` as drained or not within `text`.
///
/// # Errors
///
/// If the text is no TOML or does not name the target.
pub fn set_drained(text: &str, target: &Target, drained: bool) -> Result<Edited, EditError> {
    let mut document = text.parse::<DocumentMut>()?;
    let changed = document
        .get_mut(target.table())
        .and_then(|item| mark_named(item, target.name(), drained))
        .ok_or_else(|| EditError::Unknown(target.clone()))?;
    Ok(if changed {
        Edited::Text(document.to_string())
    } else {
        Edited::Unchanged
    })
}

/// Marks the entry of that name, among tables or inline tables, and tells if that changed it.
fn mark_named(item: &mut Item, name: &str, drained: bool) -> Option<bool> {
    match item {
        Item::ArrayOfTables(tables) => tables
            .iter_mut()
            .find(|table| is_named(*table, name))
            .map(|table| mark(table, drained)),
        Item::Value(Value::Array(array)) => array
            .iter_mut()
            .filter_map(Value::as_inline_table_mut)
            .find(|table| is_named(*table, name))
            .map(|table| mark(table, drained)),
        Item::None | Item::Value(_) | Item::Table(_) => None,
    }
}

fn is_named<T>(entry: &T, name: &str) -> bool
where
    T: TableLike,
{
    entry.get("name").and_then(Item::as_str) == Some(name)
}

fn mark<T>(entry: &mut T, drained: bool) -> bool
where
    T: TableLike,
{
    let before = entry.get(KEY).and_then(Item::as_bool);
    if before.unwrap_or(false) == drained {
        return false;
    }
    if let Some(old) = entry.get_mut(KEY).and_then(Item::as_value_mut) {
        let decor = old.decor().clone();
        *old = drained.into();
        *old.decor_mut() = decor;
    } else {
        entry.insert(KEY, value(drained));
    }
    true
}
