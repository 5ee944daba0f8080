//! What members say to each other.
//!
//! Field names are one letter on the wire, since a node sends these messages
//! several times a second for as long as it lives.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, Incarnation, VmId};

/// The number of buckets in which members are compared between two peers.
pub const BUCKETS: usize = 16;

/// How new a word about a member is: its process, then its refutations.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Life(pub Incarnation, pub u32);

impl Life {
    /// The life of a member that only the VM list has told of.
    pub const UNKNOWN: Self = Self(Incarnation::new(0), 0);

    /// The first life that beats `self` without a new process.
    #[must_use]
    pub const fn refuted(self) -> Self {
        Self(self.0, self.1 + 1)
    }
}

impl fmt::Display for Life {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.0, self.1)
    }
}

/// How a member fares; of two words of the same life the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It beats, or is presumed to.
    #[serde(rename = "a")]
    Alive,
    /// It is silent and may still refute.
    #[serde(rename = "s")]
    Suspect,
    /// It finishes its work and takes no more.
    #[serde(rename = "l")]
    Leaving,
    /// It is silent for good, or cut off.
    #[serde(rename = "g")]
    Gone,
    /// It has left as it said it would.
    #[serde(rename = "x")]
    Left,
}

impl State {
    /// Whether messages to it are worth sending.
    #[must_use]
    pub const fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// Where an entry VM stands and listens.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Its data centre.
    #[serde(rename = "d")]
    pub data_centre: DataCentreId,
    /// Its peer listener.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

/// One word about one member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// The life that the word is about.
    #[serde(rename = "l")]
    pub life: Life,
    /// How it fares.
    #[serde(rename = "s")]
    pub state: State,
    /// Where it is, for peers whose VM list lags; only of members that are alive.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub location: Option<Location>,
}

/// What one member sends another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's life.
    #[serde(rename = "l")]
    pub life: Life,
    /// The message itself.
    #[serde(rename = "b")]
    pub body: Body,
    /// The updates that ride on it.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
}

/// The message itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The heartbeat of this number.
    #[serde(rename = "h")]
    Heartbeat(u64),
    /// Nothing but updates.
    #[serde(rename = "n")]
    Gossip,
    /// Answer with this number.
    #[serde(rename = "p")]
    Ping(u32),
    /// The answer to the ping of this number.
    #[serde(rename = "k")]
    Ack(u32),
    /// Ping this member and pass its answer on under this number.
    #[serde(rename = "r")]
    IndirectPing(u32, VmId),
    /// The sender's bucket hashes; a peer answers with the buckets that differ.
    #[serde(rename = "y")]
    Sync([u64; BUCKETS]),
    /// The updates are whole buckets; a peer sends back what it knows better.
    #[serde(rename = "t")]
    Table,
}

/// What the membership asks of the daemon, or tells it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send this message; whether it arrives is the membership's business.
    Send {
        /// The peer.
        to: VmId,
        /// What to send.
        message: Message,
    },
    /// Something has changed.
    Changed(Change),
}

/// What has changed in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A member fares otherwise than before.
    State {
        /// The member.
        vm: VmId,
        /// How it fares now.
        state: State,
        /// In which life.
        life: Life,
    },
    /// The set of members that may own upstreams has changed.
    Owners,
    /// Most of a data centre has vanished at once: its ownership is held.
    #[serde(rename = "cut")]
    Partitioned(DataCentreId),
    /// A parted data centre is back, or given up.
    Healed(DataCentreId),
    /// Others had doubted this node, and it has refuted them.
    Refuted(Life),
}
