//! Rate limits for a node's calls to the platform, by priority.
//!
//! The platform counts each call, and its rate limits grow more slowly than the
//! fleet. Calls share one token bucket; the less urgent a call, the more tokens
//! it must leave for others. A guaranteed minimum rate for each purpose prevents
//! starvation when other calls use up the bucket.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;
use crate::units::Rate;

/// The purpose of a call, most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// A claim on a request that must not run twice; a caller waits for it.
    Claim,
    /// A lease; its holder stops if it cannot renew it.
    Lease,
    /// The configuration.
    Configuration,
    /// Status reports, which only become stale if delayed.
    Status,
}

/// The number of purposes.
const PURPOSES: usize = 4;

impl Purpose {
    const fn index(self) -> usize {
        self as usize
    }
}

/// The rates of one kind of call, reads or writes.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// The rate at which the whole fleet may make calls, divided evenly among its nodes.
    pub fleet: Rate,
    /// The minimum rate of a node. It also applies if the node's part of `fleet` is
    /// smaller, so a large fleet may exceed `fleet` in total.
    pub least: Rate,
    /// The burst of a node, in seconds of its rate.
    pub burst: f64,
    /// The share of the bucket that each purpose must leave for more urgent calls.
    pub reserve: [f64; PURPOSES],
    /// The share of the rate that is guaranteed to each purpose.
    pub floor: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            fleet: Rate::per_second(200.0),
            least: Rate::per_second(0.5),
            burst: 10.0,
            reserve: [0.0, 0.1, 0.3, 0.5],
            floor: 0.05,
        }
    }
}

/// Whether a call may be made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The call may be made; its token has been taken.
    Allow,
    /// The call must wait for this time and then ask again.
    Wait(Duration),
}

/// The call budget of one node for one kind of call.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: Settings,
    rate: f64,
    tokens: f64,
    floors: [f64; PURPOSES],
    refilled_at: Time,
    paused_until: Time,
}

impl Budget {
    /// A full budget for one of `nodes` nodes.
    #[must_use]
    pub fn new(settings: Settings, nodes: usize, now: Time) -> Self {
        let mut budget = Self {
            rate: 0.0,
            tokens: 0.0,
            floors: [1.0; PURPOSES],
            refilled_at: now,
            paused_until: now,
            settings,
        };
        budget.on_nodes(nodes, now);
        budget.tokens = budget.capacity();
        budget
    }

    /// Updates the number of nodes that share the fleet's rate.
    pub fn on_nodes(&mut self, nodes: usize, now: Time) {
        self.refill(now);
        let share = self.settings.fleet.get() / nodes.max(1) as f64;
        self.rate = share.max(self.settings.least.get());
        self.tokens = self.tokens.min(self.capacity());
    }

    /// Pauses all calls for the time that the platform asked for.
    pub fn on_refused(&mut self, wait: Duration, now: Time) {
        self.paused_until = self.paused_until.max(now + wait);
    }

    /// Takes a token for a call, if the call may be made now.
    pub fn take(&mut self, purpose: Purpose, now: Time) -> Verdict {
        if now < self.paused_until {
            return Verdict::Wait(self.paused_until.since(now));
        }
        self.refill(now);
        let needed = 1.0 + self.settings.reserve[purpose.index()] * self.capacity();
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Verdict::Allow;
        }
        let floor = &mut self.floors[purpose.index()];
        if *floor >= 1.0 {
            *floor -= 1.0;
            return Verdict::Allow;
        }
        let shared_wait = (needed - self.tokens) / self.rate;
        let own_wait = (1.0 - *floor) / (self.rate * self.settings.floor);
        Verdict::Wait(Duration::from_secs_f64(
            shared_wait.min(own_wait).max(0.001),
        ))
    }

    /// The bucket size; at least 4, so that a full bucket allows a call whose reserve is at most 0.75.
    fn capacity(&self) -> f64 {
        (self.rate * self.settings.burst).max(4.0)
    }

    fn refill(&mut self, now: Time) {
        let earned = now.since(self.refilled_at).as_secs_f64() * self.rate;
        self.refilled_at = self.refilled_at.max(now);
        let own = earned * self.settings.floor;
        self.tokens = (self.tokens + earned - own * PURPOSES as f64).min(self.capacity());
        for floor in &mut self.floors {
            *floor = (*floor + own).min(1.0);
        }
    }
}
