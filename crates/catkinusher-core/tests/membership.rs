//! Members join, crash, restart, refute suspicion, leave, and are partitioned and healed.

mod support;

use std::time::Duration;

use catkinusher_core::id::Incarnation;
use catkinusher_core::membership::{Change, State};
use proptest::prelude::*;
use support::{Net, data_centre, listing, vm};

const DCS: [&str; 3] = ["gent", "brugge", "kortrijk"];

fn settled(each: usize) -> Net {
    let mut net = Net::new(&listing(&DCS, each), 7);
    net.run(Duration::from_secs(20));
    net.changes.clear();
    net.owner_changes = 0;
    net
}

#[test]
fn a_quiet_fleet_changes_nothing() {
    let mut net = settled(5);
    net.run(Duration::from_mins(10));
    assert_eq!(net.changes, []);
    assert_eq!(net.owners("gent-00").len(), 15);
}

#[test]
fn a_silent_member_is_suspected_and_then_gone_everywhere() {
    let mut net = settled(5);
    net.nodes.remove("gent-02");
    net.run(Duration::from_secs(12));
    for node in net.nodes.values() {
        let member = node
            .member(&vm("gent-02"))
            .expect("the member is in the table");
        assert_eq!(member.state, State::Gone);
        assert!(!member.owner);
    }
    assert!(net.nodes.values().all(|node| node.owners().count() == 14));
    // Each of the others saw one change of the owners, and no other member was declared gone.
    assert_eq!(net.owner_changes, 14);
    let others_gone = net.changes.iter().any(|(_, _, change)| {
        matches!(change, Change::State { vm, state: State::Gone, .. } if vm.as_str() != "gent-02")
    });
    assert!(!others_gone);
}

#[test]
fn failed_links_of_one_node_evict_no_member() {
    let mut net = settled(5);
    net.cut_links.insert((vm("gent-00"), vm("brugge-01")));
    net.cut_links.insert((vm("brugge-01"), vm("gent-00")));
    for to in net.nodes["gent-00"].peers().to_vec() {
        net.cut_links.insert((vm("gent-00"), to));
    }
    net.run(Duration::from_mins(2));
    assert_eq!(net.owner_changes, 0);
}

#[test]
fn a_leaving_member_gives_up_ownership_and_stays_reachable() {
    let mut net = settled(5);
    let now = net.now;
    let node = net.nodes.get_mut("brugge-03").expect("the node exists");
    let outputs = node.on_leave(now);
    net.handle_outputs(&vm("brugge-03"), outputs);
    net.run(Duration::from_secs(2));
    for node in net.nodes.values() {
        let member = node.member(&vm("brugge-03")).expect("the node exists");
        assert_eq!((member.state, member.owner), (State::Leaving, false));
    }
    let node = net.nodes.get_mut("brugge-03").expect("the node exists");
    let outputs = node.on_stop(net.now);
    net.handle_outputs(&vm("brugge-03"), outputs);
    net.nodes.remove("brugge-03");
    net.run(Duration::from_secs(30));
    assert_eq!(net.owner_changes, 15);
    let member = net.nodes["gent-00"].member(&vm("brugge-03"));
    assert_eq!(member.map(|member| member.state), Some(State::Left));
}

#[test]
fn a_restart_with_a_lower_incarnation_takes_a_higher_one() {
    let mut net = settled(5);
    let listed = net.list[3].clone();
    net.nodes.remove(&listed.vm);
    net.start(&listed, Incarnation::new(0), 99);
    net.run(Duration::from_secs(10));
    assert!(net.nodes[&listed.vm].life().0 > Incarnation::new(1));
    let life = net.nodes[&listed.vm].life();
    for node in net.nodes.values() {
        assert_eq!(
            node.member(&listed.vm).map(|member| member.life),
            Some(life)
        );
    }
}

#[test]
fn a_vm_that_is_not_listed_yet_joins_through_its_peers() {
    let mut net = settled(5);
    let mut joiner = net.list[0].clone();
    joiner.vm = vm("gent-99");
    net.start(&joiner, Incarnation::new(1), 5);
    net.run(Duration::from_secs(15));
    assert!(net.nodes.values().all(|node| node.owners().count() == 16));
}

#[test]
fn a_partition_that_heals_moves_no_ownership() {
    let mut net = settled(6);
    for _ in 0..3 {
        net.partition(|vm| vm.as_str().starts_with("gent"), true);
        net.run(Duration::from_secs(90));
        assert!(net.nodes["brugge-00"].is_partitioned(&data_centre("gent")));
        assert!(!net.nodes["gent-00"].has_majority());
        net.partition(|vm| vm.as_str().starts_with("gent"), false);
        net.run(Duration::from_mins(1));
        assert!(!net.nodes["brugge-00"].is_partitioned(&data_centre("gent")));
    }
    assert_eq!(net.owner_changes, 0);
    let reachable = net.nodes.values().map(|node| node.reachable().count());
    assert!(reachable.eq(std::iter::repeat_n(18, 18)));
}

#[test]
fn a_rack_that_is_partitioned_repeatedly_is_held_back_longer_each_time() {
    let mut net = settled(6);
    let rack = ["gent-00", "gent-01"];
    for _ in 0..6 {
        net.partition(|vm| rack.contains(&vm.as_str()), true);
        net.run(Duration::from_secs(15));
        net.partition(|vm| rack.contains(&vm.as_str()), false);
        net.run(Duration::from_secs(15));
    }
    // The rack loses ownership in at most three of six partitions, as the hold outgrows the gap.
    let seen = net
        .changes
        .iter()
        .filter(|(_, by, change)| by.as_str() == "brugge-00" && *change == Change::Owners);
    let seen = seen.count();
    assert!(seen <= 8, "{seen} changes of the owners");
    net.run(Duration::from_mins(2));
    assert_eq!(net.owners("brugge-00").len(), 18);
    assert_eq!(net.owners("gent-00").len(), 18);
}

#[test]
fn a_data_centre_that_the_vm_list_drops_loses_its_ownership() {
    let mut net = settled(4);
    net.nodes.retain(|vm, _| !vm.as_str().starts_with("gent"));
    net.run(Duration::from_secs(30));
    assert_eq!(net.owners("brugge-00").len(), 12);
    net.list
        .retain(|listed| !listed.vm.as_str().starts_with("gent"));
    net.resend_list();
    net.run(Duration::from_secs(30));
    assert_eq!(net.owners("brugge-00").len(), 8);
}

#[test]
fn a_paused_node_suspects_no_member_when_it_resumes() {
    let mut net = settled(5);
    let paused = net.nodes.remove("gent-01").expect("the node exists");
    net.run(Duration::from_secs(4));
    net.nodes.insert(vm("gent-01"), paused);
    net.changes.clear();
    net.run(Duration::from_secs(20));
    let suspected = net.changes.iter().any(|(_, by, change)| {
        by.as_str() == "gent-01"
            && matches!(
                change,
                Change::State {
                    state: State::Suspect,
                    ..
                }
            )
    });
    assert!(!suspected);
    assert_eq!(net.owners("gent-01").len(), 15);
}

#[test]
fn a_crash_is_reported_as_in_the_snapshot() {
    let mut net = settled(3);
    net.nodes.remove("gent-01");
    let start = net.now;
    net.run(Duration::from_secs(15));
    let seen: Vec<String> = net
        .changes
        .iter()
        .filter(|(_, by, _)| by.as_str() == "brugge-00")
        .map(|(at, _, change)| format!("{} ms: {change:?}", at.since(start).as_millis()))
        .collect();
    insta::assert_yaml_snapshot!(seen);
}

#[derive(Debug, Clone, Copy)]
enum Fault {
    Crash(usize),
    Restart(usize),
    Partition(usize),
    Heal,
    Wait(u64),
}

fn fault() -> impl Strategy<Value = Fault> {
    prop_oneof![
        (0_usize..9).prop_map(Fault::Crash),
        (0_usize..9).prop_map(Fault::Restart),
        (0_usize..3).prop_map(Fault::Partition),
        Just(Fault::Heal),
        (1_u64..40).prop_map(Fault::Wait),
    ]
}

fn inject(net: &mut Net, fault: Fault, number: u64) {
    match fault {
        Fault::Crash(index) => {
            let name = net.list[index].vm.clone();
            net.nodes.remove(&name);
        }
        Fault::Restart(index) => {
            let listed = net.list[index].clone();
            net.nodes.remove(&listed.vm);
            net.start(&listed, Incarnation::new(2 + number), number);
        }
        Fault::Partition(row) => net.partition(|vm| vm.as_str().starts_with(DCS[row]), true),
        Fault::Heal => net.cut_links.clear(),
        Fault::Wait(seconds) => net.run(Duration::from_secs(seconds)),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(24))]

    /// After any faults have ended, all nodes agree on the reachable members and the owners.
    #[test]
    fn views_converge_after_any_faults(faults in prop::collection::vec(fault(), 1..14)) {
        let mut net = settled(3);
        for (number, fault) in faults.into_iter().enumerate() {
            inject(&mut net, fault, number as u64);
        }
        net.cut_links.clear();
        let up: Vec<_> = net.nodes.keys().cloned().collect();
        net.list.retain(|listed| up.contains(&listed.vm));
        net.run(Duration::from_secs(30));
        net.resend_list();
        net.run(Duration::from_mins(3));
        for (name, node) in &net.nodes {
            let reachable: Vec<_> = node.reachable().map(|(vm, _)| vm.clone()).collect();
            prop_assert_eq!(&reachable, &up, "according to {}", name);
            let owners: Vec<_> = node.owners().map(|(vm, _)| vm.clone()).collect();
            prop_assert_eq!(&owners, &up, "owners according to {}", name);
        }
        let change_count = net.changes.len();
        net.run(Duration::from_mins(3));
        prop_assert_eq!(net.changes.len(), change_count);
    }
}
