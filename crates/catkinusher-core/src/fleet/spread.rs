//! Even load while many nodes place requests for themselves at the same moment.
//!
//! They choose from the same stale information, so the upstream with the least known load would get
//! the requests of all of them. Each node therefore has its own start position in the order that
//! all nodes share, advances with the own sends that the others do not know of, and ignores differences in load that the requests
//! of the others may have made up for since the information arrived
//! (see [docs/design/even-load.md](../../../../docs/design/even-load.md)).

use std::collections::VecDeque;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::roster::Position;
use crate::time::Time;

/// How long information about the load that others put on an upstream is used.
pub const INFORMATION_TTL: Duration = Duration::from_millis(2500);

/// The time within which callers that act at the same moment have sent their requests.
///
/// Information that is younger misses only a part of such a burst.
const BURST_TIME: Duration = Duration::from_millis(100);

/// The own sends to one service.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Sends {
    /// The sends since the last pause; after a pause all nodes are at their start positions again.
    turn: usize,
    recent: VecDeque<Time>,
}

impl Sends {
    /// Records a send.
    pub fn on_send(&mut self, now: Time) {
        let is_old = |at: &mut Time| now.since(*at) >= INFORMATION_TTL;
        while self.recent.pop_front_if(is_old).is_some() {}
        self.turn = self.turn(now).wrapping_add(1);
        self.recent.push_back(now);
    }

    fn turn(&self, now: Time) -> usize {
        let last = self.recent.back();
        let paused = last.is_none_or(|at| now.since(*at) >= INFORMATION_TTL);
        if paused { 0 } else { self.turn }
    }

    fn count_within(&self, age: Duration, now: Time) -> usize {
        let newest_first = self.recent.iter().rev();
        newest_first.take_while(|at| now.since(**at) < age).count()
    }
}

/// What one upstream offers to a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Its known load.
    pub load: f64,
    /// What one request adds to the load.
    pub step: f64,
    /// The requests that it has room for.
    pub room: f64,
}

/// How a node takes its part of the requests that all nodes place.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Spread {
    position: Position,
    /// The own sends by which this node has advanced.
    advance: usize,
    /// The requests that the other nodes may have placed since the information arrived.
    unseen: f64,
}

impl Spread {
    /// The spread of the node at `position`, whose information about the others is `age` old.
    ///
    /// Callers reach all nodes alike, so each of the others may have placed as many requests as
    /// this node: those since the information arrived, and the one that it places now. By the same
    /// number it has advanced: nodes that count all their sends would drift apart, and stand at
    /// random positions after a while. Without any information only the advance spreads the load,
    /// so all sends count then.
    #[must_use]
    pub fn new(position: Position, sends: &Sends, age: Duration, now: Time) -> Self {
        let others = position.count.saturating_sub(1) as f64;
        let recent = sends.count_within(age, now);
        let is_informed = age < INFORMATION_TTL;
        let missed = age.as_secs_f64() / BURST_TIME.as_secs_f64();
        Self {
            position,
            advance: if is_informed { recent } else { sends.turn(now) },
            unseen: others * (recent as f64 + 1.0) * missed.min(1.0),
        }
    }

    /// Whether the information probably lacks a request of another node.
    #[must_use]
    pub fn is_uncertain(&self) -> bool {
        self.unseen >= 0.5
    }

    /// The index of this node's choice; the choices are in the order that all nodes share.
    ///
    /// Each upstream gets an arc of a circle, as long as the number of requests that it should get of
    /// those that are unseen. The nodes stand at even distances on the circle, and each send moves a
    /// node by one upstream.
    #[must_use]
    pub fn pick<I>(&self, choices: I) -> Option<usize>
    where
        I: IntoIterator<Item = Offer>,
    {
        let choices: Vec<Offer> = choices.into_iter().collect();
        let arcs = self.arcs(&choices);
        let start = (self.position.rank as f64 + 0.5) / self.position.count.max(1) as f64;
        let moved = (self.advance % choices.len().max(1)) as f64 / choices.len().max(1) as f64;
        let mut left = (start + moved).fract() * arcs.iter().sum::<f64>();
        for (index, arc) in arcs.iter().enumerate() {
            left -= arc;
            if left < 0.0 {
                return Some(index);
            }
        }
        // Rounding may leave a little.
        arcs.iter().rposition(|arc| *arc > 0.0)
    }

    /// How many of the unseen requests and the present one each upstream should get.
    fn arcs(&self, choices: &[Offer]) -> Vec<f64> {
        let least = choices.iter().map(|choice| choice.load).reduce(f64::min);
        let least = least.unwrap_or_default();
        let rate: f64 = choices.iter().map(|choice| 1.0 / choice.step).sum();
        let margin = self.unseen / rate;
        let excess = |choice: &Offer| (choice.load - least - margin).max(0.0);
        let mut sorted: Vec<(f64, f64)> = choices
            .iter()
            .map(|choice| (excess(choice), 1.0 / choice.step))
            .collect();
        sorted.sort_by(|a, b| a.0.total_cmp(&b.0));
        // The level to which the requests raise the load, if they go where it is least.
        let (mut level, mut rate, mut left) = (0.0, 0.0, self.unseen + 1.0);
        for (load, slope) in sorted {
            let needed = (load - level) * rate;
            if needed >= left {
                break;
            }
            left -= needed;
            level = load;
            rate += slope;
        }
        level += left / rate;
        let is_full = choices.iter().all(|choice| choice.room <= 0.0);
        let arc = |choice: &Offer| {
            let arc = (level - excess(choice)).max(0.0) / choice.step;
            if is_full { arc } else { arc.min(choice.room) }
        };
        choices.iter().map(arc).collect()
    }
}
