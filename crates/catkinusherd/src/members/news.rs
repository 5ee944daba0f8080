//! The digests of all upstreams, as exchanged with peers.

use std::collections::BTreeMap;
use std::time::Duration;

use catkinusher_core::cache::Sketch;
use catkinusher_core::catalog::{Catalog, Server};
use catkinusher_core::digest::Digest;
use catkinusher_core::digests::{
    CoarseDigest, DigestEntry, Digests, FullDigest, NameHash, OutgoingBatch, Rollup, Settings,
    SummaryEntry,
};
use catkinusher_core::id::{DataCentreId, Incarnation, UpstreamId, VmId};
use catkinusher_core::status::{Report, UpstreamCounts};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use catkinusher_peer::rpc::DigestBatch;

/// The number of tokens in one unit of memory in a [`Rollup`].
const ROLLUP_TOKENS: u64 = 1000;

/// A batch of digests to send to a peer.
pub(super) type OutgoingDigests =
    OutgoingBatch<NameHash, CoarseDigest, FullDigest, NameHash, Rollup>;

/// A digest of one upstream received from a peer, and its age.
#[derive(Debug)]
pub struct ReceivedDigest {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The digest.
    pub digest: Digest,
    /// The time since the digest was taken.
    pub age: Duration,
}

/// The digests known to one node, with the names of the hashes that they are keyed by.
#[derive(Debug)]
pub(super) struct DigestExchange {
    digests: Digests<NameHash, CoarseDigest, FullDigest, NameHash, Rollup>,
    keep: Duration,
    names: BTreeMap<NameHash, UpstreamId>,
    services: BTreeMap<(DataCentreId, NameHash), Vec<UpstreamId>>,
}

impl DigestExchange {
    pub fn new(me: VmId, settings: Settings, now: Time) -> Self {
        Self {
            keep: settings.keep.get(),
            digests: Digests::new(me, settings, now),
            names: BTreeMap::new(),
            services: BTreeMap::new(),
        }
    }

    pub fn on_members<'a, M>(&mut self, members: M)
    where
        M: IntoIterator<Item = (&'a VmId, &'a DataCentreId)>,
    {
        self.digests.on_members(members);
    }

    /// Applies the upstreams of a configuration.
    pub fn on_catalog(&mut self, catalog: &Catalog) {
        let mut groups = BTreeMap::new();
        self.names.clear();
        self.services.clear();
        for server in catalog.servers() {
            let key = NameHash::of(server.name.as_str());
            let service = NameHash::of(server.service.as_str());
            groups.insert(key, service);
            self.names.insert(key, server.name.clone());
            let group = (server.data_centre.clone(), service);
            let upstreams = self.services.entry(group).or_default();
            upstreams.push(server.name.clone());
        }
        self.digests.set_groups(groups);
    }

    /// Updates the digest of an upstream that this node owns.
    pub fn on_own_digest(&mut self, upstream: &UpstreamId, digest: &Digest, now: Time) {
        let key = NameHash::of(upstream.as_str());
        self.digests
            .on_own_digest(key, FullDigest::from(digest.clone()), now);
    }

    /// Handles a peer's batch, and returns the digests in it and the batches to forward.
    pub fn on_batch(
        &mut self,
        from: &VmId,
        batch: DigestBatch,
        now: Time,
    ) -> (Vec<ReceivedDigest>, Vec<OutgoingDigests>) {
        let near = batch.near.iter().map(|DigestEntry(key, ..)| *key);
        let detail = batch.detail.iter().map(|DigestEntry(key, ..)| *key);
        let mut keys: Vec<_> = near.chain(detail).collect();
        keys.sort_unstable();
        keys.dedup();
        let mut received = self.rollup_digests(&batch);
        let forwards = self.digests.on_batch(from, batch, now);
        received.extend(
            keys.into_iter()
                .filter_map(|key| self.latest_digest(key, now)),
        );
        (received, forwards)
    }

    pub fn on_tick(&mut self, now: Time) -> Vec<OutgoingDigests> {
        self.digests.on_tick(now)
    }

    pub fn next_wake(&self) -> Time {
        self.digests.next_wake()
    }

    /// Adds the upstreams of a data centre to a report, counted by service and state.
    pub fn tally(&self, catalog: &Catalog, centre: &DataCentreId, report: &mut Report, now: Time) {
        let is_counted = |server: &&Server| server.data_centre == *centre && !server.drained;
        for server in catalog.servers().filter(is_counted) {
            let tally = self.count_upstream(&server.name, now);
            report.add_service(server.service.clone(), tally);
        }
    }

    fn count_upstream(&self, upstream: &UpstreamId, now: Time) -> UpstreamCounts {
        let key = NameHash::of(upstream.as_str());
        let known = self.digests.coarse_digest(&key, now);
        let mut tally = UpstreamCounts::default();
        match known.filter(|(_, age)| *age < self.keep) {
            Some((coarse, _)) => {
                let digest = coarse.digest(Incarnation::default(), Sketch::default());
                tally.up = u32::from(digest.limit > 0);
                tally.down = u32::from(digest.limit == 0);
                tally.cold = u32::from(digest.cold && digest.limit > 0);
            }
            None => tally.down = 1,
        }
        tally
    }

    /// The more recent of the coarse and the full digest, with the fields that only the full
    /// one has.
    fn latest_digest(&self, key: NameHash, now: Time) -> Option<ReceivedDigest> {
        let upstream = self.names.get(&key)?.clone();
        let detail = self.digests.full_digest(&key, now);
        let full = detail.map(|(full, age)| (Digest::from(*full), age));
        let Some((coarse, age)) = self.digests.coarse_digest(&key, now) else {
            let (digest, age) = full?;
            return Some(ReceivedDigest {
                upstream,
                digest,
                age,
            });
        };
        let digest = match full {
            Some((digest, full_age)) if full_age <= age => digest,
            Some((digest, _)) => coarse.digest(digest.incarnation, digest.sketch),
            None => coarse.digest(Incarnation::default(), Sketch::default()),
        };
        Some(ReceivedDigest {
            upstream,
            digest,
            age,
        })
    }

    /// The digests of upstreams in other data centres, each the mean of its service's rollup.
    fn rollup_digests(&self, batch: &DigestBatch) -> Vec<ReceivedDigest> {
        let mut received = Vec::new();
        for SummaryEntry(index, service, age, sum) in &batch.far {
            let Some(centre) = batch.data_centres.get(usize::from(*index)) else {
                continue;
            };
            let group = (centre.clone(), *service);
            let upstreams = self.services.get(&group).into_iter().flatten();
            received.extend(upstreams.filter_map(|upstream| {
                Some(ReceivedDigest {
                    upstream: upstream.clone(),
                    digest: mean(sum)?,
                    age: age.get(),
                })
            }));
        }
        received
    }
}

fn mean(sum: &Rollup) -> Option<Digest> {
    let free = sum.free.checked_div(sum.count)?;
    Some(Digest {
        free: Tokens::new(u64::from(free) * ROLLUP_TOKENS),
        streams: sum.streams.div_ceil(sum.count),
        limit: sum.limit / sum.count,
        cold: 2 * sum.cold > sum.count,
        ..Digest::default()
    })
}
