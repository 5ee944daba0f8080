//! The wait of requests for the first configuration of a node that has just started.

use std::time::Duration;

use catkinusher_core::outcome::{Outcome, Refusal};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;

use super::handle::STOP_RETRY_AFTER;
use super::state::State;

/// How long after the start of the process requests wait for the first configuration.
///
/// After a loss of all nodes no other one could serve them, and callers that are refused come
/// back at once. A node has its configuration in less than half of this time while the store
/// answers; if it does not, callers should not be held without hope.
const START_PATIENCE: Duration = Duration::from_millis(600);

/// Waits until this node has its first configuration, or has been up for [`START_PATIENCE`].
///
/// Whether a request may be served is left to the caller to check. A node that has had a trusted
/// configuration never waits.
///
/// # Errors
///
/// The refusal, if this node stops or the caller's time is up.
pub(super) async fn wait<D>(
    state: &State<D>,
    received: Time,
    patience: Duration,
) -> Result<(), Refusal> {
    // The clock of the timers starts with the process.
    let until = Time::ZERO + START_PATIENCE;
    if state.started.is_cancelled() || state.now() >= until || state.stopping.is_cancelled() {
        return Ok(());
    }
    state.metrics.on_start_wait("waited");
    let deadline = received + patience.min(START_PATIENCE);
    let outcome = tokio::select! {
        biased;
        () = state.started.cancelled() => Ok(()),
        () = state.stopping.cancelled() => Err(Refusal::ShuttingDown { after: STOP_RETRY_AFTER }),
        () = state.timers.at(until) => Ok(()),
        () = state.timers.at(deadline) => Err(Refusal::DeadlinePassed {
            limit: Span::new(patience),
            outcome: Outcome::NotRun,
        }),
    };
    let is_refused = outcome.is_err() || !state.trusts_configuration();
    let result = if is_refused { "refused" } else { "admitted" };
    state.metrics.on_start_wait(result);
    outcome
}
