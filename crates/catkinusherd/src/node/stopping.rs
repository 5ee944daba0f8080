//! The stop of a node, carried out.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use catkinusher_core::drain::{Action, Policy, Shutdown, Stage};
use catkinusher_core::units::Span;
use tokio::sync::watch;
use tracing::{info, warn};

use super::State;
use crate::settings::StopSettings;

/// How long the hand-over to other owners may take.
const HANDOVER: Span = Span::from_secs(2);

/// A node's stop and who waits for it.
#[derive(Debug)]
pub struct Stopping {
    stop: Mutex<Shutdown>,
    policy: Policy,
    stage: watch::Sender<Stage>,
}

/// Counts a request as open until it is dropped.
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
    /// A node that serves.
    #[must_use]
    pub fn new(settings: &StopSettings) -> Self {
        Self {
            stop: Mutex::new(Shutdown::new()),
            policy: Policy {
                notice: settings.notice,
                handover: HANDOVER,
                limit: settings.limit,
            },
            stage: watch::Sender::new(Stage::Serving),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Shutdown> {
        self.stop.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Where the node stands.
    #[must_use]
    pub fn stage(&self) -> Stage {
        self.lock().stage()
    }

    /// The requests under way.
    #[must_use]
    pub fn open(&self) -> u32 {
        self.lock().open()
    }

    /// Counts a request in, unless none is taken any more.
    pub fn begin_request(&self, state: &Arc<State>) -> Option<OpenRequest> {
        let mut stop = self.lock();
        if !stop.accepts() {
            return None;
        }
        stop.on_request_start();
        Some(OpenRequest {
            state: Arc::clone(state),
        })
    }

    /// Takes in a signal to stop.
    pub fn signal(&self, state: &Arc<State>) {
        let now = state.timers.now();
        let actions = self.lock().on_signal(now);
        self.carry_out(state, actions);
    }

    /// Waits until the node stands at `stage` or beyond.
    pub async fn wait(&self, stage: Stage) {
        let mut stages = self.stage.subscribe();
        // The sender lives in `self`.
        let _never_closed = stages.wait_for(|at| *at >= stage).await;
    }

    fn carry_out(&self, state: &Arc<State>, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::FailReady => {
                    info!("stop: not ready any more, callers still served");
                    state.members.announce_leave(state.timers.now());
                }
                Action::StopAccepting => {
                    info!("stop: no new callers, {} requests are open", self.open());
                    state.accepting.cancel();
                }
                Action::HandOver => info!("stop: upstreams handed over"),
                Action::CutRest { open } => {
                    warn!("stop: {open} requests are cut");
                    state.accepting.cancel();
                    state.abort_requests.cancel();
                }
                Action::Leave => info!("stop: nothing is left"),
            }
        }
        let reached = self.stage();
        self.stage
            .send_if_modified(|at| std::mem::replace(at, reached) != reached);
    }
}

/// Goes on with a stop by time, until the node ends.
pub async fn run(state: Arc<State>) {
    let mut stages = state.stopping.stage.subscribe();
    loop {
        let wake = state.stopping.lock().wake(&state.stopping.policy);
        tokio::select! {
            _changed = stages.changed() => {}
            () = state.timers.at(wake) => {}
        }
        let now = state.timers.now();
        let actions = {
            let mut stop = state.stopping.lock();
            let mut actions = stop.on_time(&state.stopping.policy, now);
            if stop.stage() == Stage::HandingOver {
                // Peers see from the membership that this node leaves and take its upstreams.
                actions.extend(stop.on_handover_done(now));
            }
            actions
        };
        state.stopping.carry_out(&state, actions);
    }
}
