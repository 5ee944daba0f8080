//! Fair shares between customers by weight and cost: a queue, and who asks for too much.
//!
//! Start-time fair queueing: an item's tag is the later of the queue's
//! virtual time and its customer's last finish, and the lowest tag goes
//! first. A customer that is idle saves nothing up, and its share is lent to
//! the others meanwhile.

mod demand;
mod meter;

use std::collections::BTreeMap;

pub use self::demand::{DEMAND_WINDOW, FairShareLimiter};
pub use self::meter::Meter;

use crate::id::CustomerId;

/// Where an item stands in the queue; keep it to take the item out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag {
    start: u64,
    serial: u64,
}

impl Tag {
    /// The virtual start of the item, in cost per weight.
    #[must_use]
    pub const fn start(self) -> u64 {
        self.start
    }
}

/// Items waiting, in the order of weighted fair shares.
#[derive(Debug, Clone)]
pub struct FairQueue<T> {
    clock: u64,
    serial: u64,
    finish: BTreeMap<CustomerId, u64>,
    items: BTreeMap<Tag, Item<T>>,
    total: u64,
}

/// An item and what it costs.
#[derive(Debug, Clone)]
struct Item<T> {
    cost: u64,
    value: T,
}

impl<T> Default for FairQueue<T> {
    fn default() -> Self {
        Self {
            clock: 0,
            serial: 0,
            finish: BTreeMap::new(),
            items: BTreeMap::new(),
            total: 0,
        }
    }
}

impl<T> FairQueue<T> {
    /// Puts an item of this cost behind what its customer has waiting.
    pub fn push(&mut self, customer: &CustomerId, weight: u32, cost: u64, value: T) -> Tag {
        let start = self.start_of(customer);
        self.serial += 1;
        let tag = Tag {
            start,
            serial: self.serial,
        };
        let end = start + cost.max(1) / u64::from(weight.max(1));
        self.finish.insert(customer.clone(), end);
        self.items.insert(tag, Item { cost, value });
        self.total += cost;
        tag
    }

    /// Where a new item of this customer would start.
    #[must_use]
    pub fn start_of(&self, customer: &CustomerId) -> u64 {
        let last = self.finish.get(customer).copied().unwrap_or(0);
        last.max(self.clock)
    }

    /// The item to serve next.
    #[must_use]
    pub fn first(&self) -> Option<(Tag, &T)> {
        let (tag, item) = self.items.first_key_value()?;
        Some((*tag, &item.value))
    }

    /// Takes an item out to serve it, which moves the virtual time on.
    pub fn serve(&mut self, tag: Tag) -> Option<T> {
        let value = self.remove(tag)?;
        self.clock = self.clock.max(tag.start);
        self.forget_idle();
        Some(value)
    }

    /// Takes an item out unserved.
    pub fn remove(&mut self, tag: Tag) -> Option<T> {
        let item = self.items.remove(&tag)?;
        self.total -= item.cost;
        Some(item.value)
    }

    /// The cost of all that waits.
    #[must_use]
    pub const fn total_cost(&self) -> u64 {
        self.total
    }

    /// The cost of what goes before a new item of this customer.
    #[must_use]
    pub fn cost_ahead_of(&self, customer: &CustomerId) -> u64 {
        let start = self.start_of(customer);
        let before = self.items.iter().take_while(|(tag, _)| tag.start <= start);
        before.map(|(_, item)| item.cost).sum()
    }

    /// The items in the order of service.
    pub fn iter(&self) -> impl Iterator<Item = (Tag, &T)> {
        self.items.iter().map(|(tag, item)| (*tag, &item.value))
    }

    /// How many items wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Drops customers whose finish has passed, which bounds the map by those active.
    fn forget_idle(&mut self) {
        if self.items.is_empty() {
            self.clock = self.finish.values().copied().fold(self.clock, u64::max);
            self.finish.clear();
        } else if self.serial.is_multiple_of(256) {
            let clock = self.clock;
            self.finish.retain(|_, end| *end > clock);
        }
    }
}
