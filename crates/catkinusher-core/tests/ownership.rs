//! Nodes agree on owners without communication, and few upstreams change owners.

use std::collections::BTreeMap;
use std::time::Duration;

use catkinusher_core::id::{DataCentreId, RegionId, UpstreamId, VmId};
use catkinusher_core::ownership::{Ownership, Share, Site};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;
use proptest::prelude::*;

const HANDOVER: Span = Span::from_secs(10);

fn name<T>(text: &str) -> T
where
    T: std::str::FromStr,
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn member(number: usize) -> (VmId, DataCentreId) {
    (
        name(&format!("e{number}")),
        name(&format!("d{}", number % 4)),
    )
}

fn upstreams(count: usize) -> Vec<(UpstreamId, Site)> {
    let site = |number: usize| Site {
        data_centre: name(&format!("d{}", number % 4)),
        region: name(&format!("r{}", number % 2)),
    };
    (0..count)
        .map(|number| (name(&format!("u{number}")), site(number)))
        .collect()
}

fn regions() -> Vec<(DataCentreId, RegionId)> {
    (0..4)
        .map(|dc| (name(&format!("d{dc}")), name(&format!("r{}", dc % 2))))
        .collect()
}

fn build_ownership(me: usize, members: &[(VmId, DataCentreId)], count: usize) -> Ownership {
    let mut ownership = Ownership::new(member(me).0, HANDOVER);
    ownership.set_members(members.iter().map(|(vm, dc)| (vm, dc)), Time::ZERO);
    ownership.set_upstreams(upstreams(count), regions(), Time::ZERO);
    ownership
}

fn owners(ownership: &Ownership, count: usize) -> BTreeMap<UpstreamId, Option<VmId>> {
    upstreams(count)
        .into_iter()
        .map(|(upstream, _)| {
            let owner = ownership.owner(&upstream).cloned();
            (upstream, owner)
        })
        .collect()
}

#[test]
fn owners_are_in_the_data_centre_or_else_in_the_region() {
    let members: Vec<_> = (0..16).map(member).collect();
    let mut ownership = build_ownership(0, &members, 40);
    for (upstream, site) in upstreams(40) {
        let owner = ownership.owner(&upstream).expect("there are members");
        let (_, home) = members
            .iter()
            .find(|(vm, _)| vm == owner)
            .expect("a member");
        assert_eq!(*home, site.data_centre);
    }
    let left = members.iter().filter(|(_, dc)| dc.as_str() != "d0");
    ownership.set_members(left.map(|(vm, dc)| (vm, dc)), Time::ZERO);
    let owner = ownership.owner(&name("u0")).expect("there are members");
    let (_, home) = members
        .iter()
        .find(|(vm, _)| vm == owner)
        .expect("a member");
    assert_eq!(home.as_str(), "d2");
}

#[test]
fn a_new_owner_has_half_until_the_handover_ends() {
    let members: Vec<_> = (0..4).map(member).collect();
    let mut ownership = build_ownership(0, &members, 4);
    let late = Time::ZERO + HANDOVER.get();
    assert_eq!(ownership.share(&name("u0"), Time::ZERO), Share::Half);
    assert_eq!(ownership.share(&name("u0"), late), Share::Full);
    assert_eq!(ownership.share(&name("u1"), late), Share::None);
    ownership.on_released(&name("u0"), Time::from_millis(5));
    assert_eq!(
        ownership.share(&name("u0"), Time::from_millis(5)),
        Share::Full
    );
}

#[test]
fn a_leave_moves_what_the_leaver_owned_and_nothing_else() {
    let members: Vec<_> = (0..12).map(member).collect();
    let mut ownership = build_ownership(0, &members, 60);
    let before = owners(&ownership, 60);
    let left = members.iter().skip(1);
    let changes = ownership.set_members(
        left.map(|(vm, dc)| (vm, dc)),
        Time::ZERO + Duration::from_secs(1),
    );
    let owned = before
        .values()
        .filter(|owner| **owner == Some(member(0).0))
        .count();
    assert_eq!(changes.len(), owned);
    insta::assert_yaml_snapshot!(changes);
}

proptest! {
    /// Any sequence of joins and leaves gives the result of a fresh computation, and each change
    /// involves the member that joined or left.
    #[test]
    fn incremental_and_fresh_agree(steps in prop::collection::vec(0_usize..24, 1..40)) {
        let mut present = [true; 24];
        let all: Vec<_> = (0..24).map(member).collect();
        let mut ownership = build_ownership(0, &all, 50);
        for step in steps {
            present[step] = !present[step];
            let now: Vec<_> = (0..24).filter(|n| present[*n]).map(member).collect();
            let before = owners(&ownership, 50);
            let changes = ownership.set_members(now.iter().map(|(vm, dc)| (vm, dc)), Time::ZERO);
            let after = owners(&ownership, 50);
            prop_assert_eq!(&after, &owners(&build_ownership(0, &now, 50), 50));
            let changed = before.iter().filter(|(u, owner)| after[*u] != **owner).count();
            prop_assert_eq!(changed, changes.len());
            let member = Some(member(step).0);
            for change in &changes {
                prop_assert!(change.from == member || change.to == member);
            }
        }
    }
}
