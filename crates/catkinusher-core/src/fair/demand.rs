//! Who asks for more than its share of what there is.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Meter;
use crate::id::CustomerId;
use crate::time::Time;

/// The time over which demand is averaged.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// The part of a capacity that is shared out once more is asked for than all of
/// it; the rest keeps those within their shares as fast as they were.
pub const SHARED: f64 = 0.8;

/// How long a level holds before it is worked out anew.
const REFRESH: Duration = Duration::from_millis(250);

/// What one customer asks for, and what it may still have at once.
#[derive(Debug, Clone, Copy)]
struct Want {
    weight: f64,
    meter: Meter,
    /// Cost that is left in its bucket; negative after one large request.
    left: f64,
    filled: Time,
}

/// What every customer asks for, and the level up to which each gets it.
///
/// Each customer has a bucket that fills at its max-min fair share of the
/// capacity, so that a few requests at once, which say nothing about its
/// demand, are never held against it.
#[derive(Debug, Clone)]
pub struct FairShareLimiter {
    depth: f64,
    wants: BTreeMap<CustomerId, Want>,
    /// Cost a second for one part of weight at which the capacity is used up.
    level: f64,
    fresh: Option<Time>,
}

impl FairShareLimiter {
    /// No demand yet, with buckets of this depth in cost.
    #[must_use]
    pub const fn new(depth: f64) -> Self {
        Self {
            depth,
            wants: BTreeMap::new(),
            level: f64::INFINITY,
            fresh: None,
        }
    }

    /// Notes a request, and answers whether it lies within its customer's share
    /// of `capacity` a second.
    ///
    /// What others leave of their shares is lent, so nobody is beyond while
    /// there is enough for all.
    pub fn record(
        &mut self,
        customer: &CustomerId,
        weight: u32,
        cost: f64,
        capacity: f64,
        now: Time,
    ) -> bool {
        self.refresh(capacity, now);
        let fresh = Want {
            weight: 1.0,
            meter: Meter::new(DEMAND_WINDOW, now),
            left: self.depth,
            filled: now,
        };
        let want = self.wants.entry(customer.clone()).or_insert(fresh);
        want.weight = f64::from(weight.max(1));
        want.meter.add(cost, now);
        want.fill(self.level, self.depth, now);
        let within = want.left >= cost.min(self.depth);
        if within {
            want.left -= cost;
        }
        within
    }

    fn refresh(&mut self, capacity: f64, now: Time) {
        if self.fresh.is_some_and(|fresh| now.since(fresh) < REFRESH) {
            return;
        }
        self.fresh = Some(now);
        let depth = self.depth;
        self.wants
            .retain(|_, want| want.left < depth || want.meter.at(now) >= 1e-3);
        for want in self.wants.values_mut() {
            want.fill(self.level, depth, now);
        }
        self.level = self.level_at(capacity, now);
    }

    /// Fills the shares evenly until what is shared of the capacity is used up.
    fn level_at(&self, capacity: f64, now: Time) -> f64 {
        let wants = self.wants.values();
        let rates = wants.map(|want| (want.meter.at(now), want.weight));
        let mut rates: Vec<_> = rates.collect();
        rates.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut weights = rates.iter().map(|(_, weight)| weight).sum::<f64>();
        if rates.iter().map(|(rate, _)| rate).sum::<f64>() <= capacity {
            return f64::INFINITY;
        }
        let mut left = capacity * SHARED;
        for (rate, weight) in rates {
            let level = left / weights;
            if rate / weight > level {
                return level.max(0.0);
            }
            left -= rate;
            weights -= weight;
        }
        f64::INFINITY
    }
}

impl Want {
    fn fill(&mut self, level: f64, depth: f64, now: Time) {
        let gone = now.since(self.filled).as_secs_f64();
        self.filled = now;
        if level.is_infinite() {
            self.left = depth;
        } else {
            self.left = (self.left + level * self.weight * gone).min(depth);
        }
    }
}
