//! Graceful shutdown of a node, from the first signal to the last byte sent.

use serde::{Deserialize, Serialize};

use crate::time::Time;
use crate::units::Span;

/// The time limits of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How long new requests are still accepted after `/readyz` starts to fail, so that the load
    /// balancer has time to notice.
    pub notice: Span,
    /// The time limit of the hand-over to other owners.
    pub handover: Span,
    /// The time after the first signal at which the node stops at the latest.
    pub limit: Span,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            notice: Span::from_secs(3),
            handover: Span::from_secs(2),
            limit: Span::from_secs(900),
        }
    }
}

/// The stage of a node's shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// The node serves; no shutdown has begun.
    Serving,
    /// `/readyz` fails; new requests are still accepted.
    Unready,
    /// No new connection or request is accepted; ownership is handed over to other nodes.
    HandingOver,
    /// Waiting for the running requests to finish.
    Finishing,
    /// All requests have finished or were cut.
    Left,
}

/// An action that the daemon carries out during a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Make `/readyz` fail and inform the peers.
    FailReady,
    /// Close the listeners and refuse new requests on open connections.
    StopAccepting,
    /// Hand over upstreams, leases and claims.
    HandOver,
    /// End the remaining requests, each with its true outcome, and log their number.
    CutRest {
        /// The number of requests that are cut.
        open: u32,
    },
    /// Exit the process.
    Leave,
}

/// The state machine of one node's shutdown.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Shutdown {
    stage: Stage,
    begun: Time,
    entered: Time,
    open: u32,
}

impl Default for Shutdown {
    fn default() -> Self {
        Self::new()
    }
}

impl Shutdown {
    /// Creates the state of a node that serves.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            stage: Stage::Serving,
            begun: Time::ZERO,
            entered: Time::ZERO,
            open: 0,
        }
    }

    /// The current stage.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether `/readyz` succeeds.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub fn accepts(&self) -> bool {
        self.stage <= Stage::Unready
    }

    /// The number of running requests.
    #[must_use]
    pub const fn open(&self) -> u32 {
        self.open
    }

    /// Handles the start of a request.
    pub const fn on_request_start(&mut self) {
        self.open += 1;
    }

    /// Handles the end of a request, after its last byte was sent.
    pub fn on_request_end(&mut self, now: Time) -> Vec<Action> {
        self.open = self.open.saturating_sub(1);
        self.leave_if_idle(now)
    }

    /// Handles a signal to stop; a second one cuts the remaining requests at once.
    pub fn on_signal(&mut self, now: Time) -> Vec<Action> {
        match self.stage {
            Stage::Serving => {
                self.begun = now;
                self.enter(Stage::Unready, now);
                vec![Action::FailReady]
            }
            Stage::Left => Vec::new(),
            _ => self.cut(now),
        }
    }

    /// Handles the end of the hand-over.
    pub fn on_handover_done(&mut self, now: Time) -> Vec<Action> {
        if self.stage == Stage::HandingOver {
            self.enter(Stage::Finishing, now);
        }
        self.leave_if_idle(now)
    }

    /// Advances to the next stage when its time has come.
    pub fn on_time(&mut self, policy: &Policy, now: Time) -> Vec<Action> {
        if self.stage == Stage::Serving || self.stage == Stage::Left {
            return Vec::new();
        }
        if now >= self.begun + policy.limit.get() {
            return self.cut(now);
        }
        let spent = now.since(self.entered);
        match self.stage {
            Stage::Unready if spent >= policy.notice.get() => {
                self.enter(Stage::HandingOver, now);
                vec![Action::StopAccepting, Action::HandOver]
            }
            Stage::HandingOver if spent >= policy.handover.get() => {
                self.enter(Stage::Finishing, now);
                self.leave_if_idle(now)
            }
            _ => Vec::new(),
        }
    }

    /// When to call [`on_time`](Self::on_time) next.
    #[must_use]
    pub fn wake(&self, policy: &Policy) -> Time {
        let limit = self.begun + policy.limit.get();
        match self.stage {
            Stage::Serving | Stage::Left => Time::NEVER,
            Stage::Unready => limit.min(self.entered + policy.notice.get()),
            Stage::HandingOver => limit.min(self.entered + policy.handover.get()),
            Stage::Finishing => limit,
        }
    }

    fn enter(&mut self, stage: Stage, now: Time) {
        self.stage = stage;
        self.entered = now;
    }

    fn leave_if_idle(&mut self, now: Time) -> Vec<Action> {
        if self.stage != Stage::Finishing || self.open > 0 {
            return Vec::new();
        }
        self.enter(Stage::Left, now);
        vec![Action::Leave]
    }

    fn cut(&mut self, now: Time) -> Vec<Action> {
        let open = self.open;
        let unready = self.stage == Stage::Unready;
        self.enter(Stage::Left, now);
        let mut actions = Vec::new();
        if unready {
            actions.push(Action::StopAccepting);
        }
        if open > 0 {
            actions.push(Action::CutRest { open });
        }
        actions.push(Action::Leave);
        actions
    }
}
