//! Acquires permits from the owners of upstreams, and releases them.

mod ask;
mod back;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use catkinusher_core::id::{RequestId, ServiceId, UpstreamId};
use catkinusher_core::owner::{Permit, Report, RunOptions};
use catkinusher_core::time::Time;
use catkinusher_peer::rpc::Release;

pub use self::ask::{acquire, acquire_at};
pub use self::back::{flush, run};
use crate::node::State;

/// A [`Permit`] that this node holds for one request, with the upstream it is for.
///
/// A lease dropped without [`Lease::release`] or [`Lease::set_report`] releases its permit as
/// cancelled, so that no exit path of a request leaves memory reserved.
#[derive(Debug)]
pub struct Lease {
    state: Arc<State>,
    service: ServiceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// The address of the upstream.
    pub address: SocketAddr,
    /// The permit granted by the owner.
    pub permit: Permit,
    /// When the permit expires, by this node's clock.
    pub expires: Time,
    /// The fingerprint of the request, and whether it must run alone on the upstream.
    pub run_options: RunOptions,
    report: Report,
}

impl Lease {
    /// Sets the outcome of the request, sent to the owner when the lease is dropped.
    pub fn set_report(&mut self, report: Report) {
        self.report = report;
    }

    /// Releases the permit with the outcome of the request.
    pub fn release(mut self, report: Report) {
        self.report = report;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let state = &self.state;
        state
            .held_permits
            .remove(&self.upstream, &self.permit.request);
        state.routers.on_ended(&self.service, &self.upstream);
        let release = Release {
            upstream: self.upstream.clone(),
            request: self.permit.request.clone(),
            report: self.report.clone(),
        };
        state.release(release);
    }
}

/// The permits that this node holds.
#[derive(Debug, Default)]
pub struct HeldTable {
    table: Mutex<HashMap<UpstreamId, Vec<RequestId>>>,
}

impl HeldTable {
    fn add(&self, upstream: &UpstreamId, request: &RequestId) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        table
            .entry(upstream.clone())
            .or_default()
            .push(request.clone());
    }

    fn remove(&self, upstream: &UpstreamId, request: &RequestId) {
        let mut table = self.table.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(requests) = table.get_mut(upstream) {
            requests.retain(|other| other != request);
            if requests.is_empty() {
                table.remove(upstream);
            }
        }
    }

    /// A copy of the held permits, by upstream.
    #[must_use]
    pub fn all(&self) -> HashMap<UpstreamId, Vec<RequestId>> {
        self.table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
