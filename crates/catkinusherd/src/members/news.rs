//! How all upstreams fare, as the waves of digests tell it.

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

/// The tokens in one unit of a sum's memory.
const SUM_TOKENS: u64 = 1000;

/// A batch on its way to a peer.
pub(super) type Outgoing = OutgoingBatch<NameHash, CoarseDigest, FullDigest, NameHash, Rollup>;

/// What became known of one upstream, and how long ago it held.
#[derive(Debug)]
pub struct ReceivedDigest {
    /// The upstream.
    pub upstream: UpstreamId,
    /// How it fared.
    pub digest: Digest,
    /// How long ago.
    pub age: Duration,
}

/// The digests of one node, with the names that their keys stand for.
#[derive(Debug)]
pub(super) struct News {
    digests: Digests<NameHash, CoarseDigest, FullDigest, NameHash, Rollup>,
    keep: Duration,
    names: BTreeMap<NameHash, UpstreamId>,
    services: BTreeMap<(DataCentreId, NameHash), Vec<UpstreamId>>,
}

impl News {
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

    /// Takes in which upstreams there are.
    pub fn on_catalog(&mut self, catalog: &Catalog) {
        let mut groups = BTreeMap::new();
        self.names.clear();
        self.services.clear();
        for server in catalog.servers() {
            let key = NameHash::of(server.name.as_str());
            let service = NameHash::of(server.service.as_str());
            groups.insert(key, service);
            self.names.insert(key, server.name.clone());
            let place = (server.data_centre.clone(), service);
            let there = self.services.entry(place).or_default();
            there.push(server.name.clone());
        }
        self.digests.set_groups(groups);
    }

    /// Takes in how an upstream fares that this node owns.
    pub fn on_own_digest(&mut self, upstream: &UpstreamId, digest: &Digest, now: Time) {
        let key = NameHash::of(upstream.as_str());
        self.digests
            .on_own_digest(key, FullDigest::from(digest.clone()), now);
    }

    /// Takes in a peer's batch: what it tells, and what to send on.
    pub fn on_batch(
        &mut self,
        from: &VmId,
        batch: DigestBatch,
        now: Time,
    ) -> (Vec<ReceivedDigest>, Vec<Outgoing>) {
        let near = batch.near.iter().map(|DigestEntry(key, ..)| *key);
        let detail = batch.detail.iter().map(|DigestEntry(key, ..)| *key);
        let mut keys: Vec<_> = near.chain(detail).collect();
        keys.sort_unstable();
        keys.dedup();
        let mut heard = self.elsewhere(&batch);
        let sends = self.digests.on_batch(from, batch, now);
        heard.extend(keys.into_iter().filter_map(|key| self.heard(key, now)));
        (heard, sends)
    }

    pub fn on_tick(&mut self, now: Time) -> Vec<Outgoing> {
        self.digests.on_tick(now)
    }

    pub fn next_wake(&self) -> Time {
        self.digests.next_wake()
    }

    /// Adds to a report how the upstreams of a data centre fare, by service.
    pub fn tally(&self, catalog: &Catalog, centre: &DataCentreId, report: &mut Report, now: Time) {
        let here = |server: &&Server| server.data_centre == *centre && !server.drained;
        for server in catalog.servers().filter(here) {
            let tally = self.fares(&server.name, now);
            report.add_service(server.service.clone(), tally);
        }
    }

    fn fares(&self, upstream: &UpstreamId, now: Time) -> UpstreamCounts {
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

    /// The later of the coarse and the full digest, with what only the full one holds.
    fn heard(&self, key: NameHash, now: Time) -> Option<ReceivedDigest> {
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

    /// What sums tell of each upstream of a service elsewhere: the mean of them.
    fn elsewhere(&self, batch: &DigestBatch) -> Vec<ReceivedDigest> {
        let mut heard = Vec::new();
        for SummaryEntry(index, service, age, sum) in &batch.far {
            let Some(centre) = batch.data_centres.get(usize::from(*index)) else {
                continue;
            };
            let place = (centre.clone(), *service);
            let there = self.services.get(&place).into_iter().flatten();
            heard.extend(there.filter_map(|upstream| {
                Some(ReceivedDigest {
                    upstream: upstream.clone(),
                    digest: mean(sum)?,
                    age: age.get(),
                })
            }));
        }
        heard
    }
}

fn mean(sum: &Rollup) -> Option<Digest> {
    let free = sum.free.checked_div(sum.count)?;
    Some(Digest {
        free: Tokens::new(u64::from(free) * SUM_TOKENS),
        streams: sum.streams.div_ceil(sum.count),
        limit: sum.limit / sum.count,
        cold: 2 * sum.cold > sum.count,
        ..Digest::default()
    })
}
