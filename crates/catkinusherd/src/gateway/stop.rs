//! Stopping without cutting a request.

use std::sync::Arc;
use std::time::Duration;

use anyhow::Context;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::JoinHandle;
use tracing::{info, warn};

use super::dialect::Dialect;
use super::state::State;

/// How long connections are still accepted: the balancer asks once a second and believes the second no.
const LEAVING: Duration = Duration::from_millis(2300);

/// What is kept of the grace for the process itself to end.
const RESERVE: Duration = Duration::from_millis(400);

/// Waits for SIGTERM, then lets what is under way end within the grace.
///
/// # Errors
///
/// If a signal cannot be listened for.
pub(super) async fn wait<D>(state: &Arc<State<D>>, serving: JoinHandle<()>) -> anyhow::Result<()>
where
    D: Dialect,
{
    let mut terms = signal(SignalKind::terminate()).context("cannot listen for SIGTERM")?;
    let mut interrupts = signal(SignalKind::interrupt()).context("cannot listen for SIGINT")?;
    let mut hangups = signal(SignalKind::hangup()).context("cannot listen for SIGHUP")?;
    loop {
        tokio::select! {
            _ = terms.recv() => break,
            _ = interrupts.recv() => break,
            // Nothing in the settings may change while the process runs; what changes comes from the store.
            _ = hangups.recv() => info!(event = "reload", outcome = "nothing-to-do"),
        }
    }
    let begun = state.now();
    let limit = begun + state.settings.grace.saturating_sub(RESERVE);
    info!(
        event = "stop",
        outcome = "begun",
        under_way = state.under_way()
    );
    state.stopping.cancel();
    state.timers.after(LEAVING).await;
    state.closing.cancel();
    tokio::select! {
        ended = serving => ended.context("the callers' side ended badly")?,
        () = state.timers.at(limit) => {
            warn!(event = "stop", outcome = "limit", under_way = state.under_way());
        }
    }
    Ok(())
}
