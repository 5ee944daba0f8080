//! What nodes send each other about upstreams.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id::{DataCentreId, VmId};

/// The unit in which ages travel.
const AGE_UNIT: Duration = Duration::from_millis(100);

/// How old a digest is, in tenths of a second; the highest value means that or more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(transparent)]
pub struct DigestAge(u16);

impl DigestAge {
    /// The age of this length, rounded up.
    #[must_use]
    pub fn new(length: Duration) -> Self {
        let units = length.as_millis().div_ceil(AGE_UNIT.as_millis());
        Self(u16::try_from(units).unwrap_or(u16::MAX))
    }

    /// The length.
    #[must_use]
    pub fn get(self) -> Duration {
        AGE_UNIT * u32::from(self.0)
    }
}

/// The coarse digest of an upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct DigestEntry<K, C>(pub K, pub DigestAge, pub C);

/// The sum of a service's upstreams in another data centre, by the number of
/// the data centre in the batch's list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SummaryEntry<G, S>(pub u8, pub G, pub DigestAge, pub S);

/// One message: every part of it is bounded by the settings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch<K, C, D, G, S> {
    /// Whether it goes towards the first of the data centre.
    #[serde(rename = "u")]
    pub upward: bool,
    /// Coarse digests of the sender's data centre.
    #[serde(rename = "n")]
    pub near: Vec<DigestEntry<K, C>>,
    /// Full digests, a few in turn.
    #[serde(rename = "d")]
    pub detail: Vec<DigestEntry<K, D>>,
    /// The data centres that the sums name.
    #[serde(rename = "c")]
    pub data_centres: Vec<DataCentreId>,
    /// Sums of other data centres, a few in turn.
    #[serde(rename = "f")]
    pub far: Vec<SummaryEntry<G, S>>,
}

/// A batch to be sent.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingBatch<K, C, D, G, S> {
    /// The peer.
    pub to: VmId,
    /// What to send.
    pub batch: Batch<K, C, D, G, S>,
}
