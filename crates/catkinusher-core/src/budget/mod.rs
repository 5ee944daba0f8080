//! The rate at which a node may call the platform, and what goes first.
//!
//! The platform counts each call, and its rates grow more slowly than the
//! fleet. Calls share one token bucket; the less urgent a call, the more tokens
//! it must leave to others. A floor of its own keeps each kind going when the
//! others take all.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::time::Time;
use crate::units::Rate;

/// What a call is for, the most urgent first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Purpose {
    /// A claim of a request that must not run twice; a caller waits for it.
    Claim,
    /// A lease, whose holder stops if it can't renew.
    Lease,
    /// The configuration.
    Configuration,
    /// Status, which only lags if it waits.
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
    /// The calls a second that the whole fleet may make.
    pub fleet: Rate,
    /// The least that a node may make, however many there are.
    pub least: Rate,
    /// How many seconds of its rate a node may save up.
    pub burst: f64,
    /// The share of the bucket that calls of each purpose leave to more urgent ones.
    pub reserve: [f64; PURPOSES],
    /// The share of the rate that each purpose has to itself.
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
    /// Make it; its token is taken.
    Allow,
    /// Ask again after this time.
    Wait(Duration),
}

/// The budget of one node for one kind of call.
#[derive(Debug, Clone)]
pub struct Budget {
    settings: Settings,
    rate: f64,
    tokens: f64,
    floors: [f64; PURPOSES],
    at: Time,
    paused: Time,
}

impl Budget {
    /// A full budget of a node that is one of `nodes`.
    #[must_use]
    pub fn new(settings: Settings, nodes: usize, now: Time) -> Self {
        let mut budget = Self {
            rate: 0.0,
            tokens: 0.0,
            floors: [1.0; PURPOSES],
            at: now,
            paused: now,
            settings,
        };
        budget.on_nodes(nodes, now);
        budget.tokens = budget.cap();
        budget
    }

    /// Takes in how many nodes share the fleet's rate.
    pub fn on_nodes(&mut self, nodes: usize, now: Time) {
        self.refill(now);
        let share = self.settings.fleet.get() / nodes.max(1) as f64;
        self.rate = share.max(self.settings.least.get());
        self.tokens = self.tokens.min(self.cap());
    }

    /// Takes in that the platform asked to wait so long.
    pub fn on_refused(&mut self, wait: Duration, now: Time) {
        self.paused = self.paused.max(now + wait);
    }

    /// Whether a call may be made now.
    pub fn take(&mut self, purpose: Purpose, now: Time) -> Verdict {
        if now < self.paused {
            return Verdict::Wait(self.paused.since(now));
        }
        self.refill(now);
        let needed = 1.0 + self.settings.reserve[purpose.index()] * self.cap();
        if self.tokens >= needed {
            self.tokens -= 1.0;
            return Verdict::Allow;
        }
        let floor = &mut self.floors[purpose.index()];
        if *floor >= 1.0 {
            *floor -= 1.0;
            return Verdict::Allow;
        }
        let common = (needed - self.tokens) / self.rate;
        let own = (1.0 - *floor) / (self.rate * self.settings.floor);
        Verdict::Wait(Duration::from_secs_f64(common.min(own).max(0.001)))
    }

    /// The most tokens that are saved up; at least one call fits over every reserve.
    fn cap(&self) -> f64 {
        (self.rate * self.settings.burst).max(4.0)
    }

    fn refill(&mut self, now: Time) {
        let earned = now.since(self.at).as_secs_f64() * self.rate;
        self.at = self.at.max(now);
        let own = earned * self.settings.floor;
        self.tokens = (self.tokens + earned - own * PURPOSES as f64).min(self.cap());
        for floor in &mut self.floors {
            *floor = (*floor + own).min(1.0);
        }
    }
}
