//! A TCP relay that can be cut, frozen or made silent, for links between real processes.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use serde::{Deserialize, Serialize};
use tokio::io::copy_bidirectional;
use tokio::net::TcpStream;

use crate::faults::{self, LinkFaults, Switches};
use crate::handle::Standin;
use crate::serve::{Connect, Gate, Link, Server, Tasks};

/// Fault switches of a relay; `delay_ms` has no effect on it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Those of its connections; `dead` is a cut.
    #[serde(flatten)]
    pub link: LinkFaults,
}

impl faults::Faults for Faults {
    fn link(&self) -> LinkFaults {
        self.link
    }
}

/// How a relay starts.
#[derive(Debug, Clone)]
pub struct Config {
    /// Where it listens; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Where it leads.
    pub target: SocketAddr,
}

impl Config {
    /// A relay on a free port that leads to `target`.
    #[must_use]
    pub fn new(target: SocketAddr) -> Self {
        Self {
            listen: crate::any_port(),
            target,
        }
    }
}

/// Its inside.
#[derive(Debug, Clone)]
pub struct Relay {
    target: SocketAddr,
    switches: Switches<Faults>,
    accepted: Arc<AtomicU64>,
}

impl Standin for Relay {
    type Faults = Faults;

    fn switches(&self) -> &Switches<Faults> {
        &self.switches
    }
}

impl Connect for Relay {
    fn gate(&self) -> &Arc<Gate> {
        self.switches.gate()
    }

    async fn serve(self, stream: TcpStream) {
        self.accepted.fetch_add(1, Ordering::Relaxed);
        let mut near = Link::new(stream, Arc::clone(self.switches.gate()));
        if let Err(error) = self.forward(&mut near).await {
            tracing::debug!("fakes: relayed connection ended: {error}");
        }
    }
}

impl Relay {
    async fn forward(&self, near: &mut Link) -> io::Result<()> {
        let mut far = TcpStream::connect(self.target).await?;
        far.set_nodelay(true)?;
        copy_bidirectional(near, &mut far).await?;
        Ok(())
    }
}

/// A running relay; it stops when this is dropped.
pub type Handle = crate::handle::Handle<Relay>;

/// Starts a relay.
///
/// # Errors
///
/// Fails if the address can't be listened on.
pub async fn start(config: Config) -> io::Result<Handle> {
    let relay = Relay {
        target: config.target,
        switches: Switches::new(Faults::default()),
        accepted: Arc::default(),
    };
    let server = Server::listen(config.listen, relay.clone(), Tasks::default()).await?;
    Ok(Handle::new(server, Arc::new(relay)))
}

impl Handle {
    /// Connections it has accepted.
    #[must_use]
    pub fn accepted(&self) -> u64 {
        self.state.accepted.load(Ordering::Relaxed)
    }
}
