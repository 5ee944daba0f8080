//! The updates that are still to be gossiped, a bounded number on each message.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::id::VmId;

/// The members whose state is to be gossiped, with the number of sends that remain.
#[derive(Debug, Clone, Default)]
pub(super) struct GossipQueue {
    remaining: BTreeMap<VmId, u32>,
}

impl GossipQueue {
    /// Queues the state of `vm` for this many sends.
    pub fn add(&mut self, vm: &VmId, times: u32) {
        self.remaining.insert(vm.clone(), times);
    }

    /// Removes `vm` from the queue.
    pub fn remove(&mut self, vm: &VmId) {
        self.remaining.remove(vm);
    }

    pub fn is_empty(&self) -> bool {
        self.remaining.is_empty()
    }

    /// Takes the `limit` members with the most sends remaining, and counts one send for each.
    pub fn take_least_sent(&mut self, limit: usize) -> Vec<VmId> {
        let mut order: Vec<_> = self
            .remaining
            .iter()
            .map(|(vm, remaining)| (*remaining, vm))
            .collect();
        order.sort_by_key(|entry| Reverse(entry.0));
        let selected: Vec<VmId> = order
            .into_iter()
            .take(limit)
            .map(|(_, vm)| vm.clone())
            .collect();
        for vm in &selected {
            self.decrement(vm);
        }
        selected
    }

    fn decrement(&mut self, vm: &VmId) {
        if let Some(remaining) = self.remaining.get_mut(vm) {
            *remaining -= 1;
            if *remaining == 0 {
                self.remaining.remove(vm);
            }
        }
    }
}
