//! The daemon's command line.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use catkinusherd::{Node, log, settings};
use getopts::Options;
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for bad usage and bad settings.
const BAD_INPUT: u8 = 2;

const BRIEF: &str = "Usage: catkinusherd --settings FILE
       catkinusherd --check FILE

The serving daemon, alike on every entry VM. SIGTERM lets what is under way
end and then leaves; a second one cuts what is left.";

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("s", "settings", "run with the settings in FILE", "FILE")
        .optopt(
            "",
            "check",
            "check the settings in FILE, exit 2 on a fault",
            "FILE",
        )
        .optflag("h", "help", "print this help")
        .optflag("V", "version", "print the version");
    options
}

fn main() -> ExitCode {
    let options = options();
    let matches = match options.parse(std::env::args_os().skip(1)) {
        Ok(matches) if matches.free.is_empty() => matches,
        Ok(matches) => return misuse(&format!("unexpected argument `{}`", matches.free[0])),
        Err(error) => return misuse(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(BRIEF));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("catkinusherd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match (matches.opt_str("check"), matches.opt_str("settings")) {
        (Some(file), None) => check(&file),
        (None, Some(file)) => run(&file),
        _ => misuse("one of --settings and --check is needed"),
    }
}

fn misuse(reason: &str) -> ExitCode {
    eprintln!("catkinusherd: {reason}; see catkinusherd --help");
    ExitCode::from(BAD_INPUT)
}

fn check(file: &str) -> ExitCode {
    match load(file) {
        Ok(_settings) => {
            println!("{file}: settings are good");
            ExitCode::SUCCESS
        }
        Err(reason) => {
            eprintln!("{reason}");
            ExitCode::from(BAD_INPUT)
        }
    }
}

fn load(file: &str) -> Result<settings::Settings, String> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| format!("catkinusherd: cannot read {file}: {error}"))?;
    settings::read(&text).map_err(|faults| faults.in_file(file))
}

fn run(file: &str) -> ExitCode {
    let settings = match load(file) {
        Ok(settings) => settings,
        Err(reason) => {
            eprintln!("{reason}");
            return ExitCode::from(BAD_INPUT);
        }
    };
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("catkinusherd: {error:#}");
            ExitCode::FAILURE
        }
    }
}

#[tokio::main]
async fn serve(settings: settings::Settings) -> anyhow::Result<()> {
    log::start(&settings.log)?;
    let mut terms = signal(SignalKind::terminate()).context("cannot listen for SIGTERM")?;
    let mut interrupts = signal(SignalKind::interrupt()).context("cannot listen for SIGINT")?;
    let node = Node::start(settings).await?;
    let state = Arc::clone(node.state());
    let left = node.wait_stopped();
    tokio::pin!(left);
    loop {
        tokio::select! {
            () = &mut left => return Ok(()),
            _term = terms.recv() => state.stopping.signal(&state),
            _interrupt = interrupts.recv() => state.stopping.signal(&state),
        }
    }
}
