//! Simulates a fleet of membership state machines that exchange messages in virtual time.

#![allow(
    dead_code,
    reason = "each test file uses its own subset of the helpers"
)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use catkinusher_core::id::{DataCentreId, Incarnation, VmId};
use catkinusher_core::membership::{
    Change, ListedVm, Location, Membership, Message, Output, Settings,
};
use catkinusher_core::time::Time;

/// The latency of a message between two nodes.
const DELAY: Duration = Duration::from_millis(2);

pub fn vm(name: &str) -> VmId {
    name.parse().expect("a valid test name")
}

pub fn data_centre(name: &str) -> DataCentreId {
    name.parse().expect("a valid test name")
}

/// A VM list with `each` entry VMs, named `dc-NN`, in each data centre.
pub fn listing(data_centres: &[&str], each: usize) -> Vec<ListedVm> {
    let mut list = Vec::new();
    for (row, dc) in data_centres.iter().enumerate() {
        for index in 0..each {
            let address = format!("10.0.{row}.{}:7000", index + 1);
            list.push(ListedVm {
                vm: vm(&format!("{dc}-{index:02}")),
                location: Location {
                    data_centre: data_centre(dc),
                    address: address.parse().expect("a valid test address"),
                },
                leaving: false,
            });
        }
    }
    list
}

/// The nodes of one fleet and the messages in flight between them.
pub struct Net {
    pub now: Time,
    pub nodes: BTreeMap<VmId, Membership>,
    pub list: Vec<ListedVm>,
    pub cut_links: BTreeSet<(VmId, VmId)>,
    pub changes: Vec<(Time, VmId, Change)>,
    pub owner_changes: usize,
    queue: BTreeMap<(Time, u64), (VmId, VmId, Message)>,
    sent: u64,
}

impl Net {
    pub fn new(list: &[ListedVm], seed: u64) -> Self {
        let mut net = Self {
            now: Time::from_millis(1000),
            nodes: BTreeMap::new(),
            list: list.to_vec(),
            cut_links: BTreeSet::new(),
            changes: Vec::new(),
            owner_changes: 0,
            queue: BTreeMap::new(),
            sent: 0,
        };
        for (index, listed) in list.iter().enumerate() {
            net.start(listed, Incarnation::new(1), seed + index as u64);
        }
        net
    }

    pub fn start(&mut self, listed: &ListedVm, incarnation: Incarnation, seed: u64) {
        let mut node = Membership::new(
            listed.vm.clone(),
            listed.location.clone(),
            incarnation,
            seed,
            Settings::default(),
            self.now,
        );
        let outputs = node.on_vm_list(&self.list, self.now);
        self.nodes.insert(listed.vm.clone(), node);
        self.handle_outputs(&listed.vm, outputs);
    }

    /// Cuts (`partitioned`) or heals all links between the nodes that match `side` and the others.
    pub fn partition<F>(&mut self, side: F, partitioned: bool)
    where
        F: Fn(&VmId) -> bool,
    {
        let names: Vec<VmId> = self.nodes.keys().cloned().collect();
        for a in &names {
            for b in names.iter().filter(|b| side(a) != side(b)) {
                let link = (a.clone(), b.clone());
                if partitioned {
                    self.cut_links.insert(link);
                } else {
                    self.cut_links.remove(&link);
                }
            }
        }
    }

    pub fn run(&mut self, length: Duration) {
        let end = self.now + length;
        loop {
            let wake = self.nodes.values().map(Membership::next_wake).min();
            let wake = wake.unwrap_or(Time::NEVER).max(self.now);
            let arrival = self.queue.keys().next().map_or(Time::NEVER, |(at, _)| *at);
            let next = wake.min(arrival);
            if next > end {
                break;
            }
            self.now = next;
            if arrival <= wake {
                self.deliver();
            } else {
                self.tick();
            }
        }
        self.now = end;
    }

    pub fn resend_list(&mut self) {
        let list = self.list.clone();
        for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
            let node = self.nodes.get_mut(&name).expect("the node exists");
            let outputs = node.on_vm_list(&list, self.now);
            self.handle_outputs(&name, outputs);
        }
    }

    pub fn handle_outputs(&mut self, from: &VmId, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    if self.cut_links.contains(&(from.clone(), to.clone())) {
                        continue;
                    }
                    self.sent += 1;
                    let key = (self.now + DELAY, self.sent);
                    self.queue.insert(key, (from.clone(), to, message));
                }
                Output::Changed(change) => {
                    self.owner_changes += usize::from(change == Change::Owners);
                    self.changes.push((self.now, from.clone(), change));
                }
            }
        }
    }

    /// The owners according to the node `name`.
    pub fn owners(&self, name: &str) -> Vec<String> {
        let owners = self.nodes[name].owners();
        owners.map(|(vm, _)| vm.to_string()).collect()
    }

    fn deliver(&mut self) {
        let Some((_, (from, to, message))) = self.queue.pop_first() else {
            return;
        };
        let Some(node) = self.nodes.get_mut(&to) else {
            return;
        };
        let outputs = node.on_message(&from, message, self.now);
        self.handle_outputs(&to, outputs);
    }

    fn tick(&mut self) {
        let due: Vec<VmId> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.next_wake() <= self.now)
            .map(|(name, _)| name.clone())
            .collect();
        for name in due {
            let node = self.nodes.get_mut(&name).expect("the node exists");
            let outputs = node.on_tick(self.now);
            self.handle_outputs(&name, outputs);
        }
    }
}
