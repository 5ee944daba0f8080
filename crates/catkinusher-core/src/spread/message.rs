//! The messages that distribute the configuration.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::patch::Patch;
use crate::id::VmId;

/// A revision of the configuration: the object's version and the hash of its text.
///
/// The higher revision wins. Versions rise across the whole store. The hash
/// distinguishes two texts if the store ever assigns one version twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Revision(pub u64, pub u64);

impl Revision {
    /// The revision of `text` under this version.
    #[must_use]
    pub fn of(version: u64, text: &str) -> Self {
        Self(version, xxh3_64(text.as_bytes()))
    }

    /// The object's version.
    #[must_use]
    pub const fn version(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.0, self.1)
    }
}

/// How long ago, in milliseconds, the platform confirmed that a revision is current.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Age(u32);

impl Age {
    /// Never confirmed, or too long ago to be represented.
    pub const UNKNOWN: Self = Self(u32::MAX);

    /// Creates an age of this length.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        u32::try_from(length.as_millis()).map_or(Self::UNKNOWN, Self)
    }

    /// The length, unless it is unknown.
    #[must_use]
    pub fn get(self) -> Option<Duration> {
        (self != Self::UNKNOWN).then(|| Duration::from_millis(u64::from(self.0)))
    }
}

impl fmt::Display for Age {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.get() {
            Some(length) => write!(f, "{}ms", length.as_millis()),
            None => f.write_str("unknown"),
        }
    }
}

/// A message from one node to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// The sender has this revision, or none, and it was confirmed this long ago.
    #[serde(rename = "h")]
    Have(Option<Revision>, Age),
    /// Requests the body of the first revision or of a later one.
    ///
    /// The second is the revision that the sender has. The answer is a patch if the
    /// receiver still keeps that one's text.
    #[serde(rename = "p")]
    Pull(Revision, Option<Revision>),
    /// The body of a revision.
    #[serde(rename = "b")]
    Body(Revision, Age, Arc<str>),
    /// A patch to a revision from the one that the receiver has.
    #[serde(rename = "d")]
    Patch(Revision, Age, Patch),
}

/// An action for the daemon to take, or an event for it to handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send this message, without retries: the protocol repairs losses itself.
    Send {
        /// The peer.
        to: VmId,
        /// What to send.
        message: Message,
    },
    /// Apply this revision.
    Adopt(Revision, Arc<str>),
    /// Start or stop watching the platform's object.
    Watch(bool),
    /// Read the platform's object once, since the peers don't provide a confirmed revision.
    Read,
    /// Start to take new work, or stop, since the revision may be out of date.
    Ready(bool),
    /// The platform or a peer sent something that was rejected.
    Refused(Refusal),
}

/// Why something was rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Refusal {
    /// The platform answered with an older revision than the one in force.
    Older(Revision),
    /// The version is the one in force, but the body differs.
    Clash(Revision),
    /// The body does not match the hash of its revision.
    Corrupt(Revision),
    /// The body exceeds the size limit.
    TooLarge(Revision),
}
