//! The decision logic of catkinusher, free of I/O.
//!
//! Each component is a state machine: it takes an event and the current
//! [`Time`](time::Time) and returns the actions to perform. Sockets, files and
//! timers live in the surrounding crates, so that the daemon, the benches and
//! the failure tests all run the same decision code.
//!
//! ```
//! use catkinusher_core::units::Tokens;
//!
//! let prompt: Tokens = "100k".parse()?;
//! assert_eq!(prompt, Tokens::new(100_000));
//! # Ok::<(), catkinusher_core::units::ParseUnitError>(())
//! ```
//!
//! The design rationale is documented in
//! [docs/DESIGN.md](../../../docs/DESIGN.md).

pub mod admission;
pub mod ask;
pub mod budget;
pub mod cache;
pub mod catalog;
pub mod claim;
pub mod class;
pub mod confirm;
pub mod cost;
pub mod digest;
pub mod digests;
pub mod directory;
pub mod drain;
pub mod dry_run;
pub mod engine;
pub mod events;
pub mod fair;
pub mod feed;
pub mod fingerprint;
pub mod fleet;
pub mod frames;
pub mod framing;
pub mod freshness;
pub mod group;
pub mod health;
pub mod id;
pub mod inventory;
pub mod lease;
pub mod ledger;
pub mod limit;
pub mod membership;
pub mod memory;
pub mod object;
pub mod outcome;
pub mod owner;
pub mod ownership;
pub mod pace;
pub mod placement;
pub mod placer;
pub mod poison;
pub mod process;
pub mod progress;
pub mod ramp;
pub mod reach;
pub mod rendezvous;
pub mod retry;
pub mod roster;
pub mod route;
pub mod shares;
pub mod spread;
pub mod status;
pub mod time;
pub mod toml_check;
pub mod units;
