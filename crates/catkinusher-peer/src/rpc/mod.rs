//! The calls that daemons make on each other.
//!
//! Clock readings are not comparable between machines, so messages carry
//! durations: the time until a request's deadline or a permit's expiry.

use catkinusher_core::ask::Ask;
use catkinusher_core::claim::{ClaimRequest, Decision, Settlement};
use catkinusher_core::digest::Digest;
use catkinusher_core::digests::{Batch, CoarseDigest, FullDigest, NameHash, Rollup};
use catkinusher_core::id::{RequestId, UpstreamId, VmId};
use catkinusher_core::membership;
use catkinusher_core::owner::{self, Permit, Refusal, RunOptions};
use catkinusher_core::poison::QuarantineEntry;
use catkinusher_core::spread;
use catkinusher_core::status::Report;
use catkinusher_core::units::Span;
use serde::{Deserialize, Serialize};

/// Asks an upstream's owner for the right to run a request there.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Acquire {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The request to run; its deadline is ignored in favour of `left`.
    pub ask: Ask,
    /// The time until the request's deadline.
    pub left: Span,
    /// The node that will send it.
    pub holder: VmId,
    /// How long the owner may let the call wait before it answers [`Acquired::Queued`].
    pub wait: Span,
    /// Options for running beside other requests.
    pub terms: RunOptions,
}

/// The owner's response to [`Acquire`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Acquired {
    /// The request may be sent now.
    Granted {
        /// The permit; its expiry is ignored in favour of `left`.
        permit: Permit,
        /// The time until the permit expires.
        left: Span,
        /// The upstream as the owner sees it.
        digest: Digest,
    },
    /// The request is queued and keeps its position if the call is repeated soon.
    Queued {
        /// The upstream as the owner sees it.
        digest: Digest,
    },
    /// The owner refuses to run the request on this upstream.
    Refused {
        /// The reason, and when to retry.
        refusal: Refusal,
        /// The upstream as the owner sees it.
        digest: Digest,
    },
    /// The node that was asked doesn't own the upstream.
    NotOwner {
        /// The owner, if the node knows it.
        owner: Option<VmId>,
    },
}

/// Tells an owner that a permit is no longer needed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Release {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The request.
    pub request: RequestId,
    /// How it ended.
    pub report: owner::Report,
}

/// The digests in one message of a dissemination round.
pub type DigestBatch = Batch<NameHash, CoarseDigest, FullDigest, NameHash, Rollup>;

/// The permits that a node holds from one owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Held {
    /// The upstream.
    pub upstream: UpstreamId,
    /// The requests.
    pub requests: Vec<RequestId>,
}

/// A one-way notification from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Note {
    /// A membership protocol message.
    Member(membership::Message),
    /// A message that disseminates the configuration.
    Spread(spread::Message),
    /// The state of upstreams.
    Digests(DigestBatch),
    /// The status of the sender and of the nodes below it in the tree.
    Status(Report),
    /// Which permits the sender still holds.
    Held(Vec<Held>),
    /// The digest of the sender's quarantine entries: requests blamed for crashes.
    Guilt(u64),
    /// Quarantine entries of requests blamed for crashes.
    Poison {
        /// The sender's entries.
        rumours: Vec<QuarantineEntry>,
        /// Whether the receiver should reply with its own entries.
        back: bool,
    },
}

/// The calls that one daemon makes on another.
#[tarpc::service]
pub trait Peer {
    /// Asks for a permit.
    async fn acquire(ask: Acquire) -> Acquired;
    /// Releases permits.
    async fn release(releases: Vec<Release>);
    /// Withdraws a queued request, or a permit that was granted and not used.
    async fn withdraw(upstream: UpstreamId, request: RequestId);
    /// Requests a claim on an idempotency key.
    async fn bid(bid: ClaimRequest) -> Decision;
    /// Reports the outcome of a claim.
    async fn settle(settlement: Settlement);
    /// Delivers notifications.
    async fn tell(from: VmId, notes: Vec<Note>);
}
