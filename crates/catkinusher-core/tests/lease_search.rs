//! Exhaustive search over the interleavings of two nodes that compete for one lease.

mod search;

use std::time::Duration;

use catkinusher_core::lease::{FencingToken, Holder, Lease, Timing};
use catkinusher_core::object::{Answer, Call, Version};
use catkinusher_core::time::Time;
use catkinusher_core::units::Span;

use search::{Found, Model, explore};

const SECOND: Duration = Duration::from_secs(1);
const TIMING: Timing = Timing {
    term: Span::from_secs(3),
    hold: Span::from_secs(2),
    renew: Span::from_secs(1),
    delay: Span::from_secs(1),
};

/// The correct protocol, and broken variants of it whose faults the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
enum Variant {
    Correct,
    LongHold,
    NoReadBack,
    NoVersionCheck,
    NoSendTimeCheck,
}

#[derive(Debug, Clone, Hash)]
struct World {
    variant: Variant,
    now: Time,
    end: Time,
    lost: u8,
    version: u64,
    value: Option<Lease>,
    holders: [Holder; 2],
    calls: [Option<Call<Lease>>; 2],
    answers: [Option<Answer<Lease>>; 2],
    delayed: Option<Call<Lease>>,
    granted: [Option<FencingToken>; 2],
    highest: FencingToken,
    fault: Option<String>,
}

impl World {
    fn new(variant: Variant, ticks: u64, lost: u8) -> Self {
        let mut timing = TIMING;
        if variant == Variant::LongHold {
            timing.hold = Span::from_secs(5);
        }
        let holder = |number: u64| {
            let vm = format!("vm-{number}").parse().expect("valid name");
            Holder::new("orders".to_owned(), vm, number, timing)
        };
        Self {
            variant,
            now: Time::ZERO,
            end: Time::ZERO + SECOND * ticks as u32,
            lost,
            version: 0,
            value: None,
            holders: [holder(1), holder(2)],
            calls: [None, None],
            answers: [None, None],
            delayed: None,
            granted: [None, None],
            highest: FencingToken::default(),
            fault: None,
        }
    }

    /// Advances to the state where node 0 holds the lease and node 1 has seen it.
    fn held(mut self) -> Self {
        for place in [0, 0, 1] {
            let call = self.holders[place].on_time(self.now).expect("a call");
            let answer = self.apply(&call);
            self.holders[place].on_answer(answer, self.now);
            self.granted[place] = self.holders[place].may_order(self.now);
        }
        self
    }

    fn apply(&mut self, call: &Call<Lease>) -> Answer<Lease> {
        match call {
            Call::Read { .. } => match &self.value {
                Some(value) => Answer::Found {
                    version: Version::new(self.version),
                    value: value.clone(),
                },
                None => Answer::Missing,
            },
            Call::Write { version, value, .. } => {
                let unchecked = self.variant == Variant::NoVersionCheck;
                if version.get() != self.version && !unchecked {
                    return Answer::Conflict;
                }
                self.version += 1;
                self.value = Some(value.clone());
                Answer::Written {
                    version: Version::new(self.version),
                }
            }
            Call::Delete { .. } => Answer::Missing,
        }
    }

    fn may_order(&self, place: usize) -> Option<FencingToken> {
        match self.variant {
            Variant::NoSendTimeCheck => self.granted[place],
            _ => self.holders[place].may_order(self.now),
        }
    }

    fn on_node(&self, place: usize, out: &mut Vec<(String, Self)>) {
        let mut next = self.clone();
        if next.calls[place].is_none()
            && next.answers[place].is_none()
            && let Some(call) = next.holders[place].on_time(self.now)
        {
            next.granted[place] = next.holders[place].may_order(self.now);
            next.calls[place] = Some(call);
            out.push((format!("node {place} calls"), next));
        }
        if let Some(answer) = self.answers[place].clone() {
            let mut next = self.clone();
            next.answers[place] = None;
            next.holders[place].on_answer(answer, self.now);
            next.granted[place] = next.holders[place].may_order(self.now);
            out.push((format!("node {place} gets its answer"), next));
        }
        if let Some(fence) = self.may_order(place).filter(|fence| *fence > self.highest) {
            let mut next = self.clone();
            next.highest = fence;
            out.push((format!("node {place} sends an order with {fence}"), next));
        }
    }

    fn on_store(&self, place: usize, out: &mut Vec<(String, Self)>) {
        let Some(call) = &self.calls[place] else {
            return;
        };
        let mut base = self.clone();
        base.calls[place] = None;

        let mut next = base.clone();
        let answer = next.apply(call);
        next.answers[place] = Some(answer);
        out.push((format!("store applies the call of node {place}"), next));

        if self.lost == 0 || !matches!(call, Call::Write { .. }) {
            return;
        }
        base.lost -= 1;
        let lost = match self.variant {
            Variant::NoReadBack => Answer::Written {
                version: Version::new(self.version + 1),
            },
            _ => Answer::Lost,
        };
        base.answers[place] = Some(lost);

        let mut next = base.clone();
        next.apply(call);
        out.push((format!("write of node {place} lands, answer lost"), next));

        let mut next = base;
        next.delayed = Some(call.clone());
        out.push((format!("write of node {place} is delayed"), next));
    }
}

impl Model for World {
    fn next(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        for place in 0..2 {
            self.on_node(place, &mut out);
            self.on_store(place, &mut out);
        }
        if let Some(delayed) = &self.delayed {
            let mut next = self.clone();
            next.delayed = None;
            next.apply(delayed);
            out.push(("the delayed write lands".to_owned(), next));
        }
        if self.now < self.end {
            let mut next = self.clone();
            next.now = next.now + SECOND;
            out.push((format!("the time is {}", next.now), next));
        }
        out
    }

    fn fault(&self) -> Option<String> {
        let fences = [self.may_order(0), self.may_order(1)];
        if let [Some(one), Some(two)] = fences {
            return Some(format!("both nodes may send orders, with {one} and {two}"));
        }
        let fence = fences[0].or(fences[1])?;
        let back = fence < self.highest;
        back.then(|| format!("{fence} may still be used after {}", self.highest))
    }
}

fn run(world: World) -> Found {
    let begin = format!(
        "{:?}, {} s, {} lost",
        world.variant,
        world.end.as_micros() / 1_000_000,
        world.lost
    );
    let found = explore(world);
    println!("lease, {begin}: {} states", found.states);
    found
}

#[test]
fn no_interleaving_lets_two_nodes_order() {
    let fresh = World::new(Variant::Correct, 2, 1);
    let held = [(5, 0), (4, 1), (3, 2)];
    let held = held.map(|(ticks, lost)| World::new(Variant::Correct, ticks, lost).held());
    for world in [fresh].into_iter().chain(held) {
        let found = run(world);
        assert_eq!(found.fault, None, "by {:#?}", found.path);
    }
}

#[test]
fn the_search_finds_the_fault_of_each_broken_variant() {
    let variants = [
        Variant::LongHold,
        Variant::NoReadBack,
        Variant::NoVersionCheck,
        Variant::NoSendTimeCheck,
    ];
    for variant in variants {
        let found = run(World::new(variant, 4, 1).held());
        assert!(found.fault.is_some(), "{variant:?} passed");
        println!("  {:?} by {:#?}", found.fault, found.path);
    }
}
