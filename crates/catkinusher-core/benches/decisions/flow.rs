//! The way of one request through nodes, owners and engines.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::admission::{CustomerLimits, RequestSize, ShareStatus};
use catkinusher_core::ask::Role;
use catkinusher_core::group::Group;
use catkinusher_core::id::RequestId;
use catkinusher_core::owner::{self, Outcome, Reason, Refusal, Reply, Report};
use catkinusher_core::route::Policy;
use catkinusher_core::units::Tokens;
use catkinusher_fakes::batch::Job;

use crate::measure::End;
use crate::world::{Event, Gate, World};

/// How often a node sums up what its upstreams can do.
const SUM_PERIOD: Duration = Duration::from_secs(1);

/// How often a request is tried.
pub(crate) const TRIES: u32 = 3;

pub(crate) fn index_of(id: &RequestId) -> usize {
    id.as_str()[1..].parse().expect("our own name")
}

impl<P> World<P>
where
    P: Policy + Clone,
{
    pub(crate) fn on_arrive(&mut self, index: usize) {
        self.at(self.requests[index].deadline, Event::Deadline(index));
        if self.setup.gate == Gate::Owner && !self.admit(index) {
            self.end(index, End::Refused);
            return;
        }
        let needs = self.requests[index].prompt + self.requests[index].output;
        if self.setup.gate == Gate::Owner && needs > self.single_limit() {
            self.begin_group(index);
        } else {
            self.route(index);
        }
    }

    pub(crate) fn admit(&mut self, index: usize) -> bool {
        let request = &self.requests[index];
        let terms = CustomerLimits {
            weight: self.weights[request.customer],
            limit: None,
            nodes: self.case.routers as u32,
        };
        let router = &mut self.routers[request.router];
        let (capacity, summed) = &mut router.capacity;
        if summed.is_none_or(|at| self.now.since(at) > SUM_PERIOD) {
            *summed = Some(self.now);
            *capacity = router.view.capacity();
        }
        let size = RequestSize {
            prompt: request.prompt,
            output: request.output,
        };
        let customer = &self.customers[request.customer];
        let verdict = router
            .admission
            .admit(customer, terms, size, *capacity, self.now);
        self.states[index].excess = verdict == Ok(ShareStatus::Exceeded);
        self.stats.seen[index].excess = self.states[index].excess;
        verdict.is_ok()
    }

    /// Chooses an upstream and sends the request there, or asks its owner.
    pub(crate) fn route(&mut self, index: usize) {
        let ask = self.ask(index, Role::Whole);
        let router = &mut self.routers[self.requests[index].router];
        if self.setup.split {
            router.shares.on_request(ask.class(), ask.prompt, self.now);
            let count = router
                .shares
                .bulk_upstreams(router.view.open_count(), self.now);
            router.view.set_bulk_count(count);
        }
        let choice = router
            .policy
            .choose(&ask, &router.view, &mut router.rng, self.now);
        let Some(choice) = choice else {
            self.end(index, End::Refused);
            return;
        };
        self.stats.note_choice(choice.examined);
        let place = self.places[&choice.upstream];
        self.states[index].second = choice.second.map(|name| self.places[&name]);
        self.states[index].patience = choice.patience;
        self.send(index, place);
    }

    pub(crate) fn send(&mut self, index: usize, place: usize) {
        let ask = self.ask(index, Role::Whole);
        let number = self.requests[index].router;
        self.routers[number]
            .view
            .on_sent(&self.names[place], &ask, self.now);
        self.states[index].upstream = Some(place);
        let way = self.way(number, place);
        let event = match self.setup.gate {
            Gate::Owner => Event::Ask(index, place, Role::Whole),
            Gate::Direct => {
                let priority = if self.setup.priority {
                    ask.class().index() as u8
                } else {
                    0
                };
                Event::Submit(index, place, priority)
            }
        };
        self.after(way, event);
    }

    pub(crate) fn on_ask(&mut self, index: usize, place: usize, role: Role) {
        if self.states[index].over {
            return;
        }
        let mut ask = self.ask(index, role);
        ask.patience = self.states[index].patience;
        let number = self.requests[index].router;
        let vm = self.routers[number].vm.clone();
        let back = self.way(number, place);
        match self.owners[place].acquire(ask, vm, self.now) {
            Reply::Granted(permit) => {
                self.after(back, Event::Answer(index, place, Ok(permit.priority)));
            }
            Reply::Queued => {}
            Reply::Refused(refusal) => {
                self.stats.note_refusal(refusal.reason);
                self.after(back, Event::Answer(index, place, Err(refusal)));
            }
        }
        self.poll(place);
    }

    /// Lets an owner act, and arms its next wake.
    pub(crate) fn poll(&mut self, place: usize) {
        for event in self.owners[place].poll(self.now) {
            match event {
                owner::Event::Granted(permit) => {
                    let index = index_of(&permit.request);
                    let back = self.way(self.requests[index].router, place);
                    self.after(back, Event::Answer(index, place, Ok(permit.priority)));
                }
                owner::Event::Refused(request, refusal) => {
                    let index = index_of(&request);
                    self.stats.note_refusal(refusal.reason);
                    let back = self.way(self.requests[index].router, place);
                    self.after(back, Event::Answer(index, place, Err(refusal)));
                }
                owner::Event::Expired(request) => {
                    self.engines[place].cancel(&request, self.now);
                    self.wake_engine(place);
                }
            }
        }
        if let Some(wake) = self.owners[place].next_wake() {
            let wake = wake.max(self.now + Duration::from_micros(1));
            if wake < self.polls[place] {
                self.polls[place] = wake;
                self.at(wake, Event::Poll(place));
            }
        }
    }

    pub(crate) fn on_answer(&mut self, index: usize, place: usize, granted: Result<u8, Refusal>) {
        if self.states[index].over {
            if granted.is_ok() {
                self.release(index, place, Report::new(Outcome::Cancelled));
            }
            return;
        }
        let way = self.way(self.requests[index].router, place);
        let grouped = self.states[index].group.is_some();
        match granted {
            Ok(_) if grouped => self.after(way, Event::Hold(index, place)),
            Ok(priority) => self.after(way, Event::Submit(index, place, priority)),
            Err(_) if grouped => self.lose_member(index, place),
            Err(refusal) if refusal.reason == Reason::Busy => {
                self.on_busy(index, place, refusal.after);
            }
            Err(_) => self.refused(index),
        }
    }

    /// The first choice is busier than was thought: the second is asked, and
    /// the better of the two if both are busy.
    pub(crate) fn on_busy(&mut self, index: usize, place: usize, ready: Duration) {
        self.leave_view(index);
        let state = &mut self.states[index];
        match (state.busy, state.second) {
            (None, Some(second)) => {
                state.busy = Some((place, ready));
                state.patience = Some(ready);
                self.send(index, second);
            }
            (Some((first, _)), _) => {
                state.patience = None;
                state.second = Some(place);
                self.send(index, first);
            }
            (None, None) => self.refused(index),
        }
    }

    /// An owner refused: the second choice is asked, then the caller is refused.
    pub(crate) fn refused(&mut self, index: usize) {
        self.leave_view(index);
        match self.states[index].second.take() {
            Some(place) => {
                self.states[index].patience = None;
                self.send(index, place);
            }
            None => self.end(index, End::Refused),
        }
    }

    pub(crate) fn on_submit(&mut self, index: usize, place: usize, priority: u8) {
        if self.states[index].over {
            return;
        }
        let request = &self.requests[index];
        let group = self.states[index].group.as_ref();
        let job = Job {
            id: self.ids[index].clone(),
            prompt: request.prompt,
            blocks: Arc::clone(&request.blocks),
            output: request.output,
            priority,
            elsewhere: group.map_or(Tokens::ZERO, Group::memory_outside_lead),
        };
        self.states[index].sent = self.now;
        let taken = self.engines[place].submit(job, self.now);
        self.wake_engine(place);
        if taken.is_err() {
            self.stats.rejected += 1;
            self.rejected(index, place);
        }
    }

    /// The engine took nothing on; it is tried elsewhere.
    pub(crate) fn rejected(&mut self, index: usize, place: usize) {
        self.release(index, place, Report::new(Outcome::Refused));
        if self.states[index].group.is_some() {
            self.lose_member(index, place);
            return;
        }
        self.leave_view(index);
        self.states[index].tries += 1;
        if self.states[index].tries < TRIES {
            self.route(index);
        } else {
            self.end(index, End::Refused);
        }
    }

    pub(crate) fn finish_request(&mut self, index: usize, place: usize, report: Report, end: End) {
        if self.states[index].group.is_some() {
            self.end_group(index);
        } else {
            self.release(index, place, report);
        }
        self.leave_view(index);
        self.end(index, end);
    }

    pub(crate) fn release(&mut self, index: usize, place: usize, report: Report) {
        if self.setup.gate == Gate::Owner {
            let way = self.way(self.requests[index].router, place);
            self.after(way * 2, Event::Release(index, place, Rc::new(report)));
        }
    }

    pub(crate) fn leave_view(&mut self, index: usize) {
        if let Some(place) = self.states[index].upstream.take() {
            let router = &mut self.routers[self.requests[index].router];
            router.view.on_ended(&self.names[place]);
        }
    }

    pub(crate) fn end(&mut self, index: usize, end: End) {
        if std::mem::replace(&mut self.states[index].over, true) {
            return;
        }
        self.open -= 1;
        let request = &self.requests[index];
        let customer = &self.customers[request.customer];
        self.routers[request.router].admission.on_ended(customer);
        self.stats.note_end(index, request, end, self.now);
    }

    pub(crate) fn on_deadline(&mut self, index: usize) {
        if self.states[index].over {
            return;
        }
        if self.states[index].group.is_some() {
            self.end_group(index);
        } else if let Some(place) = self.states[index].upstream {
            self.engines[place].cancel(&self.ids[index], self.now);
            self.wake_engine(place);
            if self.setup.gate == Gate::Owner {
                self.owners[place].cancel(&self.ids[index], self.now);
                self.poll(place);
            }
        }
        self.leave_view(index);
        self.end(index, End::Late);
    }
}
