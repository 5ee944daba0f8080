//! Which queued requests may start, and when.

use std::time::Duration;

use super::{
    DISPATCH_ORDER, EXCESS_QUEUE, Event, GROUP_QUEUE, GrantedRequest, LEASE_GRACE, Limits,
    ORPHAN_GRACE, Owner, Permit, QueuedRequest, Reason, Refusal, RunOptions,
};
use crate::ask::Ask;
use crate::class::LengthClass;
use crate::fair::FairQueue;
use crate::id::RequestId;
use crate::ledger::Reservation;
use crate::time::Time;
use crate::units::Tokens;

/// How much granted prefill work may be pending at the engine.
///
/// Long enough that the engine never idles between two grants, and short enough
/// that a later request can still overtake those queued here.
pub const PREFILL_WINDOW: Duration = Duration::from_millis(150);

/// The share of streams and memory up to which excess requests may use them.
const EXCESS_SHARE: f64 = 0.6;

/// The share of memory that may be in use when a long excess prompt starts.
const EXCESS_BULK_SHARE: f64 = 0.25;

impl Owner {
    /// Turns expired leases into orphans, and frees expired orphans.
    pub(super) fn expire(&mut self, now: Time, events: &mut Vec<Event>) {
        while let Some(request) = self.ledger.expired(now) {
            let orphan = self.ledger.get(&request).is_some_and(|lease| lease.orphan);
            if orphan {
                self.remove_request(&request);
            } else {
                self.ledger.mark_orphan(&request, now + ORPHAN_GRACE);
                events.push(Event::Expired(request));
            }
        }
    }

    /// Refuses queued requests that can no longer meet their deadlines.
    pub(super) fn refuse_overdue(&mut self, now: Time, events: &mut Vec<Event>) {
        while let Some((latest_start, request)) = self.start_deadlines.first().cloned() {
            if latest_start > now {
                return;
            }
            self.dequeue(&request);
            let refusal = Refusal {
                reason: Reason::Deadline,
                after: self.drain_time(),
            };
            events.push(Event::Refused(request, refusal));
        }
    }

    /// Grants queued requests as long as some may start, most urgent queue first.
    pub(super) fn dispatch(&mut self, now: Time, events: &mut Vec<Event>) {
        for queue in DISPATCH_ORDER {
            while let Some(request) = self.startable_head(queue) {
                let Some(waiting) = self.take_to_serve(&request) else {
                    break;
                };
                events.push(Event::Granted(self.grant(waiting, now)));
            }
        }
    }

    /// The head of a queue, if it may start now.
    fn startable_head(&self, queue: usize) -> Option<RequestId> {
        let (_, head) = self.queues[queue].first()?;
        self.can_start(head).then(|| head.ask.request.clone())
    }

    /// Removes a request from its queue to serve it.
    fn take_to_serve(&mut self, request: &RequestId) -> Option<QueuedRequest> {
        let position = self.positions.remove(request)?;
        self.start_deadlines
            .remove(&(position.latest_start, request.clone()));
        self.queues[position.queue].serve(position.tag)
    }

    /// Whether a request may start now.
    pub(super) fn can_start(&self, waiting: &QueuedRequest) -> bool {
        let ask = &waiting.ask;
        let plain = matches!(self.limits, Limits::Plain(_));
        let opens = plain
            || ask.is_grouped()
            || self.backlog.ahead(waiting.priority()) <= self.prefill_window();
        opens && self.has_room(waiting)
    }

    /// Whether a stream and enough memory are available for a request.
    pub(super) fn has_room(&self, waiting: &QueuedRequest) -> bool {
        if !self.may_run_alongside(waiting) || self.ledger.streams() >= self.stream_limit() {
            return false;
        }
        if waiting.ask.excess && !self.has_idle_capacity(waiting) {
            return false;
        }
        matches!(self.limits, Limits::Plain(_)) || self.has_memory(waiting)
    }

    /// Whether enough capacity is idle for a request beyond its customer's share.
    fn has_idle_capacity(&self, waiting: &QueuedRequest) -> bool {
        let streams = f64::from(self.stream_limit()) * EXCESS_SHARE;
        let total = self.ledger.total().get() as f64;
        let used = self.ledger.used().get() as f64;
        // Freed capacity belongs to queued requests within their customers' shares first.
        let waits = self.queues[..EXCESS_QUEUE]
            .iter()
            .any(|queue| !queue.is_empty());
        if waits || f64::from(self.ledger.streams()) >= streams {
            return false;
        }
        if waiting.ask.class().is_bulky() {
            return used < total * EXCESS_BULK_SHARE;
        }
        used + (waiting.ask.memory().get() as f64) < total * EXCESS_SHARE
    }

    /// Whether enough memory is free for a request beyond what is kept free for others.
    fn has_memory(&self, waiting: &QueuedRequest) -> bool {
        let class = waiting.ask.class();
        let need = waiting.ask.memory();
        let free = self.ledger.free();
        if class.is_bulky() {
            let rest = self
                .ledger
                .total()
                .saturating_sub(self.short_prompt_reserve());
            return need <= free
                && (self.bulk_memory + need <= rest || self.bulk_memory == Tokens::ZERO);
        }
        if need > free {
            return false;
        }
        // Memory is kept free for a queued long prompt, but not from the short prompts' reserve.
        let others = self.ordinary_memory() + need;
        let reserve = self
            .ledger
            .total()
            .saturating_sub(self.max_request_memory(LengthClass::Huge));
        let owed = self.memory_owed_to_bulk();
        others <= reserve || need + owed <= free
    }

    /// The memory to keep free for long prompts: the largest need at the head of their queues.
    fn memory_owed_to_bulk(&self) -> Tokens {
        let bulky = [
            GROUP_QUEUE,
            LengthClass::Long.index(),
            LengthClass::Huge.index(),
        ];
        let heads = bulky
            .into_iter()
            .filter_map(|queue| self.queues[queue].first());
        let needs = heads.map(|(_, head)| head.ask.memory());
        needs.max().unwrap_or_default()
    }

    /// The granted prefill that may be pending at the engine, in tokens.
    fn prefill_window(&self) -> Tokens {
        let rate = self.pace.as_ref().map_or(0.0, |pace| pace.rate().get());
        Tokens::new((rate * PREFILL_WINDOW.as_secs_f64()) as u64)
    }

    /// When the prefill window next opens for a queued request that waits for it.
    pub(super) fn next_window_opening(&self) -> Option<Time> {
        let pace = self.pace.as_ref()?;
        let window = self.prefill_window();
        let heads = self.queues.iter().filter_map(FairQueue::first);
        let starts = heads.filter_map(|(_, head)| {
            let ahead = self.backlog.ahead(head.priority());
            let over = ahead.saturating_sub(window);
            let wait = pace.prefill_time(over + Tokens::new(1));
            (over > Tokens::ZERO).then(|| self.backlog.clock() + wait)
        });
        starts.min()
    }

    /// Reserves the resources of a request and creates its permit.
    pub(super) fn grant(&mut self, waiting: QueuedRequest, now: Time) -> Permit {
        let priority = waiting.priority();
        let QueuedRequest {
            ask,
            holder,
            options,
        } = waiting;
        let class = ask.class();
        let work = self.prefill_work(&ask);
        let ahead = self.backlog.ahead(priority);
        let memory = match self.limits {
            Limits::Engine(_) => ask.memory(),
            Limits::Plain(_) => Tokens::ZERO,
        };
        let expires = ask.deadline + LEASE_GRACE;
        let lease = Reservation {
            holder,
            memory,
            expires,
            since: now,
            orphan: false,
        };
        let reserved = self.ledger.reserve(ask.request.clone(), lease);
        debug_assert!(reserved, "a request is granted only if it fits");
        if class.is_bulky() {
            self.bulk_memory += memory;
        } else if ask.excess {
            self.excess_memory += memory;
        }
        if options.isolated {
            self.isolated_request = Some(ask.request.clone());
        }
        self.record_grant(&ask, options, priority, (ahead, work), now);
        Permit {
            priority,
            memory,
            cached: ask.prompt.saturating_sub(work),
            incarnation: self.incarnation,
            expires,
            request: ask.request,
        }
    }

    fn record_grant(
        &mut self,
        ask: &Ask,
        options: RunOptions,
        priority: u8,
        (ahead, work): (Tokens, Tokens),
        now: Time,
    ) {
        let class = ask.class();
        let index = usize::from(priority);
        self.grants_by_priority[index] += 1;
        let expected = match &self.pace {
            Some(pace) => pace.prefill_time(ahead + work) + pace.step_time(),
            None => Duration::ZERO,
        };
        let granted = GrantedRequest {
            since: now,
            expected,
            urgent_grants: self.grants_by_priority[..index].iter().sum(),
            class,
            excess: ask.excess,
            priority,
            prefix: ask.prefix.clone(),
            options,
            slowness: None,
        };
        self.granted.insert(ask.request.clone(), granted);
        if self.pace.is_some() && work > Tokens::ZERO {
            self.backlog.push(ask.request.clone(), priority, work);
        }
    }
}
