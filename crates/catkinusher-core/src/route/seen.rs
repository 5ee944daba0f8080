//! One upstream as a node sees it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ask::Ask;
use crate::class::{CLASS_COUNT, LengthClass};
use crate::digest::Digest;
use crate::id::{DataCentreId, UpstreamId};
use crate::time::Time;
use crate::units::{Rate, Tokens};

/// How long a request is taken to keep its stream where a slot is waited for.
const SLOT_TIME: Duration = Duration::from_secs(8);

/// What waiting for memory is taken to cost.
const MEMORY_TIME: Duration = Duration::from_secs(2);

/// The way to another data centre and back.
const CROSS_TIME: Duration = Duration::from_millis(3);

/// The prefill rate of an upstream of which nothing is known.
const UNKNOWN_PACE: f64 = 20_000.0;

/// Work that this node has sent since the digest was taken.
#[derive(Debug, Clone, Copy)]
struct Sent {
    at: Time,
    class: LengthClass,
    work: Tokens,
    memory: Tokens,
}

/// One upstream as a node sees it: an old digest and what was sent since.
#[derive(Debug, Clone)]
pub struct UpstreamView {
    pub(super) upstream: UpstreamId,
    pub(super) centre: DataCentreId,
    pub(super) closed: bool,
    pub(super) digest: Digest,
    pub(super) taken: Time,
    pub(super) open: u32,
    sent: VecDeque<Sent>,
    work: [u64; CLASS_COUNT],
    memory: Tokens,
}

impl UpstreamView {
    pub(super) fn new(upstream: UpstreamId, centre: DataCentreId) -> Self {
        Self {
            upstream,
            centre,
            closed: false,
            digest: Digest::default(),
            taken: Time::ZERO,
            open: 0,
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

    /// Where it runs.
    #[must_use]
    pub const fn centre(&self) -> &DataCentreId {
        &self.centre
    }

    /// What its owner said last.
    #[must_use]
    pub const fn digest(&self) -> &Digest {
        &self.digest
    }

    /// When its owner said so.
    #[must_use]
    pub const fn digest_time(&self) -> Time {
        self.taken
    }

    /// This node's requests open there.
    #[must_use]
    pub const fn open_requests(&self) -> u32 {
        self.open
    }

    /// Takes a digest in, unless a later one is known.
    /// Whether it gets no new work.
    #[must_use]
    pub const fn is_closed(&self) -> bool {
        self.closed
    }

    pub(super) fn on_digest(&mut self, digest: Digest, taken: Time) {
        if taken < self.taken {
            return;
        }
        self.digest = digest;
        self.taken = taken;
        while let Some(sent) = self.sent.front().copied() {
            if sent.at > taken {
                return;
            }
            self.sent.pop_front();
            self.work[sent.class.index()] -= sent.work.get();
            self.memory -= sent.memory;
        }
    }

    pub(super) fn on_sent(&mut self, ask: &Ask, work: Tokens, now: Time) {
        let class = ask.class();
        self.open += 1;
        self.work[class.index()] += work.get();
        self.memory += ask.memory();
        self.sent.push_back(Sent {
            at: now,
            class,
            work,
            memory: ask.memory(),
        });
    }

    pub(super) const fn on_ended(&mut self) {
        self.open = self.open.saturating_sub(1);
    }

    /// When the first token of a request is to be expected from here.
    pub(super) fn predict(
        &self,
        ask: &Ask,
        cached: Tokens,
        home: &DataCentreId,
        now: Time,
    ) -> Duration {
        let class = ask.class();
        let work = ask.prompt.saturating_sub(cached);
        let rate = self.rate();
        let since = now.since(self.taken).as_secs_f64();
        let done = Tokens::new((rate.get() * since) as u64);
        let sent = self.work[..=class.index()].iter().sum::<u64>();
        let ahead = self.digest.ahead(class).saturating_sub(done) + Tokens::new(sent);
        let prefill = rate.time_for((ahead + work).get());
        let way = if self.centre == *home {
            Duration::ZERO
        } else {
            CROSS_TIME
        };
        prefill + way + self.slot_wait() + self.memory_wait(ask)
    }

    fn rate(&self) -> Rate {
        match self.digest.pace {
            0 => Rate::per_second(UNKNOWN_PACE),
            pace => Rate::per_second(f64::from(pace)),
        }
    }

    /// How long a stream slot is to be waited for.
    fn slot_wait(&self) -> Duration {
        let wanted = self.digest.streams + self.digest.queued + self.sent.len() as u32 + 1;
        let over = wanted.saturating_sub(self.digest.limit);
        SLOT_TIME.mul_f64(f64::from(over) / f64::from(self.digest.limit.max(1)))
    }

    /// How long memory is to be waited for.
    fn memory_wait(&self, ask: &Ask) -> Duration {
        if self.memory + ask.memory() <= self.digest.free {
            return Duration::ZERO;
        }
        MEMORY_TIME
    }
}
