//! Which queued request may start, and when.

use std::time::Duration;

use super::{
    EXCESS_QUEUE, Event, GROUP_QUEUE, Granted, LEASE_GRACE, Limits, ORDER, ORPHAN_GRACE, Owner,
    Permit, Reason, Refusal, RunOptions, Waiting,
};
use crate::ask::Ask;
use crate::class::LengthClass;
use crate::fair::FairQueue;
use crate::id::RequestId;
use crate::ledger::Reservation;
use crate::time::Time;
use crate::units::Tokens;

/// How much granted prefill the engine has at hand beyond what it works on.
///
/// Enough that it never idles between two grants, and so little that a request
/// that comes later can still go before those that wait here.
pub const WINDOW: Duration = Duration::from_millis(150);

/// The part of streams and memory up to which excess may take them.
const LENT: f64 = 0.6;

/// The part of memory that may be taken when a long prompt beyond a share starts.
const LENT_BULK: f64 = 0.25;

impl Owner {
    /// Frees what has run out.
    pub(super) fn expire(&mut self, now: Time, events: &mut Vec<Event>) {
        while let Some(request) = self.ledger.expired(now) {
            let orphan = self.ledger.get(&request).is_some_and(|lease| lease.orphan);
            if orphan {
                self.forget(&request);
            } else {
                self.ledger.mark_orphan(&request, now + ORPHAN_GRACE);
                events.push(Event::Expired(request));
            }
        }
    }

    /// Refuses what waits and can no longer end in time.
    pub(super) fn give_up(&mut self, now: Time, events: &mut Vec<Event>) {
        while let Some((latest, request)) = self.expiries.first().cloned() {
            if latest > now {
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

    /// Grants queued requests for as long as some fit, most urgent class first.
    pub(super) fn dispatch(&mut self, now: Time, events: &mut Vec<Event>) {
        for queue in ORDER {
            while let Some(request) = self.startable(queue) {
                let Some(waiting) = self.take(&request) else {
                    break;
                };
                events.push(Event::Granted(self.grant(waiting, now)));
            }
        }
    }

    /// The head of a queue, if it fits now.
    fn startable(&self, queue: usize) -> Option<RequestId> {
        let (_, head) = self.queues[queue].first()?;
        self.fits(head).then(|| head.ask.request.clone())
    }

    /// Takes a request out of its queue to serve it.
    fn take(&mut self, request: &RequestId) -> Option<Waiting> {
        let place = self.places.remove(request)?;
        self.expiries.remove(&(place.latest, request.clone()));
        self.queues[place.class].serve(place.tag)
    }

    /// Whether a request may start now.
    pub(super) fn fits(&self, waiting: &Waiting) -> bool {
        let ask = &waiting.ask;
        let plain = matches!(self.limits, Limits::Plain(_));
        let opens =
            plain || ask.is_grouped() || self.backlog.ahead(waiting.priority()) <= self.window();
        opens && self.has_room(waiting)
    }

    /// Whether there is a stream and memory for a request.
    pub(super) fn has_room(&self, waiting: &Waiting) -> bool {
        if !self.may_join(waiting) || self.ledger.streams() >= self.stream_limit() {
            return false;
        }
        if waiting.ask.excess && !self.has_slack(waiting) {
            return false;
        }
        matches!(self.limits, Limits::Plain(_)) || self.has_memory(waiting)
    }

    /// Whether enough is idle to lend some to a customer that is over its share.
    fn has_slack(&self, waiting: &Waiting) -> bool {
        let streams = f64::from(self.stream_limit()) * LENT;
        let total = self.ledger.total().get() as f64;
        let used = self.ledger.used().get() as f64;
        // What is within a share and waits is owed whatever comes free.
        let waits = self.queues[..EXCESS_QUEUE]
            .iter()
            .any(|queue| !queue.is_empty());
        if waits || f64::from(self.ledger.streams()) >= streams {
            return false;
        }
        if waiting.ask.class().is_bulky() {
            return used < total * LENT_BULK;
        }
        used + (waiting.ask.memory().get() as f64) < total * LENT
    }

    /// Whether there is memory for a request, with what others are owed kept back.
    fn has_memory(&self, waiting: &Waiting) -> bool {
        let class = waiting.ask.class();
        let need = waiting.ask.memory();
        let free = self.ledger.free();
        if class.is_bulky() {
            let rest = self.ledger.total().saturating_sub(self.floor());
            return need <= free && (self.bulk + need <= rest || self.bulk == Tokens::ZERO);
        }
        if need > free {
            return false;
        }
        // A long prompt that waits is owed memory, down to the floor of the short ones.
        let others = self.ordinary() + need;
        let floor = self
            .ledger
            .total()
            .saturating_sub(self.memory_cap(LengthClass::Huge));
        let owed = self.owed();
        others <= floor || need + owed <= free
    }

    /// The memory that the first long prompt in the queues needs.
    fn owed(&self) -> Tokens {
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

    /// The granted prefill that the engine may have at hand.
    fn window(&self) -> Tokens {
        let rate = self.pace.as_ref().map_or(0.0, |pace| pace.rate().get());
        Tokens::new((rate * WINDOW.as_secs_f64()) as u64)
    }

    /// When the window opens for a queued request, if that is what it waits for.
    pub(super) fn next_start(&self) -> Option<Time> {
        let pace = self.pace.as_ref()?;
        let window = self.window();
        let heads = self.queues.iter().filter_map(FairQueue::first);
        let starts = heads.filter_map(|(_, head)| {
            let ahead = self.backlog.ahead(head.priority());
            let over = ahead.saturating_sub(window);
            let wait = pace.prefill_time(over + Tokens::new(1));
            (over > Tokens::ZERO).then(|| self.backlog.clock() + wait)
        });
        starts.min()
    }

    /// Reserves what a request needs and writes its permit.
    pub(super) fn grant(&mut self, waiting: Waiting, now: Time) -> Permit {
        let priority = waiting.priority();
        let Waiting { ask, holder, terms } = waiting;
        let class = ask.class();
        let work = self.work_of(&ask);
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
            self.bulk += memory;
        } else if ask.excess {
            self.lent += memory;
        }
        if terms.isolated {
            self.lone = Some(ask.request.clone());
        }
        self.note_grant(&ask, terms, priority, (ahead, work), now);
        Permit {
            priority,
            memory,
            cached: ask.prompt.saturating_sub(work),
            incarnation: self.incarnation,
            expires,
            request: ask.request,
        }
    }

    fn note_grant(
        &mut self,
        ask: &Ask,
        terms: RunOptions,
        priority: u8,
        (ahead, work): (Tokens, Tokens),
        now: Time,
    ) {
        let class = ask.class();
        let index = usize::from(priority);
        self.grants[index] += 1;
        let expected = match &self.pace {
            Some(pace) => pace.prefill_time(ahead + work) + pace.step_time(),
            None => Duration::ZERO,
        };
        let granted = Granted {
            since: now,
            expected,
            urgent: self.grants[..index].iter().sum(),
            class,
            excess: ask.excess,
            priority,
            prefix: ask.prefix.clone(),
            terms,
            slowness: None,
        };
        self.granted.insert(ask.request.clone(), granted);
        if self.pace.is_some() && work > Tokens::ZERO {
            self.backlog.push(ask.request.clone(), priority, work);
        }
    }
}
