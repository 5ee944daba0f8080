//! What holds a running stand-in.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::faults::{Faults, Switches};
use crate::serve::Server;

/// The inside of a stand-in.
pub trait Standin {
    /// Its fault switches.
    type Faults: Faults;

    /// Its fault switches as they stand.
    fn switches(&self) -> &Switches<Self::Faults>;
}

/// A running stand-in; it stops when this is dropped.
#[derive(Debug)]
pub struct Handle<S> {
    server: Server,
    pub(crate) state: Arc<S>,
}

impl<S> Handle<S>
where
    S: Standin,
{
    pub(crate) fn new(server: Server, state: Arc<S>) -> Self {
        Self { server, state }
    }

    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Its fault switches.
    #[must_use]
    pub fn faults(&self) -> &Switches<S::Faults> {
        self.state.switches()
    }

    /// Stops it and waits until its tasks have ended.
    pub async fn stop(self) {
        self.server.stop().await;
    }
}
