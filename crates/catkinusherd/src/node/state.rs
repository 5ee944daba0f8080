//! The state shared by the tasks of a daemon.

use std::collections::HashMap;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkinusher_core::admission::Admission;
use catkinusher_core::catalog::{Catalog, Server};
use catkinusher_core::cost::TokenEstimator;
use catkinusher_core::drain::Stage;
use catkinusher_core::id::{RequestId, ServiceId};
use catkinusher_core::inventory::ServiceKind;
use catkinusher_core::owner::{Limits, Share};
use catkinusher_core::ownership;
use catkinusher_core::poison::Quarantine;
use catkinusher_core::retry::{self, Budget};
use catkinusher_core::units::Rate;
use catkinusher_peer::link::Links;
use catkinusher_peer::rpc::Release;
use catkinusher_platform::{Gate, Store, Vms};
use catkinusher_upstream::send::{Control, Sender};
use tokio::sync::{Notify, mpsc, watch};
use tokio_util::sync::CancellationToken;

use super::stopping::Stopping;
use crate::claims::Claims;
use crate::config::Config;
use crate::explain::Journal;
use crate::front::intake::{BufferBudget, UpstreamBody};
use crate::members::Members;
use crate::metrics::Metrics;
use crate::owners::Owners;
use crate::permit::HeldTable;
use crate::router::Routers;
use crate::settings::Settings;
use crate::timer::{Clock, Timers};

/// The rate limit of a node for calls to the platform.
const PLATFORM_RATE: Rate = Rate::per_second(40.0);

/// The burst limit of a node for calls to the platform.
const PLATFORM_BURST: u32 = 40;

/// The time limit of a control call to an upstream.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(1);

/// What the parts of one daemon share.
#[derive(Debug)]
pub struct State {
    /// The settings that the daemon was started with.
    pub settings: Settings,
    /// The clock and timers.
    pub timers: Timers,
    /// The metrics client.
    pub metrics: Metrics,
    /// The connections to peers.
    pub links: Links,
    /// The client of the object API.
    pub store: Store,
    /// The client of the VM list.
    pub vms: Vms,
    /// The rate limiter shared by `store` and `vms`.
    pub gate: Gate,
    /// The configuration in force.
    pub config: watch::Sender<Arc<Config>>,
    /// Membership, ownership and the replication of the configuration.
    pub members: Members,
    /// The permits granted for the upstreams that this node owns.
    pub owners: Owners,
    /// The choice of an upstream for each request.
    pub routers: Routers,
    /// The permits that this node holds, granted by the owners of upstreams.
    pub held_permits: HeldTable,
    /// The client that sends requests with their bodies to upstreams.
    pub sender: Sender<UpstreamBody>,
    /// The client for control calls to upstreams.
    pub control: Control,
    /// The memory budget for request bodies that are kept for a retry.
    pub retained_bodies: BufferBudget,
    /// Estimates the number of tokens in a prompt.
    pub estimator: Mutex<TokenEstimator>,
    /// The shutdown of this node.
    pub stopping: Stopping,
    /// Cancelled when the node stops accepting callers.
    pub accepting: CancellationToken,
    /// Cancelled when the requests still running are aborted.
    pub abort_requests: CancellationToken,
    /// The number of releases not yet sent to the owners.
    pub(crate) queued_releases: AtomicUsize,
    pub(crate) releases: mpsc::UnboundedSender<Release>,
    pub(crate) release_queue: Mutex<Option<mpsc::UnboundedReceiver<Release>>>,
    /// Admission control over the open requests of customers, by service.
    pub admissions: Mutex<HashMap<ServiceId, Admission>>,
    /// The claims on idempotency keys and their outcomes.
    pub claims: Claims,
    quarantine: Mutex<Quarantine>,
    /// Notified when an entry of the quarantine has changed.
    pub(crate) quarantine_changed: Notify,
    /// The routing decisions of recent requests.
    pub journal: Journal,
    retries: Mutex<HashMap<ServiceId, Budget>>,
    /// The policy that limits retries.
    pub retry: retry::Policy,
}

impl State {
    /// Creates the state of a daemon that has no configuration and knows no members.
    ///
    /// # Errors
    ///
    /// If metrics can't be set up.
    pub fn new(settings: Settings) -> anyhow::Result<Self> {
        let timers = Timers::start(Clock::start());
        let gate = Gate::new(PLATFORM_RATE, PLATFORM_BURST);
        let timeout = settings.platform.timeout.get();
        let (releases, release_queue) = mpsc::unbounded_channel();
        let store = Store::new([settings.platform.objects], timeout, gate.clone());
        Ok(Self {
            metrics: Metrics::start(&settings.metrics)?,
            links: Links::new(settings.peer.secret.clone()),
            claims: Claims::start(&store, &timers),
            store,
            vms: Vms::new([settings.platform.vms], timeout, gate.clone()),
            gate,
            config: watch::Sender::new(Arc::new(Config::default())),
            members: Members::new(&settings, timers.now()),
            owners: Owners::new(timers.clone()),
            routers: Routers::new(settings.node.data_centre.clone(), rand::random()),
            held_permits: HeldTable::default(),
            sender: Sender::new(),
            control: Control::new(CONTROL_TIMEOUT),
            retained_bodies: BufferBudget::new(&settings.limits),
            estimator: Mutex::default(),
            stopping: Stopping::new(&settings.stop),
            accepting: CancellationToken::new(),
            abort_requests: CancellationToken::new(),
            queued_releases: AtomicUsize::new(0),
            releases,
            release_queue: Mutex::new(Some(release_queue)),
            admissions: Mutex::default(),
            quarantine: Mutex::new(Quarantine::new(settings.poison)),
            quarantine_changed: Notify::new(),
            journal: Journal::new(timers.clone()),
            retries: Mutex::default(),
            retry: retry::Policy::default(),
            timers,
            settings,
        })
    }

    /// The catalog of the configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.config.borrow().catalog)
    }

    /// Why `/readyz` fails, or `None` if the node is ready for new callers.
    #[must_use]
    pub fn unready_reason(&self) -> Option<&'static str> {
        if self.stopping.stage() != Stage::Serving {
            return Some("stopping\n");
        }
        if self.config.borrow().version == 0 {
            return Some("no configuration yet\n");
        }
        if !self.members.is_formed() {
            return Some("no owner of any upstream is known yet\n");
        }
        if !self.members.is_current() {
            return Some("the configuration may be out of date\n");
        }
        None
    }

    /// Takes over and gives up upstreams by the current membership and configuration.
    pub fn update_ownership(&self) {
        let catalog = self.catalog();
        let now = self.timers.now();
        let owned = self.members.owned_shares(now);
        self.owners
            .keep_only(|upstream| owned.contains_key(upstream));
        for (upstream, share) in &owned {
            let share = match share {
                ownership::Share::Full => Share::Full,
                ownership::Share::Half | ownership::Share::None => Share::Half,
            };
            let Some(server) = catalog.server(upstream.as_str()) else {
                continue;
            };
            if let Some(limits) = limits(&catalog, server) {
                self.owners.own(upstream, &limits, share, server.drained);
            }
        }
        let unreachable = self.members.unreachable_upstreams(&catalog, now);
        self.routers.on_unreachable(&catalog, &unreachable);
    }

    /// Creates a random request ID that begins with the name of this node.
    #[must_use]
    pub fn new_request(&self) -> RequestId {
        let number: u64 = rand::random();
        format!("{}-{number:016x}", self.settings.node.name)
            .parse()
            .expect("a VM name and a hexadecimal number form a valid request ID")
    }

    /// Runs `work` on the retry policy and the retry budget of a service.
    pub fn with_retries<T, F>(&self, service: &ServiceId, work: F) -> T
    where
        F: FnOnce(&retry::Policy, &mut Budget) -> T,
    {
        let mut budgets = self.retries.lock().unwrap_or_else(PoisonError::into_inner);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(&self.retry));
        work(&self.retry, budget)
    }

    /// Locks the quarantine of requests that crash upstreams.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues the release of a permit.
    pub fn release(&self, release: Release) {
        // The receiver is dropped only when the node ends, and then the owner
        // detects the lost permit by itself.
        self.queued_releases.fetch_add(1, Ordering::Relaxed);
        let _ended = self.releases.send(release);
    }

    /// Waits a limited time for the queued releases to be sent.
    pub async fn flush_releases(&self) {
        crate::permit::flush(self).await;
    }
}

/// The limits of an upstream, by the kind of its service.
fn limits(catalog: &Catalog, server: &Server) -> Option<Limits> {
    let service = catalog.service(server.service.as_str())?;
    match service.kind {
        ServiceKind::Model => service.engine.clone().map(Limits::Engine),
        ServiceKind::Plain => Some(Limits::Plain(service.concurrency)),
    }
}
