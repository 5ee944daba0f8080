//! The calls that daemons make on each other.
//!
//! Moments mean nothing on another machine, so messages carry spans: how long
//! a request has left, how long a permit holds.

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
    /// What wants to run; its deadline is void and `left` holds.
    pub ask: Ask,
    /// How long the request has left.
    pub left: Span,
    /// The node that will send it.
    pub holder: VmId,
    /// How long the owner may let the call wait before it answers [`Acquired::Queued`].
    pub wait: Span,
    /// How it may run beside others.
    pub terms: RunOptions,
}

/// What an owner answers.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Acquired {
    /// The request may leave now.
    Granted {
        /// The permit; its expiry is void and `left` holds.
        permit: Permit,
        /// How long the permit holds.
        left: Span,
        /// The upstream as the owner sees it.
        digest: Digest,
    },
    /// It waits and keeps its place if it is asked for again soon.
    Queued {
        /// The upstream as the owner sees it.
        digest: Digest,
    },
    /// It will not run here.
    Refused {
        /// Why, and when to come again.
        refusal: Refusal,
        /// The upstream as the owner sees it.
        digest: Digest,
    },
    /// The node that was asked doesn't own the upstream.
    NotOwner {
        /// Who does, as far as it knows.
        owner: Option<VmId>,
    },
}

/// Tells an owner that a permit is done with.
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

/// The digests that one message of a wave carries.
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

/// Something that one node tells another without wanting an answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Note {
    /// A word of the membership.
    Member(membership::Message),
    /// A word about the configuration.
    Spread(spread::Message),
    /// How upstreams stand.
    Digests(DigestBatch),
    /// How the sender and the nodes below it fare.
    Status(Report),
    /// Which permits the sender still holds.
    Held(Vec<Held>),
    /// The digest of what the sender knows of requests held guilty of crashes.
    Guilt(u64),
    /// Which requests are held guilty of crashes.
    Poison {
        /// What the sender knows.
        rumours: Vec<QuarantineEntry>,
        /// Whether the sender wants to know what the receiver knows.
        back: bool,
    },
}

/// The calls of a daemon on another.
#[tarpc::service]
pub trait Peer {
    /// Asks for a permit.
    async fn acquire(ask: Acquire) -> Acquired;
    /// Gives permits back.
    async fn release(releases: Vec<Release>);
    /// Takes back an ask that waits, or a permit that was granted and not used.
    async fn withdraw(upstream: UpstreamId, request: RequestId);
    /// Puts in a bid on an idempotency key.
    async fn bid(bid: ClaimRequest) -> Decision;
    /// Says what a claim came to.
    async fn settle(settlement: Settlement);
    /// Tells something.
    async fn tell(from: VmId, notes: Vec<Note>);
}
