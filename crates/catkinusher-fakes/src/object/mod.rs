//! The object API: versions, conditional updates, watches.

mod count;
mod route;
mod store;

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::sync::watch;

use crate::faults::{self, LinkFaults, Switches};
use crate::handle::Standin;
use crate::lag::lock;
use crate::serve::{Server, Tasks};

pub use count::{Call, Count};
pub use store::{Object, Write};

use count::Counts;
use store::{Store, View};

/// The largest value of an object, in bytes.
pub const VALUE_LIMIT: usize = 1_000_000;

/// Fault switches of the object API.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Those of its connections.
    #[serde(flatten)]
    pub link: LinkFaults,
    /// Every call is answered with 503, and waiting watches too.
    pub outage: bool,
    /// So many writes from now on take effect, but the connection closes without an answer.
    pub lose_answers: u32,
    /// So many writes from now on have no effect, and the connection closes without an answer.
    pub drop_writes: u32,
    /// So many reads from now on see the state before the last change of each object.
    pub stale_reads: u32,
    /// Reads admitted a second, a watch counting as one; 0 is no limit.
    pub read_limit: u64,
    /// Writes admitted a second; 0 is no limit.
    pub write_limit: u64,
}

impl faults::Faults for Faults {
    fn link(&self) -> LinkFaults {
        self.link
    }
}

/// What reached an object API.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Records {
    /// The writes that took effect, oldest first; the latest sixteen thousand of them.
    pub writes: Vec<Write>,
    /// How often each call came, by kind; those in an outage are not counted.
    pub counts: Vec<Count>,
}

/// How an object API starts.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Its first switches.
    pub faults: Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: crate::any_port(),
            faults: Faults::default(),
        }
    }
}

/// Its inside.
#[derive(Debug)]
pub struct State {
    store: Mutex<Store>,
    counts: Mutex<Counts>,
    version: watch::Sender<u64>,
    switches: Switches<Faults>,
}

impl Standin for State {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.switches
    }
}

impl State {
    fn store(&self) -> MutexGuard<'_, Store> {
        lock(&self.store)
    }

    fn counts(&self) -> MutexGuard<'_, Counts> {
        lock(&self.counts)
    }

    fn records(&self) -> Records {
        Records {
            writes: self.store().writes(),
            counts: self.counts().list(),
        }
    }

    /// Tells the waiting watches of the last write.
    fn announce(&self) {
        let version = self.store().version(View::Present);
        self.version
            .send_if_modified(|known| std::mem::replace(known, version.max(*known)) < version);
    }
}

/// A running object API; it stops when this is dropped.
pub type Handle = crate::handle::Handle<State>;

/// Starts an object API without objects.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn start(config: Config) -> io::Result<Handle> {
    let state = Arc::new(State {
        store: Mutex::default(),
        counts: Mutex::default(),
        version: watch::Sender::new(0),
        switches: Switches::new(config.faults),
    });
    let service = route::Api(Arc::clone(&state));
    let server = Server::start(config.listen, service, Tasks::default()).await?;
    Ok(Handle::new(server, state))
}

impl Handle {
    /// An object as it stands, whatever the faults.
    #[must_use]
    pub fn get(&self, kind: &str, name: &str) -> Option<Object> {
        self.state.store().get(kind, name, View::Present)
    }

    /// The objects of a kind as they stand, whatever the faults.
    #[must_use]
    pub fn list(&self, kind: &str) -> Vec<Object> {
        self.state.store().list(kind, "", View::Present)
    }

    /// Sets an object, as another client would do.
    pub fn put(&self, kind: &str, name: &str, value: Value) {
        self.state.store().write(kind, name, Some(value));
        self.state.announce();
    }

    /// Deletes an object, as another client would do.
    pub fn delete(&self, kind: &str, name: &str) {
        self.state.store().write(kind, name, None);
        self.state.announce();
    }

    /// What reached it.
    #[must_use]
    pub fn records(&self) -> Records {
        self.state.records()
    }

    /// The writes that took effect, oldest first; the latest sixteen thousand of them.
    #[must_use]
    pub fn writes(&self) -> Vec<Write> {
        self.state.store().writes()
    }

    /// How often each call came, by kind.
    #[must_use]
    pub fn counts(&self) -> Vec<Count> {
        self.state.counts().list()
    }
}
