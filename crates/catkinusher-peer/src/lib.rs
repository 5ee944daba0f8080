//! Messages between catkinusher daemons: tarpc calls over a WebSocket that
//! carries CBOR.
//!
//! A connection opens with a WebSocket upgrade, then both ends prove that they
//! know the shared peer secret ([`auth`]). After that, each binary message is
//! one tarpc message in CBOR ([`wire`]). [`link::Links`] keeps one connection
//! per peer and replaces it as soon as a call on it gets no response, since an
//! established connection may stop responding while new ones work.
//!
//! tarpc is used rather than a custom streaming protocol because acquiring a
//! permit is a single request with a single response, and no response to a
//! caller passes through a second node (see
//! [docs/DESIGN.md](../../../docs/DESIGN.md)).

pub mod auth;
pub mod link;
pub mod rpc;
pub mod server;
pub mod traffic;
pub mod wire;

use thiserror::Error;

/// An error of a call to a peer.
#[derive(Debug, Error)]
pub enum Error {
    /// No connection could be opened; the peer has not received the call.
    #[error("cannot reach peer {address}: {reason}")]
    Unreachable {
        /// The peer's address.
        address: std::net::SocketAddr,
        /// The connection or upgrade error.
        reason: String,
    },
    /// The other end did not prove that it knows the peer secret.
    #[error("peer {address} does not know the peer secret")]
    Forged {
        /// The peer's address.
        address: std::net::SocketAddr,
    },
    /// The call was sent and no response arrived; the peer may have acted on it.
    #[error("peer {address} did not respond")]
    Silent {
        /// The peer's address.
        address: std::net::SocketAddr,
    },
    /// A message is larger than [`wire::MESSAGE_LIMIT`] or is not valid CBOR of its type.
    #[error("bad message: {0}")]
    BadMessage(String),
}

/// The result of a call to a peer.
pub type Result<T> = std::result::Result<T, Error>;
