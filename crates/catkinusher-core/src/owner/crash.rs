//! Whom a crash of the upstream may be blamed on, and running suspects apart.

use std::time::Duration;

use super::{APART_QUEUE, Owner, Waiting};
use crate::fingerprint::Fingerprint;
use crate::id::RequestId;
use crate::time::Time;

/// How long a broken request is a suspect while the upstream hasn't come back.
///
/// Unless its holder found the process ended, a crash shows only in the next life.
pub const BROKEN_LIFE: Duration = Duration::from_mins(2);

/// The most broken requests that are remembered for one upstream.
const BROKEN_LIMIT: usize = 256;

impl Owner {
    /// What ran at crashes since the last call, each as often as it ran.
    pub fn take_crash_suspects(&mut self) -> Vec<Fingerprint> {
        std::mem::take(&mut self.blamed)
    }

    /// Notes that the connection of a request broke.
    pub(super) fn note_broken(&mut self, print: Option<Fingerprint>, now: Time) {
        let Some(print) = print else { return };
        self.broken.retain(|(at, _)| now.since(*at) < BROKEN_LIFE);
        if self.broken.len() >= BROKEN_LIMIT {
            self.broken.remove(0);
        }
        self.broken.push((now, print));
    }

    /// Notes that the upstream has lost all it ran, and what that was.
    pub(super) fn note_crash(&mut self, now: Time) {
        let broken = std::mem::take(&mut self.broken).into_iter();
        let broken = broken.filter(|(at, _)| now.since(*at) < BROKEN_LIFE);
        let broken = broken.map(|(_, print)| print);
        let running = self.granted.values_mut();
        // What is blamed here is not blamed again when its holder tells, or the new life shows.
        let running = running.filter_map(|granted| granted.terms.fingerprint.take());
        self.blamed.extend(broken.chain(running));
    }

    /// Notes that a request that is still granted did not run in the life that ended.
    pub(super) fn acquit(&mut self, request: &RequestId) {
        if let Some(granted) = self.granted.get_mut(request) {
            granted.terms.fingerprint = None;
        }
    }

    /// Whether a request may run beside what runs now.
    ///
    /// While one waits to run apart nothing else begins, or it would never get its turn.
    pub(super) fn may_join(&self, waiting: &Waiting) -> bool {
        if waiting.terms.isolated {
            return self.ledger.streams() == 0;
        }
        !self.is_shut()
    }

    /// The stream limit as the fleet is told it, so that routers look elsewhere meanwhile.
    pub(super) fn told_limit(&self) -> u32 {
        let limit = self.stream_limit();
        if self.is_shut() {
            return limit.min(self.ledger.streams());
        }
        limit
    }

    fn is_shut(&self) -> bool {
        self.lone.is_some() || !self.queues[APART_QUEUE].is_empty()
    }
}
