//! The model: two holders, two owners, one store.

use std::time::Duration;

use catkinusher_core::claim::{
    ClaimRequest, Decision, KeyId, Nonce, Partition, Policy, Record, Settlement, Step,
    StoredResponse, Ticket, Value, WallTime, partition_name,
};
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::object::{Answer, Call, Version};
use catkinusher_core::time::Time;
use catkinusher_core::units::{Bytes, Span};

use crate::search::Model;

const LIFE: Span = Span::from_secs(60);
const WITHIN: Span = Span::from_secs(5);
const SKEW: Span = Span::from_secs(1);

/// The correct protocol, and broken variants of it whose faults the search must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Variant {
    Correct,
    NoReadBack,
    NoVersionCheck,
    NoSendTimeCheck,
    RetryAfterSend,
    OwnerReleases,
    SettlesUnsent,
}

/// How often each fault may still occur.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Faults {
    pub lost: u8,
    pub away: u8,
    pub undelivered: u8,
    pub repeats: u8,
    pub expiries: u8,
    pub ticks: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holder {
    ticket: Ticket,
    request: ClaimRequest,
    decision: Option<Decision>,
    granted: Option<Time>,
    sends: u8,
    answered: bool,
    freed: bool,
}

#[derive(Debug, Clone, Hash)]
pub struct World {
    variant: Variant,
    faults: Faults,
    now: Time,
    version: u64,
    value: Option<Value>,
    owners: [Partition; 2],
    calls: [Option<Call<Value>>; 2],
    delayed: Option<Call<Value>>,
    holders: [Holder; 2],
    settlements: Vec<(usize, Settlement)>,
    runs: u8,
    fault: Option<String>,
}

fn wall(now: Time) -> WallTime {
    WallTime::from_secs(1_000_000 + now.as_micros() / 1_000_000)
}

fn policy(settle: Span) -> Policy {
    Policy {
        window: Span::default(),
        settle,
        patience: Span::from_millis(100),
        pause: Span::from_millis(10),
        seal: Bytes::new(1_000_000),
        skew: SKEW,
        settlements: 8,
    }
}

fn holder(number: u64, now: Time) -> Holder {
    let customer = "toonzaal".parse().expect("valid name");
    let service = "afspraak-app".parse().expect("valid name");
    let key = "slot-7".parse().expect("valid key");
    let ident = KeyId::new(&customer, &service, &key);
    let nonce = Nonce::new(number);
    let request = ClaimRequest {
        ident,
        body: Fingerprint::of([b"stand 12".as_slice()]),
        holder: format!("vm-{number}").parse().expect("valid name"),
        nonce,
        left: WITHIN,
        life: LIFE,
    };
    Holder {
        ticket: Ticket::new(ident, nonce, WITHIN, now + WITHIN.get(), now),
        request,
        decision: None,
        granted: None,
        sends: 0,
        answered: false,
        freed: false,
    }
}

impl World {
    pub fn new(variant: Variant, faults: Faults, settle: Span) -> Self {
        let now = Time::ZERO;
        let name = partition_name(0);
        let owner = Partition::new(name, policy(settle));
        let mut world = Self {
            variant,
            faults,
            now,
            version: 0,
            value: None,
            owners: [owner.clone(), owner],
            calls: [None, None],
            delayed: None,
            holders: [holder(1, now), holder(2, now)],
            settlements: Vec::new(),
            runs: 0,
            fault: None,
        };
        for place in 0..2 {
            let request = world.holders[place].request.clone();
            world.owners[place].on_claim_request(request, now);
            world.advance(place);
        }
        world
    }

    fn record(&self) -> Option<&Record> {
        match &self.value {
            Some(Value::Head(head)) => head.records.first(),
            _ => None,
        }
    }

    fn advance(&mut self, owner: usize) {
        let steps = self.owners[owner].next(self.now, wall(self.now));
        self.apply_steps(owner, steps);
    }

    fn apply_steps(&mut self, owner: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Call { call } => self.calls[owner] = Some(call),
                Step::Decided { nonce, decision } => self.decide(owner, nonce, decision),
                Step::Settled { .. } => {}
            }
        }
    }

    fn decide(&mut self, owner: usize, nonce: Nonce, decision: Decision) {
        if self.variant == Variant::OwnerReleases && decision == Decision::StoreAway {
            let ident = self.holders[0].request.ident;
            let kept = None;
            let settlement = Settlement { ident, nonce, kept };
            self.settlements.push((owner, settlement));
        }
        let answered = self.holders.iter().any(|holder| holder.answered);
        if matches!(decision, Decision::Replay { .. }) && !answered {
            self.fault = Some("a response was replayed that was never received".to_owned());
        }
        let holder = self.holders.iter_mut().find(|h| h.request.nonce == nonce);
        holder.expect("a known nonce").decision = Some(decision);
    }

    fn apply(&mut self, call: &Call<Value>) -> Answer<Value> {
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

    fn answer(&mut self, owner: usize, answer: Answer<Value>) {
        let steps = self.owners[owner].on_answer(answer, self.now);
        self.apply_steps(owner, steps);
        self.advance(owner);
    }

    fn on_store(&self, out: &mut Vec<(String, Self)>) {
        for owner in 0..2 {
            let Some(call) = &self.calls[owner] else {
                continue;
            };
            let mut base = self.clone();
            base.calls[owner] = None;
            let is_write = matches!(call, Call::Write { .. });

            let mut next = base.clone();
            let answer = next.apply(call);
            next.answer(owner, answer);
            out.push((format!("store answers owner {owner}"), next));

            if self.faults.away > 0 {
                let mut next = base.clone();
                next.faults.away -= 1;
                next.answer(owner, Answer::Away);
                out.push((format!("store refuses owner {owner}"), next));
            }
            if self.faults.lost == 0 || !is_write {
                continue;
            }
            base.faults.lost -= 1;
            let lost = if self.variant == Variant::NoReadBack {
                let version = Version::new(self.version + 1);
                Answer::Written { version }
            } else {
                Answer::Lost
            };

            let mut next = base.clone();
            next.apply(call);
            next.answer(owner, lost.clone());
            out.push((format!("write of owner {owner} lands, answer lost"), next));

            if self.delayed.is_none() {
                let mut next = base;
                next.delayed = Some(call.clone());
                next.answer(owner, lost);
                out.push((format!("write of owner {owner} is delayed"), next));
            }
        }
        if let Some(delayed) = &self.delayed {
            let mut next = self.clone();
            next.delayed = None;
            next.apply(delayed);
            out.push(("the delayed write lands".to_owned(), next));
        }
    }

    fn on_holder(&self, place: usize, out: &mut Vec<(String, Self)>) {
        let holder = &self.holders[place];
        if let Some(decision) = holder.decision.clone() {
            let mut next = self.clone();
            next.holders[place].decision = None;
            next.deliver(place, &decision);
            out.push((format!("holder {place} receives {decision:?}"), next));
            if self.faults.undelivered > 0 {
                let mut next = self.clone();
                next.holders[place].decision = None;
                next.faults.undelivered -= 1;
                out.push((
                    format!("decision {decision:?} to holder {place} is lost"),
                    next,
                ));
            }
        }
        if self.faults.repeats > 0 && holder.granted.is_none() {
            let mut next = self.clone();
            next.faults.repeats -= 1;
            next.owners[1 - place].on_claim_request(holder.request.clone(), self.now);
            next.advance(1 - place);
            out.push((
                format!("holder {place} repeats its request to the other owner"),
                next,
            ));
        }
        self.on_send(place, out);
        self.on_end(place, out);
    }

    fn deliver(&mut self, place: usize, decision: &Decision) {
        let now = self.now;
        let holder = &mut self.holders[place];
        if *decision == Decision::MaySend {
            holder.granted = Some(now);
        }
        if let Some(settlement) = holder.ticket.on_decision(decision) {
            holder.freed = true;
            self.settlements.push((place, settlement));
        }
    }

    fn on_send(&self, place: usize, out: &mut Vec<(String, Self)>) {
        let holder = &self.holders[place];
        let clock = match self.variant {
            Variant::NoSendTimeCheck => holder.granted.unwrap_or(self.now),
            _ => self.now,
        };
        let mut next = self.clone();
        let again =
            self.variant == Variant::RetryAfterSend && holder.sends == 1 && !holder.answered;
        if next.holders[place].ticket.authorize_send(clock) || again {
            next.holders[place].sends += 1;
            next.runs += 1;
            next.check_send(place);
            out.push((format!("holder {place} sends"), next));
        }
    }

    // At the time of a send the claim must be in the store, and no other send may have happened.
    fn check_send(&mut self, place: usize) {
        let nonce = self.holders[place].request.nonce;
        let own = self.record().is_some_and(|record| record.nonce == nonce);
        if !own {
            self.fault = Some(format!("holder {place} sent without a claim"));
        }
        if self.runs > 1 {
            self.fault = Some("the key ran twice".to_owned());
        }
    }

    fn on_end(&self, place: usize, out: &mut Vec<(String, Self)>) {
        let holder = &self.holders[place];
        if holder.sends > 0 && !holder.answered {
            let mut next = self.clone();
            next.holders[place].answered = true;
            let kept = StoredResponse::StatusOnly { status: 200 };
            let settlement = next.holders[place].ticket.on_answer(kept);
            next.settlements
                .extend(settlement.map(|settlement| (place, settlement)));
            out.push((format!("holder {place} gets its response"), next));
        }
        if self.variant == Variant::SettlesUnsent && holder.granted.is_some() && holder.sends == 0 {
            let mut next = self.clone();
            let settlement = Settlement {
                ident: holder.request.ident,
                nonce: holder.request.nonce,
                kept: Some(StoredResponse::StatusOnly { status: 200 }),
            };
            next.settlements.push((place, settlement));
            out.push((
                format!("holder {place} settles a request that it never sent"),
                next,
            ));
        }
        let mut next = self.clone();
        if holder.granted.is_some()
            && let Some(settlement) = next.holders[place].ticket.give_up()
        {
            next.holders[place].freed = true;
            next.settlements.push((place, settlement));
            out.push((format!("holder {place} gives up"), next));
        }
    }

    fn on_settlements(&self, out: &mut Vec<(String, Self)>) {
        for place in 0..self.settlements.len() {
            for owner in 0..2 {
                let mut next = self.clone();
                let (_, settlement) = next.settlements.remove(place);
                next.owners[owner].on_settlement(settlement, self.now);
                next.advance(owner);
                out.push((format!("owner {owner} receives a settlement"), next));
            }
        }
    }

    fn on_clock(&self, out: &mut Vec<(String, Self)>) {
        let wake = self.owners.iter().map(Partition::wake).min();
        let wake = wake.unwrap_or(Time::NEVER);
        if self.faults.ticks > 0 && wake != Time::NEVER {
            let mut next = self.clone();
            next.faults.ticks -= 1;
            next.now = next.now.max(wake);
            next.advance(0);
            next.advance(1);
            out.push(("time passes".to_owned(), next));
        }
        if self.faults.expiries > 0 {
            let mut next = self.clone();
            next.faults.expiries -= 1;
            next.now = next.now + LIFE.get() + 2 * SKEW.get() + Duration::from_secs(1);
            next.runs = 0;
            next.advance(0);
            next.advance(1);
            out.push(("the key expires".to_owned(), next));
        }
    }

    // After a send the claim must stay in the store until the key expires.
    fn claim_is_gone(&self) -> bool {
        let expired = self.now >= Time::ZERO + LIFE.get();
        let sent = self.holders.iter().find(|holder| holder.sends > 0);
        let Some(sent) = sent.filter(|_| !expired) else {
            return false;
        };
        self.record()
            .is_none_or(|record| record.nonce != sent.request.nonce)
    }
}

impl Model for World {
    fn next(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        self.on_store(&mut out);
        self.on_holder(0, &mut out);
        self.on_holder(1, &mut out);
        self.on_settlements(&mut out);
        self.on_clock(&mut out);
        out
    }

    fn fault(&self) -> Option<String> {
        let gone = || "the claim of a sent request is gone".to_owned();
        self.fault
            .clone()
            .or_else(|| self.claim_is_gone().then(gone))
    }
}
