//! Prompts above one engine's memory, on groups of engines.

use catkinusher_core::ask::Role;
use catkinusher_core::group::{Group, Offer, Step};
use catkinusher_core::owner::{Outcome, Report};
use catkinusher_core::route::{Policy, Pool};
use catkinusher_core::units::Tokens;

use crate::flow::TRIES;
use crate::measure::End;
use crate::world::{Event, World};

impl<P> World<P>
where
    P: Policy + Clone,
{
    pub(crate) fn begin_group(&mut self, index: usize) {
        let need = self.requests[index].prompt + self.requests[index].output;
        let memory = self.case.limits.memory;
        let view = &self.routers[self.requests[index].router].view;
        let offers = view
            .members(Pool::Bulk)
            .map(|seen| Offer::new(seen.upstream().clone(), seen.digest().free, memory));
        let Some(group) = Group::plan(self.ids[index].clone(), need, offers.collect()) else {
            self.end(index, End::Refused);
            return;
        };
        let steps = group.start();
        self.states[index].group = Some(group);
        self.group_steps(index, steps);
    }

    pub(crate) fn group_steps(&mut self, index: usize, steps: Vec<Step>) {
        let number = self.requests[index].router;
        for step in steps {
            match step {
                Step::Reserve(member) => {
                    let place = self.places[&member.upstream];
                    let group = self.states[index].group.as_ref();
                    let leads = group.is_some_and(|group| *group.lead() == member.upstream);
                    let role = if leads {
                        Role::Lead(member.memory)
                    } else {
                        Role::Member(member.memory)
                    };
                    self.after(self.way(number, place), Event::Ask(index, place, role));
                }
                Step::Run { lead, .. } => {
                    let place = self.places[&lead];
                    let priority = self.requests[index].class().index() as u8;
                    self.after(
                        self.way(number, place),
                        Event::Submit(index, place, priority),
                    );
                }
                Step::Free(upstream) => self.free_member(index, self.places[&upstream]),
                Step::Failed => self.retry_group(index),
            }
        }
    }

    pub(crate) fn free_member(&mut self, index: usize, place: usize) {
        self.engines[place].cancel(&self.ids[index], self.now);
        self.wake_engine(place);
        self.release(index, place, Report::new(Outcome::Done));
    }

    pub(crate) fn on_hold(&mut self, index: usize, place: usize) {
        let Some(group) = self.states[index].group.as_mut() else {
            self.release(index, place, Report::new(Outcome::Cancelled));
            return;
        };
        let name = &self.names[place];
        let memory = group.members().find(|member| member.upstream == *name);
        let memory = memory.map_or(Tokens::ZERO, |member| member.memory);
        let held = self.engines[place].reserve(&self.ids[index], memory, self.now);
        if held.is_err() {
            self.stats.rejected += 1;
            self.release(index, place, Report::new(Outcome::Cancelled));
            self.lose_member(index, place);
            return;
        }
        let steps = group.on_reserved(name);
        self.group_steps(index, steps);
    }

    pub(crate) fn lose_member(&mut self, index: usize, place: usize) {
        let Some(group) = self.states[index].group.as_mut() else {
            return;
        };
        let steps = group.on_lost(&self.names[place]);
        self.group_steps(index, steps);
    }

    pub(crate) fn retry_group(&mut self, index: usize) {
        self.states[index].group = None;
        self.states[index].tries += 1;
        if self.states[index].tries < TRIES {
            self.begin_group(index);
        } else {
            self.end(index, End::Refused);
        }
    }

    /// Frees every member; one that is still asked for is cancelled with its owner.
    pub(crate) fn end_group(&mut self, index: usize) {
        let Some(mut group) = self.states[index].group.take() else {
            return;
        };
        let members: Vec<_> = group.members().map(|member| member.upstream).collect();
        let steps = group.on_ended();
        self.group_steps(index, steps);
        for member in members {
            let place = self.places[&member];
            self.owners[place].cancel(&self.ids[index], self.now);
            self.poll(place);
        }
    }
}
