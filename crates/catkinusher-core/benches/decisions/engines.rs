//! What engines do, and what the nodes and owners hear of it.

use std::rc::Rc;

use catkinusher_core::class::CLASS_COUNT;
use catkinusher_core::digest::Digest;
use catkinusher_core::owner::{self, Action, Outcome, Report, Running};
use catkinusher_core::route::Policy;
use catkinusher_core::time::Time;
use catkinusher_fakes::batch;

use crate::flow::index_of;
use crate::measure::End;
use crate::world::{CHECK, Event, Fault, Gate, TELL, World};

impl<P> World<P>
where
    P: Policy + Clone,
{
    pub(crate) fn wake_engine(&mut self, place: usize) {
        if let Some(at) = self.engines[place].next_event() {
            let at = at.max(self.now);
            if at < self.wakes[place] {
                self.wakes[place] = at;
                self.at(at, Event::Engine(place));
            }
        }
    }

    pub(crate) fn on_engine(&mut self, place: usize) {
        if self.wakes[place] != self.now {
            return;
        }
        self.wakes[place] = Time::NEVER;
        for event in self.engines[place].advance(self.now) {
            self.on_batch(place, event);
        }
        self.wake_engine(place);
    }

    pub(crate) fn on_batch(&mut self, place: usize, event: batch::Event) {
        match event {
            batch::Event::FirstToken { id, at, .. } => {
                let index = index_of(&id);
                self.states[index].first = Some(at);
                let way = self.way(self.requests[index].router, place);
                let ttft = at.since(self.requests[index].at) + way + self.case.client * 2;
                self.stats.note_first(index, ttft);
                if self.setup.gate == Gate::Owner {
                    self.at(at.max(self.now) + way * 2, Event::FirstToken(index, place));
                }
            }
            batch::Event::Tokens {
                id, range, every, ..
            } => {
                let index = index_of(&id);
                let gaps = range.end - range.start.max(1).min(range.end);
                self.stats.note_gaps(index, every, gaps);
            }
            batch::Event::Finished { id, usage, .. } => {
                let index = index_of(&id);
                let report = Report {
                    outcome: Outcome::Done,
                    time_to_first_token: None,
                    usage: Some(owner::Usage {
                        prompt: usage.prompt,
                        cached: usage.cached,
                        completion: usage.completion,
                    }),
                    incarnation: None,
                };
                self.note_warm(place);
                self.stats.cached += usage.cached.get();
                self.stats.prompts += usage.prompt.get();
                self.finish_request(index, place, report, End::Done);
            }
            batch::Event::Collapsed { dropped, .. } => {
                for id in dropped {
                    let index = index_of(&id);
                    if !self.states[index].over {
                        self.finish_request(
                            index,
                            place,
                            Report::new(Outcome::Failed),
                            End::Failed,
                        );
                    }
                }
            }
        }
    }

    pub(crate) fn note_warm(&mut self, place: usize) {
        if self.engines[place].is_cold() {
            return;
        }
        if let Some(since) = self.chilled[place].take() {
            let took = self.now.since(since).as_secs_f64();
            self.stats.warm_after = self.stats.warm_after.max(took);
        }
    }

    pub(crate) fn reconcile(&mut self, place: usize) {
        let engine = &mut self.engines[place];
        let list: Vec<_> = engine
            .streams()
            .into_iter()
            .map(|stream| Running {
                request: stream.id,
                memory: stream.memory,
            })
            .collect();
        let actions = self.owners[place].reconcile(engine.incarnation(), &list, self.now);
        for Action::Cancel(request) in actions {
            self.engines[place].cancel(&request, self.now);
        }
        self.wake_engine(place);
        self.poll(place);
    }

    pub(crate) fn on_fault(&mut self, place: usize, fault: Fault) {
        self.chilled[place] = Some(self.now);
        match fault {
            Fault::Restart => {
                self.restarts += 1;
                self.engines[place].restart(self.now);
            }
            Fault::Chill => self.engines[place].chill(),
        }
        self.wake_engine(place);
    }

    pub(crate) fn on_tell(&mut self, place: usize) {
        if !self.is_live() {
            return;
        }
        let digest = Rc::new(match self.setup.gate {
            Gate::Owner => self.owners[place].digest(),
            Gate::Direct => self.load_of(place),
        });
        for router in 0..self.routers.len() {
            if self.routers[router].view.get(&self.names[place]).is_some() {
                let heard = Event::Hear(router, place, Rc::clone(&digest), self.now);
                self.after(self.routers[router].lag, heard);
            }
        }
        self.after(TELL, Event::Tell(place));
    }

    /// An engine's own load report as a digest, for nodes without owners.
    fn load_of(&mut self, place: usize) -> Digest {
        let engine = &mut self.engines[place];
        let load = engine.load();
        Digest {
            incarnation: load.incarnation,
            free: load.memory_total - load.memory_used,
            backlog: [load.prefill_left; CLASS_COUNT],
            streams: load.running + load.waiting,
            limit: self.case.limits.streams,
            pace: 35_000,
            ..Digest::default()
        }
    }

    pub(crate) fn on_check(&mut self, place: usize) {
        if self.setup.gate == Gate::Direct || !self.is_live() {
            return;
        }
        self.reconcile(place);
        self.after(CHECK, Event::Check(place));
    }
}
