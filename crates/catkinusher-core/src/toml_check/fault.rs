//! A fault of a document and where it stands.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::source::Source;

/// A line of a document, counted from 1.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Line(usize);

impl Line {
    /// The first line.
    pub const FIRST: Self = Self(1);

    /// The line of this number.
    #[must_use]
    pub const fn new(number: usize) -> Self {
        Self(number)
    }

    /// The bare number.
    #[must_use]
    pub const fn get(self) -> usize {
        self.0
    }
}

impl fmt::Display for Line {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.0)
    }
}

impl FromStr for Line {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Fault {
    /// The line it stands in.
    pub line: Line,
    /// The key it is about, empty for a fault of syntax.
    pub key: String,
    /// What stands there.
    pub found: String,
    /// What would have been right.
    pub expected: String,
}

impl Fault {
    pub(super) fn syntax(source: &Source<'_>, error: &toml::de::Error) -> Self {
        let span = error.span().unwrap_or(0..0);
        Self {
            line: source.line(span.start),
            key: String::new(),
            found: source.excerpt(span),
            expected: format!("TOML: {}", error.message()),
        }
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: ", self.line)?;
        if !self.key.is_empty() {
            write!(f, "{}: ", self.key)?;
        }
        write!(f, "found {}, expected {}", self.found, self.expected)
    }
}

/// The faults of a document in the order of their lines.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Faults(Vec<Fault>);

impl Faults {
    /// Puts faults in the order of their lines.
    #[must_use]
    pub fn new(mut faults: Vec<Fault>) -> Self {
        faults.sort();
        faults.dedup();
        Self(faults)
    }

    /// Whether there is none.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// How many there are.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.0.len()
    }

    /// Each fault in turn.
    pub fn iter(&self) -> std::slice::Iter<'_, Fault> {
        self.0.iter()
    }

    /// The faults as lines that begin with the name of the file, as compilers write them.
    #[must_use]
    pub fn in_file(&self, file: &str) -> String {
        let lines = self.iter().map(|fault| format!("{file}:{fault}\n"));
        lines.collect()
    }
}

impl<'a> IntoIterator for &'a Faults {
    type Item = &'a Fault;
    type IntoIter = std::slice::Iter<'a, Fault>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for Faults {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "line {fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Faults {}
