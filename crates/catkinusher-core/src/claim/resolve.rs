//! Judging bids by what the store holds, and writing those that are free.

use super::head::{Sealed, Segment, Value, is_forgotten};
use super::partition::{Batch, Looked, Owed, Partition, Seen, Step, Under, Waiting};
use super::{Decision, Head, Record, State, WallTime};
use crate::object::{Answer, Call, Version};
use crate::time::Time;

/// The size of a head above which no more claims are added, in bytes.
const HEAD_LIMIT: usize = 700_000;

/// How a bid stands against what is known.
enum Standing {
    Free,
    Decided(Decision),
    /// The head must be read anew.
    Stale,
    /// A segment must be read.
    Look(String),
}

impl Partition {
    /// Reads the head and the segments as far as they are needed and not known.
    pub(super) fn load(&mut self, now: Time) -> Option<Call<Value>> {
        let due = self.follow || self.walk.is_some();
        let wanted = due || !self.bids.is_empty() || !self.owed.is_empty();
        if !wanted {
            return None;
        }
        if self.seen.is_none() || self.follow || self.has_stale_settlement() {
            return Some(self.read_head(now));
        }
        let name = self.walk.take()?;
        self.under = Some(Under::Walk { name: name.clone() });
        Some(Call::Read { name })
    }

    fn read_head(&mut self, now: Time) -> Call<Value> {
        self.follow = false;
        self.under = Some(Under::ReadHead { sent: now });
        let name = self.name.clone();
        Call::Read { name }
    }

    // A claim that another owner wrote shows only in a newer head.
    fn has_stale_settlement(&self) -> bool {
        let Some(seen) = &self.seen else {
            return false;
        };
        self.owed
            .iter()
            .any(|owed| owed.since > seen.at && !stands(&seen.head, owed))
    }

    pub(super) fn on_head(&mut self, answer: Answer<Value>, sent: Time) {
        let (version, head) = match answer {
            Answer::Found {
                version,
                value: Value::Head(head),
            } => (version, head),
            Answer::Missing => (Version::NONE, Head::default()),
            _ => return,
        };
        self.walked.clear();
        self.walk = head.newest.clone().filter(|name| !self.knows(name));
        self.seen = Some(Seen {
            version,
            head,
            at: sent,
        });
    }

    fn knows(&self, name: &str) -> bool {
        self.sealed.iter().any(|sealed| sealed.name == name)
    }

    pub(super) fn on_walk(&mut self, name: String, answer: Answer<Value>) {
        match answer {
            Answer::Found {
                value: Value::Segment(segment),
                ..
            } => self.walk = self.note_segment(name, segment),
            // Older ones are past their keys' lives and were removed.
            Answer::Missing => self.walk = None,
            _ => {
                self.walk = Some(name);
                return;
            }
        }
        if self.walk.is_none() {
            self.sealed.extend(self.walked.drain(..).rev());
        }
    }

    // Notes a segment and the run that it tells of, and says which to read next.
    fn note_segment(&mut self, name: String, segment: Segment) -> Option<String> {
        self.walked.push(Sealed::new(name, &segment));
        let Some(skip) = segment.skip else {
            return segment.previous.filter(|name| !self.knows(name));
        };
        for sealed in skip.run.into_iter().rev() {
            if self.knows(&sealed.name) {
                return None;
            }
            self.walked.push(sealed);
        }
        skip.before.filter(|name| !self.knows(name))
    }

    pub(super) fn on_look(&mut self, name: String, answer: Answer<Value>) {
        let segment = match answer {
            Answer::Found {
                value: Value::Segment(segment),
                ..
            } => Some(segment),
            Answer::Missing => None,
            _ => return,
        };
        self.looked.push(Looked { name, segment });
    }

    /// Decides the bids that need no write.
    pub(super) fn sift(&mut self, wall: WallTime, steps: &mut Vec<Step>) -> Option<Call<Value>> {
        let seen = self.seen.take()?;
        let mut left = Vec::new();
        let mut look = None;
        let mut stale = false;
        for waiting in std::mem::take(&mut self.bids) {
            match self.standing(&seen, &waiting, wall) {
                Standing::Decided(decision) => steps.push(waiting.decide(decision)),
                Standing::Free => left.push(waiting),
                Standing::Stale => {
                    stale = true;
                    left.push(waiting);
                }
                Standing::Look(name) => {
                    look = Some(name);
                    left.push(waiting);
                }
            }
        }
        self.bids = left;
        self.seen = Some(seen);
        if stale {
            let now = self.newest_bid();
            return Some(self.read_head(now));
        }
        let Some(name) = look else {
            self.looked.clear();
            return None;
        };
        self.under = Some(Under::Look { name: name.clone() });
        Some(Call::Read { name })
    }

    fn newest_bid(&self) -> Time {
        let times = self.bids.iter().map(|waiting| waiting.since);
        times.max().unwrap_or(Time::ZERO)
    }

    fn standing(&self, seen: &Seen, waiting: &Waiting, wall: WallTime) -> Standing {
        let skew = self.policy.skew;
        let bid = &waiting.bid;
        let record = seen.head.get(bid.ident);
        if let Some(record) = record.filter(|record| !is_forgotten(record, wall, skew)) {
            return self.beside(seen, waiting, record, wall);
        }
        for sealed in self
            .sealed
            .iter()
            .filter(|sealed| sealed.may_hold(bid.ident))
        {
            let Some(looked) = self.looked.iter().find(|looked| looked.name == sealed.name) else {
                return Standing::Look(sealed.name.clone());
            };
            let record = looked.segment.as_ref();
            let record = record.and_then(|segment| segment.get(bid.ident));
            if let Some(record) = record.filter(|record| !is_forgotten(record, wall, skew)) {
                return Standing::Decided(record.verdict(bid.body, wall, skew));
            }
        }
        Standing::Free
    }

    fn beside(&self, seen: &Seen, waiting: &Waiting, record: &Record, wall: WallTime) -> Standing {
        let open = record.state == State::Claimed;
        if let Some(decision) = self.owed_verdict(record, waiting, wall).filter(|_| open) {
            return Standing::Decided(decision);
        }
        if open && record.nonce == waiting.bid.nonce {
            return Standing::Decided(Decision::MaySend);
        }
        if open && waiting.since > seen.at {
            return Standing::Stale;
        }
        Standing::Decided(record.verdict(waiting.bid.body, wall, self.policy.skew))
    }

    /// What a claim means whose answer is known here and not in the store yet.
    ///
    /// A ticket settles once, and with an answer only after its request ran, so
    /// that nothing else can become of the claim, even if the write is lost.
    fn owed_verdict(&self, record: &Record, waiting: &Waiting, wall: WallTime) -> Option<Decision> {
        let owed = self.owed.iter().map(|owed| &owed.settlement);
        let mut owed = owed.filter(|owed| owed.ident == record.ident && owed.nonce == record.nonce);
        let kept = owed.find_map(|owed| owed.kept.clone())?;
        let settled = Record {
            state: State::Done { kept },
            ..record.clone()
        };
        Some(settled.verdict(waiting.bid.body, wall, self.policy.skew))
    }

    /// Writes the free bids and the settlements that wait, if it is time.
    pub(super) fn commit(
        &mut self,
        now: Time,
        wall: WallTime,
        steps: &mut Vec<Step>,
    ) -> Option<Call<Value>> {
        if now < self.due() {
            return None;
        }
        let seen = self.seen.as_ref()?;
        let version = seen.version;
        let mut head = seen.head.clone();
        let skew = self.policy.skew;
        head.records
            .retain(|record| !is_forgotten(record, wall, skew));
        let owed = self.apply_owed(&mut head, steps);
        let bids = self.apply_bids(&mut head, wall);
        if owed.is_empty() && bids.is_empty() {
            self.rest = now + self.policy.pause.get();
            return None;
        }
        let sealed = self.apply_draft(&mut head);
        let value = Value::Head(head.clone());
        let batch = Batch {
            head,
            bids,
            owed,
            sealed,
        };
        self.under = Some(Under::Commit { batch });
        let name = self.name.clone();
        Some(Call::Write {
            name,
            version,
            value,
        })
    }

    fn apply_owed(&mut self, head: &mut Head, steps: &mut Vec<Step>) -> Vec<Owed> {
        let mut applied = Vec::new();
        for owed in std::mem::take(&mut self.owed) {
            let settlement = &owed.settlement;
            let state = settlement.kept.clone().map(|kept| State::Done { kept });
            if head.settle(settlement.ident, settlement.nonce, state) {
                applied.push(owed);
            } else {
                steps.push(Step::Settled {
                    nonce: settlement.nonce,
                    kept: false,
                });
            }
        }
        applied
    }

    // A second bid for a key that this very update claims waits for what comes of the first.
    fn apply_bids(&mut self, head: &mut Head, wall: WallTime) -> Vec<Waiting> {
        let mut weight = head.weight();
        let mut applied = Vec::new();
        let mut left = Vec::new();
        for waiting in std::mem::take(&mut self.bids) {
            if weight > HEAD_LIMIT || head.get(waiting.bid.ident).is_some() {
                left.push(waiting);
                continue;
            }
            let record = claim(&waiting, wall);
            weight += record.weight();
            head.put(record);
            applied.push(waiting);
        }
        self.bids = left;
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
        // After an outage the head is as it was; otherwise only reading it tells.
        if *answer != Answer::Away {
            self.seen = None;
        }
        self.bids.splice(0..0, batch.bids);
        self.owed.splice(0..0, batch.owed);
        Vec::new()
    }

    fn on_committed(&mut self, batch: Batch, version: Version, now: Time) -> Vec<Step> {
        self.writes = true;
        self.sealed.extend(batch.sealed);
        self.seen = Some(Seen {
            version,
            head: batch.head,
            at: now,
        });
        let granted = batch.bids.iter();
        let granted = granted.map(|waiting| waiting.decide(Decision::MaySend));
        let settled = batch.owed.iter().map(|owed| Step::Settled {
            nonce: owed.settlement.nonce,
            kept: true,
        });
        granted.chain(settled).collect()
    }
}

fn stands(head: &Head, owed: &Owed) -> bool {
    head.get(owed.settlement.ident)
        .is_some_and(|record| record.nonce == owed.settlement.nonce)
}

fn claim(waiting: &Waiting, wall: WallTime) -> Record {
    let bid = &waiting.bid;
    let ends = wall + bid.left;
    Record {
        ident: bid.ident,
        body: bid.body,
        holder: bid.holder.clone(),
        nonce: bid.nonce,
        state: State::Claimed,
        ends,
        expires: ends.max(wall + bid.life),
    }
}
