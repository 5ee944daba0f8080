//! A table of a document, asked key by key.

use std::ops::Range;

use serde::de::DeserializeOwned;
use toml::Spanned;
use toml::de::{DeTable, DeValue, ValueDeserializer};

use super::expect::Expect;
use super::fault::{Fault, Line};
use super::source::Source;

/// A value with the place it stands in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry<T> {
    /// The value.
    pub value: T,
    /// The line it stands in.
    pub line: Line,
    /// The key it stands under, from the document's root.
    pub key: String,
}

impl<T> Entry<T> {
    /// A fault of this entry.
    pub fn fault<F, E>(&self, found: F, expected: E) -> Fault
    where
        F: Into<String>,
        E: Into<String>,
    {
        Fault {
            line: self.line,
            key: self.key.clone(),
            found: found.into(),
            expected: expected.into(),
        }
    }
}

/// A table that notes its faults while its reader asks for keys.
#[derive(Debug)]
pub struct Section<'a> {
    source: &'a Source<'a>,
    path: String,
    line: Line,
    table: &'a DeTable<'a>,
    asked: Vec<&'static str>,
    faults: Vec<Fault>,
}

impl<'a> Section<'a> {
    pub(super) const fn root(source: &'a Source<'a>, table: &'a DeTable<'a>) -> Self {
        Self {
            source,
            path: String::new(),
            line: Line::FIRST,
            table,
            asked: Vec::new(),
            faults: Vec::new(),
        }
    }

    /// The line that the table opens in.
    #[must_use]
    pub const fn line(&self) -> Line {
        self.line
    }

    /// The key of the table from the document's root, empty for the root.
    #[must_use]
    pub fn path(&self) -> &str {
        &self.path
    }

    /// Whether anything stands under a key, right or wrong.
    #[must_use]
    pub fn has(&self, key: &str) -> bool {
        self.table.contains_key(key)
    }

    /// Reads a key that must stand there; a fault is noted and gives nothing.
    pub fn need<T>(&mut self, key: &'static str) -> Option<Entry<T>>
    where
        T: DeserializeOwned + Expect,
    {
        let Some(value) = self.ask(key) else {
            self.missing(key, T::EXPECTED);
            return None;
        };
        self.decode(self.key(key), value)
    }

    /// Reads a key that may be absent.
    pub fn find<T>(&mut self, key: &'static str) -> Option<Entry<T>>
    where
        T: DeserializeOwned + Expect,
    {
        let value = self.ask(key)?;
        self.decode(self.key(key), value)
    }

    /// Reads an array of values; each wrong one is a fault of its own.
    pub fn list<T>(&mut self, key: &'static str) -> Vec<Entry<T>>
    where
        T: DeserializeOwned + Expect,
    {
        let Some(value) = self.ask(key) else {
            return Vec::new();
        };
        let Some(array) = value.get_ref().as_array() else {
            self.wrong(
                self.key(key),
                value,
                &format!("an array of {}", T::EXPECTED),
            );
            return Vec::new();
        };
        let items = array.iter().enumerate();
        items
            .filter_map(|(index, item)| self.decode(format!("{}[{index}]", self.key(key)), item))
            .collect()
    }

    /// Opens a table below this one that may be absent.
    pub fn table(&mut self, key: &'static str) -> Option<Section<'a>> {
        let value = self.ask(key)?;
        let path = self.key(key);
        self.open(path, value, &format!("a table `[{key}]`"))
    }

    /// Opens each table of an array of tables; none if it is absent.
    ///
    /// A table is called by its key `name` where it has one.
    pub fn tables(&mut self, key: &'static str) -> Vec<Section<'a>> {
        let Some(value) = self.ask(key) else {
            return Vec::new();
        };
        let expected = format!("tables `[[{key}]]`");
        let Some(array) = value.get_ref().as_array() else {
            self.wrong(self.key(key), value, &expected);
            return Vec::new();
        };
        let items = array.iter().enumerate();
        items
            .filter_map(|(index, item)| {
                let path = format!("{}[{}]", self.key(key), label(item, index));
                self.open(path, item, &expected)
            })
            .collect()
    }

    /// Notes a fault unless `entry` is absent or passes `test`.
    pub fn ensure<T, F>(&mut self, entry: Option<&Entry<T>>, expected: &str, test: F)
    where
        T: std::fmt::Display,
        F: FnOnce(&T) -> bool,
    {
        if let Some(entry) = entry
            && !test(&entry.value)
        {
            let fault = entry.fault(format!("`{}`", entry.value), expected);
            self.faults.push(fault);
        }
    }

    /// Notes that a key is absent.
    pub fn missing(&mut self, key: &str, expected: &str) {
        self.faults.push(Fault {
            line: self.line,
            key: self.key(key),
            found: "nothing".to_owned(),
            expected: expected.to_owned(),
        });
    }

    /// Notes a fault that the reader found by itself.
    pub fn note(&mut self, fault: Fault) {
        self.faults.push(fault);
    }

    /// A fault of the table as a whole.
    pub fn fault<F, E>(&self, found: F, expected: E) -> Fault
    where
        F: Into<String>,
        E: Into<String>,
    {
        Fault {
            line: self.line,
            key: self.path.clone(),
            found: found.into(),
            expected: expected.into(),
        }
    }

    /// Takes over the faults of a table below this one.
    pub fn join(&mut self, below: Section<'_>) {
        let faults = below.finish();
        self.faults.extend(faults);
    }

    /// The faults, those of keys that were never asked for included.
    pub(super) fn finish(mut self) -> Vec<Fault> {
        for key in self.table.keys() {
            let name = key.get_ref().as_ref();
            if !self.asked.contains(&name) {
                self.faults.push(Fault {
                    line: self.line_of(key.span()),
                    key: self.key(name),
                    found: "an unknown key".to_owned(),
                    expected: format!("one of {}", self.asked.join(", ")),
                });
            }
        }
        self.faults
    }

    fn ask(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.asked.push(key);
        self.table.get(key)
    }

    fn key(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    fn decode<T>(&mut self, key: String, value: &'a Spanned<DeValue<'a>>) -> Option<Entry<T>>
    where
        T: DeserializeOwned + Expect,
    {
        match T::deserialize(ValueDeserializer::from(value.clone())) {
            Ok(decoded) if decoded.is_expected() => Some(Entry {
                value: decoded,
                line: self.line_of(value.span()),
                key,
            }),
            Ok(_) | Err(_) => {
                self.wrong(key, value, T::EXPECTED);
                None
            }
        }
    }

    fn open(
        &mut self,
        path: String,
        value: &'a Spanned<DeValue<'a>>,
        expected: &str,
    ) -> Option<Section<'a>> {
        let Some(table) = value.get_ref().as_table() else {
            self.wrong(path, value, expected);
            return None;
        };
        Some(Section {
            source: self.source,
            path,
            line: self.line_of(value.span()),
            table,
            asked: Vec::new(),
            faults: Vec::new(),
        })
    }

    fn wrong(&mut self, key: String, value: &Spanned<DeValue<'_>>, expected: &str) {
        self.faults.push(Fault {
            line: self.line_of(value.span()),
            key,
            found: self.source.excerpt(value.span()),
            expected: expected.to_owned(),
        });
    }

    fn line_of(&self, span: Range<usize>) -> Line {
        self.source.line(span.start)
    }
}

fn label(item: &Spanned<DeValue<'_>>, index: usize) -> String {
    item.get_ref()
        .as_table()
        .and_then(|table| table.get("name"))
        .and_then(|name| name.get_ref().as_str())
        .map_or_else(|| index.to_string(), str::to_owned)
}
