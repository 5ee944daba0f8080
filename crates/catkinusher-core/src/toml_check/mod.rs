//! Checks a TOML document against typed keys, all faults in one pass.
//!
//! Reading a document straight into a type stops at its first fault, and an
//! operator then mends one line a try. Here the reader asks a [`Section`] for
//! each key it knows, with the type it wants; the section notes what is
//! missing, wrong or unknown, each with its line, and goes on. The inventory
//! and the daemon's settings are both read so.
//!
//! ```
//! use catkinusher_core::toml_check::Document;
//! use catkinusher_core::units::Span;
//!
//! let document = Document::parse("timeout = \"5 furlongs\"\ncolour = 3");
//! let mut root = document.root();
//! let timeout = root.need::<Span>("timeout");
//! let faults = document.finish(root);
//! assert!(timeout.is_none());
//! assert_eq!(faults.len(), 2);
//! ```

mod expect;
mod fault;
mod section;
mod source;

pub use expect::Expect;
pub use fault::{Fault, Faults, Line};
pub use section::{Entry, Section};

use toml::Spanned;
use toml::de::DeTable;

use source::Source;

/// A TOML document that is parsed as far as it can be.
#[derive(Debug)]
pub struct Document<'a> {
    source: Source<'a>,
    table: Spanned<DeTable<'a>>,
    faults: Vec<Fault>,
}

impl<'a> Document<'a> {
    /// Parses `text` and keeps the faults of its syntax.
    #[must_use]
    pub fn parse(text: &'a str) -> Self {
        let source = Source::new(text);
        let (table, errors) = DeTable::parse_recoverable(text);
        let faults = errors
            .iter()
            .map(|error| Fault::syntax(&source, error))
            .collect();
        Self {
            source,
            table,
            faults,
        }
    }

    /// The document's outermost table.
    #[must_use]
    pub fn root(&self) -> Section<'_> {
        Section::root(&self.source, self.table.get_ref())
    }

    /// The faults of the syntax and those that `root` noted, in the order of lines.
    ///
    /// A document with a fault of syntax is judged by that alone: what follows
    /// from a line that was not understood is no fault of its own.
    #[must_use]
    pub fn finish(&self, root: Section<'_>) -> Faults {
        if self.faults.is_empty() {
            Faults::new(root.finish())
        } else {
            Faults::new(self.faults.clone())
        }
    }

    /// The one fault of a document whose type refuses what its sections let pass.
    #[must_use]
    pub fn refuse(&self, error: &toml::de::Error) -> Faults {
        Faults::new(vec![Fault::syntax(&self.source, error)])
    }
}
