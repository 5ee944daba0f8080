//! The tasks of one stand-in, which end together.

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Spawns tasks that end when the stand-in stops.
#[derive(Debug, Clone, Default)]
pub(crate) struct Tasks {
    token: CancellationToken,
    tracker: TaskTracker,
}

impl Tasks {
    pub(crate) fn spawn<F>(&self, task: F)
    where
        F: Future + Send + 'static,
        F::Output: Send + 'static,
    {
        let token = self.token.clone();
        self.tracker.spawn(token.run_until_cancelled_owned(task));
    }

    pub(crate) fn cancel(&self) {
        self.token.cancel();
    }

    pub(crate) async fn stop(&self) {
        self.cancel();
        self.tracker.close();
        self.tracker.wait().await;
    }
}
