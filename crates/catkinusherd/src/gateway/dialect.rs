//! What an adapter brings: the words of callers, upstreams and the store.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use catkinusher_core::directory::Directory;
use catkinusher_core::fleet::Upstream;
use catkinusher_core::id::{CustomerId, UpstreamId};
use catkinusher_core::units::Tokens;
use catkinusher_platform::form::Form;
use http::{HeaderMap, HeaderValue, StatusCode};

/// What a caller's head says, in the project's words.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ask {
    /// The name of the request, which upstreams echo.
    pub id: HeaderValue,
    /// The key that the caller presents.
    pub key: Option<String>,
    /// How long the caller waits.
    pub patience: Option<Duration>,
    /// The length of the prompt.
    pub prompt: Tokens,
    /// The most tokens that the answer may have.
    pub answer: Tokens,
    /// The event after which a stream goes on.
    pub resume: Option<u64>,
}

/// Why a head cannot be served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MalformedRequest {
    /// What is wrong with it.
    pub detail: String,
}

/// An engine that reads a part of a prompt, and may hold memory for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Helper {
    /// Where it listens.
    pub address: SocketAddr,
    /// The name of the memory that it has set aside for this request.
    pub reservation: Option<String>,
}

/// An order about memory that an engine sets aside.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ReservationCommand<'a> {
    /// Set so many tokens aside for a time, or for that time from now on.
    Reserve {
        /// The name of the memory.
        name: &'a str,
        /// How much.
        tokens: Tokens,
        /// For how long from its arrival.
        lease: Duration,
    },
    /// Free it.
    Release {
        /// The name of the memory.
        name: &'a str,
    },
}

/// What an upstream is told beside the caller's own head.
#[derive(Debug, Clone)]
pub struct Dispatch<'a> {
    /// The upstream that is meant; any other must refuse.
    pub upstream: &'a UpstreamId,
    /// How long the upstream may work.
    pub timeout: Duration,
    /// The customer that asks.
    pub customer: Option<&'a CustomerId>,
    /// The engines that read parts of the prompt.
    pub helpers: &'a [Helper],
    /// The rank among what waits at the upstream, 0 first.
    pub urgency: Option<u8>,
    /// The event after which a stream goes on.
    pub resume: Option<u64>,
}

/// The upstream that stood in the way of a request, as another one names it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FailedUpstream {
    /// By its name.
    Id(UpstreamId),
    /// By its address.
    Address(SocketAddr),
}

/// What the head of an upstream's answer proves.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ResponseClass {
    /// It answers the request, well or badly.
    Answer,
    /// The upstream did not run the request, perhaps as another one failed it.
    NotRun(Option<FailedUpstream>),
    /// Another upstream has the address, and did not run the request.
    Moved,
    /// It is no answer to this request.
    Mismatched,
}

/// How callers and upstreams spell what the gateway handles.
pub trait Dialect: Debug + Clone + Send + Sync + 'static {
    /// Reads a caller's head.
    ///
    /// # Errors
    ///
    /// [`MalformedRequest`] for a head that cannot be understood.
    fn parse_head(&self, headers: &HeaderMap) -> Result<Ask, MalformedRequest>;

    /// Makes the head for an upstream out of the caller's.
    fn upstream_headers(&self, headers: &HeaderMap, dispatch: &Dispatch<'_>) -> HeaderMap;

    /// Writes an order for `upstream`.
    fn reservation_request(
        &self,
        command: &ReservationCommand<'_>,
        upstream: &UpstreamId,
    ) -> http::Request<Bytes>;

    /// Judges the head of an upstream's answer to the request `id`.
    fn classify_response(
        &self,
        status: StatusCode,
        headers: &HeaderMap,
        id: &HeaderValue,
    ) -> ResponseClass;

    /// Writes how long a refused caller should wait.
    fn set_retry_after(&self, headers: &mut HeaderMap, wait: Duration);
}

/// How the store's objects read.
pub trait StoreSchema: Debug + Clone + Send + Sync + 'static {
    /// How the store's calls are spelled.
    type Form: Form;

    /// The kind and the name of the object that holds the configuration.
    const CONFIGURATION: (&'static str, &'static str);

    /// The kind whose objects are upstreams.
    const UPSTREAMS: &'static str;

    /// The kind whose objects name drained data centres.
    const DRAINED: &'static str;

    /// The kind in which nodes register.
    const NODES: &'static str;

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// What is wrong with it.
    fn parse_directory(&self, value: serde_json::Value) -> Result<Directory, String>;

    /// Reads one upstream.
    ///
    /// # Errors
    ///
    /// What is wrong with it; such an entry names no upstream to use.
    fn parse_upstream(&self, name: &str, value: serde_json::Value) -> Result<Upstream, String>;
}
