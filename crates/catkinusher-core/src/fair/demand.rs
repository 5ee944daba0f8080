//! Detection of customers whose demand exceeds their fair share.

use std::collections::BTreeMap;
use std::time::Duration;

use super::Meter;
use crate::id::CustomerId;
use crate::time::Time;

/// Averaging window for demand.
pub const DEMAND_WINDOW: Duration = Duration::from_secs(10);

/// Fraction of the capacity that is divided into shares once demand exceeds all
/// of it. The rest is headroom that keeps customers within their shares as fast
/// as they were before.
pub const SHARED_FRACTION: f64 = 0.8;

/// Interval at which the fair rate is recomputed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);

/// The demand of one customer and its token bucket.
#[derive(Debug, Clone, Copy)]
struct CustomerDemand {
    weight: f64,
    meter: Meter,
    /// Cost that remains in the bucket; negative after one large request.
    credit: f64,
    refilled_at: Time,
}

/// Tracks the demand of all customers and limits each to its fair share.
///
/// Each customer has a token bucket that refills at its max-min fair share of
/// the capacity, so that a short burst, which says nothing about the customer's
/// sustained demand, never counts as exceeding the share.
#[derive(Debug, Clone)]
pub struct FairShareLimiter {
    depth: f64,
    customers: BTreeMap<CustomerId, CustomerDemand>,
    /// Cost per second and unit of weight at which the capacity is used up.
    fair_rate: f64,
    refreshed_at: Option<Time>,
}

impl FairShareLimiter {
    /// Creates a limiter without demand, with buckets of this depth in cost.
    #[must_use]
    pub const fn new(depth: f64) -> Self {
        Self {
            depth,
            customers: BTreeMap::new(),
            fair_rate: f64::INFINITY,
            refreshed_at: None,
        }
    }

    /// Records a request and returns whether it is within its customer's share
    /// of `capacity` per second.
    ///
    /// Unused shares are lent to other customers, so no request exceeds a share
    /// while the capacity covers all demand.
    pub fn record(
        &mut self,
        customer: &CustomerId,
        weight: u32,
        cost: f64,
        capacity: f64,
        now: Time,
    ) -> bool {
        self.refresh(capacity, now);
        let new = CustomerDemand {
            weight: 1.0,
            meter: Meter::new(DEMAND_WINDOW, now),
            credit: self.depth,
            refilled_at: now,
        };
        let demand = self.customers.entry(customer.clone()).or_insert(new);
        demand.weight = f64::from(weight.max(1));
        demand.meter.add(cost, now);
        demand.refill(self.fair_rate, self.depth, now);
        let within = demand.credit >= cost.min(self.depth);
        if within {
            demand.credit -= cost;
        }
        within
    }

    fn refresh(&mut self, capacity: f64, now: Time) {
        if self
            .refreshed_at
            .is_some_and(|refreshed_at| now.since(refreshed_at) < REFRESH_INTERVAL)
        {
            return;
        }
        self.refreshed_at = Some(now);
        let depth = self.depth;
        self.customers
            .retain(|_, demand| demand.credit < depth || demand.meter.at(now) >= 1e-3);
        for demand in self.customers.values_mut() {
            demand.refill(self.fair_rate, depth, now);
        }
        self.fair_rate = self.max_min_rate(capacity, now);
    }

    /// The max-min fair rate per unit of weight at which the shared fraction of
    /// the capacity is used up (water filling); infinite if the capacity covers
    /// all demand.
    fn max_min_rate(&self, capacity: f64, now: Time) -> f64 {
        let demands = self.customers.values();
        let rates = demands.map(|demand| (demand.meter.at(now), demand.weight));
        let mut rates: Vec<_> = rates.collect();
        rates.sort_by(|a, b| (a.0 / a.1).total_cmp(&(b.0 / b.1)));
        let mut weights = rates.iter().map(|(_, weight)| weight).sum::<f64>();
        if rates.iter().map(|(rate, _)| rate).sum::<f64>() <= capacity {
            return f64::INFINITY;
        }
        let mut left = capacity * SHARED_FRACTION;
        for (rate, weight) in rates {
            let fair_rate = left / weights;
            if rate / weight > fair_rate {
                return fair_rate.max(0.0);
            }
            left -= rate;
            weights -= weight;
        }
        f64::INFINITY
    }
}

impl CustomerDemand {
    fn refill(&mut self, fair_rate: f64, depth: f64, now: Time) {
        let elapsed = now.since(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        if fair_rate.is_infinite() {
            self.credit = depth;
        } else {
            self.credit = (self.credit + fair_rate * self.weight * elapsed).min(depth);
        }
    }
}
