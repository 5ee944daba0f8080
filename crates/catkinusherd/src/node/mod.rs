//! One running daemon.

mod peer;
mod state;
mod stopping;

use std::net::SocketAddr;
use std::sync::Arc;

use anyhow::Context;
use catkinusher_core::drain::Stage;
use catkinusher_peer::server;
use futures_util::StreamExt;
use tarpc::server::{BaseChannel, Channel};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tracing::info;

use crate::settings::Settings;
use crate::{admin, front, members, permit, poison, upstreams};

use self::peer::Service;
pub use self::state::State;
pub use self::stopping::OpenRequest;

/// A running daemon.
#[derive(Debug)]
pub struct Node {
    state: Arc<State>,
    callers: SocketAddr,
    admin: SocketAddr,
    peers: SocketAddr,
    front: tokio::task::JoinHandle<()>,
    background: CancellationToken,
    tasks: TaskTracker,
}

impl Node {
    /// Starts a daemon with these settings.
    ///
    /// # Errors
    ///
    /// If an address can't be listened on.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let callers = bind(settings.listen.callers, "callers").await?;
        let peers = bind(settings.listen.peers, "peers").await?;
        let operators = bind(settings.listen.admin, "operators").await?;
        Self::start_on(settings, callers, peers, operators)
    }

    /// Starts a daemon on sockets that listen already, so that their ports can be told before.
    ///
    /// # Errors
    ///
    /// If a socket has no address or metrics can't be sent.
    pub fn start_on(
        settings: Settings,
        callers: TcpListener,
        peers: TcpListener,
        operators: TcpListener,
    ) -> anyhow::Result<Self> {
        let addresses = (
            callers.local_addr()?,
            operators.local_addr()?,
            peers.local_addr()?,
        );
        let state = Arc::new(State::new(settings)?);
        info!("node: {} starts", state.settings.node.name);
        let background = CancellationToken::new();
        let tasks = TaskTracker::new();
        let run = Background {
            state: &state,
            stop: &background,
            tasks: &tasks,
        };
        run.start(peers, operators);
        let front = tokio::spawn(front::serve(
            Arc::clone(&state),
            callers,
            state.accepting.clone(),
        ));
        Ok(Self {
            state,
            callers: addresses.0,
            admin: addresses.1,
            peers: addresses.2,
            front,
            background,
            tasks,
        })
    }

    /// Where callers are served.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where operators are served.
    #[must_use]
    pub const fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// Where peers are served.
    #[must_use]
    pub const fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// What the daemon's parts share.
    #[must_use]
    pub const fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Begins a stop, or cuts what is left if one has begun.
    pub fn signal(&self) {
        self.state.stopping.signal(&self.state);
    }

    /// Waits until a stop that [`signal`](Self::signal) began has ended.
    pub async fn wait_stopped(self) {
        self.state.stopping.wait(Stage::Left).await;
        // Connections without a request close at once when accepting ends.
        let _ended = self.front.await;
        self.state.flush_releases().await;
        self.background.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        info!("stop: {} has left", self.state.settings.node.name);
    }

    /// Stops gracefully: lets what is under way end, then leaves.
    pub async fn stop(self) {
        self.signal();
        self.wait_stopped().await;
    }

    /// Ends at once, as a crash would: nothing is told to anyone.
    pub fn kill(self) {
        self.front.abort();
        self.background.cancel();
        self.state.accepting.cancel();
        self.state.abort_requests.cancel();
    }
}

async fn bind(address: SocketAddr, whom: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen for {whom} on {address}"))
}

/// The tasks behind a daemon's listeners.
struct Background<'a> {
    state: &'a Arc<State>,
    stop: &'a CancellationToken,
    tasks: &'a TaskTracker,
}

impl Background<'_> {
    fn start(&self, peers: TcpListener, operators: TcpListener) {
        let secret = self.state.settings.peer.secret.clone();
        let traffic = Arc::clone(self.state.links.traffic());
        let service = Service::new(Arc::clone(self.state));
        let answer = move |wire| {
            let channel = BaseChannel::with_defaults(wire);
            let calls = channel.execute(tarpc_serve(service.clone()));
            calls.for_each(|call| async move {
                tokio::spawn(call);
            })
        };
        self.tasks.spawn(server::serve(
            peers,
            secret,
            traffic,
            answer,
            self.stop.clone(),
        ));
        self.run(admin::serve(
            Arc::clone(self.state),
            operators,
            self.stop.clone(),
        ));
        self.run(members::run(Arc::clone(self.state)));
        self.run(members::run_reports(Arc::clone(self.state)));
        self.run(permit::run(Arc::clone(self.state)));
        self.run(upstreams::run(Arc::clone(self.state)));
        self.run(poison::run(Arc::clone(self.state)));
        self.run(stopping::run(Arc::clone(self.state)));
        let state = Arc::clone(self.state);
        self.run(async move { state.owners.run().await });
    }

    fn run<F>(&self, task: F)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let stop = self.stop.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = task => {}
            }
        });
    }
}

fn tarpc_serve(service: Service) -> catkinusher_peer::rpc::ServePeer<Service> {
    use catkinusher_peer::rpc::Peer;
    service.serve()
}
