//! How an upstream treats requests, as far as this node saw.

use std::time::Duration;

use crate::time::Time;

/// The weight of the newest outcome in the share of failures.
const GAIN: f64 = 0.2;

/// How long an upstream that cannot be reached rests after its first failure.
const REST: Duration = Duration::from_millis(400);

/// The longest rest; upstreams that crashed are back after some seconds.
const REST_LIMIT: Duration = Duration::from_secs(4);

/// How an upstream failed a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Fault {
    /// No connection came about.
    Unreachable,
    /// It was silent for too long.
    Silent,
    /// The connection broke off, or what came is no answer.
    Broken,
    /// It refused, though it seemed to have room.
    Refused,
    /// Another upstream could not reach it, or got no help from it.
    Absent,
    /// Another upstream has its address.
    Moved,
}

impl Fault {
    /// Its name, for logs and counters.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Silent => "silent",
            Self::Broken => "broken",
            Self::Refused => "refused",
            Self::Absent => "absent",
            Self::Moved => "moved",
        }
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    share: f64,
    streak: u32,
    until: Time,
}

impl Health {
    pub(super) fn on_success(&mut self) {
        self.share *= 1.0 - GAIN;
        self.streak = 0;
        self.until = Time::ZERO;
    }

    pub(super) fn on_fault(&mut self, fault: Fault, now: Time) {
        self.share += (1.0 - self.share) * GAIN;
        if matches!(
            fault,
            Fault::Unreachable | Fault::Silent | Fault::Moved | Fault::Absent
        ) {
            let rest = REST * (1 << self.streak.min(4));
            self.streak += 1;
            self.until = now + rest.min(REST_LIMIT);
        }
    }

    /// Whether it rests after failures.
    pub(super) fn rests(&self, now: Time) -> bool {
        now < self.until
    }

    /// The share of requests that it fails, the latest first.
    pub(super) const fn failing(&self) -> f64 {
        self.share
    }
}
