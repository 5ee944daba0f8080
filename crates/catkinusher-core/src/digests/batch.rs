//! The messages that carry upstream digests between nodes.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, VmId};

/// The unit of ages on the wire.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// The age of a digest in tenths of a second, saturating at the highest value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DigestAge(u16);

impl DigestAge {
    /// Creates an age of this length, rounded up.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        let units = length.as_millis().div_ceil(AGE_UNIT.as_millis());
        Self(u16::try_from(units).unwrap_or(u16::MAX))
    }

    /// The age as a duration.
    #[must_use]
    pub fn get(self) -> Duration {
        AGE_UNIT * u32::from(self.0)
    }
}

/// The key of an upstream, the age of its digest and the digest.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry<K, C>(pub K, pub DigestAge, pub C);

/// The summary of a service's upstreams in another data centre, with the index of that
/// data centre in the batch's list, the service and the age.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryEntry<G, S>(pub u8, pub G, pub DigestAge, pub S);

/// One message; the settings bound each of its lists.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch<K, C, D, G, S> {
    /// Whether it goes up the tree, towards the root of the data centre.
    #[serde(rename = "u")]
    pub upward: bool,
    /// Coarse digests of the sender's data centre.
    #[serde(rename = "n")]
    pub near: Vec<DigestEntry<K, C>>,
    /// Full digests, a few at a time in rotation.
    #[serde(rename = "d")]
    pub detail: Vec<DigestEntry<K, D>>,
    /// The data centres that the summaries refer to by index.
    #[serde(rename = "c")]
    pub data_centres: Vec<DataCentreId>,
    /// Summaries of other data centres, a few at a time in rotation.
    #[serde(rename = "f")]
    pub far: Vec<SummaryEntry<G, S>>,
}

/// A batch and the peer to send it to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingBatch<K, C, D, G, S> {
    /// The peer.
    pub to: VmId,
    /// The batch.
    pub batch: Batch<K, C, D, G, S>,
}
