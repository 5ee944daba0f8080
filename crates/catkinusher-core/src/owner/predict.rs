//! Predictions of an owner: work ahead, first token and finish.

use std::time::Duration;

use super::{
    GROUP_QUEUE, ISOLATED_QUEUE, Limits, Owner, QUEUE_LIMIT, QueuedRequest, Reason, Refusal,
};
use crate::ask::Ask;
use crate::class::{CLASS_COUNT, LengthClass};
use crate::fair::FairQueue;
use crate::pace::Pace;
use crate::time::Time;
use crate::units::Tokens;

/// The share of an engine's memory that a single long prompt must leave to other prompts.
pub const SHORT_PROMPT_RESERVE: f64 = 0.4;

/// Bounds of the reserve that all long prompts together leave to others, as shares of the memory.
const RESERVE_BOUNDS: [f64; 2] = [0.1, 0.6];

/// The reserve as a multiple of the memory that others have used recently.
const RESERVE_MARGIN: f64 = 3.0;

/// The time constant of the average of others' memory use, in seconds.
const RESERVE_WINDOW: f64 = 15.0;

/// The minimum share of an engine's prefill rate that excess requests are assumed to get.
const MIN_EXCESS_RATE: f64 = 0.05;

/// The assumed delay of waiting for memory or a stream.
const CAPACITY_WAIT: Duration = Duration::from_secs(1);

/// The minimum retry delay given to a refused caller.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(250);

/// The maximum memory of one long prompt on one engine; longer ones need a group.
#[must_use]
pub fn single_prompt_limit(memory: Tokens) -> Tokens {
    Tokens::new((memory.get() as f64 * (1.0 - SHORT_PROMPT_RESERVE)) as u64)
}

impl Owner {
    /// The prefill tokens of a request that are not cached.
    pub(super) fn prefill_work(&self, ask: &Ask) -> Tokens {
        if !ask.prefills() {
            return Tokens::ZERO;
        }
        let cached = self.cached_prefixes.cached_tokens(&ask.prefix);
        let work = ask.prompt.saturating_sub(cached);
        work.max(Tokens::new(1))
    }

    /// The cost of a request in the fair queue.
    pub(super) fn queue_cost(&self, ask: &Ask) -> u64 {
        match self.limits {
            Limits::Engine(_) => self.prefill_work(ask).get(),
            Limits::Plain(_) => 1,
        }
    }

    /// Records the work of an ask that is within its customer's share.
    pub(super) fn record_regular_demand(&mut self, ask: &Ask, now: Time) {
        if !ask.excess {
            let work = self.prefill_work(ask);
            self.regular_demand.add(work.get() as f64, now);
        }
    }

    /// The granted and queued work ahead of a new prompt of this priority and queue.
    pub(super) fn prefill_ahead(&self, priority: u8, queue: usize) -> Tokens {
        let queues = &self.queues[..=queue.min(CLASS_COUNT - 1)];
        let waiting = queues.iter().map(FairQueue::total_cost).sum::<u64>();
        self.backlog.ahead(priority) + Tokens::new(waiting)
    }

    /// The work ahead of this request, given its customer's share.
    fn prefill_ahead_of(&self, waiting: &QueuedRequest) -> Tokens {
        let queue = waiting.queue();
        if queue == ISOLATED_QUEUE {
            return Tokens::new(self.queues[ISOLATED_QUEUE].total_cost());
        }
        let urgent = &self.queues[..queue.min(CLASS_COUNT)];
        let urgent = urgent.iter().map(FairQueue::total_cost).sum::<u64>();
        let own = self.queues[queue].cost_ahead_of(&waiting.ask.customer);
        self.backlog.ahead(waiting.priority()) + Tokens::new(urgent + own)
    }

    /// The number of queued requests of the same and more urgent queues.
    pub(super) fn queued_ahead(&self, waiting: &QueuedRequest) -> usize {
        if waiting.options.isolated {
            return self.queues[ISOLATED_QUEUE].len();
        }
        if waiting.queue() == GROUP_QUEUE {
            return self.queues[GROUP_QUEUE].len();
        }
        let queue = waiting.queue();
        let urgent = &self.queues[..queue.min(CLASS_COUNT)];
        urgent.iter().map(FairQueue::len).sum::<usize>() + self.queues[queue].len()
    }

    /// The memory that all long prompts together must leave to other prompts.
    pub(super) fn short_prompt_reserve(&self) -> Tokens {
        let total = self.ledger.total().get() as f64;
        let wanted = self.mean_other_memory * RESERVE_MARGIN;
        Tokens::new(wanted.clamp(total * RESERVE_BOUNDS[0], total * RESERVE_BOUNDS[1]) as u64)
    }

    /// The memory reserved for prompts that are neither long nor beyond a share.
    pub(super) fn ordinary_memory(&self) -> Tokens {
        let others = self.ledger.used().saturating_sub(self.bulk_memory);
        others.saturating_sub(self.excess_memory)
    }

    /// Updates the moving average of the ordinary memory.
    pub(super) fn update_memory_average(&mut self, now: Time) {
        let elapsed = now.since(self.averaged_at).as_secs_f64() / RESERVE_WINDOW;
        self.averaged_at = self.averaged_at.max(now);
        let used = self.ordinary_memory().get() as f64;
        self.mean_other_memory = used + (self.mean_other_memory - used) * (-elapsed).exp();
    }

    /// The maximum memory of one request on this upstream.
    pub(super) fn max_request_memory(&self, class: LengthClass) -> Tokens {
        let total = self.ledger.total();
        if class.is_bulky() {
            return single_prompt_limit(total);
        }
        total
    }

    /// Whether a request needs more memory than it can ever get on this upstream.
    ///
    /// The limit is that of the whole engine, even while this owner holds half
    /// of it: a request that can wait for the full share is not too large.
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

    /// The refusal of a request that cannot be queued, if any.
    pub(super) fn admission_refusal(&self, waiting: &QueuedRequest, now: Time) -> Option<Refusal> {
        let ask = &waiting.ask;
        let refuse = |reason, after: Duration| {
            Some(Refusal {
                reason,
                after: after.max(MIN_RETRY_AFTER),
            })
        };
        if self.drained {
            return refuse(Reason::Drained, Duration::ZERO);
        }
        if self.positions.contains_key(&ask.request) || self.ledger.get(&ask.request).is_some() {
            return refuse(Reason::Duplicate, Duration::ZERO);
        }
        if self.positions.len() >= QUEUE_LIMIT {
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

    /// A refusal if the first token would come later than the asker accepts.
    pub(super) fn patience_refusal(&self, waiting: &QueuedRequest, now: Time) -> Option<Refusal> {
        let patience = waiting.ask.patience?;
        let after = self.first_token(waiting, now);
        (after > patience).then_some(Refusal {
            reason: Reason::Busy,
            after,
        })
    }

    /// The predicted time to first token of a request that arrives now.
    fn first_token(&self, waiting: &QueuedRequest, now: Time) -> Duration {
        let Some(pace) = &self.pace else {
            return self.plain_wait();
        };
        let prefill = self.prefill_delay(waiting, pace, now);
        if self.has_room(waiting) {
            return prefill;
        }
        prefill + CAPACITY_WAIT
    }

    /// By how much the predicted finish exceeds the deadline.
    fn lateness(&self, waiting: &QueuedRequest, now: Time) -> Duration {
        let ask = &waiting.ask;
        let Some(pace) = &self.pace else {
            return (now + self.plain_wait()).since(ask.deadline);
        };
        let finish = now + self.prefill_delay(waiting, pace, now) + pace.decode_time(ask.output);
        finish.since(ask.deadline)
    }

    /// The predicted time to prefill a request that arrives now, queueing included.
    fn prefill_delay(&self, waiting: &QueuedRequest, pace: &Pace, now: Time) -> Duration {
        let work = self.prefill_ahead_of(waiting) + self.prefill_work(&waiting.ask);
        let all = pace.prefill_time(work);
        if !waiting.ask.excess {
            return all;
        }
        // Excess requests get only the rate that demand within shares leaves over.
        let rest = 1.0 - self.regular_demand.at(now) / pace.rate().get().max(1.0);
        all.div_f64(rest.clamp(MIN_EXCESS_RATE, 1.0))
    }

    /// The latest start at which a queued request still meets its deadline.
    pub(super) fn latest_start(&self, ask: &Ask) -> Time {
        let Some(pace) = &self.pace else {
            return ask.deadline;
        };
        ask.deadline - pace.prefill_time(self.prefill_work(ask)) - pace.decode_time(ask.output)
    }

    /// The expected duration of a new call to a plain upstream, queueing included.
    fn plain_wait(&self) -> Duration {
        let Some(adaptive) = &self.adaptive else {
            return Duration::ZERO;
        };
        let rounds = self.positions.len() as f64 / f64::from(self.stream_limit().max(1));
        adaptive.mean_latency().mul_f64(rounds + 1.0)
    }

    /// The predicted time until the queue has drained.
    pub(super) fn drain_time(&self) -> Duration {
        let all = self.prefill_ahead(LengthClass::Huge.priority(), CLASS_COUNT - 1);
        let prefill = self.pace.as_ref().map(|pace| pace.prefill_time(all));
        prefill.unwrap_or_else(|| self.plain_wait())
    }
}
