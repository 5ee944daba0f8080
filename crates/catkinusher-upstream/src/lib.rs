//! Clients of the upstreams: model engines and plain services.
//!
//! [`send::Sender`] sends requests and reports for each failure whether the
//! request can have left this process, since a `not-run` outcome depends on it.
//! [`engine`] and [`plain`] provide the typed calls on top of it, and
//! [`stream`] reads a streamed response event by event. The protocols are
//! specified in [docs/PROTOCOLS.md](../../../docs/PROTOCOLS.md).

pub mod engine;
pub mod open;
pub mod plain;
pub mod send;
pub mod stream;

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use thiserror::Error;

/// An error of a call to an upstream.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection could be opened; nothing has left this process.
    #[error("cannot connect to {address}: {reason}")]
    NotSent {
        /// The upstream's address.
        address: SocketAddr,
        /// The connection error.
        reason: String,
    },
    /// The upstream refused the request and states that it has not run it.
    #[error("{address} did not take the request")]
    NotTaken {
        /// The upstream's address.
        address: SocketAddr,
        /// The delay from its `Retry-After` header.
        retry_after: Option<Duration>,
    },
    /// The connection failed after the request may have been sent.
    #[error("{address} broke off: {reason}")]
    Broken {
        /// The upstream's address.
        address: SocketAddr,
        /// The transport error.
        reason: String,
    },
    /// The upstream did not respond within the time limit.
    #[error("{address} stayed silent")]
    Silent {
        /// The upstream's address.
        address: SocketAddr,
    },
    /// The upstream responded with a status that the call doesn't expect.
    #[error("{address} answered {status}")]
    Status {
        /// The upstream's address.
        address: SocketAddr,
        /// The status.
        status: StatusCode,
    },
    /// The response violates the protocol or exceeds the size limit.
    #[error("{address} gave a bad answer: {reason}")]
    BadAnswer {
        /// The upstream's address.
        address: SocketAddr,
        /// The violation.
        reason: String,
    },
}

impl Error {
    /// Whether the request has provably not run.
    #[must_use]
    pub const fn proves_not_run(&self) -> bool {
        matches!(self, Self::NotSent { .. } | Self::NotTaken { .. })
    }
}

/// The result of a call to an upstream.
pub type Result<T> = std::result::Result<T, Error>;
