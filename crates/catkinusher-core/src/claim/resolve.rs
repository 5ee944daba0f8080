//! Decides claim requests from the stored state and writes claims on free keys.

use super::head::{Segment, SegmentSummary, Value, has_expired};
use super::partition::{
    Batch, CachedHead, InFlight, LoadedSegment, Partition, PendingClaim, PendingSettlement, Step,
};
use super::{Decision, Head, Record, State, WallTime};
use crate::object::{Answer, Call, Version};
use crate::time::Time;

/// The approximate head size in bytes above which no more claims are added.
const HEAD_LIMIT: usize = 700_000;

/// What the known state says about a claim request.
enum Lookup {
    /// No live record has this key.
    Free,
    Decided(Decision),
    /// The cached head is too old to decide; it must be read again.
    Stale,
    /// The segment of this name may hold the key and must be read.
    NeedsSegment(String),
}

impl Partition {
    /// Reads the head and those segments that are needed and not yet known.
    pub(super) fn load(&mut self, now: Time) -> Option<Call<Value>> {
        let due = self.follow || self.next_segment.is_some();
        let wanted = due || !self.claims.is_empty() || !self.settlements.is_empty();
        if !wanted {
            return None;
        }
        if self.cached.is_none() || self.follow || self.has_stale_settlement() {
            return Some(self.read_head(now));
        }
        let name = self.next_segment.take()?;
        self.in_flight = Some(InFlight::ReadChain { name: name.clone() });
        Some(Call::Read { name })
    }

    fn read_head(&mut self, now: Time) -> Call<Value> {
        self.follow = false;
        self.in_flight = Some(InFlight::ReadHead { sent: now });
        let name = self.name.clone();
        Call::Read { name }
    }

    // The claim of a settlement may have been written by another owner after the cached head
    // was read.
    fn has_stale_settlement(&self) -> bool {
        let Some(cached) = &self.cached else {
            return false;
        };
        self.settlements
            .iter()
            .any(|pending| pending.since > cached.at && !has_record(&cached.head, pending))
    }

    pub(super) fn on_head_read(&mut self, answer: Answer<Value>, sent: Time) {
        let (version, head) = match answer {
            Answer::Found {
                version,
                value: Value::Head(head),
            } => (version, head),
            Answer::Missing => (Version::NONE, Head::default()),
            _ => return,
        };
        self.new_segments.clear();
        self.next_segment = head.newest.clone().filter(|name| !self.knows(name));
        self.cached = Some(CachedHead {
            version,
            head,
            at: sent,
        });
    }

    fn knows(&self, name: &str) -> bool {
        self.segments.iter().any(|summary| summary.name == name)
    }

    pub(super) fn on_chain_read(&mut self, name: String, answer: Answer<Value>) {
        match answer {
            Answer::Found {
                value: Value::Segment(segment),
                ..
            } => self.next_segment = self.add_to_chain(name, segment),
            // Older segments were deleted after all their keys had expired.
            Answer::Missing => self.next_segment = None,
            _ => {
                self.next_segment = Some(name);
                return;
            }
        }
        if self.next_segment.is_none() {
            self.segments.extend(self.new_segments.drain(..).rev());
        }
    }

    // Adds a segment and those listed in its skip index. Returns the next segment to read.
    fn add_to_chain(&mut self, name: String, segment: Segment) -> Option<String> {
        self.new_segments.push(SegmentSummary::new(name, &segment));
        let Some(skip) = segment.skip else {
            return segment.previous.filter(|name| !self.knows(name));
        };
        for summary in skip.run.into_iter().rev() {
            if self.knows(&summary.name) {
                return None;
            }
            self.new_segments.push(summary);
        }
        skip.before.filter(|name| !self.knows(name))
    }

    pub(super) fn on_segment_read(&mut self, name: String, answer: Answer<Value>) {
        let segment = match answer {
            Answer::Found {
                value: Value::Segment(segment),
                ..
            } => Some(segment),
            Answer::Missing => None,
            _ => return,
        };
        self.loaded.push(LoadedSegment { name, segment });
    }

    /// Decides the requests that need no write.
    pub(super) fn decide_known(
        &mut self,
        wall: WallTime,
        steps: &mut Vec<Step>,
    ) -> Option<Call<Value>> {
        let cached = self.cached.take()?;
        let mut remaining = Vec::new();
        let mut needed = None;
        let mut stale = false;
        for claim in std::mem::take(&mut self.claims) {
            match self.look_up(&cached, &claim, wall) {
                Lookup::Decided(decision) => steps.push(claim.decide(decision)),
                Lookup::Free => remaining.push(claim),
                Lookup::Stale => {
                    stale = true;
                    remaining.push(claim);
                }
                Lookup::NeedsSegment(name) => {
                    needed = Some(name);
                    remaining.push(claim);
                }
            }
        }
        self.claims = remaining;
        self.cached = Some(cached);
        if stale {
            let now = self.newest_arrival();
            return Some(self.read_head(now));
        }
        let Some(name) = needed else {
            self.loaded.clear();
            return None;
        };
        self.in_flight = Some(InFlight::ReadSegment { name: name.clone() });
        Some(Call::Read { name })
    }

    fn newest_arrival(&self) -> Time {
        let times = self.claims.iter().map(|claim| claim.since);
        times.max().unwrap_or(Time::ZERO)
    }

    fn look_up(&self, cached: &CachedHead, claim: &PendingClaim, wall: WallTime) -> Lookup {
        let skew = self.policy.skew;
        let request = &claim.request;
        let record = cached.head.get(request.ident);
        if let Some(record) = record.filter(|record| !has_expired(record, wall, skew)) {
            return self.decide_by_record(cached, claim, record, wall);
        }
        for summary in self
            .segments
            .iter()
            .filter(|summary| summary.may_hold(request.ident))
        {
            let Some(loaded) = self
                .loaded
                .iter()
                .find(|loaded| loaded.name == summary.name)
            else {
                return Lookup::NeedsSegment(summary.name.clone());
            };
            let record = loaded.segment.as_ref();
            let record = record.and_then(|segment| segment.get(request.ident));
            if let Some(record) = record.filter(|record| !has_expired(record, wall, skew)) {
                return Lookup::Decided(record.decide(request.body, wall, skew));
            }
        }
        Lookup::Free
    }

    fn decide_by_record(
        &self,
        cached: &CachedHead,
        claim: &PendingClaim,
        record: &Record,
        wall: WallTime,
    ) -> Lookup {
        let open = record.state == State::Claimed;
        if let Some(decision) = self
            .decide_by_settlement(record, claim, wall)
            .filter(|_| open)
        {
            return Lookup::Decided(decision);
        }
        if open && record.nonce == claim.request.nonce {
            return Lookup::Decided(Decision::MaySend);
        }
        if open && claim.since > cached.at {
            return Lookup::Stale;
        }
        Lookup::Decided(record.decide(claim.request.body, wall, self.policy.skew))
    }

    /// Decides by a settlement with a response that is not yet in the store.
    ///
    /// This is safe even if the write of the settlement is lost: a ticket settles
    /// once, and with a response only after the request ran, so the claim can have
    /// no other result.
    fn decide_by_settlement(
        &self,
        record: &Record,
        claim: &PendingClaim,
        wall: WallTime,
    ) -> Option<Decision> {
        let pending = self.settlements.iter().map(|pending| &pending.settlement);
        let mut pending = pending
            .filter(|pending| pending.ident == record.ident && pending.nonce == record.nonce);
        let kept = pending.find_map(|pending| pending.kept.clone())?;
        let settled = Record {
            state: State::Done { kept },
            ..record.clone()
        };
        Some(settled.decide(claim.request.body, wall, self.policy.skew))
    }

    /// Writes the pending claims on free keys and the pending settlements, if an update is due.
    pub(super) fn commit(
        &mut self,
        now: Time,
        wall: WallTime,
        steps: &mut Vec<Step>,
    ) -> Option<Call<Value>> {
        if now < self.due() {
            return None;
        }
        let cached = self.cached.as_ref()?;
        let version = cached.version;
        let mut head = cached.head.clone();
        let skew = self.policy.skew;
        head.records
            .retain(|record| !has_expired(record, wall, skew));
        let settlements = self.apply_settlements(&mut head, steps);
        let claims = self.apply_claims(&mut head, wall);
        if settlements.is_empty() && claims.is_empty() {
            self.paused_until = now + self.policy.pause.get();
            return None;
        }
        let sealed = self.apply_draft(&mut head);
        let value = Value::Head(head.clone());
        let batch = Batch {
            head,
            claims,
            settlements,
            sealed,
        };
        self.in_flight = Some(InFlight::Commit { batch });
        let name = self.name.clone();
        Some(Call::Write {
            name,
            version,
            value,
        })
    }

    fn apply_settlements(
        &mut self,
        head: &mut Head,
        steps: &mut Vec<Step>,
    ) -> Vec<PendingSettlement> {
        let mut applied = Vec::new();
        for pending in std::mem::take(&mut self.settlements) {
            let settlement = &pending.settlement;
            let state = settlement.kept.clone().map(|kept| State::Done { kept });
            if head.settle(settlement.ident, settlement.nonce, state) {
                applied.push(pending);
            } else {
                steps.push(Step::Settled {
                    nonce: settlement.nonce,
                    kept: false,
                });
            }
        }
        applied
    }

    // A second request for a key that this update claims waits for the result of the first.
    fn apply_claims(&mut self, head: &mut Head, wall: WallTime) -> Vec<PendingClaim> {
        let mut size = head.approx_size();
        let mut applied = Vec::new();
        let mut remaining = Vec::new();
        for claim in std::mem::take(&mut self.claims) {
            if size > HEAD_LIMIT || head.get(claim.request.ident).is_some() {
                remaining.push(claim);
                continue;
            }
            let record = new_record(&claim, wall);
            size += record.approx_size();
            head.put(record);
            applied.push(claim);
        }
        self.claims = remaining;
        applied
    }

    pub(super) fn on_commit(
        &mut self,
        batch: Batch,
        answer: &Answer<Value>,
        now: Time,
    ) -> Vec<Step> {
        if let Answer::Written { version } = answer {
            return self.on_committed(batch, *version, now);
        }
        // `Away` means that the write was not applied. After any other answer the head must be
        // read to learn what is stored.
        if *answer != Answer::Away {
            self.cached = None;
        }
        self.claims.splice(0..0, batch.claims);
        self.settlements.splice(0..0, batch.settlements);
        Vec::new()
    }

    fn on_committed(&mut self, batch: Batch, version: Version, now: Time) -> Vec<Step> {
        self.has_written = true;
        self.segments.extend(batch.sealed);
        self.cached = Some(CachedHead {
            version,
            head: batch.head,
            at: now,
        });
        let granted = batch.claims.iter();
        let granted = granted.map(|claim| claim.decide(Decision::MaySend));
        let settled = batch.settlements.iter().map(|pending| Step::Settled {
            nonce: pending.settlement.nonce,
            kept: true,
        });
        granted.chain(settled).collect()
    }
}

fn has_record(head: &Head, pending: &PendingSettlement) -> bool {
    head.get(pending.settlement.ident)
        .is_some_and(|record| record.nonce == pending.settlement.nonce)
}

fn new_record(claim: &PendingClaim, wall: WallTime) -> Record {
    let request = &claim.request;
    let ends = wall + request.left;
    Record {
        ident: request.ident,
        body: request.body,
        holder: request.holder.clone(),
        nonce: request.nonce,
        state: State::Claimed,
        ends,
        expires: ends.max(wall + request.life),
    }
}
