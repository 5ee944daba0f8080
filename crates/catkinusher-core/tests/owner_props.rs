//! Property tests of owners and groups.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use catkinusher_core::ask::{Ask, Role};
use catkinusher_core::group::{Group, Offer, Step};
use catkinusher_core::id::{Incarnation, RequestId, UpstreamId, VmId};
use catkinusher_core::inventory::EngineLimits;
use catkinusher_core::owner::{Event, Limits, Outcome, Owner, Reply, Report, Share};
use catkinusher_core::time::Time;
use catkinusher_core::units::{Rate, Tokens};
use proptest::prelude::*;

fn limits(cold: u32, streams: u32) -> EngineLimits {
    EngineLimits {
        memory: Tokens::new(100_000),
        prefill: Rate::per_second(40_000.0),
        decode: Rate::per_second(50.0),
        streams,
        chunk: Some(Tokens::new(1024)),
        cold_streams: cold,
        fencing: true,
        kv_transfer: true,
    }
}

fn ask(number: usize, prompt: u64) -> Ask {
    Ask {
        request: format!("r{number}").parse().expect("a valid name"),
        customer: format!("c{}", number % 3).parse().expect("a valid name"),
        weight: 1,
        service: "llm".parse().expect("a valid name"),
        model: None,
        prompt: Tokens::new(prompt),
        output: Tokens::new(100),
        prefix: Vec::new(),
        role: Role::Whole,
        excess: false,
        patience: None,
        deadline: Time::from_millis(3_600_000),
    }
}

fn vm() -> VmId {
    "vm".parse().expect("a valid name")
}

/// An owner and the requests whose permits are still open.
struct OwnerSide {
    owner: Owner,
    held: BTreeSet<RequestId>,
}

impl OwnerSide {
    fn new(share: Share, cold: u32) -> Self {
        let owner = Owner::new(Limits::Engine(limits(cold, 32)), share, Time::ZERO);
        Self {
            owner,
            held: BTreeSet::new(),
        }
    }

    fn ask(&mut self, ask: Ask, now: Time) {
        if let Reply::Granted(permit) = self.owner.acquire(ask, vm(), now) {
            self.held.insert(permit.request);
        }
        self.poll(now);
    }

    fn poll(&mut self, now: Time) {
        for event in self.owner.poll(now) {
            if let Event::Granted(permit) = event {
                self.held.insert(permit.request);
            }
        }
    }

    fn end(&mut self, outcome: Outcome, now: Time) {
        if let Some(request) = self.held.pop_first() {
            self.owner.release(&request, &Report::new(outcome), now);
        }
        self.poll(now);
    }
}

proptest! {
    /// Two concurrent owners together stay within the upstream's limits, whether it is warm or cold.
    #[test]
    fn two_half_shares_stay_within_the_limits(
        cold in 1_u32..6,
        steps in prop::collection::vec((0_u8..5, 0_usize..2, 500_u64..60_000), 1..300),
    ) {
        let mut sides = [OwnerSide::new(Share::Half, cold), OwnerSide::new(Share::Half, cold)];
        let mut successes = 0_u32;
        for (number, (kind, side, prompt)) in steps.into_iter().enumerate() {
            let now = Time::from_millis(number as u64 * 50);
            let side = &mut sides[side];
            match kind {
                0..=2 => side.ask(ask(number, prompt), now),
                3 => {
                    successes += u32::from(!side.held.is_empty());
                    side.end(Outcome::Done, now);
                }
                _ => side.end(Outcome::Cancelled, now),
            }
            let open: usize = sides.iter().map(|side| side.held.len()).sum();
            // The ramp level of a single owner that had seen every success.
            let limit = cold + (32 - cold) * successes.min(32) / 32;
            prop_assert!(open as u32 <= limit, "{open} over {limit}");
            let memory: Tokens = sides.iter().map(|side| side.owner.ledger().used()).sum();
            prop_assert!(memory <= Tokens::new(100_000));
        }
    }

    /// Once all permits are returned or expired, nothing is reserved or queued.
    #[test]
    fn all_reservations_end(prompts in prop::collection::vec(500_u64..60_000, 1..60), lost in 0_usize..60) {
        let mut side = OwnerSide::new(Share::Full, 4);
        for (number, prompt) in prompts.iter().enumerate() {
            side.ask(ask(number, *prompt), Time::from_millis(number as u64 * 10));
        }
        // The other holders never report, so their leases expire.
        for step in 0..lost {
            side.end(Outcome::Done, Time::from_millis(10_000 + step as u64));
        }
        while let Some(wake) = side.owner.next_wake() {
            side.poll(wake + Duration::from_micros(1));
        }
        prop_assert!(side.owner.ledger().is_empty());
        prop_assert_eq!(side.owner.queued(), 0);
    }

    /// A new incarnation of the upstream frees all memory of the previous one and restarts the ramp.
    #[test]
    fn a_restart_frees_all_memory(prompts in prop::collection::vec(500_u64..30_000, 1..40)) {
        let mut side = OwnerSide::new(Share::Full, 4);
        side.owner.reconcile(Incarnation::new(1), &[], Time::ZERO);
        side.owner.assume_warm();
        for (number, prompt) in prompts.iter().enumerate() {
            side.ask(ask(number, *prompt), Time::from_millis(number as u64 * 10));
        }
        let now = Time::from_millis(20_000);
        side.owner.reconcile(Incarnation::new(2), &[], now);
        prop_assert_eq!(side.owner.ledger().used(), Tokens::ZERO);
        prop_assert_eq!(side.owner.ramp().stream_limit(), 4);
    }

    /// Groups that reserve memory on the same engines never deadlock, and free all of it.
    #[test]
    fn groups_do_not_deadlock_and_free_all_memory(
        needs in prop::collection::vec(100_u64..700, 1..8),
        order in prop::collection::vec(0_usize..64, 400),
        lost in prop::option::of(0_usize..4),
    ) {
        let mut fleet = Fleet::new(&needs);
        for pick in &order {
            fleet.step(*pick);
        }
        if let Some(engine) = lost {
            fleet.remove_engine(engine);
        }
        let mut steps = 0;
        while fleet.step(0) {
            steps += 1;
            prop_assert!(steps < 10_000, "the groups are deadlocked");
        }
        prop_assert_eq!(fleet.used.values().sum::<u64>(), 0);
        prop_assert_eq!(fleet.finished, needs.len());
    }
}

/// Four engines, and groups that reserve memory on them.
struct Fleet {
    used: BTreeMap<UpstreamId, u64>,
    groups: Vec<Option<Group>>,
    /// Pending reservations: group, engine, memory.
    pending: Vec<(usize, UpstreamId, u64)>,
    held: BTreeSet<(usize, UpstreamId)>,
    running: Vec<usize>,
    finished: usize,
}

const ENGINE_MEMORY: u64 = 300;

impl Fleet {
    fn new(needs: &[u64]) -> Self {
        let names: Vec<UpstreamId> = (0..4)
            .map(|n| format!("e{n}").parse().expect("a valid name"))
            .collect();
        let mut fleet = Self {
            used: names.iter().map(|name| (name.clone(), 0)).collect(),
            groups: Vec::new(),
            pending: Vec::new(),
            held: BTreeSet::new(),
            running: Vec::new(),
            finished: 0,
        };
        for (number, need) in needs.iter().enumerate() {
            let offers = names.iter().map(|name| Offer {
                upstream: name.clone(),
                free: Tokens::new(200),
            });
            let request = format!("r{number}").parse().expect("a valid name");
            let group = Group::plan(request, Tokens::new(*need), offers.collect());
            let steps = group.as_ref().expect("four engines suffice").start();
            fleet.groups.push(group);
            fleet.apply(number, steps);
        }
        fleet
    }

    fn apply(&mut self, number: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Reserve(member) => {
                    self.pending
                        .push((number, member.upstream, member.memory.get()));
                }
                Step::Run { .. } => self.running.push(number),
                Step::Free(upstream) => self.free(number, &upstream),
                Step::Failed => self.finished += 1,
            }
        }
    }

    fn free(&mut self, number: usize, upstream: &UpstreamId) {
        if !self.held.remove(&(number, upstream.clone())) {
            return;
        }
        let group = self.groups[number].as_ref().expect("it was planned");
        let member = group.members().find(|member| member.upstream == *upstream);
        let memory = member.expect("it is a member").memory.get();
        *self.used.get_mut(upstream).expect("an engine") -= memory;
    }

    /// Grants one reservation that fits, or ends one running group.
    fn step(&mut self, pick: usize) -> bool {
        let fits = |reservation: &(usize, UpstreamId, u64)| {
            self.used[&reservation.1] + reservation.2 <= ENGINE_MEMORY
        };
        let fitting: Vec<_> = (0..self.pending.len())
            .filter(|index| fits(&self.pending[*index]))
            .collect();
        if let Some(index) = fitting.get(pick % fitting.len().max(1)) {
            let (number, upstream, memory) = self.pending.remove(*index);
            *self.used.get_mut(&upstream).expect("an engine") += memory;
            self.held.insert((number, upstream.clone()));
            let group = self.groups[number].as_mut().expect("it was planned");
            let steps = group.on_reserved(&upstream);
            self.apply(number, steps);
            return true;
        }
        let Some(number) = self.running.pop() else {
            return false;
        };
        let group = self.groups[number].as_mut().expect("it was planned");
        let steps = group.on_ended();
        self.finished += 1;
        self.apply(number, steps);
        true
    }

    /// Removes an engine: every group with a member there fails and frees its other reservations.
    fn remove_engine(&mut self, engine: usize) {
        let name: UpstreamId = format!("e{engine}").parse().expect("a valid name");
        for number in 0..self.groups.len() {
            let Some(group) = self.groups[number].as_mut() else {
                continue;
            };
            if !group.members().any(|member| member.upstream == name) {
                continue;
            }
            let ran = self.running.contains(&number);
            let steps = group.on_lost(&name);
            self.running.retain(|other| *other != number);
            self.pending.retain(|reservation| reservation.0 != number);
            // The reservation on the removed engine is freed, too.
            self.free(number, &name);
            let _ = ran;
            self.apply(number, steps);
        }
    }
}
