//! How an upstream treats requests, as far as this node and its peers saw.
//!
//! An upstream that fails at once looks idle and would draw all requests to
//! it, however well it looks to health checks. So what its requests end with
//! counts, and nodes tell each other how many have failed.

use std::time::Duration;

use crate::time::Time;

/// The weight of the newest outcome in the share of failures: a handful in a row make most of it.
const GAIN: f64 = 0.15;

/// The time in which a share of failures halves without news, so that an upstream is tried again.
const HALF_LIFE: Duration = Duration::from_secs(4);

/// The share of failures from which an upstream gets requests only if no other can.
const SOUND: f64 = 0.5;

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
    /// It ran the request and answered that it failed.
    Failed,
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
            Self::Failed => "failed",
        }
    }

    /// Whether it tells of the upstream itself rather than of the way to it.
    pub(super) const fn is_own(self) -> bool {
        matches!(self, Self::Broken | Self::Failed | Self::Moved)
    }
}

#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Health {
    share: f64,
    at: Time,
    streak: u32,
    until: Time,
}

impl Health {
    pub(super) fn on_success(&mut self, now: Time) {
        self.on_outcomes(1, 0, now);
        self.streak = 0;
        self.until = Time::ZERO;
    }

    pub(super) fn on_fault(&mut self, fault: Fault, now: Time) {
        self.on_outcomes(0, 1, now);
        if matches!(
            fault,
            Fault::Unreachable | Fault::Silent | Fault::Moved | Fault::Absent
        ) {
            // Who answers there is certain, and its own entry will tell when it is back.
            let rest = if fault == Fault::Moved {
                REST_LIMIT
            } else {
                REST * (1 << self.streak.min(4))
            };
            self.streak += 1;
            self.until = now + rest.min(REST_LIMIT);
        }
    }

    /// Takes in how many requests have succeeded and failed since the last word.
    pub(super) fn on_outcomes(&mut self, done: u32, failed: u32, now: Time) {
        let count = done + failed;
        if count == 0 {
            return;
        }
        let old = (1.0 - GAIN).powf(f64::from(count));
        let latest = f64::from(failed) / f64::from(count);
        self.share = self.failing(now) * old + latest * (1.0 - old);
        self.at = now;
    }

    /// Whether it should get requests that others can serve.
    pub(super) fn is_sound(&self, now: Time) -> bool {
        now >= self.until && self.failing(now) < SOUND
    }

    /// The share of requests that it fails, the latest first.
    pub(super) fn failing(&self, now: Time) -> f64 {
        let halvings = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        self.share * (-halvings).exp2()
    }
}
