//! The stop of a node, from the first signal to the last byte.

use serde::{Deserialize, Serialize};

use crate::time::Time;
use crate::units::Span;

/// How long the parts of a stop may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Policy {
    /// How long callers may still come after `/readyz` began to fail, until the balancer has seen it.
    pub notice: Span,
    /// How long the hand-over to other owners may take.
    pub handover: Span,
    /// How long after the first signal the node leaves at the latest.
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

/// Where a node stands between serving and gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It serves.
    Serving,
    /// `/readyz` fails; callers that still come are served.
    Unready,
    /// No new connection or request is taken; what it owns goes to others.
    HandingOver,
    /// Only requests under way are left.
    Finishing,
    /// Everything has ended or was ended.
    Left,
}

/// What the daemon does next in a stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Action {
    /// Let `/readyz` fail and tell the peers.
    FailReady,
    /// Close the listeners and refuse new requests on open connections.
    StopAccepting,
    /// Hand over upstreams, leases and claims.
    HandOver,
    /// End what is left, each with its true outcome, and log the count.
    CutRest {
        /// The requests that are cut.
        open: u32,
    },
    /// End the process.
    Leave,
}

/// The stop of one node.
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
    /// A node that serves.
    #[must_use]
    pub const fn new() -> Self {
        Self {
            stage: Stage::Serving,
            begun: Time::ZERO,
            entered: Time::ZERO,
            open: 0,
        }
    }

    /// Where the node stands.
    #[must_use]
    pub const fn stage(&self) -> Stage {
        self.stage
    }

    /// Whether `/readyz` succeeds.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage == Stage::Serving
    }

    /// Whether a new request is taken.
    #[must_use]
    pub fn accepts(&self) -> bool {
        self.stage <= Stage::Unready
    }

    /// The requests under way.
    #[must_use]
    pub const fn open(&self) -> u32 {
        self.open
    }

    /// Takes in that a request began.
    pub const fn on_request_start(&mut self) {
        self.open += 1;
    }

    /// Takes in that a request has ended and its last byte is out.
    pub fn on_request_end(&mut self, now: Time) -> Vec<Action> {
        self.open = self.open.saturating_sub(1);
        self.leave_if_idle(now)
    }

    /// Takes in a signal to stop; a second one ends what is left at once.
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

    /// Takes in that the hand-over is done.
    pub fn on_handover_done(&mut self, now: Time) -> Vec<Action> {
        if self.stage == Stage::HandingOver {
            self.enter(Stage::Finishing, now);
        }
        self.leave_if_idle(now)
    }

    /// Goes on by time.
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
