//! State shared by all tasks of a gateway.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use catkinusher_core::confirm::{Confirmer, StorePosition, WatchProgress};
use catkinusher_core::directory::Directory;
use catkinusher_core::fleet::{Fleet, MIN_ASSUMED_NODES};
use catkinusher_core::id::{Incarnation, ServiceId};
use catkinusher_core::object::Era;
use catkinusher_core::placer::{Asker, Placer};
use catkinusher_core::poison::{self, Detector};
use catkinusher_core::reach::Reach;
use catkinusher_core::rendezvous::Salt;
use catkinusher_core::retry::{self, Budget};
use catkinusher_core::roster::{Member, Roster};
use catkinusher_core::time::Time;
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;
use tracing::info;

use super::bad_entries::BadEntries;
use super::clock;
use super::detour::Detours;
use super::feeds::Feeds;
use super::memory::Memory;
use super::metrics::{GaugeValues, Metrics};
use super::open::OpenRequests;
use super::placing::Asks;
use super::pool::Pool;
use super::settings::Settings;
use super::trials::Trials;
use crate::timer::{Clock, Timers};

const SALT: Salt = Salt::new(0x7065_6572);

/// How overdue a confirmation of the configuration may be before this node
/// reports itself unready.
///
/// The load balancer removes a node after the second failed health check, so
/// callers are sent elsewhere before this node has to refuse them.
const READY_MARGIN: Duration = Duration::from_millis(900);

/// How long after an outage of the store a call may be the first that shows what lapsed in it.
const REGAINED_PERIOD: Duration = Duration::from_secs(1);

/// What this node knows of the objects in the store.
#[derive(Debug, Default)]
pub(super) struct StoreView {
    pub(super) directory: Option<Arc<Directory>>,
    pub(super) upstreams_listed: bool,
    pub(super) upstreams: WatchProgress,
    pub(super) drained: WatchProgress,
    pub(super) nodes: WatchProgress,
    pub(super) quarantine: WatchProgress,
    pub(super) quarantine_listed: bool,
}

impl StoreView {
    /// The revision and versions that this node has seen of the store's objects.
    pub(super) fn position(&self) -> StorePosition {
        StorePosition {
            revision: self.directory.as_ref().map_or(0, |one| one.revision()),
            upstreams: self.upstreams.newest(),
            drained: self.drained.newest(),
            nodes: self.nodes.newest(),
            quarantine: self.quarantine.newest(),
        }
    }
}

/// Wakes the tasks that follow the store.
#[derive(Debug, Default)]
pub(super) struct Notifiers {
    pub(super) confirm: Notify,
    pub(super) configuration: Notify,
    pub(super) upstreams: Notify,
    pub(super) drained: Notify,
    pub(super) nodes: Notify,
    pub(super) quarantine: Notify,
    /// The entry of this node is there no more.
    pub(super) registration: Notify,
    /// Content is suspected to crash upstreams.
    pub(super) suspected: Notify,
    /// Asks are waiting at this node.
    pub(super) placing: Notify,
    /// An ask has found that a node does not answer.
    pub(super) silent: Notify,
    /// An upstream could not be reached.
    pub(super) reach: Notify,
}

impl Notifiers {
    /// Wakes all watches once the store answers again.
    pub(super) fn notify_watches(&self) {
        self.configuration.notify_one();
        self.upstreams.notify_one();
        self.drained.notify_one();
        self.nodes.notify_one();
        self.quarantine.notify_one();
    }
}

/// How this node is registered in the store.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) enum Registration {
    /// The nodes are not listed yet.
    #[default]
    Unknown,
    /// There is no entry for this node.
    Missing,
    /// There is one, perhaps of an earlier process.
    Listed(Member),
}

#[derive(Debug)]
pub(super) struct State<D> {
    pub(super) settings: Settings,
    pub(super) dialect: D,
    pub(super) timers: Timers,
    pub(super) pool: Pool,
    /// Cancelled once this node has had a trusted configuration and the list of upstreams.
    pub(super) started: CancellationToken,
    /// Cancelled when a stop begins, before `closing` and `ending`; the node then reports itself unready.
    pub(super) stopping: CancellationToken,
    /// Cancelled when new connections are no longer accepted.
    pub(super) closing: CancellationToken,
    /// Cancelled when the requests that wait for a response are answered, as the process is about to end.
    pub(super) ending: CancellationToken,
    /// When `ending` will be cancelled, once a stop has begun.
    ends_at: OnceLock<Time>,
    /// Notified when the load that this node causes has changed.
    pub(super) load_changed: Notify,
    pub(super) notifiers: Notifiers,
    /// The number of this node in its reports.
    pub(super) node_number: u64,
    /// Differs between successive processes of this node.
    pub(super) incarnation: Incarnation,
    pub(super) asks: Asks<D>,
    pub(super) feeds: Feeds,
    pub(super) bad_entries: BadEntries,
    pub(super) trials: Trials,
    /// When the store was last confirmed again after an outage, in microseconds since boot.
    pub(super) regained_at: AtomicU64,
    /// The newest era of the store that this node has heard of.
    era: AtomicU64,
    socket: OnceLock<Arc<UdpSocket>>,
    roster: Mutex<Roster>,
    registration: Mutex<Registration>,
    placer: Mutex<Placer>,
    confirmer: Mutex<Confirmer>,
    view: Mutex<StoreView>,
    fleet: Mutex<Fleet>,
    reach: Mutex<Reach>,
    detours: Mutex<Detours>,
    budgets: Mutex<BTreeMap<ServiceId, Budget>>,
    detector: Mutex<Detector>,
    pub(super) memory: Memory,
    pub(super) metrics: Metrics,
    ready: AtomicBool,
    pub(super) open_requests: OpenRequests,
}

impl<D> State<D> {
    pub(super) fn new(settings: Settings, dialect: D) -> Self {
        let fleet = Fleet::new(settings.data_centre.clone());
        let incarnation = Incarnation::new(rand::random::<u32>().into());
        let confirmer = Confirmer::new(incarnation, settings.rhythm);
        let roster = Roster::new(settings.member(), clock::boot_time());
        Self {
            node_number: SALT.score("node", settings.node.as_str()),
            incarnation,
            asks: Asks::new(incarnation),
            feeds: Feeds::default(),
            bad_entries: BadEntries::default(),
            trials: Trials::default(),
            regained_at: AtomicU64::new(0),
            era: AtomicU64::new(Era::NONE.get()),
            socket: OnceLock::new(),
            roster: Mutex::new(roster),
            registration: Mutex::default(),
            placer: Mutex::new(Placer::new(incarnation)),
            memory: Memory::new(settings.memory),
            settings,
            dialect,
            timers: Timers::start(Clock::start()),
            pool: Pool::default(),
            started: CancellationToken::new(),
            stopping: CancellationToken::new(),
            closing: CancellationToken::new(),
            ending: CancellationToken::new(),
            ends_at: OnceLock::new(),
            load_changed: Notify::new(),
            notifiers: Notifiers::default(),
            confirmer: Mutex::new(confirmer),
            view: Mutex::default(),
            fleet: Mutex::new(fleet),
            reach: Mutex::default(),
            detours: Mutex::default(),
            budgets: Mutex::default(),
            detector: Mutex::new(Detector::new(incarnation, poison::Policy::default())),
            metrics: Metrics::default(),
            ready: AtomicBool::new(false),
            open_requests: OpenRequests::default(),
        }
    }

    pub(super) fn now(&self) -> Time {
        self.timers.now()
    }

    pub(super) fn fleet(&self) -> MutexGuard<'_, Fleet> {
        lock(&self.fleet)
    }

    pub(super) fn reach(&self) -> MutexGuard<'_, Reach> {
        lock(&self.reach)
    }

    pub(super) fn detours(&self) -> MutexGuard<'_, Detours> {
        lock(&self.detours)
    }

    pub(super) fn detector(&self) -> MutexGuard<'_, Detector> {
        lock(&self.detector)
    }

    pub(super) fn roster(&self) -> MutexGuard<'_, Roster> {
        lock(&self.roster)
    }

    pub(super) fn placer(&self) -> MutexGuard<'_, Placer> {
        lock(&self.placer)
    }

    /// This node as one that asks itself.
    pub(super) const fn asker(&self) -> Asker {
        Asker {
            peer: None,
            address: self.settings.peers,
        }
    }

    /// The socket for messages to peers, once it is open.
    pub(super) fn socket(&self) -> Option<&UdpSocket> {
        self.socket.get().map(|socket| &**socket)
    }

    pub(super) fn set_socket(&self, socket: Arc<UdpSocket>) {
        // A node opens one socket in its life.
        let _first = self.socket.set(socket);
    }

    /// Tells the fleet the number of nodes, and the position of this one among them.
    pub(super) fn on_roster_changed(&self) {
        let position = self.roster().position();
        let mut fleet = self.fleet();
        fleet.on_node_count(position.count);
        fleet.on_position(position);
    }

    /// Records how this node is registered, as far as the list of nodes tells.
    pub(super) fn set_registration(&self, member: Option<&Member>) {
        *lock(&self.registration) = match member {
            Some(member) => Registration::Listed(member.clone()),
            None => Registration::Missing,
        };
        if member.is_none() {
            self.notifiers.registration.notify_one();
        }
    }

    /// How this node is registered.
    pub(super) fn registration(&self) -> Registration {
        lock(&self.registration).clone()
    }

    /// When the store was last confirmed again after an outage, if that was just now.
    pub(super) fn regained_store_at(&self) -> Option<Time> {
        let regained_at = Time::from_micros(self.regained_at.load(Ordering::Relaxed));
        let recent = clock::boot_time().since(regained_at) < REGAINED_PERIOD;
        (regained_at > Time::ZERO && recent).then_some(regained_at)
    }

    /// Records the newest era that the store has named to this node.
    ///
    /// A later one than before shows that the store came back from an older copy, so all watches
    /// have to begin anew.
    pub(super) fn on_era(&self, era: Era) {
        let before = Era::new(self.era.fetch_max(era.get(), Ordering::Relaxed));
        if before != Era::NONE && before < era {
            info!(event = "store", outcome = "restored", %era, %before);
            self.trials.on_restored(self.now());
            self.notifiers.notify_watches();
        }
    }

    /// Whether this node reads the store for others.
    pub(super) fn is_reader(&self) -> bool {
        let now = clock::boot_time();
        let confirmer = self.confirmer();
        let roster = self.roster();
        confirmer.is_reader(&roster, now)
    }

    pub(super) fn confirmer(&self) -> MutexGuard<'_, Confirmer> {
        lock(&self.confirmer)
    }

    pub(super) fn view(&self) -> MutexGuard<'_, StoreView> {
        lock(&self.view)
    }

    /// Calls `act` with the retry policy of this node and the retry budget of a service.
    ///
    /// The burst is a limit for all nodes together and is divided evenly among
    /// them. A new budget starts with one retry, as all nodes may have started at
    /// the same time.
    pub(super) fn with_budget<T, F>(&self, service: &ServiceId, act: F) -> T
    where
        F: FnOnce(&retry::Policy, &mut Budget) -> T,
    {
        let nodes = self.roster().len().max(MIN_ASSUMED_NODES) as f64;
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

    /// Whether the configuration was confirmed recently enough to accept keys by it.
    pub(super) fn trusts_configuration(&self) -> bool {
        let now = clock::boot_time();
        let freshness = self.confirmer().freshness();
        freshness.within(self.settings.trust, now)
    }

    /// Lets the requests go on that wait for the first configuration, if it is there.
    pub(super) fn note_start(&self) {
        if self.started.is_cancelled() || !self.trusts_configuration() {
            return;
        }
        let view = self.view();
        if view.directory.is_some() && view.upstreams_listed {
            self.started.cancel();
        }
    }

    /// Begins a stop in which requests are answered until `ends_at`.
    pub(super) fn begin_stop(&self, ends_at: Time) {
        // Signals after the first are ignored, so it is set only once.
        let _set = self.ends_at.set(ends_at);
        self.stopping.cancel();
    }

    /// When this node stops to wait for responses, if a stop has begun.
    pub(super) fn ends_at(&self) -> Option<Time> {
        self.ends_at.get().copied()
    }

    /// Whether the load balancer should send requests to this node.
    pub(super) fn is_ready(&self) -> bool {
        let now = clock::boot_time();
        let fresh = self
            .confirmer()
            .freshness()
            .within(self.settings.rhythm + READY_MARGIN, now);
        let view = self.view();
        let ready = !self.stopping.is_cancelled()
            && view.upstreams_listed
            && view.quarantine_listed
            && view.directory.is_some()
            && fresh;
        drop(view);
        if self.ready.swap(ready, Ordering::Relaxed) != ready {
            info!(event = "ready", ready);
        }
        ready
    }

    /// Encodes the metrics in the Prometheus text format.
    pub(super) fn metrics_text(&self) -> String {
        let view = self.view();
        let revision = view.directory.as_ref().map_or(0, |one| one.revision());
        drop(view);
        let confirmed_age = self.confirmer().freshness().age(clock::boot_time());
        let fleet = self.fleet();
        let values = GaugeValues {
            revision,
            era: self.era.load(Ordering::Relaxed),
            confirmed_age,
            upstreams: fleet.len(),
            nodes: self.roster().len(),
            open_requests: self.open_requests.count() as u64,
            is_cut_off: self.is_cut_off(),
            quarantined: self.detector().quarantined(),
            held_bytes: self.memory.held(),
        };
        drop(fleet);
        self.metrics.encode_text(&values)
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
