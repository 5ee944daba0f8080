//! What a request may have in common with others that crash upstreams.

use xxhash_rust::xxh3::xxh3_128;

use crate::fingerprint::Fingerprint;
use crate::id::{CustomerId, PartId};

/// A request, as far as it may crash an upstream again.
#[derive(Debug, Clone, Copy)]
pub struct Content<'a> {
    /// The customer that sent it.
    pub customer: Option<&'a CustomerId>,
    /// Its path and query.
    pub target: &'a str,
    /// Its body.
    pub body: &'a [u8],
    /// The parts of its prompt that other requests may share.
    pub shared: &'a [PartId],
    /// The part of its prompt that belongs to it or to its session.
    pub own: Option<&'a PartId>,
}

impl Content<'_> {
    /// The fingerprints of the shared parts, and last that of the request as a whole.
    ///
    /// The body is hashed with a fast function, as bodies are large. A customer that
    /// looks for collisions finds only its own requests, as the customer is part of
    /// the fingerprint.
    #[must_use]
    pub fn fingerprints(&self) -> Vec<Fingerprint> {
        let body = xxh3_128(self.body).to_be_bytes();
        let customer = self.customer.map_or("", CustomerId::as_str);
        let parts = self.shared.iter().chain(self.own).map(PartId::as_str);
        let whole = ["request", customer, self.target]
            .into_iter()
            .map(str::as_bytes)
            .chain([body.as_slice()])
            .chain(parts.map(str::as_bytes));
        let shared = self.shared.iter().map(PartId::as_str);
        shared
            .map(|part| Fingerprint::of(["part", part].map(str::as_bytes)))
            .chain([Fingerprint::of(whole)])
            .collect()
    }
}
