//! The catkinusher daemon, which runs on every entry VM.
//!
//! A daemon accepts callers, asks an upstream's owner for a permit, sends the
//! request itself and streams the response back. The decisions are made by
//! `catkinusher-core`; this crate provides the sockets, files and timers around them.
//!
//! ```no_run
//! use catkinusherd::{Node, settings};
//!
//! # async fn run() -> anyhow::Result<()> {
//! let text = std::fs::read_to_string("node.toml")?;
//! let node = Node::start(settings::read(&text)?).await?;
//! println!("serving callers on {}", node.callers());
//! node.stop().await;
//! # Ok(())
//! # }
//! ```
//!
//! [docs/DESIGN.md](../../../docs/DESIGN.md) explains the design.

#![allow(
    clippy::missing_panics_doc,
    reason = "the panics of this crate are broken invariants, which no caller can cause"
)]

pub mod admin;
pub mod claims;
pub mod config;
pub mod explain;
pub mod forward;
pub mod framed;
pub mod front;
pub mod gateway;
pub mod log;
pub mod members;
pub mod metrics;
pub mod node;
pub mod owners;
pub mod permit;
pub mod poison;
pub mod router;
pub mod settings;
pub mod timer;
pub mod upstreams;

pub use crate::node::Node;
