//! The configuration reaches every node, and its revision never goes back.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::id::{DataCentreId, VmId};
use catkinusher_core::spread::{
    Age, ConfigReplica, Message, Output, Patch, Refusal, Revision, Settings,
};
use catkinusher_core::time::Time;
use proptest::prelude::*;

const EACH: usize = 12;

fn text(version: u64) -> Arc<str> {
    format!("revision {version}").into()
}

fn members(data_centres: usize) -> Vec<(VmId, DataCentreId)> {
    (0..data_centres * EACH)
        .map(|index| {
            let vm = format!("e{index:02}").parse().expect("a valid name");
            let dc = format!("d{}", index / EACH).parse().expect("a valid name");
            (vm, dc)
        })
        .collect()
}

/// Nodes whose messages are delivered in order and without delay.
struct Net {
    now: Time,
    nodes: BTreeMap<VmId, ConfigReplica>,
    watchers: BTreeSet<VmId>,
    unreachable: BTreeSet<VmId>,
    sent: BTreeMap<VmId, usize>,
    bodies: BTreeMap<VmId, usize>,
    adopted: BTreeMap<VmId, Vec<u64>>,
    queue: VecDeque<(VmId, VmId, Message)>,
}

impl Net {
    fn new(data_centres: usize) -> Self {
        let mut net = Self {
            now: Time::from_millis(1000),
            nodes: BTreeMap::new(),
            watchers: BTreeSet::new(),
            unreachable: BTreeSet::new(),
            sent: BTreeMap::new(),
            bodies: BTreeMap::new(),
            adopted: BTreeMap::new(),
            queue: VecDeque::new(),
        };
        let all = members(data_centres);
        for (seed, (vm, _)) in all.iter().enumerate() {
            let spread = ConfigReplica::new(vm.clone(), seed as u64, Settings::default(), net.now);
            net.nodes.insert(vm.clone(), spread);
        }
        for (vm, _) in &all {
            let members = all.iter().map(|(vm, dc)| (vm, dc));
            let node = net.nodes.get_mut(vm).expect("the node exists");
            let outputs = node.on_members(members, true, net.now);
            net.handle_outputs(vm, outputs);
        }
        net
    }

    fn handle_outputs(&mut self, from: &VmId, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Send { to, message } => {
                    *self.sent.entry(from.clone()).or_default() += 1;
                    self.queue.push_back((from.clone(), to, message));
                }
                Output::Adopt(revision, _) => {
                    let adopted = self.adopted.entry(from.clone()).or_default();
                    adopted.push(revision.version());
                }
                Output::Watch(true) => {
                    self.watchers.insert(from.clone());
                }
                Output::Watch(false) => {
                    self.watchers.remove(from);
                }
                Output::Read | Output::Ready(_) | Output::Refused(_) => {}
            }
        }
    }

    fn deliver_all(&mut self) {
        while let Some((from, to, message)) = self.queue.pop_front() {
            if self.unreachable.contains(&from) || self.unreachable.contains(&to) {
                continue;
            }
            if matches!(message, Message::Body(..)) {
                *self.bodies.entry(to.clone()).or_default() += 1;
            }
            let node = self.nodes.get_mut(&to).expect("the node exists");
            let outputs = node.on_message(&from, message, self.now);
            self.handle_outputs(&to, outputs);
        }
    }

    fn run(&mut self, length: Duration) {
        let end = self.now + length;
        loop {
            let next = self.nodes.values().map(ConfigReplica::next_wake).min();
            let next = next.unwrap_or(Time::NEVER).max(self.now);
            if next > end {
                break;
            }
            self.now = next;
            for name in self.nodes.keys().cloned().collect::<Vec<_>>() {
                let node = self.nodes.get_mut(&name).expect("the node exists");
                if node.next_wake() <= self.now {
                    let outputs = node.on_tick(self.now);
                    self.handle_outputs(&name, outputs);
                }
            }
            self.deliver_all();
        }
        self.now = end;
    }

    fn platform(&mut self, to: &VmId, version: u64) {
        let node = self.nodes.get_mut(to).expect("the node exists");
        let outputs = node.on_platform(version, &text(version), self.now);
        self.handle_outputs(to, outputs);
        self.deliver_all();
    }

    fn in_force(&self) -> BTreeSet<Option<u64>> {
        let versions = self.nodes.values().map(ConfigReplica::revision);
        versions
            .map(|revision| revision.map(Revision::version))
            .collect()
    }
}

#[test]
fn two_nodes_of_each_data_centre_watch() {
    let net = Net::new(3);
    let per_centre = members(3)
        .into_iter()
        .fold(BTreeMap::new(), |mut counts, (vm, dc)| {
            *counts.entry(dc).or_insert(0) += usize::from(net.watchers.contains(&vm));
            counts
        });
    assert_eq!(per_centre.into_values().collect::<Vec<_>>(), [2, 2, 2]);
}

#[test]
fn one_watcher_is_enough_and_each_body_is_sent_once() {
    let mut net = Net::new(3);
    let first = net.watchers.first().expect("there are watchers").clone();
    net.platform(&first, 5);
    assert_eq!(net.in_force(), BTreeSet::from([Some(5)]));
    assert!(net.bodies.values().all(|bodies| *bodies == 1));
    assert_eq!(net.bodies.len(), 3 * EACH - 1);
}

#[test]
fn a_new_watcher_after_a_failover_distributes_the_next_revision() {
    let mut net = Net::new(1);
    let watchers: Vec<VmId> = net.watchers.iter().cloned().collect();
    net.platform(&watchers[0], 5);
    net.unreachable.insert(watchers[0].clone());
    let left: Vec<_> = members(1)
        .into_iter()
        .filter(|(vm, _)| *vm != watchers[0])
        .collect();
    for (vm, _) in &left {
        let node = net.nodes.get_mut(vm).expect("the node exists");
        let outputs = node.on_members(left.iter().map(|(vm, dc)| (vm, dc)), true, net.now);
        net.handle_outputs(vm, outputs);
    }
    net.watchers.remove(&watchers[0]);
    assert_eq!(net.watchers.len(), 2);
    net.platform(&watchers[1], 6);
    let behind = net
        .nodes
        .iter()
        .filter(|(_, node)| node.revision() != Some(Revision::of(6, &text(6))));
    assert_eq!(behind.map(|(vm, _)| vm).collect::<Vec<_>>(), [&watchers[0]]);
}

#[test]
fn an_outdated_platform_reply_changes_and_confirms_nothing() {
    let mut net = Net::new(1);
    let watcher = net.watchers.first().expect("there are watchers").clone();
    net.platform(&watcher, 5);
    net.now = net.now + Duration::from_secs(4);
    let node = net.nodes.get_mut(&watcher).expect("the node exists");
    let outputs = node.on_platform(3, &text(3), net.now);
    let refused = Output::Refused(Refusal::Older(Revision::of(3, &text(3))));
    assert_eq!(outputs, [refused]);
    // A watch that began before the revision, then a store that went back behind the watch.
    assert_eq!(node.on_unchanged(3, 9, net.now), []);
    assert_eq!(node.on_unchanged(7, 3, net.now), []);
    assert_eq!(node.age(net.now), Age::new(Duration::from_secs(4)));
    node.on_unchanged(7, 9, net.now);
    assert_eq!(node.age(net.now), Age::new(Duration::ZERO));
}

#[test]
fn a_new_node_gets_the_newest_revision_from_its_peers_without_reading_the_platform() {
    let mut net = Net::new(2);
    let watcher = net.watchers.first().expect("there are watchers").clone();
    net.platform(&watcher, 8);
    let (vm, _) = members(2)[3].clone();
    let mut node = ConfigReplica::new(vm.clone(), 77, Settings::default(), net.now);
    let all = members(2);
    let outputs = node.on_members(all.iter().map(|(vm, dc)| (vm, dc)), true, net.now);
    assert!(!outputs.contains(&Output::Read));
    net.nodes.insert(vm.clone(), node);
    net.handle_outputs(&vm, outputs);
    net.run(Duration::from_millis(500));
    assert_eq!(net.nodes[&vm].revision().map(Revision::version), Some(8));
    assert!(net.nodes[&vm].is_ready());
}

#[test]
fn an_isolated_node_reads_the_platform_and_is_not_ready_before() {
    let all = members(1);
    let mut node = ConfigReplica::new(all[0].0.clone(), 1, Settings::default(), Time::ZERO);
    node.on_members([(&all[0].0, &all[0].1)], false, Time::ZERO);
    let outputs = node.on_tick(Time::from_millis(1000));
    assert!(outputs.contains(&Output::Read));
    assert!(!node.is_ready());
    let outputs = node.on_platform(4, &text(4), Time::from_millis(1010));
    assert!(outputs.contains(&Output::Ready(true)));
}

#[test]
fn an_isolated_node_stops_after_the_limit_and_a_platform_outage_stops_no_node() {
    let mut net = Net::new(2);
    let watcher = net.watchers.first().expect("there are watchers").clone();
    net.platform(&watcher, 5);
    net.run(Duration::from_mins(10));
    assert!(
        net.nodes.values().all(ConfigReplica::is_ready),
        "all nodes stay ready through a long platform outage"
    );

    let now = net.now;
    let node = net.nodes.get_mut(&watcher).expect("the node exists");
    node.on_platform(5, &text(5), now);
    let all = members(2);
    let alone = all.iter().filter(|(vm, _)| *vm == watcher);
    node.on_members(alone.map(|(vm, dc)| (vm, dc)), false, now);
    assert!(node.is_ready());
    let limit = now + Settings::default().stale_limit.get();
    assert!(node.next_wake() <= limit);
    assert!(
        !node
            .on_tick(limit - Duration::from_millis(1))
            .contains(&Output::Ready(false))
    );
    assert!(node.on_tick(limit).contains(&Output::Ready(false)));
}

#[test]
fn a_body_that_does_not_match_its_revision_is_refused() {
    let all = members(1);
    let mut node = ConfigReplica::new(all[0].0.clone(), 1, Settings::default(), Time::ZERO);
    let claimed = Revision::of(9, "what was sent");
    let message = Message::Body(claimed, Age::UNKNOWN, "what arrived".into());
    let outputs = node.on_message(&all[1].0, message, Time::ZERO);
    assert_eq!(outputs, [Output::Refused(Refusal::Corrupt(claimed))]);
    assert_eq!(node.revision(), None);
}

#[test]
fn a_change_in_one_place_is_sent_as_a_patch() {
    let mut net = Net::new(2);
    let watcher = net.watchers.first().expect("there are watchers").clone();
    net.platform(&watcher, 5);
    net.bodies.clear();
    net.platform(&watcher, 6);
    assert_eq!(net.in_force(), BTreeSet::from([Some(6)]));
    assert_eq!(net.bodies, BTreeMap::new());
}

#[test]
fn a_patch_that_does_not_fit_causes_a_pull_of_the_whole_body() {
    let all = members(1);
    let mut node = ConfigReplica::new(all[0].0.clone(), 1, Settings::default(), Time::ZERO);
    node.on_platform(4, &text(4), Time::ZERO);
    let peer = &all[1].0;
    let wanted = Revision::of(6, &text(6));
    let patch = Patch::between(Revision::of(5, &text(5)), &text(5), &text(6));
    let message = Message::Patch(wanted, Age::UNKNOWN, patch);
    let outputs = node.on_message(peer, message, Time::ZERO);
    let to = peer.clone();
    let message = Message::Pull(wanted, None);
    assert_eq!(outputs, [Output::Send { to, message }]);
}

#[test]
fn a_data_centre_without_the_platform_is_confirmed_by_another() {
    let mut net = Net::new(2);
    let first = net.watchers.first().expect("there are watchers").clone();
    net.platform(&first, 5);
    for _ in 0..30 {
        net.run(Duration::from_secs(2));
        net.platform(&first, 5);
    }
    let limit = Some(Settings::default().stale_limit.get());
    let ages = net.nodes.values().map(|node| node.age(net.now).get());
    assert!(ages.max() < Some(limit));
}

#[test]
fn one_change_sends_the_messages_in_the_snapshot() {
    let mut net = Net::new(3);
    net.deliver_all();
    net.sent.clear();
    let watcher = net.watchers.first().expect("there are watchers").clone();
    net.platform(&watcher, 5);
    insta::assert_yaml_snapshot!(net.sent);
}

#[derive(Debug, Clone)]
enum Event {
    Platform(u64),
    Unchanged(u64),
    Have(u64, u32),
    Body(u64, u32),
    Pull(u64),
    Tick,
}

fn event() -> impl Strategy<Value = Event> {
    let version = 1_u64..8;
    prop_oneof![
        version.clone().prop_map(Event::Platform),
        version.clone().prop_map(Event::Unchanged),
        (version.clone(), 0_u32..20_000).prop_map(|(v, age)| Event::Have(v, age)),
        (version.clone(), 0_u32..20_000).prop_map(|(v, age)| Event::Body(v, age)),
        version.prop_map(Event::Pull),
        Just(Event::Tick),
    ]
}

proptest! {
    /// A patch between any two texts yields the second.
    #[test]
    fn a_patch_yields_the_new_text(old in "[aé€😀]{0,12}", new in "[aé€😀]{0,12}") {
        let patch = Patch::between(Revision::of(1, &old), &old, &new);
        let applied = patch.apply(&old);
        prop_assert_eq!(applied.as_deref(), Some(new.as_str()));
    }

    /// A patch with arbitrary offsets does not panic.
    #[test]
    fn a_wrong_patch_does_not_panic(old in "[aé]{0,9}", start in 0_u32..20, end in 0_u32..20) {
        let base = Revision::of(1, &old);
        let patch = Patch { base, start, end, middle: "x".into() };
        let length = patch.apply(&old).map(|text| text.len());
        prop_assert!(length.is_none_or(|length| length == (start + end) as usize + 1));
    }

    /// The revision in force only rises, whatever arrives in whatever order.
    #[test]
    fn a_node_never_goes_back(events in prop::collection::vec((event(), 0_u64..4000), 1..120)) {
        let all = members(1);
        let mut node = ConfigReplica::new(all[0].0.clone(), 1, Settings::default(), Time::ZERO);
        node.on_members(all.iter().map(|(vm, dc)| (vm, dc)), true, Time::ZERO);
        let mut now = Time::ZERO;
        let mut highest = None;
        for (event, pause) in events {
            now = now + Duration::from_millis(pause);
            let age = |millis| Age::new(Duration::from_millis(u64::from(millis)));
            let revision = |version| Revision::of(version, &text(version));
            let peer = &all[1].0;
            let outputs = match event {
                Event::Platform(v) => node.on_platform(v, &text(v), now),
                Event::Unchanged(v) => node.on_unchanged(v, v, now),
                Event::Have(v, a) => {
                    node.on_message(peer, Message::Have(Some(revision(v)), age(a)), now)
                }
                Event::Body(v, a) => {
                    node.on_message(peer, Message::Body(revision(v), age(a), text(v)), now)
                }
                Event::Pull(v) => node.on_message(peer, Message::Pull(revision(v), None), now),
                Event::Tick => node.on_tick(now),
            };
            for output in outputs {
                if let Output::Adopt(adopted, _) = output {
                    prop_assert!(Some(adopted) > highest);
                    highest = Some(adopted);
                }
            }
            prop_assert_eq!(node.revision(), highest);
        }
    }

    /// Changes reach all nodes, including those that were unreachable, in rising order.
    #[test]
    fn every_node_converges_on_the_last_change(
        changes in prop::collection::vec((0_usize..6, 0_usize..36, any::<bool>()), 1..12),
    ) {
        let mut net = Net::new(3);
        let watchers: Vec<VmId> = net.watchers.iter().cloned().collect();
        let names: Vec<VmId> = net.nodes.keys().cloned().collect();
        for (version, (watcher, other, unreachable)) in changes.iter().enumerate() {
            if *unreachable {
                net.unreachable.insert(names[*other].clone());
            } else {
                net.unreachable.remove(&names[*other]);
            }
            net.platform(&watchers[*watcher], 1 + version as u64);
            net.run(Duration::from_secs(1));
        }
        net.unreachable.clear();
        net.run(Duration::from_secs(30));
        let last = changes.len() as u64;
        prop_assert_eq!(net.in_force(), BTreeSet::from([Some(last)]));
        for adopted in net.adopted.values() {
            prop_assert!(adopted.is_sorted_by(|a, b| a < b));
        }
    }
}
