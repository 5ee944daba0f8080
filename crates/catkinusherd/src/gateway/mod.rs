//! Gateway for platforms that provide configuration, upstreams and callers.
//!
//! Where a platform lists the upstreams and stores the configuration, a node
//! needs no owner, no claims and no membership. It watches the store, places
//! requests on its own with the core's
//! [`Fleet`](catkinusher_core::fleet::Fleet) and reports its open requests to
//! its peers. An adapter implements [`Dialect`] for the headers of callers and
//! upstreams and [`StoreSchema`] for the objects in the store.
//! [docs/design/platform.md](../../../../docs/design/platform.md) describes
//! the alternatives considered.

pub mod dialect;
mod feeds;
pub mod settings;

mod answer;
mod attempt;
mod bad_entries;
mod body;
mod clock;
mod confirm;
mod detour;
mod dry_run;
mod front;
mod handle;
mod interim;
mod memory;
mod metrics;
mod open;
mod peers;
mod placing;
mod pool;
mod quarantine;
mod reach;
mod relay;
mod reserve;
mod starting;
mod state;
mod stop;
mod supervise;
mod trials;
mod watch;

pub use self::dialect::{
    Ask, Dialect, Dispatch, FailedUpstream, Helper, MalformedRequest, Notice, ReservationCommand,
    ResponseClass, StoreSchema,
};
pub use self::settings::Settings;

use std::sync::Arc;

use anyhow::Context;
use catkinusher_platform::Store;
use tokio::net::TcpListener;
use tracing::{info, warn};

use self::front::Origin;
use self::state::State;

/// A node that serves requests on a platform.
#[derive(Debug)]
pub struct Gateway<D, S>
where
    S: StoreSchema,
{
    state: Arc<State<D>>,
    store: Store<S::Form>,
    schema: S,
}

impl<D, S> Gateway<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    /// Creates a node that translates headers with `dialect` and reads the
    /// objects of `store` with `schema`.
    #[must_use]
    pub fn new(settings: Settings, dialect: D, schema: S, store: Store<S::Form>) -> Self {
        Self {
            state: Arc::new(State::new(settings, dialect)),
            store,
            schema,
        }
    }

    /// Serves until a termination signal arrives and the open requests have ended
    /// or the grace period is over.
    ///
    /// # Errors
    ///
    /// If a listener cannot be opened or a signal handler cannot be installed.
    pub async fn run(self) -> anyhow::Result<()> {
        let settings = &self.state.settings;
        let listener = bind(settings.callers).await?;
        let health_listener = bind(settings.ready).await?;
        info!(
            event = "start",
            node = %settings.node,
            data_centre = %settings.data_centre,
            callers = %settings.callers,
            version = env!("CARGO_PKG_VERSION"),
        );
        front::serve_health(Arc::clone(&self.state), health_listener);
        if let Some(address) = settings.metrics {
            match bind(address).await {
                Ok(listener) => front::serve_health(Arc::clone(&self.state), listener),
                // Serving requests matters more, and the health address also exposes the metrics.
                Err(error) => warn!(event = "metrics", outcome = "not-served", "{error:#}"),
            }
        }
        let socket = peers::start(&self.state, &self.store, &self.schema).await?;
        // The configuration is the largest object that requests wait for, so it is read first.
        confirm::start(&self.state, &self.store, &self.schema, &socket);
        watch::start(&self.state, &self.store, &self.schema);
        quarantine::start::<D, S>(&self.state, &self.store, &socket);
        reach::start(&self.state);
        let serving = tokio::spawn(serve_all(Arc::clone(&self.state), listener));
        stop::drain_on_signal(&self.state, serving).await?;
        peers::unregister(&self.state, &self.store, &self.schema).await;
        info!(event = "stop", outcome = "ended");
        Ok(())
    }
}

/// Serves callers, and the callers of peers that are cut off, until a stop.
async fn serve_all<D>(state: Arc<State<D>>, listener: TcpListener)
where
    D: Dialect,
{
    let callers = front::serve(Arc::clone(&state), listener, Origin::Callers);
    match bind(state.settings.peers).await {
        Ok(listener) => {
            tokio::join!(callers, front::serve(state, listener, Origin::Peers));
        }
        Err(error) => {
            warn!(event = "peers", outcome = "not-served", "{error:#}");
            callers.await;
        }
    }
}

async fn bind(address: std::net::SocketAddr) -> anyhow::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot listen on {address}"))
}
