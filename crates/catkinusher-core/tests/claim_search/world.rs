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

/// Ways to do it wrong, each of which the search must find out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Naive {
    Sound,
    NoReadBack,
    NoVersionCheck,
    NoLastCheck,
    RetryAfterSend,
    OwnerTakesBack,
    AnswersUnsent,
}

/// Faults that may still happen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Faults {
    pub lost: u8,
    pub away: u8,
    pub unheard: u8,
    pub asks: u8,
    pub expiries: u8,
    pub ticks: u8,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash)]
struct Holder {
    ticket: Ticket,
    bid: ClaimRequest,
    heard: Option<Decision>,
    granted: Option<Time>,
    sends: u8,
    answered: bool,
    freed: bool,
}

#[derive(Debug, Clone, Hash)]
pub struct World {
    naive: Naive,
    faults: Faults,
    now: Time,
    version: u64,
    value: Option<Value>,
    owners: [Partition; 2],
    calls: [Option<Call<Value>>; 2],
    late: Option<Call<Value>>,
    holders: [Holder; 2],
    owed: Vec<(usize, Settlement)>,
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
    let customer = "toonzaal".parse().expect("a name");
    let service = "afspraak-app".parse().expect("a name");
    let key = "slot-7".parse().expect("a key");
    let ident = KeyId::new(&customer, &service, &key);
    let nonce = Nonce::new(number);
    let bid = ClaimRequest {
        ident,
        body: Fingerprint::of([b"stand 12".as_slice()]),
        holder: format!("vm-{number}").parse().expect("a name"),
        nonce,
        left: WITHIN,
        life: LIFE,
    };
    Holder {
        ticket: Ticket::new(ident, nonce, WITHIN, now + WITHIN.get(), now),
        bid,
        heard: None,
        granted: None,
        sends: 0,
        answered: false,
        freed: false,
    }
}

impl World {
    pub fn new(naive: Naive, faults: Faults, settle: Span) -> Self {
        let now = Time::ZERO;
        let name = partition_name(0);
        let owner = Partition::new(name, policy(settle));
        let mut world = Self {
            naive,
            faults,
            now,
            version: 0,
            value: None,
            owners: [owner.clone(), owner],
            calls: [None, None],
            late: None,
            holders: [holder(1, now), holder(2, now)],
            owed: Vec::new(),
            runs: 0,
            fault: None,
        };
        for place in 0..2 {
            let bid = world.holders[place].bid.clone();
            world.owners[place].on_claim_request(bid, now);
            world.turn(place);
        }
        world
    }

    fn record(&self) -> Option<&Record> {
        match &self.value {
            Some(Value::Head(head)) => head.records.first(),
            _ => None,
        }
    }

    fn turn(&mut self, owner: usize) {
        let steps = self.owners[owner].next(self.now, wall(self.now));
        self.take(owner, steps);
    }

    fn take(&mut self, owner: usize, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Call { call } => self.calls[owner] = Some(call),
                Step::Decided { nonce, decision } => self.decide(owner, nonce, decision),
                Step::Settled { .. } => {}
            }
        }
    }

    fn decide(&mut self, owner: usize, nonce: Nonce, decision: Decision) {
        if self.naive == Naive::OwnerTakesBack && decision == Decision::StoreAway {
            let ident = self.holders[0].bid.ident;
            let kept = None;
            let settlement = Settlement { ident, nonce, kept };
            self.owed.push((owner, settlement));
        }
        let answered = self.holders.iter().any(|holder| holder.answered);
        if matches!(decision, Decision::Replay { .. }) && !answered {
            self.fault = Some("an answer was replayed that never came".to_owned());
        }
        let holder = self.holders.iter_mut().find(|h| h.bid.nonce == nonce);
        holder.expect("a known nonce").heard = Some(decision);
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
                let blind = self.naive == Naive::NoVersionCheck;
                if version.get() != self.version && !blind {
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
        self.take(owner, steps);
        self.turn(owner);
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
            let lost = if self.naive == Naive::NoReadBack {
                let version = Version::new(self.version + 1);
                Answer::Written { version }
            } else {
                Answer::Lost
            };

            let mut next = base.clone();
            next.apply(call);
            next.answer(owner, lost.clone());
            out.push((format!("write of owner {owner} lands, answer lost"), next));

            if self.late.is_none() {
                let mut next = base;
                next.late = Some(call.clone());
                next.answer(owner, lost);
                out.push((format!("write of owner {owner} is delayed"), next));
            }
        }
        if let Some(late) = &self.late {
            let mut next = self.clone();
            next.late = None;
            next.apply(late);
            out.push(("the delayed write lands".to_owned(), next));
        }
    }

    fn on_holder(&self, place: usize, out: &mut Vec<(String, Self)>) {
        let holder = &self.holders[place];
        if let Some(decision) = holder.heard.clone() {
            let mut next = self.clone();
            next.holders[place].heard = None;
            next.hear(place, &decision);
            out.push((format!("holder {place} hears {decision:?}"), next));
            if self.faults.unheard > 0 {
                let mut next = self.clone();
                next.holders[place].heard = None;
                next.faults.unheard -= 1;
                out.push((format!("holder {place} does not hear {decision:?}"), next));
            }
        }
        if self.faults.asks > 0 && holder.granted.is_none() {
            let mut next = self.clone();
            next.faults.asks -= 1;
            next.owners[1 - place].on_claim_request(holder.bid.clone(), self.now);
            next.turn(1 - place);
            out.push((format!("holder {place} asks the other owner"), next));
        }
        self.on_send(place, out);
        self.on_end(place, out);
    }

    fn hear(&mut self, place: usize, decision: &Decision) {
        let now = self.now;
        let holder = &mut self.holders[place];
        if *decision == Decision::MaySend {
            holder.granted = Some(now);
        }
        if let Some(settlement) = holder.ticket.on_decision(decision) {
            holder.freed = true;
            self.owed.push((place, settlement));
        }
    }

    fn on_send(&self, place: usize, out: &mut Vec<(String, Self)>) {
        let holder = &self.holders[place];
        let clock = match self.naive {
            Naive::NoLastCheck => holder.granted.unwrap_or(self.now),
            _ => self.now,
        };
        let mut next = self.clone();
        let again = self.naive == Naive::RetryAfterSend && holder.sends == 1 && !holder.answered;
        if next.holders[place].ticket.authorize_send(clock) || again {
            next.holders[place].sends += 1;
            next.runs += 1;
            next.check_send(place);
            out.push((format!("holder {place} sends"), next));
        }
    }

    // At the moment of a send the claim must stand, and be the only reason for one.
    fn check_send(&mut self, place: usize) {
        let nonce = self.holders[place].bid.nonce;
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
            let kept = StoredResponse::Told { status: 200 };
            let settlement = next.holders[place].ticket.on_answer(kept);
            next.owed.extend(settlement.map(|owed| (place, owed)));
            out.push((format!("holder {place} has its answer"), next));
        }
        if self.naive == Naive::AnswersUnsent && holder.granted.is_some() && holder.sends == 0 {
            let mut next = self.clone();
            let settlement = Settlement {
                ident: holder.bid.ident,
                nonce: holder.bid.nonce,
                kept: Some(StoredResponse::Told { status: 200 }),
            };
            next.owed.push((place, settlement));
            out.push((format!("holder {place} settles what it never sent"), next));
        }
        let mut next = self.clone();
        if holder.granted.is_some()
            && let Some(owed) = next.holders[place].ticket.give_up()
        {
            next.holders[place].freed = true;
            next.owed.push((place, owed));
            out.push((format!("holder {place} gives up"), next));
        }
    }

    fn on_owed(&self, out: &mut Vec<(String, Self)>) {
        for place in 0..self.owed.len() {
            for owner in 0..2 {
                let mut next = self.clone();
                let (_, settlement) = next.owed.remove(place);
                next.owners[owner].on_settlement(settlement, self.now);
                next.turn(owner);
                out.push((format!("owner {owner} is told of a settlement"), next));
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
            next.turn(0);
            next.turn(1);
            out.push(("time passes".to_owned(), next));
        }
        if self.faults.expiries > 0 {
            let mut next = self.clone();
            next.faults.expiries -= 1;
            next.now = next.now + LIFE.get() + 2 * SKEW.get() + Duration::from_secs(1);
            next.runs = 0;
            next.turn(0);
            next.turn(1);
            out.push(("the key expires".to_owned(), next));
        }
    }

    // After a send the claim stands until the key expires.
    fn forgets(&self) -> bool {
        let expired = self.now >= Time::ZERO + LIFE.get();
        let sent = self.holders.iter().find(|holder| holder.sends > 0);
        let Some(sent) = sent.filter(|_| !expired) else {
            return false;
        };
        self.record()
            .is_none_or(|record| record.nonce != sent.bid.nonce)
    }
}

impl Model for World {
    fn next(&self) -> Vec<(String, Self)> {
        let mut out = Vec::new();
        self.on_store(&mut out);
        self.on_holder(0, &mut out);
        self.on_holder(1, &mut out);
        self.on_owed(&mut out);
        self.on_clock(&mut out);
        out
    }

    fn fault(&self) -> Option<String> {
        let forgot = || "the claim of a sent request is gone".to_owned();
        self.fault.clone().or_else(|| self.forgets().then(forgot))
    }
}
