//! Chooses an upstream for each request, with one router for each service.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use catkinusher_core::ask::Ask;
use catkinusher_core::catalog::{Catalog, Server};
use catkinusher_core::digest::Digest;
use catkinusher_core::id::{DataCentreId, ServiceId, UpstreamId};
use catkinusher_core::rendezvous::Salt;
use catkinusher_core::route::{Choice, ChoiceReason, Policy, Predictive, UpstreamView, View};
use catkinusher_core::shares::PoolSplit;
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

/// How often the policy is asked for a choice while it names an upstream to avoid.
const MAX_CHOICES: usize = 6;

/// The rendezvous hashing salt for the placement of isolated requests: "apar" in ASCII.
const ISOLATION_SALT: Salt = Salt::new(0x6170_6172);

#[derive(Debug)]
struct Router {
    view: View,
    policy: Predictive,
    shares: PoolSplit,
}

#[derive(Debug)]
struct Inner {
    rng: ChaCha8Rng,
    routers: HashMap<ServiceId, Router>,
    services: HashMap<UpstreamId, ServiceId>,
}

/// The routers of all services on one node.
#[derive(Debug)]
pub struct Routers {
    home: DataCentreId,
    inner: Mutex<Inner>,
}

impl Routers {
    /// Creates the routers of a node in the data centre `home`, with no upstreams.
    #[must_use]
    pub fn new(home: DataCentreId, seed: u64) -> Self {
        let inner = Inner {
            rng: ChaCha8Rng::seed_from_u64(seed),
            routers: HashMap::new(),
            services: HashMap::new(),
        };
        Self {
            home,
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies a configuration: adds, removes and drains upstreams.
    pub fn on_catalog(&self, catalog: &Catalog, now: Time) {
        let mut inner = self.lock();
        let gone: Vec<_> = inner
            .services
            .iter()
            .filter(|(upstream, service)| {
                catalog
                    .server(upstream.as_str())
                    .is_none_or(|server| server.service != **service)
            })
            .map(|(upstream, service)| (upstream.clone(), service.clone()))
            .collect();
        for (upstream, service) in gone {
            inner.services.remove(&upstream);
            if let Some(router) = inner.routers.get_mut(&service) {
                router.view.remove(&upstream);
            }
        }
        for server in catalog.servers() {
            let home = self.home.clone();
            let router = inner
                .routers
                .entry(server.service.clone())
                .or_insert_with(|| Router {
                    view: View::new(home),
                    policy: Predictive::default(),
                    shares: PoolSplit::new(now),
                });
            router
                .view
                .insert(server.name.clone(), server.data_centre.clone());
            router.view.set_closed(&server.name, server.drained);
            let no_digest = |seen: &UpstreamView| seen.digest_time() == Time::ZERO;
            if router.view.get(&server.name).is_some_and(no_digest) {
                let assumed = assumed_digest(catalog, server);
                router.view.on_digest(&server.name, assumed, Time::ZERO);
            }
            inner
                .services
                .insert(server.name.clone(), server.service.clone());
        }
    }

    /// Excludes the upstreams in `unreachable`, whose owners are unreachable, from the choice.
    pub fn on_unreachable(&self, catalog: &Catalog, unreachable: &[UpstreamId]) {
        let mut inner = self.lock();
        for server in catalog.servers() {
            if let Some(router) = inner.routers.get_mut(&server.service) {
                let closed = server.drained || unreachable.contains(&server.name);
                router.view.set_closed(&server.name, closed);
            }
        }
    }

    /// Stores the digest of an upstream, taken at `taken`.
    pub fn on_digest(&self, upstream: &UpstreamId, digest: Digest, taken: Time) {
        let mut inner = self.lock();
        let Some(service) = inner.services.get(upstream).cloned() else {
            return;
        };
        if let Some(router) = inner.routers.get_mut(&service) {
            router.view.on_digest(upstream, digest, taken);
        }
    }

    /// The last digest received for an upstream.
    #[must_use]
    pub fn received_digest(&self, upstream: &UpstreamId) -> Option<Digest> {
        let inner = self.lock();
        let service = inner.services.get(upstream)?;
        let seen = inner.routers.get(service)?.view.get(upstream)?;
        (seen.digest_time() > Time::ZERO).then(|| seen.digest().clone())
    }

    /// Chooses an upstream that isn't in `avoid`, and adds the request to its estimated load.
    pub fn choose(&self, ask: &Ask, avoid: &[UpstreamId], now: Time) -> Option<Choice> {
        let mut inner = self.lock();
        let Inner { rng, routers, .. } = &mut *inner;
        let router = routers.get_mut(&ask.service)?;
        router.shares.on_request(ask.class(), ask.prompt, now);
        let bulk = router.shares.bulk_upstreams(router.view.open_count(), now);
        router.view.set_bulk_count(bulk);
        let choice = router.choose(ask, avoid, rng, now)?;
        router.view.on_sent(&choice.upstream, ask, now);
        Some(choice)
    }

    /// Chooses an upstream for a request that must run isolated, and adds the request to its
    /// estimated load.
    ///
    /// Prefers an idle upstream. Otherwise all nodes choose the same one for
    /// this service, so that few upstreams are emptied for isolated requests.
    pub fn choose_isolated(&self, ask: &Ask, avoid: &[UpstreamId], now: Time) -> Option<Choice> {
        let mut inner = self.lock();
        let router = inner.routers.get_mut(&ask.service)?;
        let open = |seen: &&UpstreamView| !seen.is_closed() && !avoid.contains(seen.upstream());
        let idle = |seen: &&UpstreamView| seen.digest().streams + seen.digest().queued == 0;
        let best =
            |key: &str, seen: &UpstreamView| ISOLATION_SALT.score(key, seen.upstream().as_str());
        let free = router.view.iter().filter(open).filter(idle);
        let free = free.max_by_key(|seen| best(ask.request.as_str(), seen));
        let shared = router.view.iter().filter(open);
        let shared = shared.max_by_key(|seen| best(ask.service.as_str(), seen));
        let upstream = free.or(shared)?.upstream().clone();
        router.view.on_sent(&upstream, ask, now);
        Some(Choice {
            upstream,
            second: None,
            patience: None,
            reason: ChoiceReason::Apart,
            predicted: Duration::ZERO,
            examined: router.view.open_count() as u32,
        })
    }

    /// Adds a request to the estimated load of an upstream chosen by other means.
    pub fn on_sent(&self, ask: &Ask, upstream: &UpstreamId, now: Time) {
        if let Some(router) = self.lock().routers.get_mut(&ask.service) {
            router.view.on_sent(upstream, ask, now);
        }
    }

    /// The free memory of each open upstream of a service that isn't in `avoid`.
    pub fn free_memory(
        &self,
        service: &ServiceId,
        avoid: &[UpstreamId],
    ) -> Vec<(UpstreamId, Tokens)> {
        let inner = self.lock();
        let Some(router) = inner.routers.get(service) else {
            return Vec::new();
        };
        let seen = router.view.iter();
        let open = seen.filter(|seen| !seen.is_closed() && !avoid.contains(seen.upstream()));
        open.map(|seen| (seen.upstream().clone(), seen.digest().free))
            .collect()
    }

    /// Removes a request added by [`choose`](Self::choose) or [`on_sent`](Self::on_sent) from the
    /// estimated load of its upstream.
    pub fn on_ended(&self, service: &ServiceId, upstream: &UpstreamId) {
        if let Some(router) = self.lock().routers.get_mut(service) {
            router.view.on_ended(upstream);
        }
    }
}

impl Router {
    fn choose(
        &mut self,
        ask: &Ask,
        avoid: &[UpstreamId],
        rng: &mut ChaCha8Rng,
        now: Time,
    ) -> Option<Choice> {
        let mut last = None;
        for _attempt in 0..MAX_CHOICES {
            let choice = self.policy.choose(ask, &self.view, rng, now)?;
            if !avoid.contains(&choice.upstream) {
                return Some(choice);
            }
            if avoid.is_empty() {
                break;
            }
            last = Some(choice);
        }
        // Cache affinity may select the same upstream on every attempt.
        let other = self
            .view
            .iter()
            .filter(|seen| !seen.is_closed() && !avoid.contains(seen.upstream()))
            .min_by_key(|seen| {
                (
                    seen.digest().streams + seen.digest().queued,
                    seen.upstream(),
                )
            })?;
        last.map(|choice| Choice {
            upstream: other.upstream().clone(),
            second: None,
            ..choice
        })
    }
}

/// The digest assumed for an upstream until one is received: idle and cold.
///
/// If it were assumed to be full, all requests would go to the first upstream
/// with a digest; the owner's answer to the first request corrects the assumption.
fn assumed_digest(catalog: &Catalog, server: &Server) -> Digest {
    let service = catalog.service(server.service.as_str());
    match service.and_then(|service| service.engine.as_ref()) {
        Some(limits) => Digest {
            free: limits.memory,
            limit: limits.cold_streams,
            cold: true,
            ..Digest::default()
        },
        None => Digest {
            limit: 1,
            cold: true,
            ..Digest::default()
        },
    }
}

/// The output tokens granted to a request that sets no limit.
pub const DEFAULT_OUTPUT_TOKENS: Tokens = Tokens::new(1024);
