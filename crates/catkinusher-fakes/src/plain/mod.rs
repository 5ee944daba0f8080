//! A plain service, which counts how often each idempotency key ran.

mod record;
mod route;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkinusher_core::id::Incarnation;
use serde::{Deserialize, Serialize};
use tokio::time::{Instant, sleep};

use crate::faults::{self, LinkFaults, Switches};
use crate::handle::Standin;
use crate::lag::{Lagging, lock};
use crate::serve::{Server, Tasks};

pub use record::{Records, Run};

use record::Counter;

/// Fault switches of a plain service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Those of its connections.
    #[serde(flatten)]
    pub link: LinkFaults,
    /// Every call is refused as not run.
    pub refuse: bool,
    /// Calls wait before they run.
    pub hold: bool,
    /// So many calls from now on kill the service before they run.
    pub die_before: u32,
    /// So many calls from now on kill the service after they ran, before their answer.
    pub die_after: u32,
    /// So many calls from now on get the answer of the call before them.
    pub cross: u32,
}

impl faults::Faults for Faults {
    fn link(&self) -> LinkFaults {
        self.link
    }
}

/// How a plain service starts.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Its name, as it stands in its answers.
    pub service: String,
    /// How long a call takes.
    pub work: Duration,
    /// The most calls at a time; 0 is no limit.
    pub limit: u32,
    /// Its first incarnation.
    pub incarnation: Incarnation,
    /// How long it is down after a call has killed it.
    pub restart: Duration,
    /// How late load reports are at most; zero if they are exact.
    pub load_lag: Duration,
    /// Its first switches.
    pub faults: Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: crate::any_port(),
            service: "plain".to_owned(),
            work: Duration::ZERO,
            limit: 64,
            incarnation: Incarnation::new(1),
            restart: Duration::from_millis(500),
            load_lag: Duration::from_millis(100),
            faults: Faults::default(),
        }
    }
}

/// Its inside.
#[derive(Debug)]
pub struct State {
    config: Config,
    started: Instant,
    records: Mutex<Records>,
    counter: Mutex<Counter>,
    /// How many calls run.
    samples: Mutex<Lagging<u32>>,
    /// The answer before, for crossed answers.
    last: Mutex<Option<route::Reply>>,
    switches: Switches<Faults>,
    tasks: Tasks,
}

impl Standin for State {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.switches
    }
}

impl State {
    fn records(&self) -> MutexGuard<'_, Records> {
        lock(&self.records)
    }

    fn counter(&self) -> MutexGuard<'_, Counter> {
        lock(&self.counter)
    }

    fn samples(&self) -> MutexGuard<'_, Lagging<u32>> {
        lock(&self.samples)
    }

    fn incarnation(&self) -> Incarnation {
        let deaths = self.switches.gate().deaths();
        Incarnation::new(self.config.incarnation.get() + deaths)
    }

    /// Closes all connections and refuses new ones for a while.
    fn die(self: &Arc<Self>) {
        self.switches.gate().set_down(true);
        let state = Arc::clone(self);
        self.tasks.spawn(async move {
            sleep(state.config.restart).await;
            state.switches.gate().set_down(false);
        });
    }

    fn sample(&self) {
        let running = self.records().running;
        self.samples().push(running);
    }

    /// Calls that run, as the lagging report shows them, and how old the reading is.
    fn report(&self) -> (Duration, u32) {
        let now = self.records().running;
        self.samples().shown(now)
    }
}

/// Reads the load for the lagging report.
async fn sample(state: Arc<State>) {
    loop {
        state.sample();
        sleep(state.config.load_lag / 2).await;
    }
}

/// A running plain service; it stops when this is dropped.
pub type Handle = crate::handle::Handle<State>;

/// Starts a plain service.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn start(config: Config) -> io::Result<Handle> {
    let state = Arc::new(State {
        started: Instant::now(),
        records: Mutex::default(),
        counter: Mutex::default(),
        samples: Mutex::default(),
        last: Mutex::default(),
        switches: Switches::new(config.faults.clone()),
        tasks: Tasks::default(),
        config,
    });
    let service = route::Api(Arc::clone(&state));
    let server = Server::start(state.config.listen, service, state.tasks.clone()).await?;
    if !state.config.load_lag.is_zero() {
        state.tasks.spawn(sample(Arc::clone(&state)));
    }
    Ok(Handle::new(server, state))
}

impl Handle {
    /// What it saw and did.
    #[must_use]
    pub fn records(&self) -> Records {
        self.state.records().clone()
    }

    /// Its present life.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.state.incarnation()
    }
}
