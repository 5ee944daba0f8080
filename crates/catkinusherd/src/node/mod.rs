//! A running daemon: its listeners, background tasks and shutdown.

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

/// A running daemon with its listeners and background tasks.
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
    /// Binds the addresses of `settings` and starts a daemon on them.
    ///
    /// # Errors
    ///
    /// If an address can't be bound or metrics can't be set up.
    pub async fn start(settings: Settings) -> anyhow::Result<Self> {
        let callers = bind(settings.listen.callers, "callers").await?;
        let peers = bind(settings.listen.peers, "peers").await?;
        let operators = bind(settings.listen.admin, "operators").await?;
        Self::start_on(settings, callers, peers, operators)
    }

    /// Starts a daemon on bound sockets, so that their ports are known before it starts.
    ///
    /// # Errors
    ///
    /// If a socket's address can't be read or metrics can't be set up.
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
        info!("node: {} starting", state.settings.node.name);
        let background = CancellationToken::new();
        let tasks = TaskTracker::new();
        let background_tasks = Background {
            state: &state,
            stop: &background,
            tasks: &tasks,
        };
        background_tasks.start(peers, operators);
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

    /// The address that serves callers.
    #[must_use]
    pub const fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// The address that serves operators.
    #[must_use]
    pub const fn admin(&self) -> SocketAddr {
        self.admin
    }

    /// The address that serves peers.
    #[must_use]
    pub const fn peers(&self) -> SocketAddr {
        self.peers
    }

    /// The state shared by the daemon's tasks.
    #[must_use]
    pub const fn state(&self) -> &Arc<State> {
        &self.state
    }

    /// Begins a graceful shutdown, or aborts the remaining requests if one has begun.
    pub fn signal(&self) {
        self.state.stopping.signal(&self.state);
    }

    /// Waits for the end of a shutdown begun by [`signal`](Self::signal).
    pub async fn wait_stopped(self) {
        self.state.stopping.wait(Stage::Left).await;
        // Idle connections close as soon as `accepting` is cancelled.
        let _ended = self.front.await;
        self.state.flush_releases().await;
        self.background.cancel();
        self.tasks.close();
        self.tasks.wait().await;
        info!("stop: {} has stopped", self.state.settings.node.name);
    }

    /// Shuts down gracefully: lets running requests finish, then stops.
    pub async fn stop(self) {
        self.signal();
        self.wait_stopped().await;
    }

    /// Ends at once, as a crash would, without notifying peers.
    pub fn kill(self) {
        self.front.abort();
        self.background.cancel();
        self.state.accepting.cancel();
        self.state.abort_requests.cancel();
    }
}

async fn bind(address: SocketAddr, clients: &str) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen for {clients} on {address}"))
}

/// Starts a daemon's background tasks, which end when `stop` is cancelled.
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
        let serve_connection = move |transport| {
            let channel = BaseChannel::with_defaults(transport);
            let calls = channel.execute(tarpc_serve(service.clone()));
            calls.for_each(|call| async move {
                tokio::spawn(call);
            })
        };
        self.tasks.spawn(server::serve(
            peers,
            secret,
            traffic,
            serve_connection,
            self.stop.clone(),
        ));
        self.spawn(admin::serve(
            Arc::clone(self.state),
            operators,
            self.stop.clone(),
        ));
        self.spawn(members::run(Arc::clone(self.state)));
        self.spawn(members::run_reports(Arc::clone(self.state)));
        self.spawn(permit::run(Arc::clone(self.state)));
        self.spawn(upstreams::run(Arc::clone(self.state)));
        self.spawn(poison::run(Arc::clone(self.state)));
        self.spawn(stopping::run(Arc::clone(self.state)));
        let state = Arc::clone(self.state);
        self.spawn(async move { state.owners.run().await });
    }

    /// Spawns a task that is dropped when `stop` is cancelled.
    fn spawn<F>(&self, task: F)
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
