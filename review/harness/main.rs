//! Stand-ins and scenarios of the review: `harness CASE FOLDER`.
//!
//! Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod json;
mod node;
mod record;
mod server;
mod site;
mod store;

use std::path::Path;
use std::process::exit;
use std::sync::Arc;

use record::Record;

/// Ends a case that could not run; the processes that it started end with it.
pub fn cannot_run(reason: &str) -> ! {
    panic!("the case could not run: {reason}");
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        cannot_run("expected CASE and FOLDER");
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Arc::new(Record::new());
    let running = std::panic::AssertUnwindSafe(|| cases::run(case, trouble, &record));
    let Ok(verdict) = std::panic::catch_unwind(running) else {
        record.note("could not run");
        record.write(&Path::new(folder).join("record.txt"));
        exit(2);
    };
    let (code, text) = match &verdict {
        Ok(text) => (0, format!("held: {text}")),
        Err(text) => (1, format!("broken: {text}")),
    };
    record.note(&text);
    record.write(&Path::new(folder).join("record.txt"));
    println!("{text}");
    exit(code);
}
