//! The RPC service that answers calls from peers.

use std::sync::Arc;

use catkinusher_core::claim::{ClaimRequest, Decision, Settlement};
use catkinusher_core::id::{RequestId, UpstreamId, VmId};
use catkinusher_peer::rpc::{Acquire, Acquired, Note, Peer, Release};
use tarpc::context::Context;

use super::State;
use crate::poison;

/// Handles RPC calls from peers.
#[derive(Debug, Clone)]
pub struct Service {
    state: Arc<State>,
}

impl Service {
    /// Creates a service that works on `state`.
    #[must_use]
    pub const fn new(state: Arc<State>) -> Self {
        Self { state }
    }
}

impl Peer for Service {
    async fn acquire(self, _context: Context, ask: Acquire) -> Acquired {
        let state = &self.state;
        let owner = state.members.owner(&ask.upstream);
        match state.owners.acquire(ask).await {
            Acquired::NotOwner { .. } => Acquired::NotOwner { owner },
            acquired => acquired,
        }
    }

    async fn release(self, _context: Context, releases: Vec<Release>) {
        for release in releases {
            self.state
                .owners
                .release(&release.upstream, &release.request, &release.report);
        }
    }

    async fn withdraw(self, _context: Context, upstream: UpstreamId, request: RequestId) {
        self.state.owners.withdraw(&upstream, &request);
    }

    async fn bid(self, _context: Context, bid: ClaimRequest) -> Decision {
        self.state.claims.request(bid).await
    }

    async fn settle(self, _context: Context, settlement: Settlement) {
        self.state.claims.settle(settlement);
    }

    async fn tell(self, _context: Context, from: VmId, notes: Vec<Note>) {
        let now = self.state.timers.now();
        for note in notes {
            match note {
                Note::Member(message) => self
                    .state
                    .members
                    .on_membership_message(&from, message, now),
                Note::Spread(message) => self.state.members.on_config_message(&from, message, now),
                Note::Digests(batch) => {
                    for received in self.state.members.on_digest_batch(&from, batch, now) {
                        let sampled_at = now - received.age;
                        self.state.routers.on_digest(
                            &received.upstream,
                            received.digest,
                            sampled_at,
                        );
                    }
                }
                Note::Status(report) => self.state.members.on_report(&from, report, now),
                Note::Held(held) => {
                    for held in held {
                        self.state
                            .owners
                            .reconcile_holder(&held.upstream, &from, &held.requests);
                    }
                }
                Note::Guilt(digest) => poison::on_digest(&self.state, &from, digest),
                Note::Poison { rumours, back } => {
                    poison::on_entries(&self.state, &from, &rumours, back);
                }
            }
        }
    }
}
