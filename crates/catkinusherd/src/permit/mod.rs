//! Getting a permit from an upstream's owner, and giving it back.

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

/// The right to send one request to one upstream.
///
/// Dropped without [`Lease::release`], it is given back as cancelled, so that
/// no way out of a request leaves memory reserved.
#[derive(Debug)]
pub struct Lease {
    state: Arc<State>,
    service: ServiceId,
    /// The upstream.
    pub upstream: UpstreamId,
    /// Where it listens.
    pub address: SocketAddr,
    /// What the owner granted.
    pub permit: Permit,
    /// When it ends by itself, by this node's clock.
    pub expires: Time,
    /// How it may run beside others.
    pub run_options: RunOptions,
    report: Report,
}

impl Lease {
    /// Notes how the request ends; the permit goes back when the lease is dropped.
    pub fn set_report(&mut self, report: Report) {
        self.report = report;
    }

    /// Gives the permit back with how the request ended.
    pub fn release(mut self, report: Report) {
        self.report = report;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let state = &self.state;
        state.held.remove(&self.upstream, &self.permit.request);
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

    /// All of them.
    #[must_use]
    pub fn all(&self) -> HashMap<UpstreamId, Vec<RequestId>> {
        self.table
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }
}
