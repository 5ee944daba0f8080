//! Which requests may have crashed the upstream, and running suspects in isolation.

use std::time::Duration;

use super::{ISOLATED_QUEUE, Owner, QueuedRequest};
use crate::fingerprint::Fingerprint;
use crate::id::RequestId;
use crate::time::Time;

/// How long a request with a broken connection stays a suspect until the upstream is back.
///
/// Unless the holder found that the process exited, only the next incarnation shows a crash.
pub const BROKEN_REQUEST_TTL: Duration = Duration::from_mins(2);

/// The maximum number of broken requests tracked for one upstream.
const MAX_BROKEN_REQUESTS: usize = 256;

impl Owner {
    /// Returns the requests that ran at crashes since the last call, once for each run.
    pub fn take_crash_suspects(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.crash_suspects)
    }

    /// Records that the connection of a request broke.
    pub(super) fn record_broken(&mut self, fingerprint: Option<Fingerprint>, now: Time) {
        let Some(fingerprint) = fingerprint else {
            return;
        };
        self.broken_requests
            .retain(|(at, _)| now.since(*at) < BROKEN_REQUEST_TTL);
        if self.broken_requests.len() >= MAX_BROKEN_REQUESTS {
            self.broken_requests.remove(0);
        }
        self.broken_requests.push((now, fingerprint));
    }

    /// Records that the upstream lost all running requests, and which ones these were.
    pub(super) fn record_crash(&mut self, now: Time) {
        let broken = std::mem::take(&mut self.broken_requests).into_iter();
        let broken = broken.filter(|(at, _)| now.since(*at) < BROKEN_REQUEST_TTL);
        let broken = broken.map(|(_, fingerprint)| fingerprint);
        let running = self.granted.values_mut();
        // The fingerprint is taken so that neither the holder's report nor the new incarnation
        // counts the same crash against this request again.
        let running = running.filter_map(|granted| granted.options.fingerprint.take());
        self.crash_suspects.extend(broken.chain(running));
    }

    /// Records that a granted request did not run in the incarnation that ended.
    pub(super) fn exclude_from_crash(&mut self, request: &RequestId) {
        if let Some(granted) = self.granted.get_mut(request) {
            granted.options.fingerprint = None;
        }
    }

    /// Whether a request may run alongside the requests that run now.
    ///
    /// No other request starts while an isolated one is queued, which would otherwise starve.
    pub(super) fn may_run_alongside(&self, waiting: &QueuedRequest) -> bool {
        if waiting.options.isolated {
            return self.ledger.streams() == 0;
        }
        !self.is_blocked_by_isolation()
    }

    /// The stream limit in the digest, lowered during isolation so that routers choose other upstreams.
    pub(super) fn advertised_stream_limit(&self) -> u32 {
        let limit = self.stream_limit();
        if self.is_blocked_by_isolation() {
            return limit.min(self.ledger.streams());
        }
        limit
    }

    fn is_blocked_by_isolation(&self) -> bool {
        self.isolated_request.is_some() || !self.queues[ISOLATED_QUEUE].is_empty()
    }
}
