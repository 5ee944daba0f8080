//! A second listener for the switches of a stand-in that is dead, frozen or no HTTP server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, StatusCode};
use hyper::body::Incoming;

use super::{Faults, Switches};
use crate::serve::{Answer, Gate, Server, Service, Tasks, status};

#[derive(Clone)]
struct Panel<F> {
    switches: Switches<F>,
    /// Never closed, whatever the switches say.
    gate: Arc<Gate>,
}

impl<F> Service for Panel<F>
where
    F: Faults,
{
    type Faults = F;

    fn switches(&self) -> &Switches<F> {
        &self.switches
    }

    fn gate(&self) -> &Arc<Gate> {
        &self.gate
    }

    async fn call(&self, _request: Request<Incoming>) -> Answer {
        Answer::Reply(status(StatusCode::NOT_FOUND))
    }
}

/// Answers `/_faults` of a stand-in, whatever its faults; stops when this is dropped.
#[derive(Debug)]
pub struct Control(Server);

impl Control {
    /// Starts to listen.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be listened on.
    pub async fn start<F>(listen: SocketAddr, switches: Switches<F>) -> io::Result<Self>
    where
        F: Faults,
    {
        let panel = Panel {
            switches,
            gate: Arc::default(),
        };
        Server::start(listen, panel, Tasks::default())
            .await
            .map(Self)
    }

    /// Where it listens.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.0.addr()
    }
}
