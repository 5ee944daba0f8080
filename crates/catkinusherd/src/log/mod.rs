//! Logging with `tracing`, as human-readable text or as JSON.
//!
//! Most components of the daemon start their log lines with a fixed prefix, such as
//! `route:`, `owner:` or `config:`. The gateway names what happened to a request or an
//! upstream in an `event` field instead.

use std::io::IsTerminal;
use std::sync::atomic::{AtomicU64, Ordering};

use tracing_subscriber::EnvFilter;

use crate::settings::{LogFormat, LogSettings};

/// Sets up the process's log on standard error.
///
/// # Errors
///
/// If the level is not a valid filter, or a global subscriber is already set.
pub fn start(settings: &LogSettings) -> anyhow::Result<()> {
    let filter = EnvFilter::try_new(&settings.level)?;
    let log = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_target(false)
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    let started = match settings.format {
        LogFormat::Human => log.try_init(),
        LogFormat::Json => log.json().flatten_event(true).try_init(),
    };
    started.map_err(|error| anyhow::anyhow!("cannot initialize logging: {error}"))
}

/// A writer to standard output that drops what it cannot write without blocking: a whole
/// line, or the rest of one that was written in part.
#[derive(Debug, Clone, Copy, Default)]
struct LossyStdout;

impl std::io::Write for LossyStdout {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        match rustix::io::write(rustix::stdio::stdout(), buf) {
            // The rest of a partly written line is dropped, but not counted.
            Ok(_written) => {}
            // A reader that is slow or has closed the pipe must not block requests.
            Err(_full) => {
                DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

/// The number of log lines dropped whole.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// The number of log lines dropped whole so far because standard output could not take them.
#[must_use]
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Sets up the process's log as JSON lines on standard output, without ever blocking on its reader.
///
/// # Errors
///
/// If standard output can't be made non-blocking, or a global subscriber is already set.
pub fn start_json() -> anyhow::Result<()> {
    use rustix::fs::{OFlags, fcntl_getfl, fcntl_setfl};
    let stdout = rustix::stdio::stdout();
    let flags = fcntl_getfl(stdout)?;
    fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?;
    tracing_subscriber::fmt()
        .with_env_filter(EnvFilter::try_new("info")?)
        .with_target(false)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_span_list(false)
        .with_writer(|| LossyStdout)
        .try_init()
        .map_err(|error| anyhow::anyhow!("cannot initialize logging: {error}"))
}
