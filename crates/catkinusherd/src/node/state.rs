//! What the parts of one daemon share.

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

/// The calls to the platform that one node may make in a second.
const PLATFORM_RATE: Rate = Rate::per_second(40.0);

/// The calls to the platform that one node may make at once.
const PLATFORM_BURST: u32 = 40;

/// How long a control call to an upstream may take.
const CONTROL_LIMIT: Duration = Duration::from_secs(1);

/// What the parts of one daemon share.
#[derive(Debug)]
pub struct State {
    /// The settings it started with.
    pub settings: Settings,
    /// The timer service.
    pub timers: Timers,
    /// The metrics.
    pub metrics: Metrics,
    /// The connections to peers.
    pub links: Links,
    /// The object API.
    pub store: Store,
    /// The VM list.
    pub vms: Vms,
    /// The rate budget of both.
    pub gate: Gate,
    /// The configuration in force.
    pub config: watch::Sender<Arc<Config>>,
    /// The daemons that are there.
    pub members: Members,
    /// The upstreams that this node owns.
    pub owners: Owners,
    /// The choice of upstreams.
    pub routers: Routers,
    /// The permits that this node holds.
    pub held_permits: HeldTable,
    /// Requests with bodies, to upstreams.
    pub sender: Sender<UpstreamBody>,
    /// Short calls to upstreams.
    pub control: Control,
    /// The budget for kept bodies.
    pub retained_bodies: BufferBudget,
    /// The estimates of prompt lengths.
    pub estimator: Mutex<TokenEstimator>,
    /// The stop of this node.
    pub stopping: Stopping,
    /// Cancelled when no caller is taken any more.
    pub accepting: CancellationToken,
    /// Cancelled when what is under way is cut.
    pub abort_requests: CancellationToken,
    pub(crate) queued_releases: AtomicUsize,
    pub(crate) releases: mpsc::UnboundedSender<Release>,
    pub(crate) release_queue: Mutex<Option<mpsc::UnboundedReceiver<Release>>>,
    /// What customers have open, by service.
    pub admissions: Mutex<HashMap<ServiceId, Admission>>,
    /// Idempotency keys and what became of them.
    pub claims: Claims,
    quarantine: Mutex<Quarantine>,
    pub(crate) quarantine_changed: Notify,
    /// Why requests went where they went.
    pub journal: Journal,
    retries: Mutex<HashMap<ServiceId, Budget>>,
    /// How retries are held back.
    pub retry: retry::Policy,
}

impl State {
    /// The parts of a daemon with these settings, with nothing known yet.
    ///
    /// # Errors
    ///
    /// If metrics can't be sent.
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
            control: Control::new(CONTROL_LIMIT),
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

    /// The configuration in force.
    #[must_use]
    pub fn catalog(&self) -> Arc<Catalog> {
        Arc::clone(&self.config.borrow().catalog)
    }

    /// Why the balancer should send no new callers here, if it should not.
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

    /// Takes over and gives up upstreams as members and configuration say.
    pub fn update_ownership(&self) {
        let catalog = self.catalog();
        let now = self.timers.now();
        let mine = self.members.owned_shares(now);
        self.owners
            .keep_only(|upstream| mine.contains_key(upstream));
        for (upstream, share) in &mine {
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
        let away = self.members.unreachable_upstreams(&catalog, now);
        self.routers.on_unreachable(&catalog, &away);
    }

    /// A fresh identity for a request, which names this node.
    #[must_use]
    pub fn new_request(&self) -> RequestId {
        let number: u64 = rand::random();
        format!("{}-{number:016x}", self.settings.node.name)
            .parse()
            .expect("a VM's name and a number make a name")
    }

    /// Works on the retry budget of a service.
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

    /// The requests held guilty of crashes.
    pub fn quarantine(&self) -> MutexGuard<'_, Quarantine> {
        self.quarantine
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues a permit to be given back.
    pub fn release(&self, release: Release) {
        // The queue ends only with the node, and then the owner finds out by itself.
        self.queued_releases.fetch_add(1, Ordering::Relaxed);
        let _ended = self.releases.send(release);
    }

    /// Waits until queued releases have gone out.
    pub async fn flush_releases(&self) {
        crate::permit::flush(self).await;
    }
}

fn limits(catalog: &Catalog, server: &Server) -> Option<Limits> {
    let service = catalog.service(server.service.as_str())?;
    match service.kind {
        ServiceKind::Model => service.engine.clone().map(Limits::Engine),
        ServiceKind::Plain => Some(Limits::Plain(service.concurrency)),
    }
}
