//! Chen's estimate of when the next heartbeat is due.
//!
//! W. Chen, S. Toueg and M. K. Aguilera, "On the quality of service of failure
//! detectors" (2002), algorithm NFD-E: the next arrival is expected at the
//! mean of the last arrivals, each brought to the next number, and a member is
//! silent once that moment and a safety margin have passed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// How many arrivals the estimate looks back on.
const WINDOW: usize = 16;

/// The estimate for one sender of heartbeats.
#[derive(Debug, Clone)]
pub struct ArrivalEstimator {
    period: Duration,
    margin: Duration,
    last: u64,
    origins: VecDeque<u64>,
    deadline: Time,
}

impl ArrivalEstimator {
    /// An estimate that has heard nothing yet and waits two periods.
    #[must_use]
    pub fn new(period: Duration, margin: Duration, now: Time) -> Self {
        Self {
            period,
            margin,
            last: 0,
            origins: VecDeque::with_capacity(WINDOW),
            deadline: now + period * 2 + margin,
        }
    }

    /// Takes in the heartbeat of number `seq`; an old one changes nothing.
    pub fn on_heartbeat(&mut self, seq: u64, now: Time) {
        if seq <= self.last {
            return;
        }
        self.last = seq;
        if self.origins.len() == WINDOW {
            self.origins.pop_front();
        }
        self.origins.push_back(self.origin(seq, now));
        let sum: u128 = self.origins.iter().map(|&o| u128::from(o)).sum();
        let mean = (sum / self.origins.len() as u128) as u64;
        let due = mean.wrapping_add((seq + 1).wrapping_mul(self.period.as_micros() as u64));
        self.deadline = Time::from_micros(due.saturating_sub(BIAS)) + self.margin;
    }

    /// Forgets the rhythm and waits anew, after another sign of life or a new process.
    pub fn restart(&mut self, now: Time) {
        *self = Self::new(self.period, self.margin, now);
    }

    /// When the sender counts as silent unless a heartbeat arrives.
    #[must_use]
    pub const fn deadline(&self) -> Time {
        self.deadline
    }

    /// Moves the deadline to `until` at least.
    pub fn extend(&mut self, until: Time) {
        self.deadline = self.deadline.max(until);
    }

    /// The moment of number 0 by this arrival, shifted so that it is never negative.
    fn origin(&self, seq: u64, now: Time) -> u64 {
        (now.as_micros() + BIAS).saturating_sub(seq.saturating_mul(self.period.as_micros() as u64))
    }
}

/// The shift that keeps origins positive for senders older than this process.
const BIAS: u64 = 1 << 62;
