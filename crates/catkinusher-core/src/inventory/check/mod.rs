//! Reads an inventory and tells all its faults in one pass.
//!
//! Both the operators' client and every node read a change through here, so
//! that what one accepts the other does too.

mod cross;
mod draft;

use crate::toml_check::{Document, Faults};

use super::Inventory;
use draft::Draft;

/// Reads the inventory that stands in `text`.
///
/// # Errors
///
/// Every fault of the document, each with its line, key, what was found and
/// what was expected.
pub fn read(text: &str) -> Result<Inventory, Faults> {
    let document = Document::parse(text);
    let mut root = document.root();
    let draft = Draft::read(&mut root);
    for fault in cross::faults(&draft) {
        root.note(fault);
    }
    let faults = document.finish(root);
    if !faults.is_empty() {
        return Err(faults);
    }
    toml::from_str(text).map_err(|error| document.refuse(&error))
}
