//! The engine behind the sockets: the cost function, its streams, and what is due when.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::id::RequestId;
use catkinusher_core::time::Time;
use tokio::time::Instant;

use super::cache_log::CacheLog;
use super::clock::Clock;
use super::orders::OrderBook;
use super::record::Records;
use super::stream::{End, Stream};
use super::{Config, Faults};
use crate::batch::{Engine, Event, Load};
use crate::faults::Switches;
use crate::lag::Lagging;

/// Exported KV caches that are remembered.
const EXPORTS_KEPT: usize = 1024;

/// Something to do at a moment.
#[derive(Debug)]
enum Due {
    /// A request that nobody reads any more is cancelled.
    Grace(Arc<Stream>),
    /// A request is over its time.
    Timeout(Arc<Stream>),
    /// A request that ended can't be resumed any more.
    Forget(Arc<Stream>),
    /// The load is read for the lagging report.
    Sample,
}

/// A KV cache that another engine may take.
#[derive(Debug, Clone)]
pub(super) struct Export {
    pub(super) handle: String,
    pub(super) tokens: u64,
}

#[derive(Debug)]
pub(super) struct Core {
    pub(super) batch: Engine,
    pub(super) clock: Clock,
    pub(super) records: Records,
    pub(super) orders: OrderBook,
    pub(super) cache_log: CacheLog,
    pub(super) streams: BTreeMap<RequestId, Arc<Stream>>,
    pub(super) exports: VecDeque<Export>,
    samples: Lagging<Load>,
    due: BTreeMap<(Instant, u64), Due>,
    dues: u64,
    retain: Duration,
    load_lag: Duration,
    collapsed: bool,
    started: Instant,
    switches: Switches<Faults>,
}

impl Core {
    pub(super) fn new(config: &Config, switches: Switches<Faults>) -> Self {
        let mut batch = Engine::new(config.rates.clone(), config.incarnation);
        batch.record_changes();
        if config.warm {
            batch.warm_up();
        }
        let mut core = Self {
            batch,
            clock: Clock::new(config.speed),
            records: Records::default(),
            orders: OrderBook::new(config.fencing, &config.models, config.role.clone()),
            cache_log: CacheLog::default(),
            streams: BTreeMap::new(),
            exports: VecDeque::new(),
            samples: Lagging::default(),
            due: BTreeMap::new(),
            dues: 0,
            retain: config.retain,
            load_lag: config.load_lag,
            collapsed: false,
            started: Instant::now(),
            switches,
        };
        core.sample();
        core
    }

    /// Since the stand-in started.
    pub(super) fn age(&self) -> Duration {
        self.started.elapsed()
    }

    /// Does all that is due.
    pub(super) fn settle(&mut self) -> Time {
        let now = self.clock.now();
        for event in self.batch.advance(now) {
            self.on_event(event);
        }
        self.publish();
        if !self.clock.is_frozen() {
            self.do_due(now);
        }
        now
    }

    fn publish(&mut self) {
        let changes = self.batch.take_changes();
        if changes.is_empty() {
            return;
        }
        let gap = self.switches.take(|faults| {
            let gap = (faults.event_gap as usize).min(changes.len());
            faults.event_gap -= gap as u32;
            gap
        });
        self.cache_log.extend(changes, gap);
    }

    /// When there is something to do next.
    pub(super) fn next(&self) -> Option<Instant> {
        if self.clock.is_frozen() {
            return None;
        }
        let step = self.batch.next_step().map(|at| self.clock.instant(at));
        let due = self.due.first_key_value().map(|((at, _), _)| *at);
        step.into_iter().chain(due).min()
    }

    /// Whether the engine collapsed since the last call.
    pub(super) fn take_collapse(&mut self) -> bool {
        std::mem::take(&mut self.collapsed)
    }

    fn on_event(&mut self, event: Event) {
        match event {
            Event::FirstToken { .. } => {}
            Event::Tokens { id, range, .. } => {
                if let Some(stream) = self.streams.get(&id) {
                    stream
                        .progress
                        .send_modify(|progress| progress.generated = range.end);
                }
            }
            Event::Finished { id, usage, .. } => {
                self.records.finished += 1;
                if let Some(stream) = self.streams.get(&id).map(Arc::clone) {
                    stream.end(End::Finished(usage));
                    self.plan(self.retain, Due::Forget(stream));
                }
            }
            Event::Collapsed { .. } => self.on_collapse(),
        }
    }

    fn on_collapse(&mut self) {
        for stream in std::mem::take(&mut self.streams).into_values() {
            if !stream.has_ended() {
                self.records.dropped += 1;
                stream.end(End::Dropped);
            }
        }
        self.exports.clear();
        self.cache_log = CacheLog::default();
        self.samples.clear();
        self.due.clear();
        self.collapsed = true;
        self.sample();
    }

    fn plan(&mut self, after: Duration, due: Due) {
        self.dues += 1;
        self.due.insert((Instant::now() + after, self.dues), due);
    }

    pub(super) fn plan_grace(&mut self, grace: Duration, stream: Arc<Stream>) {
        self.plan(grace, Due::Grace(stream));
    }

    pub(super) fn plan_timeout(&mut self, timeout: Duration, stream: Arc<Stream>) {
        self.plan(timeout, Due::Timeout(stream));
    }

    fn do_due(&mut self, now: Time) {
        while let Some(entry) = self.due.first_entry() {
            if entry.key().0 > Instant::now() {
                return;
            }
            match entry.remove() {
                Due::Grace(stream) if !stream.is_read() => self.cancel(&stream, now),
                Due::Grace(_) => {}
                Due::Timeout(stream) => self.cancel(&stream, now),
                Due::Forget(stream) => self.forget(&stream),
                Due::Sample => self.sample(),
            }
        }
    }

    /// Cancels a request, unless it has ended.
    pub(super) fn cancel(&mut self, stream: &Arc<Stream>, now: Time) {
        if stream.has_ended() {
            return;
        }
        self.batch.cancel(&stream.id, now);
        self.records.cancelled += 1;
        stream.end(End::Cancelled);
        self.forget(stream);
    }

    /// Drops a request that can't go on, unless it has ended.
    pub(super) fn drop_stream(&mut self, stream: &Arc<Stream>, now: Time) {
        if stream.has_ended() {
            return;
        }
        self.batch.cancel(&stream.id, now);
        self.records.dropped += 1;
        stream.end(End::Dropped);
        self.forget(stream);
    }

    /// Removes a stream, unless another of its id has taken its place.
    fn forget(&mut self, stream: &Arc<Stream>) {
        let standing = self.streams.get(&stream.id);
        if standing.is_some_and(|standing| Arc::ptr_eq(standing, stream)) {
            self.streams.remove(&stream.id);
        }
    }

    fn sample(&mut self) {
        if self.load_lag.is_zero() {
            return;
        }
        self.samples.push(self.batch.load());
        self.plan(self.load_lag / 2, Due::Sample);
    }

    /// The load as the report shows it, with its age.
    pub(super) fn report(&self) -> (Duration, Load) {
        self.samples.shown(self.batch.load())
    }

    pub(super) fn remember(&mut self, export: Export) {
        if self.exports.len() == EXPORTS_KEPT {
            self.exports.pop_front();
        }
        self.exports.push_back(export);
    }

    pub(super) fn records(&self) -> Records {
        Records {
            held: self.batch.load().memory_used,
            overload: self.batch.overload(),
            peak: self.batch.peak_overload(),
            ..self.records.clone()
        }
    }
}
