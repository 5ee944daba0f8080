//! Memory reserved on engines for prompts that do not fit into one engine.
//!
//! Leases are short and renewed while the request runs. If a node dies, or if
//! a command is lost or executed late, the lease expires and the engine frees
//! the memory on its own.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::fleet::Cost;
use catkinusher_core::id::UpstreamId;
use catkinusher_core::units::Tokens;
use futures_util::future::join_all;
use http::StatusCode;
use http_body_util::{BodyExt, Full, Limited};
use tokio::time::timeout;
use tokio_util::sync::{CancellationToken, DropGuard};
use tracing::info;

use super::dialect::{Dialect, Helper, ReservationCommand};
use super::state::State;

/// How long a lease lasts without renewal; below the limit that users set on how long memory may
/// stay reserved without being used.
const LEASE_TIME: Duration = Duration::from_millis(2800);

/// How often a lease is renewed, short enough that one lost command does not end it.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// The timeout for a reservation command.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(400);

/// The maximum size of the answer to a command, in bytes; it holds a few numbers.
const MAX_ANSWER_BYTES: usize = 64 * 1024;

/// Memory reserved on one engine; dropping this frees the memory.
#[derive(Debug)]
pub(super) struct Reservation {
    _guard: DropGuard,
}

#[derive(Debug, Clone)]
struct MemoryLease {
    upstream: UpstreamId,
    address: SocketAddr,
    name: String,
    tokens: Tokens,
}

impl<D> State<D>
where
    D: Dialect,
{
    /// Reserves memory on each helper for its part of the prompt.
    ///
    /// # Errors
    ///
    /// The helper that did not reserve its memory and why; the others are freed.
    pub(super) async fn reserve(
        self: &Arc<Self>,
        helpers: &[(UpstreamId, Cost)],
    ) -> Result<(Vec<Helper>, Vec<Reservation>), String> {
        let mut usable = Vec::new();
        let mut leases = Vec::new();
        for (upstream, cost) in helpers {
            let listed = self.fleet().get(upstream).map(|one| one.address);
            let Some(address) = listed else {
                // A helper that is no longer listed is skipped; the request runs without it.
                continue;
            };
            let mut helper = Helper {
                address,
                reservation: None,
            };
            if cost.held_tokens > Tokens::ZERO {
                // Each name is used only once, so a late command cannot affect another reservation.
                let name = format!("c{:016x}", rand::random::<u64>());
                helper.reservation = Some(name.clone());
                leases.push(MemoryLease {
                    upstream: upstream.clone(),
                    address,
                    name,
                    tokens: cost.held_tokens,
                });
            }
            usable.push(helper);
        }
        let commands = leases.iter().map(|lease| self.renew(lease));
        let results = join_all(commands).await;
        let reservations = leases
            .iter()
            .map(|lease| self.spawn_renewal(lease.clone()))
            .collect();
        match results.into_iter().collect::<Result<Vec<()>, String>>() {
            Ok(_all) => Ok((usable, reservations)),
            // Dropping `reservations` frees all memory that was reserved or still may be.
            Err(fault) => Err(fault),
        }
    }

    /// Spawns a task that renews a lease until its reservation is dropped, then frees the memory.
    fn spawn_renewal(self: &Arc<Self>, lease: MemoryLease) -> Reservation {
        let token = CancellationToken::new();
        let state = Arc::clone(self);
        let ended = token.clone();
        tokio::spawn(async move {
            loop {
                tokio::select! {
                    () = ended.cancelled() => break,
                    () = state.timers.after(RENEW_INTERVAL) => {
                        if let Err(detail) = state.renew(&lease).await {
                            info!(event = "memory", upstream = %lease.upstream, outcome = "not-renewed", detail);
                        }
                    }
                }
            }
            if let Err(detail) = state.release(&lease).await {
                // The lease expires on its own.
                info!(event = "memory", upstream = %lease.upstream, outcome = "not-released", detail);
            }
        });
        Reservation {
            _guard: token.drop_guard(),
        }
    }

    async fn renew(self: &Arc<Self>, lease: &MemoryLease) -> Result<(), String> {
        let command = ReservationCommand::Reserve {
            name: &lease.name,
            tokens: lease.tokens,
            lease: LEASE_TIME,
        };
        self.send_command(lease, &command).await
    }

    async fn release(self: &Arc<Self>, lease: &MemoryLease) -> Result<(), String> {
        let command = ReservationCommand::Release { name: &lease.name };
        self.send_command(lease, &command).await
    }

    async fn send_command(
        self: &Arc<Self>,
        lease: &MemoryLease,
        command: &ReservationCommand<'_>,
    ) -> Result<(), String> {
        let request = self
            .dialect
            .reservation_request(command, &lease.upstream)
            .map(Full::new);
        let exchange = async {
            let connection = self.connect(lease.address, false).await?;
            let mut sender = connection.sender;
            let answer = sender.send_request(request).await;
            let answer = answer.map_err(|error| error.to_string())?;
            let status = answer.status();
            let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
            body.collect().await.map_err(|error| error.to_string())?;
            self.return_to_pool(lease.address, sender, None);
            Ok(status)
        };
        let named = |detail: String| format!("{}: {detail}", lease.upstream);
        let result = match timeout(COMMAND_TIMEOUT, exchange).await {
            Ok(Ok(StatusCode::OK)) => Ok(()),
            Ok(Ok(status)) => Err(named(format!("unexpected status {status}"))),
            Ok(Err(detail)) => Err(named(detail)),
            Err(_elapsed) => Err(named("reservation command timed out".to_owned())),
        };
        let outcome = if result.is_ok() { "done" } else { "failed" };
        self.metrics.on_call("order", outcome);
        result
    }
}
