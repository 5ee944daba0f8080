//! Chen's estimator of the arrival time of the next heartbeat.
//!
//! W. Chen, S. Toueg and M. K. Aguilera, "On the quality of service of failure
//! detectors" (2002), algorithm NFD-E: the next arrival is expected at the
//! mean of the last arrivals, each shifted to the next sequence number. A member
//! counts as silent once that time and a safety margin have passed.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Time;

/// The number of recent arrivals that the estimate averages.
const WINDOW: usize = 16;

/// Estimates when the next heartbeat of one sender arrives.
#[derive(Debug, Clone)]
pub struct ArrivalEstimator {
    period: Duration,
    margin: Duration,
    last: u64,
    origins: VecDeque<u64>,
    deadline: Time,
}

impl ArrivalEstimator {
    /// Creates an estimator without arrivals; its deadline is two periods and the margin away.
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

    /// Records the arrival of heartbeat `seq`; duplicates and reordered heartbeats are ignored.
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
        self.deadline = Time::from_micros(due.saturating_sub(ORIGIN_BIAS)) + self.margin;
    }

    /// Discards the recorded arrivals and resets the deadline.
    ///
    /// Used when the sender restarts, when it answers a probe, and once it is suspected.
    pub fn restart(&mut self, now: Time) {
        *self = Self::new(self.period, self.margin, now);
    }

    /// The time at which the sender counts as silent unless a heartbeat arrives before.
    #[must_use]
    pub const fn deadline(&self) -> Time {
        self.deadline
    }

    /// Postpones the deadline to `until` unless it is later already.
    pub fn extend(&mut self, until: Time) {
        self.deadline = self.deadline.max(until);
    }

    /// The arrival time of heartbeat 0 as implied by this arrival, plus [`ORIGIN_BIAS`].
    fn origin(&self, seq: u64, now: Time) -> u64 {
        (now.as_micros() + ORIGIN_BIAS)
            .saturating_sub(seq.saturating_mul(self.period.as_micros() as u64))
    }
}

/// Keeps origins from going negative when the sender started before this process.
const ORIGIN_BIAS: u64 = 1 << 62;
