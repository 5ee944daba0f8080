//! Probes that tell whether this node reaches upstreams at all.
//!
//! [`Reach`](catkinusher_core::reach::Reach) decides; this module opens the connections.

use std::net::SocketAddr;
use std::sync::Arc;

use catkinusher_core::reach::PROBE_INTERVAL;
use catkinusher_core::time::Time;
use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use tracing::info;

use super::dialect::Dialect;
use super::pool::{self, Connection};
use super::state::State;
use super::supervise;

/// The upstreams that one round of probes tries.
const PROBED: usize = 3;

impl<D> State<D> {
    /// Whether this node reaches no upstream, as far as it knows.
    pub(super) fn is_cut_off(&self) -> bool {
        self.reach().is_cut()
    }

    /// Takes an idle connection to an upstream, or opens one if there is none or if `fresh` is set.
    ///
    /// # Errors
    ///
    /// Why no connection could be opened; nothing has been sent.
    pub(super) async fn connect(
        &self,
        address: SocketAddr,
        fresh: bool,
    ) -> Result<Connection, String> {
        let began = self.now();
        let connection = self.pool.get(address, fresh, began).await;
        match &connection {
            Ok(Connection { fresh: true, .. }) => self.on_connected(began),
            Ok(_reused) => {}
            Err(_unreachable) => self.on_unreachable(address, began),
        }
        connection
    }

    /// Records that an attempt of `began` opened a connection to an upstream.
    pub(super) fn on_connected(&self, began: Time) {
        if self.reach().on_connected(began) {
            info!(event = "reach", outcome = "regained");
        }
    }

    /// Records that an attempt of `began` to open a connection to an upstream has failed.
    pub(super) fn on_unreachable(&self, address: SocketAddr, began: Time) {
        let count = self.fleet().len();
        if self.reach().on_unreachable(address, began, count) {
            info!(event = "reach", outcome = "cut-off");
            self.metrics.on_call("upstream", "cut-off");
            // What this node took for faults of upstreams was its own.
            self.fleet().forget_unreachable();
        }
        self.notifiers.reach.notify_one();
    }
}

/// Starts the task that probes upstreams while this node may be cut off.
pub(super) fn start<D>(state: &Arc<State<D>>)
where
    D: Dialect,
{
    supervise::spawn(state, "reach", |state| async move {
        loop {
            state.notifiers.reach.notified().await;
            while state.reach().is_doubtful(state.now()) {
                probe(&state).await;
                state.timers.after(PROBE_INTERVAL).await;
            }
        }
    });
}

/// Tries connections to a few upstreams, if that is due.
async fn probe<D>(state: &State<D>) {
    let now = state.now();
    let addresses = {
        let fleet = state.fleet();
        let mut reach = state.reach();
        if !reach.take_probe(now) {
            return;
        }
        let is_cut = reach.is_cut();
        let candidates = fleet
            .addresses()
            .filter(|address| is_cut || !reach.is_unreachable(*address));
        candidates.sample(&mut rand::rng(), PROBED)
    };
    let attempts = addresses.into_iter().map(|address| async move {
        match pool::open(address).await {
            Ok(_connection) => state.on_connected(now),
            Err(_unreachable) => state.on_unreachable(address, now),
        }
    });
    join_all(attempts).await;
}
