//! Weighted fair sharing between customers: a fair queue and a limiter of excess demand.
//!
//! The queue implements start-time fair queueing: an item's start tag is the
//! greater of the queue's virtual time and the finish tag of its customer's
//! last item, and the item with the lowest tag is served first. An idle
//! customer accumulates no credit; its share goes to the others meanwhile.

mod demand;
mod meter;

use std::collections::BTreeMap;

pub use self::demand::{DEMAND_WINDOW, FairShareLimiter};
pub use self::meter::Meter;

use crate::id::CustomerId;

/// The position of an item in the queue, needed to remove the item.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag {
    start: u64,
    sequence: u64,
}

impl Tag {
    /// The start tag of the item, in cost per unit of weight.
    #[must_use]
    pub const fn start(self) -> u64 {
        self.start
    }
}

/// A queue that serves customers in weighted fair order.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    virtual_time: u64,
    sequence: u64,
    finish_tags: BTreeMap<CustomerId, u64>,
    items: BTreeMap<Tag, Item<T>>,
    total_cost: u64,
}

/// A queued value with its cost.
#[derive(Debug, Clone)]
struct Item<T> {
    cost: u64,
    value: T,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            virtual_time: 0,
            sequence: 0,
            finish_tags: BTreeMap::new(),
            items: BTreeMap::new(),
            total_cost: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Enqueues an item of this cost behind its customer's other items.
    pub fn push(&mut self, customer: &CustomerId, weight: u32, cost: u64, value: T) -> Tag {
        let start = self.start_tag(customer);
        self.sequence += 1;
        let tag = Tag {
            start,
            sequence: self.sequence,
        };
        let finish = start + cost.max(1) / u64::from(weight.max(1));
        self.finish_tags.insert(customer.clone(), finish);
        self.items.insert(tag, Item { cost, value });
        self.total_cost += cost;
        tag
    }

    /// The start tag that a new item of this customer would get.
    #[must_use]
    pub fn start_tag(&self, customer: &CustomerId) -> u64 {
        let last = self.finish_tags.get(customer).copied().unwrap_or(0);
        last.max(self.virtual_time)
    }

    /// The next item to serve.
    #[must_use]
    pub fn first(&self) -> Option<(Tag, &T)> {
        let (tag, item) = self.items.first_key_value()?;
        Some((*tag, &item.value))
    }

    /// Removes an item to serve it and advances the virtual time.
    pub fn serve(&mut self, tag: Tag) -> Option<T> {
        let value = self.remove(tag)?;
        self.virtual_time = self.virtual_time.max(tag.start);
        self.drop_idle_customers();
        Some(value)
    }

    /// Removes an item without serving it.
    pub fn remove(&mut self, tag: Tag) -> Option<T> {
        let item = self.items.remove(&tag)?;
        self.total_cost -= item.cost;
        Some(item.value)
    }

    /// The total cost of all queued items.
    #[must_use]
    pub const fn total_cost(&self) -> u64 {
        self.total_cost
    }

    /// The total cost of the items that would be served before a new item of this customer.
    #[must_use]
    pub fn cost_ahead_of(&self, customer: &CustomerId) -> u64 {
        let start = self.start_tag(customer);
        let before = self.items.iter().take_while(|(tag, _)| tag.start <= start);
        before.map(|(_, item)| item.cost).sum()
    }

    /// The items in service order.
    pub fn iter(&self) -> impl Iterator<Item = (Tag, &T)> {
        self.items.iter().map(|(tag, item)| (*tag, &item.value))
    }

    /// The number of queued items.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether the queue is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Drops finish tags that the virtual time has passed, which bounds the map by the number of
    /// active customers.
    fn drop_idle_customers(&mut self) {
        if self.items.is_empty() {
            self.virtual_time = self
                .finish_tags
                .values()
                .copied()
                .fold(self.virtual_time, u64::max);
            self.finish_tags.clear();
        } else if self.sequence.is_multiple_of(256) {
            let virtual_time = self.virtual_time;
            self.finish_tags.retain(|_, finish| *finish > virtual_time);
        }
    }
}
