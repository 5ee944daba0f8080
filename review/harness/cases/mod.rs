//! The scenarios, one for each case.

mod config;
mod limit;
mod memory;
mod poison;
mod recover;
mod route;

use std::sync::Arc;

use crate::record::Record;

/// Runs a scenario; an error says how the rule was broken.
pub fn run(case: &str, trouble: bool, record: &Arc<Record>) -> Result<String, String> {
    match case {
        "config" => config::run(trouble, record),
        "limit" => limit::run(trouble, record),
        "sound" => poison::run_sound(trouble, record),
        "bursts" => poison::run_bursts(trouble, record),
        "deep" => poison::run_deep(trouble, record),
        "quorum" => poison::run_quorum(trouble, record),
        "memory" => memory::run(trouble, record),
        "drain" => recover::run_drain(trouble, record),
        "recover" => recover::run(trouble, record),
        "route" => route::run(trouble, record),
        _ => crate::cannot_run("there is no such case"),
    }
}
