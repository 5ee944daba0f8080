//! Detection of dead connections.
//!
//! A middlebox can drop the state of an open connection while new connections
//! still work. So silence alone does not fail a connection whose peer can be
//! probed: a probe on a new connection asks the peer first, and its answer or
//! its timeout decides.

use serde::{Deserialize, Serialize};

use crate::time::Time;
use crate::units::Span;

/// The kind of peer at the other end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Side {
    /// A caller; it cannot be probed.
    Caller,
    /// Another catkinusher daemon.
    Peer,
    /// An upstream.
    Upstream,
    /// The platform's object API or VM list.
    Platform,
}

/// Timeouts for silence on a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Limits {
    /// Silence after which the peer is probed, or held dead if it cannot be probed.
    pub silence: Span,
    /// Timeout of the probe itself.
    pub probe: Span,
}

impl Limits {
    /// The limits for connections to `side`.
    #[must_use]
    pub const fn of(side: Side) -> Self {
        let (silence, probe) = match side {
            Side::Caller => (30_000, 0),
            Side::Peer => (1_000, 500),
            Side::Upstream => (2_000, 1_000),
            Side::Platform => (5_000, 1_000),
        };
        Self {
            silence: Span::from_millis(silence),
            probe: Span::from_millis(probe),
        }
    }
}

/// The result of a probe for the work on a silent connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Probe {
    /// The peer is working on it and has got this far, in the unit of [`Watch::on_progress`].
    Working {
        /// The amount of work done.
        done: u64,
    },
    /// The peer is alive and does not know the work.
    Unknown,
    /// The peer did not answer the probe.
    Silent,
}

/// The action to take for a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Nothing to do before this time.
    Wait {
        /// When to check again.
        until: Time,
    },
    /// Probe the peer on a new connection.
    Ask,
    /// The connection is lost but the work continues: resume it on a new connection.
    Resume,
    /// The peer is alive and does not have the work.
    Gone,
    /// The peer is considered dead.
    Dead,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
enum State {
    Quiet { since: Time },
    Asking { since: Time },
    Over { verdict: Verdict },
}

/// Tracks the progress of one connection or stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Watch {
    side: Side,
    limits: Limits,
    done: u64,
    state: State,
}

impl Watch {
    /// Starts tracking at `now`.
    #[must_use]
    pub const fn new(side: Side, limits: Limits, now: Time) -> Self {
        Self {
            side,
            limits,
            done: 0,
            state: State::Quiet { since: now },
        }
    }

    /// Records that data arrived, and the total work done so far.
    pub fn on_progress(&mut self, done: u64, now: Time) {
        if matches!(self.state, State::Over { .. }) {
            return;
        }
        self.done = self.done.max(done);
        self.state = State::Quiet { since: now };
    }

    /// Returns the action to take at `now`; probes at most once per silent period.
    pub fn on_time(&mut self, now: Time) -> Verdict {
        match self.state {
            State::Over { verdict } => verdict,
            State::Quiet { since } => self.on_quiet(since, now),
            State::Asking { since } => self.on_asking(since, now),
        }
    }

    fn on_quiet(&mut self, since: Time, now: Time) -> Verdict {
        let until = since + self.limits.silence.get();
        if now < until {
            return Verdict::Wait { until };
        }
        if self.side == Side::Caller {
            return self.end(Verdict::Dead);
        }
        self.state = State::Asking { since: now };
        Verdict::Ask
    }

    fn on_asking(&mut self, since: Time, now: Time) -> Verdict {
        let until = since + self.limits.probe.get();
        if now < until {
            return Verdict::Wait { until };
        }
        self.end(Verdict::Dead)
    }

    fn end(&mut self, verdict: Verdict) -> Verdict {
        self.state = State::Over { verdict };
        verdict
    }

    /// Handles the result of a probe.
    pub fn on_probe(&mut self, probe: Probe, now: Time) -> Verdict {
        if !matches!(self.state, State::Asking { .. }) {
            return self.on_time(now);
        }
        match probe {
            Probe::Working { done } if done > self.done => self.end(Verdict::Resume),
            Probe::Working { .. } => self.keep_waiting(now),
            Probe::Unknown => self.end(Verdict::Gone),
            Probe::Silent => self.end(Verdict::Dead),
        }
    }

    // The peer had nothing to send, as during a long prefill, so the connection may be intact.
    fn keep_waiting(&mut self, now: Time) -> Verdict {
        self.state = State::Quiet { since: now };
        let until = now + self.limits.silence.get();
        Verdict::Wait { until }
    }
}
