//! What an owner expects: work ahead, first token, finish.

use std::time::Duration;

use super::{APART_QUEUE, GROUP_QUEUE, Limits, Owner, QUEUE_LIMIT, Reason, Refusal, Waiting};
use crate::ask::Ask;
use crate::class::{CLASS_COUNT, LengthClass};
use crate::fair::FairQueue;
use crate::pace::Pace;
use crate::time::Time;
use crate::units::Tokens;

/// The share of an engine's memory that one long prompt leaves to the others.
pub const SHORT_PROMPT_RESERVE: f64 = 0.4;

/// Bounds of what long prompts together leave to the others, as shares of the memory.
const FLOORS: [f64; 2] = [0.1, 0.6];

/// How much more than the others use of late is left to them.
const FLOOR_MARGIN: f64 = 3.0;

/// The time over which the others' use is averaged, in seconds.
const FLOOR_WINDOW: f64 = 15.0;

/// The least part of an engine's prefill that excess is taken to get.
const LEAST_REST: f64 = 0.05;

/// What waiting for memory or a stream is taken to cost.
const ROOM_TIME: Duration = Duration::from_secs(1);

/// The least time after which a refused caller is told to come back.
const RETRY_FLOOR: Duration = Duration::from_millis(250);

/// The most memory that one long prompt gets on one engine; a group takes longer ones.
#[must_use]
pub fn single_prompt_limit(memory: Tokens) -> Tokens {
    Tokens::new((memory.get() as f64 * (1.0 - SHORT_PROMPT_RESERVE)) as u64)
}

impl Owner {
    /// Prefill tokens still to do for a request after what is cached.
    pub(super) fn work_of(&self, ask: &Ask) -> Tokens {
        if !ask.prefills() {
            return Tokens::ZERO;
        }
        let cached = self.known.cached_tokens(&ask.prefix);
        let work = ask.prompt.saturating_sub(cached);
        work.max(Tokens::new(1))
    }

    /// What a request counts for between customers.
    pub(super) fn cost_of(&self, ask: &Ask) -> u64 {
        match self.limits {
            Limits::Engine(_) => self.work_of(ask).get(),
            Limits::Plain(_) => 1,
        }
    }

    /// Notes the work of an ask that lies within its customer's share.
    pub(super) fn note_regular(&mut self, ask: &Ask, now: Time) {
        if !ask.excess {
            let work = self.work_of(ask);
            self.regular.add(work.get() as f64, now);
        }
    }

    /// Work that goes before a new prompt of this priority and queue: granted and queued.
    pub(super) fn ahead(&self, priority: u8, queue: usize) -> Tokens {
        let queues = &self.queues[..=queue.min(CLASS_COUNT - 1)];
        let waiting = queues.iter().map(FairQueue::total_cost).sum::<u64>();
        self.backlog.ahead(priority) + Tokens::new(waiting)
    }

    /// Work that goes before this request, given its customer's share.
    fn ahead_of(&self, waiting: &Waiting) -> Tokens {
        let queue = waiting.queue();
        if queue == APART_QUEUE {
            return Tokens::new(self.queues[APART_QUEUE].total_cost());
        }
        let urgent = &self.queues[..queue.min(CLASS_COUNT)];
        let urgent = urgent.iter().map(FairQueue::total_cost).sum::<u64>();
        let own = self.queues[queue].cost_ahead_of(&waiting.ask.customer);
        self.backlog.ahead(waiting.priority()) + Tokens::new(urgent + own)
    }

    /// How many requests of this class and those more urgent wait already.
    pub(super) fn queue_ahead(&self, waiting: &Waiting) -> usize {
        if waiting.terms.isolated {
            return self.queues[APART_QUEUE].len();
        }
        if waiting.queue() == GROUP_QUEUE {
            return self.queues[GROUP_QUEUE].len();
        }
        let queue = waiting.queue();
        let urgent = &self.queues[..queue.min(CLASS_COUNT)];
        urgent.iter().map(FairQueue::len).sum::<usize>() + self.queues[queue].len()
    }

    /// Memory that long prompts together leave to the others.
    pub(super) fn floor(&self) -> Tokens {
        let total = self.ledger.total().get() as f64;
        let wanted = self.others * FLOOR_MARGIN;
        Tokens::new(wanted.clamp(total * FLOORS[0], total * FLOORS[1]) as u64)
    }

    /// Memory held by prompts that are neither long nor beyond a share.
    pub(super) fn ordinary(&self) -> Tokens {
        let others = self.ledger.used().saturating_sub(self.bulk);
        others.saturating_sub(self.lent)
    }

    /// Averages what others than long prompts use.
    pub(super) fn average(&mut self, now: Time) {
        let gone = now.since(self.averaged).as_secs_f64() / FLOOR_WINDOW;
        self.averaged = self.averaged.max(now);
        let used = self.ordinary().get() as f64;
        self.others = used + (self.others - used) * (-gone).exp();
    }

    /// Memory that one request may have at most here.
    pub(super) fn memory_cap(&self, class: LengthClass) -> Tokens {
        let total = self.ledger.total();
        if class.is_bulky() {
            return single_prompt_limit(total);
        }
        total
    }

    /// Whether a request needs more memory than it may ever have here.
    ///
    /// The whole engine counts, though this owner may have half of it for now:
    /// what waits until then is not too large.
    fn never_fits(&self, ask: &Ask) -> bool {
        let Limits::Engine(engine) = &self.limits else {
            return false;
        };
        let most = if ask.class().is_bulky() {
            single_prompt_limit(engine.memory)
        } else {
            engine.memory
        };
        ask.memory() > most
    }

    /// Why a request is refused at once, if it is.
    pub(super) fn objection(&self, waiting: &Waiting, now: Time) -> Option<Refusal> {
        let ask = &waiting.ask;
        let refuse = |reason, after: Duration| {
            Some(Refusal {
                reason,
                after: after.max(RETRY_FLOOR),
            })
        };
        if self.drained {
            return refuse(Reason::Drained, Duration::ZERO);
        }
        if self.places.contains_key(&ask.request) || self.ledger.get(&ask.request).is_some() {
            return refuse(Reason::Duplicate, Duration::ZERO);
        }
        if self.places.len() >= QUEUE_LIMIT {
            return refuse(Reason::QueueFull, self.drain_time());
        }
        if self.never_fits(ask) {
            return refuse(Reason::TooLarge, Duration::ZERO);
        }
        if ask.is_grouped() {
            return None;
        }
        let late = self.lateness(waiting, now);
        if late > Duration::ZERO {
            return refuse(Reason::Deadline, late);
        }
        None
    }

    /// A refusal if the first token would come later than the asker's patience.
    pub(super) fn impatience(&self, waiting: &Waiting, now: Time) -> Option<Refusal> {
        let patience = waiting.ask.patience?;
        let after = self.first_token(waiting, now);
        (after > patience).then_some(Refusal {
            reason: Reason::Busy,
            after,
        })
    }

    /// How long until the first token of a request that comes now.
    fn first_token(&self, waiting: &Waiting, now: Time) -> Duration {
        let Some(pace) = &self.pace else {
            return self.plain_wait();
        };
        let prefill = self.prefill_of(waiting, pace, now);
        if self.has_room(waiting) {
            return prefill;
        }
        prefill + ROOM_TIME
    }

    /// By how much the predicted finish passes the deadline.
    fn lateness(&self, waiting: &Waiting, now: Time) -> Duration {
        let ask = &waiting.ask;
        let Some(pace) = &self.pace else {
            return (now + self.plain_wait()).since(ask.deadline);
        };
        let finish = now + self.prefill_of(waiting, pace, now) + pace.decode_time(ask.output);
        finish.since(ask.deadline)
    }

    /// How long until a request that comes now is prefilled, queues included.
    fn prefill_of(&self, waiting: &Waiting, pace: &Pace, now: Time) -> Duration {
        let work = self.ahead_of(waiting) + self.work_of(&waiting.ask);
        let all = pace.prefill_time(work);
        if !waiting.ask.excess {
            return all;
        }
        // Excess gets only what the shares leave.
        let rest = 1.0 - self.regular.at(now) / pace.rate().get().max(1.0);
        all.div_f64(rest.clamp(LEAST_REST, 1.0))
    }

    /// When a queued request must start to end in time.
    pub(super) fn latest_start(&self, ask: &Ask) -> Time {
        let Some(pace) = &self.pace else {
            return ask.deadline;
        };
        ask.deadline - pace.prefill_time(self.work_of(ask)) - pace.decode_time(ask.output)
    }

    /// How long a call to a plain upstream is expected to wait.
    fn plain_wait(&self) -> Duration {
        let Some(adaptive) = &self.adaptive else {
            return Duration::ZERO;
        };
        let rounds = self.places.len() as f64 / f64::from(self.stream_limit().max(1));
        adaptive.mean_latency().mul_f64(rounds + 1.0)
    }

    /// How long the queue takes to drain.
    pub(super) fn drain_time(&self) -> Duration {
        let all = self.ahead(LengthClass::Huge.priority(), CLASS_COUNT - 1);
        let prefill = self.pace.as_ref().map(|pace| pace.prefill_time(all));
        prefill.unwrap_or_else(|| self.plain_wait())
    }
}
