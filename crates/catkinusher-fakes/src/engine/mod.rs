//! A model engine: the cost function of [`batch`](crate::batch) behind sockets.

mod cache_log;
mod clock;
mod complete;
mod core;
mod kv;
mod orders;
mod peer;
mod record;
mod route;
mod scan;
mod sse;
mod state;
mod stream;

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::id::Incarnation;
use catkinusher_core::units::Tokens;
use serde::{Deserialize, Serialize};

use crate::batch::{Load, Rates, Stream as Held};
use crate::faults::{self, LinkFaults};
use crate::serve::Server;

pub use cache_log::{CacheEvent, CacheEvents};
pub use orders::{Fenced, Loaded, Order, Orders};
pub use record::{Begin, Records};
pub use scan::TOKEN_BYTES;
pub use sse::token_text;

pub use state::State;

/// Fault switches of an engine.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Those of its connections; `dead` loses all that the engine holds.
    #[serde(flatten)]
    pub link: LinkFaults,
    /// Every completion is refused as not run.
    pub refuse: bool,
    /// Restarts the engine cold, once.
    pub restart: bool,
    /// Makes the engine cold without a sign of it, once.
    pub chill: bool,
    /// A prompt that holds this text crashes the engine.
    pub poison: Option<String>,
    /// So many frames from now on are those of another stream, if there is one.
    pub cross: u32,
    /// So many frames from now on are sent twice.
    pub duplicate: u32,
    /// So many streams from now on end without a word, after `truncate_after` tokens.
    pub truncate: u32,
    /// Tokens that a truncated stream still sends.
    pub truncate_after: u64,
    /// So many cache events from now on are never published.
    pub event_gap: u32,
}

impl faults::Faults for Faults {
    fn link(&self) -> LinkFaults {
        self.link
    }
}

/// How an engine starts.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// What it can do.
    pub rates: Rates,
    /// How much faster than these rates it runs.
    pub speed: f64,
    /// Whether it starts warm.
    pub warm: bool,
    /// Its first incarnation.
    pub incarnation: Incarnation,
    /// Models that are loaded, with their versions; an engine without any takes any.
    pub models: Vec<(String, String)>,
    /// Its first role.
    pub role: String,
    /// Whether it refuses an order with an old fencing number.
    pub fencing: bool,
    /// How long a stream that nobody reads goes on.
    pub grace: Duration,
    /// How long a stream that ended can be resumed.
    pub retain: Duration,
    /// How late load reports are at most; zero if they are exact.
    pub load_lag: Duration,
    /// How late cache events are.
    pub event_lag: Duration,
    /// Its first switches.
    pub faults: Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: crate::any_port(),
            rates: Rates::default(),
            speed: 1.0,
            warm: true,
            incarnation: Incarnation::new(1),
            models: Vec::new(),
            role: "mixed".to_owned(),
            fencing: true,
            grace: Duration::from_secs(1),
            retain: Duration::from_mins(1),
            load_lag: Duration::from_millis(100),
            event_lag: Duration::from_millis(100),
            faults: Faults::default(),
        }
    }
}

/// The answer to `GET /v1/running`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Running {
    /// The present life.
    pub incarnation: Incarnation,
    /// All that the engine holds.
    pub streams: Vec<Held>,
}

/// The answer to `GET /v1/load`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// How old it is, in milliseconds.
    pub age_ms: u64,
    /// The load.
    #[serde(flatten)]
    pub load: Load,
}

/// A running engine; it stops when this is dropped.
pub type Handle = crate::handle::Handle<State>;

/// Starts an engine.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn start(config: Config) -> io::Result<Handle> {
    let state = Arc::new(State::new(&config));
    let service = route::Api(Arc::clone(&state));
    let server = Server::start(config.listen, service, state.tasks.clone()).await?;
    state.tasks.spawn(state::drive(Arc::clone(&state)));
    Ok(Handle::new(server, state))
}

impl Handle {
    /// What it saw and did.
    #[must_use]
    pub fn records(&self) -> Records {
        self.state.with(|core, _| core.records())
    }

    /// Memory that it holds now.
    #[must_use]
    pub fn memory_held(&self) -> Tokens {
        self.state.with(|core, _| core.batch.load().memory_used)
    }

    /// All that it holds, exactly.
    #[must_use]
    pub fn running(&self) -> Running {
        self.state.running()
    }

    /// What it has of orders.
    #[must_use]
    pub fn orders(&self) -> Orders {
        self.state.with(|core, _| core.orders.report())
    }

    /// Its present life.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.state.with(|core, _| core.batch.incarnation())
    }

    /// Restarts it cold, as after a crash: connections close, and all it held is lost.
    pub fn restart(&self) {
        self.state.restart();
    }

    /// Makes it cold without a sign of it.
    pub fn chill(&self) {
        self.state.with(|core, _| core.batch.chill());
    }

    /// Kills it: connections close, new ones are refused, all it held is lost.
    pub fn die(&self) {
        self.state.switches.set(|faults| faults.link.dead = true);
        self.state.on_switched();
    }

    /// Starts it again after [`Handle::die`], cold, as the next incarnation.
    pub fn revive(&self) {
        self.state.switches.set(|faults| faults.link.dead = false);
    }
}
