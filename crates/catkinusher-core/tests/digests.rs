//! Digests reach every node of their data centre, and summaries those of all other ones.

use std::collections::BTreeMap;
use std::time::Duration;

use catkinusher_core::cache::Sketch;
use catkinusher_core::digest::Digest;
use catkinusher_core::digests::{self, Digests, OutgoingBatch, Settings, Summary};
use catkinusher_core::id::{DataCentreId, Incarnation, VmId};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;

#[derive(Debug, Clone, PartialEq)]
struct FullDigest(u32);

#[derive(Debug, Clone, PartialEq)]
struct CoarseDigest(u32);

impl From<&FullDigest> for CoarseDigest {
    fn from(full: &FullDigest) -> Self {
        Self(full.0 / 10)
    }
}

#[derive(Debug, Clone, Default, PartialEq)]
struct Sum(u32);

impl Summary<CoarseDigest> for Sum {
    fn add(&mut self, coarse: &CoarseDigest) {
        self.0 += coarse.0;
    }
}

type Sent = OutgoingBatch<u16, CoarseDigest, FullDigest, u8, Sum>;
type Node = Digests<u16, CoarseDigest, FullDigest, u8, Sum>;

const EACH: u16 = 11;

fn members() -> Vec<(VmId, DataCentreId)> {
    (0..2 * EACH)
        .map(|index| {
            let vm = format!("e{index:02}").parse().expect("a valid name");
            let dc = format!("d{}", index / EACH).parse().expect("a valid name");
            (vm, dc)
        })
        .collect()
}

fn nodes(settings: &Settings) -> BTreeMap<VmId, Node> {
    let all = members();
    let mut nodes = BTreeMap::new();
    for (vm, _) in &all {
        let mut node = Node::new(vm.clone(), settings.clone(), Time::ZERO);
        node.on_members(all.iter().map(|(vm, dc)| (vm, dc)));
        node.set_groups((0..2 * EACH).map(|key| (key, 0)).collect());
        nodes.insert(vm.clone(), node);
    }
    nodes
}

/// Runs one period and returns the sizes of the batches sent.
///
/// Node N owns upstream N, whose digest is `10 * period`.
fn period(nodes: &mut BTreeMap<VmId, Node>, period: u32, owners: &[u16]) -> Vec<(usize, usize)> {
    let length = Settings::default().period.get();
    let mut sent = Vec::new();
    for hundredth in 0..100 {
        let now = Time::ZERO + length * period + length * hundredth / 100;
        for (index, (vm, _)) in members().iter().enumerate() {
            let node = nodes.get_mut(vm).expect("the node exists");
            if owners.contains(&(index as u16)) {
                node.on_own_digest(index as u16, FullDigest(10 * period), now);
            }
            let sends = node.on_tick(now);
            sent.extend(deliver(nodes, vm, sends, now));
        }
    }
    sent
}

fn deliver(
    nodes: &mut BTreeMap<VmId, Node>,
    from: &VmId,
    sends: Vec<Sent>,
    now: Time,
) -> Vec<(usize, usize)> {
    let mut sizes = Vec::new();
    for OutgoingBatch { to, batch } in sends {
        sizes.push((batch.near.len(), batch.detail.len()));
        let peer = nodes.get_mut(&to).expect("the node exists");
        let further = peer.on_batch(from, batch, now);
        sizes.extend(deliver(nodes, &to, further, now));
    }
    sizes
}

fn all() -> Vec<u16> {
    (0..2 * EACH).collect()
}

#[test]
fn every_node_knows_its_data_centre_and_the_summaries_of_the_others() {
    let mut nodes = nodes(&Settings::default());
    for step in 1..=12 {
        period(&mut nodes, step, &all());
    }
    let now = Time::ZERO + Settings::default().period.get() * 13;
    for (index, (vm, _)) in members().iter().enumerate() {
        let node = &nodes[vm];
        let home = index as u16 / EACH;
        for key in home * EACH..(home + 1) * EACH {
            let (_, age) = node.coarse_digest(&key, now).expect("the digest is known");
            assert!(
                age <= Settings::default().period.get() * 7 / 5,
                "{vm} has a digest of {key} that is {age:?} old"
            );
            assert!(node.full_digest(&key, now).is_some());
        }
        let far: Vec<_> = node.remote_summaries(&0).collect();
        assert_eq!(far.len(), 1);
        assert_ne!(far[0].0.as_str(), format!("d{home}"));
    }
}

#[test]
fn no_batch_exceeds_its_limits() {
    let settings = Settings {
        near_limit: 5,
        detail_limit: 2,
        ..Settings::default()
    };
    let mut nodes = nodes(&settings);
    for step in 1..=40 {
        for (near, detail) in period(&mut nodes, step, &all()) {
            assert!(near <= 5 && detail <= 2);
        }
    }
    let now = Time::ZERO + settings.period.get() * 40;
    let node = &nodes[&members()[0].0];
    let known = (0..EACH)
        .filter(|key| node.full_digest(key, now).is_some())
        .count();
    assert_eq!(
        known,
        usize::from(EACH),
        "the rotation reaches all upstreams"
    );
}

#[test]
fn the_digest_of_an_upstream_without_owner_expires() {
    let mut nodes = nodes(&Settings::default());
    for step in 1..=10 {
        period(&mut nodes, step, &all());
    }
    for step in 11..=50 {
        period(&mut nodes, step, &all()[1..]);
    }
    let now = Time::ZERO + Settings::default().period.get() * 50;
    assert!(
        nodes
            .values()
            .all(|node| node.coarse_digest(&0, now).is_none())
    );
}

#[test]
fn an_older_digest_never_replaces_a_newer_one() {
    let mut nodes = nodes(&Settings::default());
    let (vm, _) = members()[0].clone();
    let node = nodes.get_mut(&vm).expect("the node exists");
    let late = Time::ZERO + Duration::from_secs(10);
    node.on_own_digest(0, FullDigest(70), late);
    let mut other = Node::new(members()[1].0.clone(), Settings::default(), Time::ZERO);
    other.set_groups(BTreeMap::from([(0, 0)]));
    let all = members();
    other.on_members(all.iter().map(|(vm, dc)| (vm, dc)));
    other.on_own_digest(0, FullDigest(30), Time::ZERO + Duration::from_secs(5));
    for OutgoingBatch { batch, .. } in other.on_tick(late) {
        node.on_batch(&all[1].0, batch, late);
    }
    assert_eq!(
        node.coarse_digest(&0, late),
        Some((&CoarseDigest(7), Duration::ZERO))
    );
}

#[test]
fn a_coarse_digest_keeps_the_fields_for_routing() {
    let digest = Digest {
        incarnation: Incarnation::new(9),
        free: Tokens::new(300_999),
        backlog: [0, 1, 999, 70_001].map(Tokens::new),
        streams: 27,
        queued: 3,
        limit: 32,
        pace: 9501,
        cold: true,
        sketch: Sketch::default(),
    };
    let full = digests::FullDigest::from(digest.clone());
    assert_eq!(Digest::from(full), digest);
    let coarse = digests::CoarseDigest::from(&full);
    insta::assert_yaml_snapshot!(coarse.digest(digest.incarnation, digest.sketch));
}
