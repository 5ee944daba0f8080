//! The cost function of a model engine, without input or output.
//!
//! The engine batches continuously: each step carries one token of every
//! running stream and a piece of prefill, so that a prompt that is not cut in
//! pieces holds up the streams beside it. It reserves memory for prompt and
//! answer when a request enters the batch, keeps prefixes in the memory left,
//! and starts slowly. Equal steps are taken together, so that its cost grows
//! with the changes of the batch and not with the tokens.
//!
//! The same code runs behind the sockets of [`engine`](crate::engine) and in
//! the benches in virtual time.
//!
//! ```
//! use catkinusher_core::id::Incarnation;
//! use catkinusher_core::time::Time;
//! use catkinusher_core::units::Tokens;
//! use catkinusher_fakes::batch::{Engine, Event, Job, Rates};
//!
//! let mut engine = Engine::new(Rates::default(), Incarnation::new(1));
//! let job = Job::new("r1".parse()?, Tokens::new(1000), Tokens::new(3));
//! engine.submit(job, Time::ZERO).expect("an idle engine takes it");
//! let mut finished = 0;
//! while let Some(at) = engine.next_event() {
//!     for event in engine.advance(at) {
//!         finished += usize::from(matches!(event, Event::Finished { .. }));
//!     }
//! }
//! assert_eq!(finished, 1);
//! # Ok::<(), catkinusher_core::id::ParseIdError>(())
//! ```

mod cache;
mod job;
mod run;
mod step;
mod warmth;

use std::collections::BTreeMap;

use catkinusher_core::id::{Incarnation, RequestId};
use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;

pub use cache::Change;
pub use job::{BLOCK_TOKENS, Event, Job, Load, Rates, Refusal, Stream, Usage};

use cache::PrefixCache;
use step::{Plan, Run};
use warmth::Warmth;

/// Memory held for a request that is not in the batch.
#[derive(Debug, Clone, Copy, Default)]
struct Hold {
    memory: Tokens,
    /// Prompt tokens whose KV cache came from another engine.
    ready: Tokens,
}

/// Where a request waits: the most urgent first, then by arrival.
type Place = (u8, u64);

/// A model engine.
#[derive(Debug, Clone)]
pub struct Engine {
    rates: Rates,
    incarnation: Incarnation,
    /// Up to where the steps are taken.
    clock: Time,
    down_until: Time,
    warmth: Warmth,
    cache: PrefixCache,
    holds: BTreeMap<RequestId, Hold>,
    waiting: BTreeMap<Place, Job>,
    /// In order of urgency.
    runs: Vec<Run>,
    plan: Option<Plan>,
    spare: Plan,
    used: Tokens,
    arrivals: u64,
    events: Vec<Event>,
}

impl Engine {
    /// An engine that has just started, and so is cold.
    #[must_use]
    pub fn new(rates: Rates, incarnation: Incarnation) -> Self {
        Self {
            rates,
            incarnation,
            clock: Time::ZERO,
            down_until: Time::ZERO,
            warmth: Warmth::default(),
            cache: PrefixCache::default(),
            holds: BTreeMap::new(),
            waiting: BTreeMap::new(),
            runs: Vec::new(),
            plan: None,
            spare: Plan::default(),
            used: Tokens::ZERO,
            arrivals: 0,
            events: Vec::new(),
        }
    }

    /// Takes a request on, or says why not.
    ///
    /// # Errors
    ///
    /// A refused request leaves nothing behind. A cold engine that is pushed
    /// past what it bears refuses as well, and collapses when as many were
    /// refused since the last finished request as it bears.
    pub fn submit(&mut self, job: Job, now: Time) -> Result<(), Refusal> {
        self.catch_up(now);
        self.check(&job, now)?;
        if self.is_cold() && self.held() >= self.bears() {
            if self.warmth.on_push(self.held(), &self.rates) {
                self.collapse(now);
            }
            return Err(Refusal::Cold);
        }
        self.arrivals += 1;
        self.waiting.insert((job.priority, self.arrivals), job);
        self.replan();
        Ok(())
    }

    fn check(&self, job: &Job, now: Time) -> Result<(), Refusal> {
        if now < self.down_until {
            return Err(Refusal::Down);
        }
        if self.waiting.len() >= self.rates.queue {
            return Err(Refusal::Full);
        }
        if own_need(job) > self.rates.memory {
            return Err(Refusal::TooLarge);
        }
        if self.holds_job(&job.id) {
            return Err(Refusal::Duplicate);
        }
        Ok(())
    }

    fn holds_job(&self, id: &RequestId) -> bool {
        let running = self.runs.iter().any(|run| run.job.id == *id);
        running || self.waiting.values().any(|job| job.id == *id)
    }

    /// Takes all steps that end by `now` and answers what they did.
    pub fn advance(&mut self, now: Time) -> Vec<Event> {
        self.catch_up(now);
        std::mem::take(&mut self.events)
    }

    /// As [`Engine::advance`], into a buffer that the caller reuses.
    pub fn advance_into(&mut self, now: Time, events: &mut Vec<Event>) {
        self.catch_up(now);
        events.append(&mut self.events);
    }

    /// When the next event that changes the batch is due, or that one waits to be read.
    #[must_use]
    pub fn next_event(&self) -> Option<Time> {
        if !self.events.is_empty() {
            return Some(self.clock);
        }
        self.plan.as_ref().map(Plan::end)
    }

    /// When the step under way ends, for a caller that wants every token at its time.
    #[must_use]
    pub fn next_step(&self) -> Option<Time> {
        if !self.events.is_empty() {
            return Some(self.clock);
        }
        self.plan.as_ref().map(|plan| plan.after(plan.done + 1))
    }

    /// Drops a request or a hold; answers whether there was one.
    pub fn cancel(&mut self, id: &RequestId, now: Time) -> bool {
        self.catch_up(now);
        let held = self.drop_hold(id);
        let waiting = self.waiting.len();
        self.waiting.retain(|_, job| job.id != *id);
        let waited = self.waiting.len() < waiting;
        let running = self.runs.iter().position(|run| run.job.id == *id);
        if let Some(index) = running {
            let run = self.runs.remove(index);
            self.used -= run.memory;
        }
        self.replan();
        held || waited || running.is_some()
    }

    /// Holds memory for a request whose prompt is larger than one engine's memory.
    ///
    /// # Errors
    ///
    /// Nothing is held if the memory is not free now.
    pub fn reserve(&mut self, id: &RequestId, memory: Tokens, now: Time) -> Result<(), Refusal> {
        self.hold(id, memory, Tokens::ZERO, now)
    }

    /// Takes in KV cache of a request from another engine.
    ///
    /// The request that is submitted with this id later need not prefill it again.
    ///
    /// # Errors
    ///
    /// Nothing is held if the memory is not free now.
    pub fn import(&mut self, id: &RequestId, tokens: Tokens, now: Time) -> Result<(), Refusal> {
        self.hold(id, tokens, tokens, now)
    }

    fn hold(
        &mut self,
        id: &RequestId,
        memory: Tokens,
        ready: Tokens,
        now: Time,
    ) -> Result<(), Refusal> {
        self.catch_up(now);
        if now < self.down_until {
            return Err(Refusal::Down);
        }
        let old = self.holds.get(id).copied().unwrap_or_default();
        let used = self.used - old.memory + memory;
        if used > self.rates.memory {
            return Err(Refusal::Full);
        }
        self.set_used(used);
        self.holds.insert(id.clone(), Hold { memory, ready });
        Ok(())
    }

    fn drop_hold(&mut self, id: &RequestId) -> bool {
        let Some(hold) = self.holds.remove(id) else {
            return false;
        };
        self.used -= hold.memory;
        true
    }

    /// Makes the engine cold without a sign of it to the outside.
    pub fn chill(&mut self) {
        self.warmth.chill();
        self.cache.clear();
    }

    /// Makes the engine fully warm at once, for tests of something else.
    pub fn warm_up(&mut self) {
        self.warmth.warm_up(&self.rates);
    }

    /// Drops everything, and is down until it has started again, cold.
    pub fn collapse(&mut self, now: Time) {
        self.restart(now);
        self.down_until = self.clock + self.rates.restart;
    }

    /// Drops everything and is there again at once, cold, as the next incarnation.
    pub fn restart(&mut self, now: Time) {
        self.catch_up(now);
        let dropped = self.streams().into_iter().map(|stream| stream.id).collect();
        self.incarnation = self.incarnation.next();
        self.down_until = self.clock;
        self.holds.clear();
        self.waiting.clear();
        self.runs.clear();
        self.plan = None;
        self.used = Tokens::ZERO;
        self.chill();
        self.events.push(Event::Collapsed {
            at: now,
            dropped,
            incarnation: self.incarnation,
        });
    }

    /// All requests held: in the batch, waiting, and held memory.
    #[must_use]
    pub fn streams(&self) -> Vec<Stream> {
        let runs = self.runs.iter().map(|run| Stream {
            id: run.job.id.clone(),
            memory: run.memory,
            generated: run.generated,
        });
        let held = |id| self.holds.get(id).map_or(Tokens::ZERO, |hold| hold.memory);
        let waiting = self.waiting.values().map(|job| Stream {
            id: job.id.clone(),
            memory: held(&job.id),
            generated: 0,
        });
        let holds = self.holds.iter().filter(|(id, _)| !self.holds_job(id));
        let holds = holds.map(|(id, hold)| Stream {
            id: id.clone(),
            memory: hold.memory,
            generated: 0,
        });
        runs.chain(waiting).chain(holds).collect()
    }

    /// Prompt tokens of a request whose KV cache stands here; absent if it is not held.
    #[must_use]
    pub fn prefilled(&self, id: &RequestId) -> Option<Tokens> {
        let run = self.runs.iter().find(|run| run.job.id == *id);
        let running = run.map(|run| run.job.prompt.saturating_sub(Tokens::new(run.left)));
        running.or_else(|| self.holds.get(id).map(|hold| hold.ready))
    }

    /// How much there is to do now.
    #[must_use]
    pub fn load(&self) -> Load {
        let running = self.runs.iter().map(|run| run.left).sum::<u64>();
        let waiting = self.waiting.values().map(|job| job.prompt.get());
        Load {
            incarnation: self.incarnation,
            running: self.runs.len() as u32,
            waiting: self.waiting.len() as u32,
            memory_used: self.used,
            memory_total: self.rates.memory,
            prefill_left: Tokens::new(running + waiting.sum::<u64>()),
            cached: self.cache.size(),
        }
    }

    /// Its constants.
    #[must_use]
    pub fn rates(&self) -> &Rates {
        &self.rates
    }

    /// Its present life.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether it is still in its slow start.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.warmth.is_cold(&self.rates)
    }

    /// Streams that it bears now.
    #[must_use]
    pub fn bears(&self) -> u32 {
        self.warmth.bears(&self.rates)
    }

    /// Streams in the batch and waiting.
    #[must_use]
    pub fn held(&self) -> u32 {
        (self.runs.len() + self.waiting.len()) as u32
    }

    /// Requests that came on top of what the engine bore while it was cold.
    #[must_use]
    pub fn overload(&self) -> u64 {
        self.warmth.overload()
    }

    /// The most streams over what the engine bore at any one time while it was cold.
    #[must_use]
    pub fn peak_overload(&self) -> u32 {
        self.warmth.peak()
    }

    /// Starts to record changes of the prefix cache for [`Engine::take_changes`].
    pub fn record_changes(&mut self) {
        self.cache.keep_log();
    }

    /// The recorded changes of the prefix cache since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        self.cache.take_log()
    }

    fn set_used(&mut self, used: Tokens) {
        self.used = used;
        self.cache.shrink(self.rates.memory - used);
    }
}

/// Memory that the engine itself needs for a request.
fn own_need(job: &Job) -> Tokens {
    (job.prompt + job.output).saturating_sub(job.elsewhere)
}
