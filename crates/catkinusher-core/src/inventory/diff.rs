//! What differs between two inventories, entry by entry.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::{Inventory, Rule};

/// The kind of an entry, by the name of its tables.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Table {
    /// A data centre.
    DataCentre,
    /// A VM.
    Vm,
    /// A service.
    Service,
    /// An upstream.
    Upstream,
    /// A customer.
    Customer,
    /// A rule.
    Rule,
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::DataCentre => "data_centre",
            Self::Vm => "vm",
            Self::Service => "service",
            Self::Upstream => "upstream",
            Self::Customer => "customer",
            Self::Rule => "rule",
        })
    }
}

/// What became of one field.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct FieldChange {
    /// The field, with a dot before one of an inner table.
    pub field: String,
    /// What it held.
    pub old: String,
    /// What it holds.
    pub new: String,
}

impl fmt::Display for FieldChange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {} -> {}", self.field, self.old, self.new)
    }
}

/// What became of one entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Step {
    /// It is new.
    Added,
    /// It is gone.
    Removed,
    /// Some of its fields hold something else.
    Changed(Vec<FieldChange>),
    /// It stands elsewhere among the rules, of which the first that fits decides.
    Moved,
}

/// One entry that differs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Difference {
    /// The kind of the entry.
    pub table: Table,
    /// Its name, or what a rule is about.
    pub name: String,
    /// What became of it.
    pub step: Step,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { table, name, step } = self;
        match step {
            Step::Added => write!(f, "+ {table} {name}"),
            Step::Removed => write!(f, "- {table} {name}"),
            Step::Moved => write!(f, "~ {table} {name}: moved among the rules"),
            Step::Changed(fields) => {
                write!(f, "~ {table} {name}:")?;
                for (index, field) in fields.iter().enumerate() {
                    write!(f, "{} {field}", if index > 0 { "," } else { "" })?;
                }
                Ok(())
            }
        }
    }
}

/// What differs between two inventories.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Diff(Vec<Difference>);

impl Diff {
    /// What became of `old` in `new`.
    #[must_use]
    pub fn between(old: &Inventory, new: &Inventory) -> Self {
        let mut diff = Self::default();
        diff.table(
            Table::DataCentre,
            &old.data_centres,
            &new.data_centres,
            |it| it.name.to_string(),
        );
        diff.table(Table::Vm, &old.vms, &new.vms, |it| it.name.to_string());
        diff.table(Table::Service, &old.services, &new.services, |it| {
            it.name.to_string()
        });
        diff.table(Table::Upstream, &old.upstreams, &new.upstreams, |it| {
            it.name.to_string()
        });
        diff.table(Table::Customer, &old.customers, &new.customers, |it| {
            it.name.to_string()
        });
        diff.table(Table::Rule, &old.rules, &new.rules, subject);
        diff.moves(&old.rules, &new.rules);
        diff
    }

    /// Whether nothing differs.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Each entry that differs.
    pub fn iter(&self) -> std::slice::Iter<'_, Difference> {
        self.0.iter()
    }

    fn table<T, F>(&mut self, table: Table, old: &[T], new: &[T], name: F)
    where
        T: Serialize,
        F: Fn(&T) -> String,
    {
        let old = fields_by_name(old, &name);
        let new = fields_by_name(new, &name);
        for name in old.keys().filter(|name| !new.contains_key(*name)) {
            self.push(table, name, Step::Removed);
        }
        for (name, fields) in &new {
            match old.get(name) {
                None => self.push(table, name, Step::Added),
                Some(before) if before != fields => {
                    self.push(table, name, Step::Changed(changes(before, fields)));
                }
                Some(_same) => {}
            }
        }
    }

    /// Notes the rules that stand in another order than before.
    fn moves(&mut self, old: &[Rule], new: &[Rule]) {
        let old = old.iter().map(subject).collect::<Vec<_>>();
        let new = new.iter().map(subject).collect::<Vec<_>>();
        let before = old.iter().filter(|rule| new.contains(rule));
        let after = new.iter().filter(|rule| old.contains(rule));
        for (_, rule) in before.zip(after).filter(|(was, is)| was != is) {
            self.push(Table::Rule, rule, Step::Moved);
        }
    }

    fn push(&mut self, table: Table, name: &str, step: Step) {
        let name = name.to_owned();
        self.0.push(Difference { table, name, step });
    }
}

impl<'a> IntoIterator for &'a Diff {
    type Item = &'a Difference;
    type IntoIter = std::slice::Iter<'a, Difference>;

    fn into_iter(self) -> Self::IntoIter {
        self.iter()
    }
}

impl fmt::Display for Diff {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.is_empty() {
            return f.write_str("no difference");
        }
        for (index, difference) in self.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{difference}")?;
        }
        Ok(())
    }
}

/// What a rule is about, which names it as no name does.
fn subject(rule: &Rule) -> String {
    let method = rule.method.as_deref().unwrap_or("any");
    let path = rule.path.as_deref().unwrap_or("/");
    format!("{} {method} {path}", rule.service)
}

type Fields = BTreeMap<String, String>;

fn fields_by_name<T, F>(entries: &[T], name: F) -> BTreeMap<String, Fields>
where
    T: Serialize,
    F: Fn(&T) -> String,
{
    let named = entries.iter().map(|entry| (name(entry), fields(entry)));
    named.collect()
}

fn fields<T>(entry: &T) -> Fields
where
    T: Serialize,
{
    let value = serde_json::to_value(entry).expect("an entry has a JSON form");
    let mut fields = Fields::new();
    flatten("", &value, &mut fields);
    fields
}

fn flatten(path: &str, value: &Value, fields: &mut Fields) {
    match value {
        Value::Object(inner) => {
            for (key, value) in inner {
                let dot = if path.is_empty() { "" } else { "." };
                flatten(&format!("{path}{dot}{key}"), value, fields);
            }
        }
        Value::Null => {}
        Value::String(text) => {
            fields.insert(path.to_owned(), text.clone());
        }
        other => {
            fields.insert(path.to_owned(), other.to_string());
        }
    }
}

fn changes(old: &Fields, new: &Fields) -> Vec<FieldChange> {
    let absent = || "none".to_owned();
    let mut names = old.keys().chain(new.keys()).collect::<Vec<_>>();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .filter(|name| old.get(*name) != new.get(*name))
        .map(|name| FieldChange {
            field: name.clone(),
            old: old.get(name).cloned().unwrap_or_else(absent),
            new: new.get(name).cloned().unwrap_or_else(absent),
        })
        .collect()
}
