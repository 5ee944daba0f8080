//! Carries out the shutdown of a node.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use catkinusher_core::drain::{Action, Policy, Shutdown, Stage};
use catkinusher_core::units::Span;
use tokio::sync::watch;
use tracing::{info, warn};

use super::State;
use crate::settings::StopSettings;

/// The time limit of the handover of upstreams to other owners.
const HANDOVER: Span = Span::from_secs(2);

/// The shutdown of a node, with its stage published to waiting tasks.
#[derive(Debug)]
pub struct Stopping {
    shutdown: Mutex<Shutdown>,
    policy: Policy,
    stage: watch::Sender<Stage>,
}

/// A guard that counts a request as open until it is dropped.
#[derive(Debug)]
pub struct OpenRequest {
    state: Arc<State>,
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let stopping = &self.state.stopping;
        let now = self.state.timers.now();
        let actions = stopping.lock().on_request_end(now);
        stopping.carry_out(&self.state, actions);
    }
}

impl Stopping {
    /// Creates the shutdown of a node that is serving.
    #[must_use]
    pub fn new(settings: &StopSettings) -> Self {
        Self {
            shutdown: Mutex::new(Shutdown::new()),
            policy: Policy {
                notice: settings.notice,
                handover: HANDOVER,
                limit: settings.limit,
            },
            stage: watch::Sender::new(Stage::Serving),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shutdown> {
        self.shutdown.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The stage of the shutdown.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.lock().stage()
    }

    /// The number of open requests.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.lock().open()
    }

    /// Counts a new request as open, or returns `None` if the node accepts none any more.
    pub fn begin_request(&self, state: &Arc<State>) -> Option<OpenRequest> {
        let mut shutdown = self.lock();
        if !shutdown.accepts() {
            return None;
        }
        shutdown.on_request_start();
        Some(OpenRequest {
            state: Arc::clone(state),
        })
    }

    /// Handles a shutdown signal.
    pub fn signal(&self, state: &Arc<State>) {
        let now = state.timers.now();
        let actions = self.lock().on_signal(now);
        self.carry_out(state, actions);
    }

    /// Waits until the shutdown has reached `stage`.
    pub async fn wait(&self, stage: Stage) {
        let mut stages = self.stage.subscribe();
        // This cannot fail: the sender lives in `self`.
        let _never_closed = stages.wait_for(|current| *current >= stage).await;
    }

    fn carry_out(&self, state: &Arc<State>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::FailReady => {
                    info!("stop: readiness check now fails, still accepting requests");
                    state.members.announce_leave(state.timers.now());
                }
                Action::StopAccepting => {
                    info!(
                        "stop: no longer accepting requests, {} still open",
                        self.open()
                    );
                    state.accepting.cancel();
                }
                Action::HandOver => info!("stop: upstreams handed over"),
                Action::CutRest { open } => {
                    warn!("stop: aborting {open} open requests");
                    state.accepting.cancel();
                    state.abort_requests.cancel();
                }
                Action::Leave => info!("stop: no requests left to wait for"),
            }
        }
        let reached = self.stage();
        self.stage
            .send_if_modified(|current| std::mem::replace(current, reached) != reached);
    }
}

/// Advances the shutdown when its time limits pass, until the node ends.
pub async fn run(state: Arc<State>) {
    let mut stages = state.stopping.stage.subscribe();
    loop {
        let deadline = state.stopping.lock().wake(&state.stopping.policy);
        tokio::select! {
            _changed = stages.changed() => {}
            () = state.timers.at(deadline) => {}
        }
        let now = state.timers.now();
        let actions = {
            let mut shutdown = state.stopping.lock();
            let mut actions = shutdown.on_time(&state.stopping.policy, now);
            if shutdown.stage() == Stage::HandingOver {
                // Peers learn from the membership that this node is leaving and take over
                // its upstreams.
                actions.extend(shutdown.on_handover_done(now));
            }
            actions
        };
        state.stopping.carry_out(&state, actions);
    }
}
