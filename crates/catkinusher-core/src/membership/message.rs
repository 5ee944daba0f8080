//! The messages of the membership protocol.
//!
//! Field names are single letters on the wire, because every node sends these
//! messages several times a second.

use std::fmt;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, Incarnation, VmId};

/// The number of hash buckets by which two peers compare their member tables.
pub const BUCKETS: usize = 16;

/// Orders updates about a member: by its incarnation, then by its count of refutations.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Life(pub Incarnation, pub u32);

impl Life {
    /// The life of a member that is known from the VM list only.
    pub const UNKNOWN: Self = Self(Incarnation::new(0), 0);

    /// The lowest life that supersedes `self` within the same incarnation.
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

/// The state of a member; between two updates of the same life the later variant wins.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum State {
    /// It sends heartbeats, or is assumed to.
    #[serde(rename = "a")]
    Alive,
    /// It missed its deadline and did not answer a probe, but may still refute.
    #[serde(rename = "s")]
    Suspect,
    /// It drains its requests and takes no new ones.
    #[serde(rename = "l")]
    Leaving,
    /// It did not refute in time: it has crashed or is partitioned.
    #[serde(rename = "g")]
    Gone,
    /// It has shut down in an orderly way.
    #[serde(rename = "x")]
    Left,
}

impl State {
    /// Whether messages to a member in this state are sent at all.
    #[must_use]
    pub const fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Suspect | Self::Leaving)
    }
}

/// The location of an entry VM.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Location {
    /// Its data centre.
    #[serde(rename = "d")]
    pub data_centre: DataCentreId,
    /// The address of its peer listener.
    #[serde(rename = "a")]
    pub address: SocketAddr,
}

/// The state of one member, as gossiped.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Update {
    /// The member.
    #[serde(rename = "v")]
    pub vm: VmId,
    /// The life that the update refers to.
    #[serde(rename = "l")]
    pub life: Life,
    /// Its state in that life.
    #[serde(rename = "s")]
    pub state: State,
    /// Its location, for peers whose VM list lags; set for live members only.
    #[serde(rename = "p", default, skip_serializing_if = "Option::is_none")]
    pub location: Option<Location>,
}

/// A message from one member to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender's life.
    #[serde(rename = "l")]
    pub life: Life,
    /// The payload.
    #[serde(rename = "b")]
    pub body: Body,
    /// The updates that are piggybacked on it.
    #[serde(rename = "u", default, skip_serializing_if = "Vec::is_empty")]
    pub updates: Vec<Update>,
}

/// The payload of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The heartbeat with this sequence number.
    #[serde(rename = "h")]
    Heartbeat(u64),
    /// Carries updates only.
    #[serde(rename = "n")]
    Gossip,
    /// Requests an [`Ack`](Self::Ack) with this number.
    #[serde(rename = "p")]
    Ping(u32),
    /// Answers the ping with this number.
    #[serde(rename = "k")]
    Ack(u32),
    /// Asks the receiver to ping this member and to relay its answer under this number.
    #[serde(rename = "r")]
    IndirectPing(u32, VmId),
    /// The sender's bucket hashes; the receiver answers with its buckets that differ.
    #[serde(rename = "y")]
    Sync([u64; BUCKETS]),
    /// The updates are whole buckets; the receiver sends back the newer updates that it has.
    #[serde(rename = "t")]
    Table,
}

/// An action for the daemon to take, or an event for it to handle.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Output {
    /// Send this message, without retries: the protocol tolerates loss.
    Send {
        /// The peer.
        to: VmId,
        /// What to send.
        message: Message,
    },
    /// The fleet has changed.
    Changed(Change),
}

/// A change in the fleet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Change {
    /// A member has another state, or has restarted.
    State {
        /// The member.
        vm: VmId,
        /// Its state.
        state: State,
        /// Its life.
        life: Life,
    },
    /// The set of members that may own upstreams has changed.
    Owners,
    /// At least half of a data centre went missing at once: its members keep their ownership.
    #[serde(rename = "cut")]
    Partitioned(DataCentreId),
    /// A data centre no longer counts as partitioned: it is back, or has lost its ownership.
    Healed(DataCentreId),
    /// Others held an outdated or wrong state of this node, and it has refuted that.
    Refuted(Life),
}
