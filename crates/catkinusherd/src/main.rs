//! The daemon's command line.

use std::process::ExitCode;
use std::sync::Arc;

use anyhow::Context;
use catkinusherd::{Node, log, settings};
use getopts::Options;
use tokio::signal::unix::{SignalKind, signal};

/// The exit code for invalid usage and invalid settings.
const BAD_INPUT: u8 = 2;

const USAGE: &str = "Usage: catkinusherd --settings FILE
       catkinusherd --check FILE

The serving daemon, the same on every entry VM. SIGTERM begins a graceful
shutdown; a second SIGTERM aborts the remaining requests.";

fn options() -> Options {
    let mut options = Options::new();
    options
        .optopt("s", "settings", "run with the settings in FILE", "FILE")
        .optopt(
            "",
            "check",
            "check the settings in FILE and exit with 2 if they are invalid",
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
        Ok(matches) => return usage_error(&format!("unexpected argument `{}`", matches.free[0])),
        Err(error) => return usage_error(&error.to_string()),
    };
    if matches.opt_present("help") {
        print!("{}", options.usage(USAGE));
        return ExitCode::SUCCESS;
    }
    if matches.opt_present("version") {
        println!("catkinusherd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match (matches.opt_str("check"), matches.opt_str("settings")) {
        (Some(file), None) => check(&file),
        (None, Some(file)) => run(&file),
        _ => usage_error("exactly one of --settings and --check is required"),
    }
}

fn usage_error(reason: &str) -> ExitCode {
    eprintln!("catkinusherd: {reason}; see catkinusherd --help");
    ExitCode::from(BAD_INPUT)
}

fn check(file: &str) -> ExitCode {
    match load(file) {
        Ok(_settings) => {
            println!("{file}: settings are valid");
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
    let mut sigterm = signal(SignalKind::terminate()).context("cannot listen for SIGTERM")?;
    let mut sigint = signal(SignalKind::interrupt()).context("cannot listen for SIGINT")?;
    let node = Node::start(settings).await?;
    let state = Arc::clone(node.state());
    let stopped = node.wait_stopped();
    tokio::pin!(stopped);
    loop {
        tokio::select! {
            () = &mut stopped => return Ok(()),
            _signal = sigterm.recv() => state.stopping.signal(&state),
            _signal = sigint.recv() => state.stopping.signal(&state),
        }
    }
}
