//! Tasks on which the node depends are started again if they panic.
//!
//! Such a task ends without a trace otherwise, and the node goes on without what it did: it
//! hears no peer any more, for example, and places requests as if it were alone.

use std::sync::Arc;
use std::time::Duration;

use tracing::error;

use super::state::State;

/// The pause before a task is started again, so that one that panics at once uses little time.
const RESTART_PAUSE: Duration = Duration::from_millis(100);

/// Runs a task, and again if it panics, until it ends by itself.
///
/// `name` stands in logs and metrics; `start` builds the task anew.
pub(super) fn spawn<D, F, T>(state: &Arc<State<D>>, name: &'static str, start: F)
where
    D: Send + Sync + 'static,
    F: Fn(Arc<State<D>>) -> T + Send + 'static,
    T: Future<Output = ()> + Send + 'static,
{
    let state = Arc::clone(state);
    tokio::spawn(async move {
        while let Err(ended) = tokio::spawn(start(Arc::clone(&state))).await {
            if !ended.is_panic() {
                return;
            }
            state.metrics.on_call(name, "panicked");
            error!(event = "task", name, outcome = "panicked", %ended);
            state.timers.after(RESTART_PAUSE).await;
        }
    });
}
