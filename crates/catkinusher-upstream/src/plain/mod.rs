//! Calls to a plain service.

use std::net::SocketAddr;

use bytes::Bytes;
use catkinusher_core::id::Incarnation;
use http::Method;
use serde::{Deserialize, Serialize};

use crate::Result;
use crate::send::Control;

/// A plain service's load report, which lags behind its actual load.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// The server's incarnation, which changes with each restart.
    pub incarnation: Incarnation,
    /// The age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
    /// Number of running calls.
    pub running: u32,
    /// The maximum number of concurrent calls.
    #[serde(default)]
    pub limit: u32,
}

/// Fetches the server's load report, which lags behind its actual load.
///
/// # Errors
///
/// As for [`Control::json`].
pub async fn load(control: &Control, address: SocketAddr) -> Result<Load> {
    control
        .json(address, Method::GET, "/_load", Bytes::new())
        .await
}
