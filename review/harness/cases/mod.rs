//! The scenarios, one for each case.

mod route;

use std::sync::Arc;

use crate::record::Record;

/// Runs a scenario; an error says how the rule was broken.
pub fn run(case: &str, trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    match case {
        "route" => route::run(trouble, record),
        _ => crate::cannot_run("there is no such case"),
    }
}
