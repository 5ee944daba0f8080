//! What all parts of a gateway share.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use catkinusher_core::confirm::{Confirmer, StorePosition, WatchProgress};
use catkinusher_core::directory::Directory;
use catkinusher_core::fleet::{Fleet, MIN_ASSUMED_NODES};
use catkinusher_core::id::ServiceId;
use catkinusher_core::retry::{self, Budget};
use catkinusher_core::time::Time;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::clock;
use super::metrics::{GaugeValues, Metrics};
use super::pool::Pool;
use super::settings::Settings;
use crate::timer::{Clock, Timers};

/// How much later than it should a confirmation may come before the balancer is told.
///
/// It believes a second no, so that callers go elsewhere before this node must refuse them.
const READY_MARGIN: Duration = Duration::from_millis(900);

/// What is known of the store's objects.
#[derive(Debug, Default)]
pub(super) struct StoreView {
    pub(super) directory: Option<Arc<Directory>>,
    pub(super) upstreams_listed: bool,
    pub(super) upstreams: WatchProgress,
    pub(super) drained: WatchProgress,
}

impl StoreView {
    /// How far this node knows the store's objects.
    pub(super) fn known(&self) -> StorePosition {
        StorePosition {
            revision: self.directory.as_ref().map_or(0, |one| one.revision()),
            upstreams: self.upstreams.newest(),
            drained: self.drained.newest(),
        }
    }
}

/// Wakes what follows the store.
#[derive(Debug, Default)]
pub(super) struct Notifiers {
    pub(super) confirm: Notify,
    pub(super) configuration: Notify,
    pub(super) upstreams: Notify,
    pub(super) drained: Notify,
}

impl Notifiers {
    /// Wakes all watches, as the store answers again.
    pub(super) fn notify_watches(&self) {
        self.configuration.notify_one();
        self.upstreams.notify_one();
        self.drained.notify_one();
    }
}

#[derive(Debug)]
pub(super) struct State<D> {
    pub(super) settings: Settings,
    pub(super) dialect: D,
    pub(super) timers: Timers,
    pub(super) pool: Pool,
    pub(super) stopping: CancellationToken,
    pub(super) closing: CancellationToken,
    pub(super) load_changed: Notify,
    pub(super) notifiers: Notifiers,
    confirmer: Mutex<Confirmer>,
    view: Mutex<StoreView>,
    fleet: Mutex<Fleet>,
    budgets: Mutex<BTreeMap<ServiceId, Budget>>,
    pub(super) metrics: Metrics,
    ready: AtomicBool,
    open_requests: AtomicU64,
}

impl<D> State<D> {
    pub(super) fn new(settings: Settings, dialect: D) -> Self {
        let fleet = Fleet::new(settings.data_centre.clone());
        let confirmer = Confirmer::new(settings.peers, settings.rhythm);
        Self {
            settings,
            dialect,
            timers: Timers::start(Clock::start()),
            pool: Pool::default(),
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            load_changed: Notify::new(),
            notifiers: Notifiers::default(),
            confirmer: Mutex::new(confirmer),
            view: Mutex::default(),
            fleet: Mutex::new(fleet),
            budgets: Mutex::default(),
            metrics: Metrics::default(),
            ready: AtomicBool::new(false),
            open_requests: AtomicU64::new(0),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.timers.now()
    }

    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    pub(super) fn confirmer(&self) -> MutexGuard<'_, Confirmer> {
        lock(&self.confirmer)
    }

    pub(super) fn view(&self) -> MutexGuard<'_, StoreView> {
        lock(&self.view)
    }

    /// How retries are held back, and the budget of a service.
    ///
    /// What all nodes may save up is shared evenly. A new node starts with one
    /// retry, as all may have started at the same moment.
    pub(super) fn with_budget<T, F>(&self, service: &ServiceId, act: F) -> T
    where
        F: FnOnce(&retry::Policy, &mut Budget) -> T,
    {
        let nodes = self.fleet().live_nodes(self.now()).max(MIN_ASSUMED_NODES) as f64;
        let policy = retry::Policy {
            burst: (self.settings.retries.burst / nodes).max(1.0),
            ..self.settings.retries.clone()
        };
        let first = retry::Policy {
            burst: 1.0,
            ..policy.clone()
        };
        let mut budgets = lock(&self.budgets);
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| Budget::new(&first));
        act(&policy, budget)
    }

    /// Whether what is known of keys may be acted on.
    pub(super) fn is_configuration_trusted(&self) -> bool {
        let now = clock::boot_time();
        let freshness = self.confirmer().freshness();
        freshness.within(self.settings.trust, now)
    }

    /// Whether the balancer should send callers here.
    pub(super) fn is_ready(&self) -> bool {
        let now = clock::boot_time();
        let fresh = self
            .confirmer()
            .freshness()
            .within(self.settings.rhythm + READY_MARGIN, now);
        let view = self.view();
        let ready = !self.stopping.is_cancelled()
            && view.upstreams_listed
            && view.directory.is_some()
            && fresh;
        drop(view);
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            tracing::info!(event = "ready", ready);
        }
        ready
    }

    /// The metrics as text.
    pub(super) fn metrics_text(&self) -> String {
        let view = self.view();
        let revision = view.directory.as_ref().map_or(0, |one| one.revision());
        drop(view);
        let confirmed_age = self.confirmer().freshness().age(clock::boot_time());
        let fleet = self.fleet();
        let values = GaugeValues {
            revision,
            confirmed_age,
            upstreams: fleet.len(),
            nodes: fleet.live_nodes(self.now()),
            open_requests: self.open_requests(),
        };
        drop(fleet);
        self.metrics.encode_text(&values)
    }

    pub(super) fn on_request_start(&self) {
        self.open_requests.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn on_request_end(&self) {
        self.open_requests.fetch_sub(1, Ordering::Relaxed);
    }

    /// The requests under way.
    pub(super) fn open_requests(&self) -> u64 {
        self.open_requests.load(Ordering::Relaxed)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
