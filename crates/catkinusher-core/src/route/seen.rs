//! A node's view of one upstream.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ask::Ask;
use crate::class::{CLASS_COUNT, LengthClass};
use crate::digest::Digest;
use crate::id::{DataCentreId, UpstreamId};
use crate::time::Time;
use crate::units::{Rate, Tokens};

/// The assumed time for which a request holds its stream slot on a full upstream.
const SLOT_HOLD_TIME: Duration = Duration::from_secs(8);

/// The assumed delay of waiting for memory.
const MEMORY_WAIT: Duration = Duration::from_secs(2);

/// The assumed round-trip time to another data centre.
const CROSS_CENTRE_RTT: Duration = Duration::from_millis(3);

/// The assumed prefill rate of an upstream without a known one, in tokens per second.
const DEFAULT_PREFILL_RATE: f64 = 20_000.0;

/// A request that this node has sent since the last digest was taken.
#[derive(Debug, Clone, Copy)]
struct SentRequest {
    at: Time,
    class: LengthClass,
    work: Tokens,
    memory: Tokens,
}

/// A node's view of one upstream: its last digest and what this node has sent since.
#[derive(Debug, Clone)]
pub struct UpstreamView {
    pub(super) upstream: UpstreamId,
    pub(super) data_centre: DataCentreId,
    pub(super) closed: bool,
    pub(super) digest: Digest,
    pub(super) digest_time: Time,
    pub(super) open_requests: u32,
    sent: VecDeque<SentRequest>,
    work: [u64; CLASS_COUNT],
    memory: Tokens,
}

impl UpstreamView {
    pub(super) fn new(upstream: UpstreamId, data_centre: DataCentreId) -> Self {
        Self {
            upstream,
            data_centre,
            closed: false,
            digest: Digest::default(),
            digest_time: Time::ZERO,
            open_requests: 0,
            sent: VecDeque::new(),
            work: [0; CLASS_COUNT],
            memory: Tokens::ZERO,
        }
    }

    /// The upstream.
    #[must_use]
    pub const fn upstream(&self) -> &UpstreamId {
        &self.upstream
    }

    /// The data centre of the upstream.
    #[must_use]
    pub const fn data_centre(&self) -> &DataCentreId {
        &self.data_centre
    }

    /// The last digest from its owner.
    #[must_use]
    pub const fn digest(&self) -> &Digest {
        &self.digest
    }

    /// When the last digest was taken.
    #[must_use]
    pub const fn digest_time(&self) -> Time {
        self.digest_time
    }

    /// The number of open requests of this node.
    #[must_use]
    pub const fn open_requests(&self) -> u32 {
        self.open_requests
    }

    /// Whether the upstream gets no new work.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    /// Applies a digest, unless a later one is known.
    pub(super) fn on_digest(&mut self, digest: Digest, digest_time: Time) {
        if digest_time < self.digest_time {
            return;
        }
        self.digest = digest;
        self.digest_time = digest_time;
        while let Some(sent) = self.sent.front().copied() {
            if sent.at > digest_time {
                return;
            }
            self.sent.pop_front();
            self.work[sent.class.index()] -= sent.work.get();
            self.memory -= sent.memory;
        }
    }

    pub(super) fn on_sent(&mut self, ask: &Ask, work: Tokens, now: Time) {
        let class = ask.class();
        self.open_requests += 1;
        self.work[class.index()] += work.get();
        self.memory += ask.memory();
        self.sent.push_back(SentRequest {
            at: now,
            class,
            work,
            memory: ask.memory(),
        });
    }

    pub(super) const fn on_ended(&mut self) {
        self.open_requests = self.open_requests.saturating_sub(1);
    }

    /// The predicted time to first token of a request on this upstream.
    pub(super) fn predict(
        &self,
        ask: &Ask,
        cached: Tokens,
        home: &DataCentreId,
        now: Time,
    ) -> Duration {
        let class = ask.class();
        let work = ask.prompt.saturating_sub(cached);
        let rate = self.prefill_rate();
        let since = now.since(self.digest_time).as_secs_f64();
        let done = Tokens::new((rate.get() * since) as u64);
        let sent = self.work[..=class.index()].iter().sum::<u64>();
        let ahead = self.digest.backlog_for(class).saturating_sub(done) + Tokens::new(sent);
        let prefill = rate.time_for((ahead + work).get());
        let rtt = if self.data_centre == *home {
            Duration::ZERO
        } else {
            CROSS_CENTRE_RTT
        };
        prefill + rtt + self.slot_wait() + self.memory_wait(ask)
    }

    fn prefill_rate(&self) -> Rate {
        match self.digest.pace {
            0 => Rate::per_second(DEFAULT_PREFILL_RATE),
            pace => Rate::per_second(f64::from(pace)),
        }
    }

    /// The predicted wait for a stream slot.
    fn slot_wait(&self) -> Duration {
        let wanted = self.digest.streams + self.digest.queued + self.sent.len() as u32 + 1;
        let over = wanted.saturating_sub(self.digest.limit);
        SLOT_HOLD_TIME.mul_f64(f64::from(over) / f64::from(self.digest.limit.max(1)))
    }

    /// The predicted wait for memory.
    fn memory_wait(&self, ask: &Ask) -> Duration {
        if self.memory + ask.memory() <= self.digest.free {
            return Duration::ZERO;
        }
        MEMORY_WAIT
    }
}
