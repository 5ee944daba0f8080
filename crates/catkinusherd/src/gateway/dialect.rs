//! Interfaces that an adapter implements: headers of callers and upstreams,
//! and objects of the store.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::directory::Directory;
use catkinusher_core::fleet::{NamedLoad, Upstream};
use catkinusher_core::id::{CustomerId, PartId, UpstreamId};
use catkinusher_core::units::{Rate, Tokens};
use catkinusher_platform::form::Form;
use http::{HeaderMap, HeaderValue, StatusCode};

/// The parsed head of a caller's request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The request ID, which upstreams echo.
    pub id: HeaderValue,
    /// The API key of the caller.
    pub key: Option<String>,
    /// How long the caller waits for the answer.
    pub patience: Option<Duration>,
    /// The length of the prompt in tokens.
    pub prompt: Tokens,
    /// The maximum number of tokens in the answer.
    pub answer: Tokens,
    /// The ID of the last event that the caller received; the stream resumes after it.
    pub resume: Option<u64>,
    /// The parts of the prompt that other requests may share, in order.
    pub shared_parts: Vec<PartId>,
    /// The last part of the prompt, which belongs to the request or its session.
    pub own_part: Option<PartId>,
}

/// A request head that cannot be parsed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedRequest {
    /// What is wrong with the head.
    pub detail: String,
}

/// An engine that prefills a part of a prompt and may hold memory for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// The address of the engine.
    pub address: SocketAddr,
    /// The name of the memory that the engine has reserved for this request.
    pub reservation: Option<String>,
}

/// A command about reserved memory on an engine.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationCommand<'a> {
    /// Reserves memory for a time, or extends the lease of an existing reservation.
    Reserve {
        /// The name of the reservation.
        name: &'a str,
        /// The size of the reservation.
        tokens: Tokens,
        /// The duration of the lease, from the arrival of the command.
        lease: Duration,
    },
    /// Frees a reservation.
    Release {
        /// The name of the reservation.
        name: &'a str,
    },
}

/// What the gateway adds to a caller's head for an upstream.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// The intended upstream; any other must refuse the request.
    pub upstream: &'a UpstreamId,
    /// How long the upstream may work on the request.
    pub timeout: Duration,
    /// The customer that sent the request.
    pub customer: Option<&'a CustomerId>,
    /// The engines that prefill parts of the prompt.
    pub helpers: &'a [Helper],
    /// The priority in the queue of the upstream; 0 is served first.
    pub urgency: Option<u8>,
    /// The ID of the last event that the caller received; the stream resumes after it.
    pub resume: Option<u64>,
}

/// An upstream that another upstream reports as the cause of a failure.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailedUpstream {
    /// Identified by its ID.
    Id(UpstreamId),
    /// Identified by its address.
    Address(SocketAddr),
}

/// What the head of an upstream's response proves about the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseClass {
    /// The response answers the request, with a success or an error.
    Answer,
    /// The upstream did not run the request, possibly because the given other upstream failed.
    NotRun(Option<FailedUpstream>),
    /// The address belongs to another upstream now, which did not run the request.
    Moved,
    /// The response does not belong to this request.
    Mismatched,
}

/// What an upstream says of itself in the head of a response, beside the answer.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Notice {
    /// It is shutting down and takes no new requests.
    pub leaving: bool,
    /// It turns the request away, and wants none from this node for so long.
    pub rest: Option<Duration>,
    /// The requests a second that it takes from all nodes together.
    pub limit: Option<Rate>,
    /// Its load at that moment, over the requests of all nodes.
    pub load: Option<NamedLoad>,
}

/// Translates between the gateway and the headers of callers and upstreams.
pub trait Dialect: Debug + Clone + Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// [`MalformedRequest`] if a header is missing or invalid.
    fn parse_head(&self, headers: &HeaderMap) -> Result<Ask, MalformedRequest>;

    /// Builds the headers for an upstream from those of the caller.
    fn upstream_headers(&self, headers: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Builds the headers for a peer that sends the request on, from those of the caller, with the
    /// time that is left and the ID of the last event that the caller received.
    fn peer_headers(&self, headers: &HeaderMap, left: Duration, resume: Option<u64>) -> HeaderMap;

    /// Builds the request that sends a reservation command to `upstream`.
    fn reservation_request(
        &self,
        command: &ReservationCommand<'_>,
        upstream: &UpstreamId,
    ) -> http::Request<Bytes>;

    /// Classifies the head of an upstream's response to the request `id`.
    ///
    /// On a `reused` connection, a response that does not name its request may be
    /// a late copy of one to an earlier request.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: &HeaderValue,
        reused: bool,
    ) -> ResponseClass;

    /// Reads what the upstream says of itself in the head of a response.
    fn parse_notice(&self, status: StatusCode, headers: &HeaderMap) -> Notice;

    /// Sets the header that tells a refused caller when to retry.
    fn set_retry_after(&self, headers: &mut HeaderMap, wait: Duration);
}

/// Maps the objects of the store to the types of the core.
pub trait StoreSchema: Debug + Clone + Send + Sync + 'static {
    /// The wire format of calls to the store.
    type Form: Form;

    /// The kind and name of the configuration object.
    const CONFIGURATION: (&'static str, &'static str);

    /// The kind of the objects that list upstreams.
    const UPSTREAMS: &'static str;

    /// The kind of the objects that name drained data centres.
    const DRAINED: &'static str;

    /// The kind of the objects with which nodes register.
    const NODES: &'static str;

    /// The kind of the objects that name quarantined content.
    const QUARANTINE: &'static str;

    /// The kind of the objects that arbitrate trials of quarantined content.
    const TRIALS: &'static str;

    /// Parses the configuration.
    ///
    /// # Errors
    ///
    /// What is wrong with the configuration.
    fn parse_directory(&self, value: serde_json::Value) -> Result<Directory, String>;

    /// Parses one upstream.
    ///
    /// # Errors
    ///
    /// What is wrong with the entry; it must not be used as an upstream.
    fn parse_upstream(&self, name: &str, value: serde_json::Value) -> Result<Upstream, String>;
}
