//! Options that several commands have.

use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use getopts::{Matches, Options};

use catkinusher_core::inventory::{self, Inventory};
use catkinusher_core::units::Span;
use catkinusher_platform::{Gate, Store};

use crate::Invocation;
use crate::config::Config;
use crate::failure::{Failure, Result};

/// How long one call to the platform may take, if no option says.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// How long a lost answer is looked for, if no option says.
const PATIENCE: Duration = Duration::from_secs(30);

/// Who made a change, if neither an option nor the surroundings say.
const NOBODY: &str = "unknown";

/// Declares where the object API is and how long to wait for it.
pub(super) fn platform(options: &mut Options) {
    options.optmulti(
        "o",
        "objects",
        "address of the object API; may be given several times (else from CATKINUSHER_OBJECTS)",
        "IP:PORT",
    );
    options.optopt("", "timeout", "time for one call (5s)", "SPAN");
    options.optopt(
        "",
        "settle",
        "time to find out what became of a write (30s)",
        "SPAN",
    );
}

/// Declares who makes a change and why.
pub(super) fn author(options: &mut Options) {
    options.optopt(
        "a",
        "author",
        "who makes the change (else from USER)",
        "NAME",
    );
    options.optopt("n", "note", "why the change is made", "TEXT");
}

/// Reads where the inventory is.
pub(super) fn config(
    matches: &Matches,
    invocation: &Invocation,
    command: &'static str,
) -> Result<Config> {
    let store = store(matches, invocation, command)?;
    let patience = span(matches, "settle", command)?.unwrap_or(PATIENCE);
    Ok(Config::new(store, patience))
}

/// Reads where the object API is.
pub(super) fn store(
    matches: &Matches,
    invocation: &Invocation,
    command: &'static str,
) -> Result<Store> {
    let mut texts = matches.opt_strs("objects");
    if texts.is_empty() {
        texts = split(invocation.objects.as_deref().unwrap_or_default());
    }
    let addrs = texts
        .iter()
        .map(|text| value(text, "objects", command))
        .collect::<Result<Vec<SocketAddr>>>()?;
    if addrs.is_empty() {
        let missing = "the address of the object API is missing; give it with --objects";
        return Err(Failure::Usage(missing.to_owned(), command));
    }
    let timeout = span(matches, "timeout", command)?.unwrap_or(CALL_TIMEOUT);
    Ok(Store::new(addrs, timeout, Gate::unlimited()))
}

/// Who makes a change.
pub(super) fn author_of(matches: &Matches, invocation: &Invocation) -> String {
    matches
        .opt_str("author")
        .or_else(|| invocation.author.clone())
        .unwrap_or_else(|| NOBODY.to_owned())
}

/// Why a change is made; empty if nobody says.
pub(super) fn note_of(matches: &Matches) -> String {
    matches.opt_str("note").unwrap_or_default()
}

/// Reads a span of time.
pub(super) fn span(
    matches: &Matches,
    name: &str,
    command: &'static str,
) -> Result<Option<Duration>> {
    let span = find::<Span>(matches, name, command)?;
    Ok(span.map(Span::get))
}

/// Reads an option that may be absent.
pub(super) fn find<T>(matches: &Matches, name: &str, command: &'static str) -> Result<Option<T>>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    let text = matches.opt_str(name);
    text.map(|text| value(&text, name, command)).transpose()
}

/// Reads the value of an option.
pub(super) fn value<T>(text: &str, name: &str, command: &'static str) -> Result<T>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    text.parse()
        .map_err(|fault| Failure::Usage(format!("--{name} {text}: {fault}"), command))
}

/// The operands, which must be so many.
pub(super) fn operands<const N: usize>(
    matches: &Matches,
    what: &str,
    command: &'static str,
) -> Result<[String; N]> {
    let free = matches.free.clone();
    free.try_into()
        .map_err(|_free| Failure::Usage(format!("`{command}` takes {what}"), command))
}

/// The parts of a list with commas.
pub(super) fn split(list: &str) -> Vec<String> {
    let parts = list.split(',').map(str::trim);
    parts
        .filter(|part| !part.is_empty())
        .map(str::to_owned)
        .collect()
}

/// Reads a file as text.
pub(super) fn read_file(file: &str) -> Result<String> {
    std::fs::read_to_string(file).map_err(|fault| Failure::File(file.to_owned(), fault))
}

/// Reads the inventory in the text of a file.
pub(super) fn read_inventory(file: &str, text: &str) -> Result<Inventory> {
    inventory::read(text).map_err(|faults| Failure::Faults {
        file: file.to_owned(),
        faults,
    })
}
