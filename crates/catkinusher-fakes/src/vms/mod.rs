//! The list of VMs, which lags behind what is set.

use std::collections::VecDeque;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use catkinusher_core::id::{DataCentreId, VmId};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::faults::{self, LinkFaults, Switches};
use crate::handle::Standin;
use crate::lag::lock;
use crate::serve::{Answer, Body, Server, Service, Tasks, json, read_limited, refuse, status};

/// The largest list that can be set over HTTP, in bytes.
const LIST_LIMIT: usize = 4 * 1024 * 1024;

/// What runs on a VM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// One of our own.
    Entry,
    /// Upstreams.
    Upstream,
}

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum VmState {
    /// It runs.
    Live,
    /// It is about to go.
    Leaving,
}

/// One VM of the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub vm: VmId,
    /// Where the daemon's peer listener is, for one of our own.
    pub address: SocketAddr,
    /// The data centre it runs in.
    pub data_centre: DataCentreId,
    /// What runs on it.
    pub role: Role,
    /// Whether it stays.
    pub state: VmState,
}

/// The list as the platform answers it, and as `POST /_vms` and a file set it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The VMs.
    #[serde(default)]
    pub vms: Vec<Vm>,
}

/// Fault switches of the VM list.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Those of its connections.
    #[serde(flatten)]
    pub link: LinkFaults,
    /// Every call is answered with 503.
    pub outage: bool,
    /// How long a list that was set takes to show, in milliseconds.
    pub lag_ms: u64,
    /// The list shown now stays, whatever is set.
    pub hold: bool,
}

impl faults::Faults for Faults {
    fn link(&self) -> LinkFaults {
        self.link
    }
}

/// How a VM list starts.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// The list that shows at once.
    pub vms: Vec<Vm>,
    /// Its first switches.
    pub faults: Faults,
}

impl Default for Config {
    fn default() -> Self {
        Self {
            listen: crate::any_port(),
            vms: Vec::new(),
            faults: Faults::default(),
        }
    }
}

#[derive(Debug)]
struct Lists {
    shown: Vec<Vm>,
    /// Lists that do not show yet, with the moment they were set.
    coming: VecDeque<(Instant, Vec<Vm>)>,
    reads: u64,
}

/// Its inside.
#[derive(Debug)]
pub struct State {
    lists: Mutex<Lists>,
    switches: Switches<Faults>,
}

impl Standin for State {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.switches
    }
}

impl State {
    fn lists(&self) -> MutexGuard<'_, Lists> {
        lock(&self.lists)
    }

    fn set(&self, vms: Vec<Vm>) {
        self.lists().coming.push_back((Instant::now(), vms));
    }

    fn show(&self) -> Vec<Vm> {
        let faults = self.switches.get();
        let lag = Duration::from_millis(faults.lag_ms);
        let mut lists = self.lists();
        while let Some((set, _)) = lists.coming.front() {
            if faults.hold || set.elapsed() < lag {
                break;
            }
            if let Some((_, vms)) = lists.coming.pop_front() {
                lists.shown = vms;
            }
        }
        lists.reads += 1;
        lists.shown.clone()
    }
}

#[derive(Debug, Clone)]
struct Api(Arc<State>);

impl Service for Api {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.0.switches
    }

    async fn call(&self, request: Request<Incoming>) -> Answer {
        let method = request.method().clone();
        let reply = match (method, request.uri().path()) {
            (Method::GET, "/v1/vms") if self.0.switches.get().outage => {
                refuse(StatusCode::SERVICE_UNAVAILABLE, "outage")
            }
            (Method::GET, "/v1/vms") => {
                let vms = self.0.show();
                json(StatusCode::OK, &Listing { vms })
            }
            (Method::POST, "/_vms") => self.set(request).await,
            _ => status(StatusCode::NOT_FOUND),
        };
        Answer::Reply(reply)
    }
}

impl Api {
    async fn set(&self, request: Request<Incoming>) -> Response<Body> {
        let Ok(body) = read_limited(request.into_body(), LIST_LIMIT).await else {
            return status(StatusCode::PAYLOAD_TOO_LARGE);
        };
        match serde_json::from_slice::<Listing>(&body) {
            Ok(listing) => {
                self.0.set(listing.vms);
                status(StatusCode::OK)
            }
            Err(error) => refuse(StatusCode::BAD_REQUEST, &error.to_string()),
        }
    }
}

/// A running VM list; it stops when this is dropped.
pub type Handle = crate::handle::Handle<State>;

/// Starts a VM list.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn start(config: Config) -> io::Result<Handle> {
    let state = Arc::new(State {
        lists: Mutex::new(Lists {
            shown: config.vms,
            coming: VecDeque::new(),
            reads: 0,
        }),
        switches: Switches::new(config.faults),
    });
    let service = Api(Arc::clone(&state));
    let server = Server::start(config.listen, service, Tasks::default()).await?;
    Ok(Handle::new(server, state))
}

impl Handle {
    /// Sets the list, to show after the lag.
    pub fn set(&self, vms: Vec<Vm>) {
        self.state.set(vms);
    }

    /// How often the list was read.
    #[must_use]
    pub fn reads(&self) -> u64 {
        self.state.lists().reads
    }
}
