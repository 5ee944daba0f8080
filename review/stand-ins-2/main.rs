//! Stand-ins of the platform, the servers and the callers, and the cases that use them.
//!
//! `stand-ins CASE FOLDER` plays a case, writes `record.txt` in its folder, and exits with 1 if
//! the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the disruption is left out.

mod early;
mod http;
mod limits;
mod manifest;
mod node;
mod poison;
mod record;
mod roll;
mod server;
mod store;

use std::path::PathBuf;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: stand-ins CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let folder = PathBuf::from(folder);
    let temporary = std::env::temp_dir().join(format!("stand-ins-{}", std::process::id()));
    if std::fs::create_dir_all(&temporary).is_err() {
        return ExitCode::from(2);
    }
    let record = record::Record::create(&folder.join("record.txt"));
    let code = match case.as_str() {
        "early" => early::run(trouble, &record, &temporary),
        "poison" => poison::run(trouble, poison::Mode::Unframed, &record, &temporary),
        "poison-framed" => poison::run(trouble, poison::Mode::Framed, &record, &temporary),
        "poison-bursts" => poison::run(trouble, poison::Mode::Bursts, &record, &temporary),
        "roll" => roll::run(trouble, roll::Mode::LateWrites, &record, &temporary),
        "roll-old-reads" => roll::run(trouble, roll::Mode::OldReads, &record, &temporary),
        "limits" => limits::run(trouble, &record, &temporary),
        _ => 2,
    };
    record.line(&format!("exit {code}"));
    if std::env::var_os("KEEP_LOGS").is_none() {
        let _ = std::fs::remove_dir_all(&temporary);
    } else {
        eprintln!("logs in {}", temporary.display());
    }
    ExitCode::from(code)
}
