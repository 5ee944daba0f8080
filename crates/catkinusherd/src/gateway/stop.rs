//! Graceful shutdown.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tracing::{info, warn};

use super::dialect::Dialect;
use super::state::State;

/// How long connections are accepted after a stop begins: the load balancer
/// checks once a second and removes a node after the second failed check.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(2300);

/// The part of the grace period reserved for the exit of the process.
const EXIT_RESERVE: Duration = Duration::from_millis(400);

/// The time to write the answers to requests that are still without a response.
const ANSWER_RESERVE: Duration = Duration::from_millis(200);

/// The maximum number of cut requests that are logged one by one.
const MAX_CUT_LINES: usize = 64;

/// Waits for SIGTERM or SIGINT, then lets open requests end within the grace period.
///
/// # Errors
///
/// If a signal handler cannot be installed.
pub(super) async fn drain_on_signal<D>(
    state: &Arc<State<D>>,
    mut serving: JoinHandle<()>,
) -> anyhow::Result<()>
where
    D: Dialect,
{
    let mut sigterm = signal(SignalKind::terminate()).context("cannot listen for SIGTERM")?;
    let mut sigint = signal(SignalKind::interrupt()).context("cannot listen for SIGINT")?;
    let mut sighup = signal(SignalKind::hangup()).context("cannot listen for SIGHUP")?;
    loop {
        tokio::select! {
            _ = sigterm.recv() => break,
            _ = sigint.recv() => break,
            // Settings are fixed while the process runs; everything that changes comes from the store.
            _ = sighup.recv() => info!(event = "reload", outcome = "nothing-to-do"),
        }
    }
    let stopped_at = state.now();
    let limit = stopped_at + state.settings.grace.saturating_sub(EXIT_RESERVE);
    info!(
        event = "stop",
        outcome = "begun",
        under_way = state.open_requests.count()
    );
    let ends_at = stopped_at
        + state
            .settings
            .grace
            .saturating_sub(EXIT_RESERVE + ANSWER_RESERVE);
    state.begin_stop(ends_at);
    state
        .timers
        .at(ends_at.min(stopped_at + ACCEPT_AFTER_STOP))
        .await;
    state.closing.cancel();
    tokio::select! {
        ended = &mut serving => return ended.context("the task that serves callers failed"),
        () = state.timers.at(ends_at) => state.ending.cancel(),
    }
    let limit = limit.max(state.now() + ANSWER_RESERVE);
    tokio::select! {
        ended = serving => ended.context("the task that serves callers failed")?,
        () = state.timers.at(limit) => {
            warn!(event = "stop", outcome = "limit", under_way = state.open_requests.count());
            log_cut_requests(state);
        }
    }
    Ok(())
}

/// Logs the requests that the end of the process cuts off.
fn log_cut_requests<D>(state: &State<D>) {
    for request in state.open_requests.oldest(MAX_CUT_LINES, state.now()) {
        warn!(
            event = "stop",
            outcome = "cut",
            request = request.id.to_str().unwrap_or("-"),
            stage = request.stage.name(),
            waited_ms = request.waited.as_millis() as u64,
            ms = request.age.as_millis() as u64,
        );
    }
}
