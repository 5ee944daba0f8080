//! The steps of an engine: who enters the batch, what a step does, who leaves it.

use std::time::Duration;

use catkinusher_core::time::Time;
use catkinusher_core::units::Tokens;

use super::job::{Event, Job, Usage};
use super::step::{Plan, Run};
use super::{Engine, Hold, own_need};

impl Engine {
    /// Takes all steps that end by `now`.
    pub(super) fn catch_up(&mut self, now: Time) {
        while let Some(mut plan) = self.plan.take() {
            let reached = plan.reached(now);
            self.take_steps(&mut plan, reached);
            if reached < plan.steps {
                self.plan = Some(plan);
                break;
            }
            self.clock = plan.end();
            self.spare = plan;
            self.begin();
        }
        self.clock = self.clock.max(now);
    }

    /// Lets a change of the batch take effect after the step under way.
    pub(super) fn replan(&mut self) {
        match self.plan.take() {
            Some(mut plan) if plan.start < self.clock => {
                plan.cut(self.clock);
                self.plan = Some(plan);
            }
            Some(unbegun) => {
                self.spare = unbegun;
                self.begin();
            }
            None => self.begin(),
        }
    }

    /// Plans the next steps, if there is anything to do.
    fn begin(&mut self) {
        self.admit();
        let speed = self.warmth.speed(&self.rates);
        let mut plan = std::mem::take(&mut self.spare);
        if plan.refill(self.clock, &self.runs, &self.rates, speed) {
            self.plan = Some(plan);
        } else {
            self.spare = plan;
        }
    }

    /// Moves waiting requests into the batch, strictly in order of urgency.
    fn admit(&mut self) {
        while self.runs.len() < self.rates.streams as usize {
            let Some(next) = self.waiting.first_entry() else {
                return;
            };
            let job = next.get();
            let hold = self.holds.get(&job.id).copied().unwrap_or_default();
            let memory = own_need(job).max(hold.memory);
            let used = self.used - hold.memory + memory;
            if used > self.rates.memory {
                return;
            }
            let ((_, order), job) = next.remove_entry();
            self.enter(job, order, hold, memory);
            self.set_used(used);
        }
    }

    fn enter(&mut self, job: Job, order: u64, hold: Hold, memory: Tokens) {
        self.holds.remove(&job.id);
        // The last token of a prompt is always prefilled, for the first token comes of it.
        let most = job.prompt.saturating_sub(Tokens::new(1));
        let cached = self.cache.hit(&job.blocks).max(hold.ready).min(most);
        let run = Run {
            left: (job.prompt - cached).get().max(1),
            order,
            memory,
            cached,
            generated: 0,
            job,
        };
        let place = (run.job.priority, order);
        let index = self
            .runs
            .partition_point(|other| (other.job.priority, other.order) < place);
        self.runs.insert(index, run);
    }

    /// Does the steps of `plan` up to the one of this number.
    fn take_steps(&mut self, plan: &mut Plan, reached: u64) {
        let steps = reached - plan.done;
        if steps == 0 {
            return;
        }
        let at = plan.after(reached);
        plan.done = reached;
        self.decode(steps, at, plan.length);
        self.prefill(plan, steps, at);
        self.leave(at);
    }

    fn decode(&mut self, steps: u64, at: Time, every: Duration) {
        for run in self.runs.iter_mut().filter(|run| run.left == 0) {
            let first = run.generated;
            run.generated += steps;
            self.events.push(Event::Tokens {
                id: run.job.id.clone(),
                range: first..run.generated,
                at,
                every,
            });
        }
    }

    fn prefill(&mut self, plan: &Plan, steps: u64, at: Time) {
        for piece in &plan.pieces {
            // A run that was cancelled under way is gone.
            let Some(run) = self.runs.iter_mut().find(|run| run.order == piece.order) else {
                continue;
            };
            run.left -= piece.tokens * steps;
            if run.left > 0 {
                continue;
            }
            run.generated = 1;
            self.events.push(Event::FirstToken {
                id: run.job.id.clone(),
                at,
                cached: run.cached,
            });
            self.events.push(Event::Tokens {
                id: run.job.id.clone(),
                range: 0..1,
                at,
                every: plan.length,
            });
        }
    }

    /// Ends the runs that have all their tokens.
    fn leave(&mut self, at: Time) {
        let mut index = 0;
        while index < self.runs.len() {
            let run = &self.runs[index];
            if run.left == 0 && run.to_generate() == 0 {
                let run = self.runs.remove(index);
                self.finish(&run, at);
            } else {
                index += 1;
            }
        }
    }

    fn finish(&mut self, run: &Run, at: Time) {
        self.used -= run.memory;
        self.warmth.on_finish(&self.rates);
        let free = self.rates.memory - self.used;
        self.cache.insert(&run.job.blocks, free);
        self.events.push(Event::Finished {
            id: run.job.id.clone(),
            at,
            usage: Usage {
                prompt: run.job.prompt,
                completion: Tokens::new(run.generated),
                cached: run.cached,
            },
        });
    }
}
