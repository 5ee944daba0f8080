//! Placement of the requests of all nodes in a cell by one node.
//!
//! If each node places its own requests by reports of all others, the messages
//! grow with the square of the fleet, and nodes that decide at the same time
//! choose the same upstream. Instead a node asks the one that holds the duty of
//! a [`Cell`]. A request costs four small messages, whatever
//! the number of nodes. Prompts that have to wait do so in one queue, the
//! shortest first. Losing the placing node costs its successor some knowledge
//! and never correctness
//! (see [docs/design/large.md](../../../../docs/design/large.md)).

mod message;
mod preview;

pub use self::message::{Answer, Ask, Granted, Part, Verdict};
pub use self::preview::Preview;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;

use serde::{Deserialize, Serialize};

use crate::directory::Directory;
use crate::fleet::{Authority, Cell, Demand, Fleet, Overload, Placement, Policy, Pressure};
use crate::id::{Incarnation, Serial, UpstreamId};
use crate::time::Time;

/// How long an ask stays in the queue after it was last repeated.
const WAITING_TTL: Duration = Duration::from_millis(800);

/// The interval at which an asking node repeats an ask that waits.
pub const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The interval at which waiting asks are tried again, less than half a pass of an engine.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(25);

/// How long the pressure of another cell is used after it was received.
const PRESSURE_TTL: Duration = Duration::from_secs(1);

/// The least age at which this node computes the pressure of its cell again.
const PRESSURE_INTERVAL: Duration = Duration::from_millis(50);

/// Who asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Asker {
    /// The number of the node in load reports; `None` for this node itself.
    pub peer: Option<u64>,
    /// Its address.
    pub address: SocketAddr,
}

/// What to do about an ask.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Answer it.
    Answer(Answer),
    /// Pass it on to the node that places requests in another cell.
    Forward(Ask),
}

#[derive(Debug, Clone, Serialize, Deserialize)]
struct Waiting {
    ask: Ask,
    received_at: Time,
    repeated_at: Time,
}

impl Waiting {
    /// Takes over the time left from a repetition, as a node that stops has less than it had.
    fn on_repeated(&mut self, ask: &Ask, now: Time) {
        let queued = now.since(self.received_at).as_millis() as u64;
        self.ask.left = self.ask.left.min(ask.left.saturating_add(queued));
        self.repeated_at = now;
    }
}

/// The inputs of a decision besides the ask.
#[derive(Debug)]
pub struct Context<'a> {
    /// The upstreams and their loads.
    pub fleet: &'a mut Fleet,
    /// The services.
    pub directory: &'a Directory,
    /// The placement policy.
    pub policy: &'a Policy,
    /// The time of the decision.
    pub now: Time,
}

/// The queue of a node that places requests, and what it knows of other cells.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Placer {
    process: Incarnation,
    waiting: BTreeMap<(Asker, Serial), Waiting>,
    pressures: BTreeMap<Cell, (Pressure, Time)>,
    own_pressures: BTreeMap<Cell, (Pressure, Time)>,
}

impl Placer {
    /// Creates the empty queue of a process.
    #[must_use]
    pub const fn new(process: Incarnation) -> Self {
        Self {
            process,
            waiting: BTreeMap::new(),
            pressures: BTreeMap::new(),
            own_pressures: BTreeMap::new(),
        }
    }

    /// Decides on an ask, or on the repetition of one.
    pub fn on_ask<R>(
        &mut self,
        asker: Asker,
        ask: Ask,
        context: &mut Context<'_>,
        rng: &mut R,
    ) -> Step
    where
        R: Rng,
    {
        let now = context.now;
        let key = (asker, ask.serial);
        if let Some(waiting) = self.waiting.get_mut(&key) {
            waiting.on_repeated(&ask, now);
            return answer(ask.serial, Verdict::Waiting);
        }
        if let Some(cell) = self.better_cell(&ask, context) {
            return forward(ask, cell);
        }
        let verdict = self.decide(asker, &ask, Duration::ZERO, context, rng);
        let is_full = matches!(
            verdict,
            Verdict::Overloaded(Overload::Full(_) | Overload::None)
        );
        if is_full && let Some(cell) = self.least_pressed(&ask, context) {
            return forward(ask, cell);
        }
        let serial = ask.serial;
        if verdict == Verdict::Waiting {
            self.waiting.insert(
                key,
                Waiting {
                    ask,
                    received_at: now,
                    repeated_at: now,
                },
            );
        }
        answer(serial, verdict)
    }

    /// Tries the waiting asks again, the shortest prompts first, and returns the
    /// answers to those that wait no longer.
    pub fn poll<R>(&mut self, context: &mut Context<'_>, rng: &mut R) -> Vec<(Asker, Answer)>
    where
        R: Rng,
    {
        let now = context.now;
        self.waiting
            .retain(|_, waiting| now.since(waiting.repeated_at) < WAITING_TTL);
        let mut order: Vec<_> = self
            .waiting
            .iter()
            .map(|(key, waiting)| (waiting.ask.prompt, waiting.received_at, *key))
            .collect();
        order.sort_unstable();
        let mut answers = Vec::new();
        for (_, received_at, key) in order {
            let Some(waiting) = self.waiting.get(&key) else {
                continue;
            };
            let (asker, serial) = key;
            let verdict = self.decide(asker, &waiting.ask, now.since(received_at), context, rng);
            if verdict != Verdict::Waiting {
                self.waiting.remove(&key);
                answers.push((asker, Answer { serial, verdict }));
            }
        }
        answers
    }

    /// Drops an ask of this node whose caller has left.
    pub fn cancel(&mut self, asker: Asker, serial: Serial) {
        self.waiting.remove(&(asker, serial));
    }

    /// Drops the asks of a peer whose process has ended, as no request waits for them any more.
    pub fn forget_peer(&mut self, peer: u64) {
        self.waiting
            .retain(|(asker, _), _| asker.peer != Some(peer));
    }

    /// Whether asks are waiting.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Records the pressure of a cell, as the node that places its requests reported it.
    pub fn on_pressure(&mut self, cell: Cell, pressure: Pressure, now: Time) {
        self.pressures.insert(cell, (pressure, now));
    }

    /// The cell that should get an ask because it is much less pressed than this one.
    fn better_cell(&mut self, ask: &Ask, context: &Context<'_>) -> Option<Cell> {
        if ask.forwarded || ask.cell.data_centre.is_none() {
            return None;
        }
        let now = context.now;
        let cached = self.own_pressures.get(&ask.cell);
        let own = match cached {
            Some((pressure, at)) if now.since(*at) < PRESSURE_INTERVAL => *pressure,
            _ => {
                let pressure = context.fleet.pressure(&ask.cell, now);
                self.own_pressures.insert(ask.cell.clone(), (pressure, now));
                pressure
            }
        };
        let service = context.directory.service(&ask.cell.service)?;
        let is_long = service
            .engine
            .as_ref()
            .is_some_and(|engine| engine.prefill_time(ask.prompt) >= context.policy.long_threshold);
        let (cell, other) = self.least(ask, is_long, now)?;
        own.is_much_above(&other, is_long).then_some(cell)
    }

    /// The cell that may have room for an ask which this one cannot take.
    fn least_pressed(&self, ask: &Ask, context: &Context<'_>) -> Option<Cell> {
        if ask.forwarded || ask.cell.data_centre.is_none() {
            return None;
        }
        let (cell, pressure) = self.least(ask, false, context.now)?;
        pressure.has_room().then_some(cell)
    }

    /// Decides on an ask that has been in the queue for the time `queued`.
    fn decide<R>(
        &self,
        asker: Asker,
        ask: &Ask,
        queued: Duration,
        context: &mut Context<'_>,
        rng: &mut R,
    ) -> Verdict
    where
        R: Rng,
    {
        let Some(placed) = place(ask, queued, false, context, rng) else {
            return Verdict::Unable;
        };
        match placed {
            Ok(placement) => {
                let number = asker
                    .peer
                    .map_or(0, |peer| context.fleet.grant(peer, &placement, context.now));
                let grant = Serial::new(self.process, number);
                let limited = context.fleet.named_limit(&placement.primary).is_some();
                Verdict::Granted(granted(grant, &placement, limited))
            }
            Err(Overload::Queued(_)) => Verdict::Waiting,
            Err(overload) => Verdict::Overloaded(overload),
        }
    }

    fn least(&self, ask: &Ask, is_long: bool, now: Time) -> Option<(Cell, Pressure)> {
        self.pressures
            .iter()
            .filter(|(cell, _)| cell.service == ask.cell.service && **cell != ask.cell)
            .filter(|(_, (_, at))| now.since(*at) < PRESSURE_TTL)
            .map(|(cell, (pressure, _))| (cell.clone(), *pressure))
            .min_by(|a, b| a.1.of(is_long).total_cmp(&b.1.of(is_long)))
    }
}

/// Places an ask that has been in the queue for the time `queued`, unless its service is unknown.
///
/// `trace` asks for the scores of all candidates.
fn place<R>(
    ask: &Ask,
    queued: Duration,
    trace: bool,
    context: &mut Context<'_>,
    rng: &mut R,
) -> Option<Result<Placement, Overload>>
where
    R: Rng,
{
    let service = context.directory.service(&ask.cell.service)?;
    let millis = Duration::from_millis;
    let avoid = ask
        .avoid
        .iter()
        .filter_map(|id| context.fleet.find_by_short_id(*id).cloned())
        .collect();
    let demand = Demand {
        prompt: ask.prompt,
        answer: ask.answer,
        objective: millis(ask.objective),
        pause: ask.pause.map(millis),
        age: millis(ask.age) + queued,
        patience: millis(ask.patience),
        waited: millis(ask.waited) + queued,
        time_left: millis(ask.left).saturating_sub(queued),
        avoid,
        within: ask.cell.data_centre.clone(),
        authority: Authority::Shared,
        trace,
    };
    let (policy, now) = (context.policy, context.now);
    Some(context.fleet.place(service, &demand, policy, now, rng))
}

const fn answer(serial: Serial, verdict: Verdict) -> Step {
    Step::Answer(Answer { serial, verdict })
}

fn forward(ask: Ask, cell: Cell) -> Step {
    Step::Forward(Ask {
        cell,
        forwarded: true,
        ..ask
    })
}

fn granted(grant: Serial, placement: &Placement, limited: bool) -> Granted {
    let part = |id: &UpstreamId, cost| Part {
        upstream: Fleet::short_id(id),
        cost,
    };
    let basis = &placement.basis;
    Granted {
        grant,
        primary: part(&placement.primary, placement.cost),
        helpers: placement
            .helpers
            .iter()
            .map(|(id, cost)| part(id, *cost))
            .collect(),
        choices: basis.choices as u32,
        load: basis.load,
        wait: basis.wait.as_millis() as u64,
        limited,
        shorts: basis.shorts as u32,
        writers: basis.writers as u32,
        age: basis.age.map(|age| age.as_millis() as u64),
        score: Some(basis.score.thousandths()),
        next: basis
            .next
            .as_ref()
            .map(|(id, score)| (Fleet::short_id(id), score.thousandths())),
    }
}
