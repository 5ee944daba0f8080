//! Decisions on claim requests over the life of an idempotency key.

use catkinusher_core::claim::{
    ClaimRequest, Decision, Header, IdempotencyKey, KeyId, Nonce, Partition, Policy,
    STORED_RESPONSE_LIMIT, Segment, Settlement, Step, StoredResponse, Ticket, Value, WallTime,
    partition_name,
};
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::object::{Answer, Call, Version};
use catkinusher_core::time::Time;
use catkinusher_core::units::{Bytes, Span};
use std::collections::BTreeMap;

/// Enough keys for more than 128 segments, of which every 64th contains a skip index that lists
/// the ones before it.
const KEYS: u64 = 2_000;
const BEGIN: WallTime = WallTime::from_secs(1_000_000);

/// An in-memory store that answers immediately.
#[derive(Debug, Default)]
struct Store {
    version: u64,
    objects: BTreeMap<String, (u64, Value)>,
    unavailable: bool,
    reads: u32,
}

impl Store {
    fn answer(&mut self, call: Call<Value>) -> Answer<Value> {
        if self.unavailable {
            return Answer::Away;
        }
        match call {
            Call::Read { name } => self.read(&name),
            Call::Write {
                name,
                version,
                value,
            } => self.write(name, version, value),
            Call::Delete { name } => {
                self.objects.remove(&name);
                Answer::Missing
            }
        }
    }

    fn read(&mut self, name: &str) -> Answer<Value> {
        self.reads += 1;
        let Some((version, value)) = self.objects.get(name) else {
            return Answer::Missing;
        };
        Answer::Found {
            version: Version::new(*version),
            value: value.clone(),
        }
    }

    fn write(&mut self, name: String, version: Version, value: Value) -> Answer<Value> {
        let current = self.objects.get(&name).map_or(0, |object| object.0);
        if current != version.get() {
            return Answer::Conflict;
        }
        self.version += 1;
        self.objects.insert(name, (self.version, value));
        let version = Version::new(self.version);
        Answer::Written { version }
    }

    fn segments(&self) -> Vec<&Segment> {
        let values = self.objects.values();
        let segment = |value| match value {
            &(_, Value::Segment(ref segment)) => Some(segment),
            _ => None,
        };
        values.filter_map(segment).collect()
    }
}

fn policy() -> Policy {
    Policy {
        window: Span::default(),
        settle: Span::default(),
        ..Policy::default()
    }
}

fn owner() -> Partition {
    Partition::new(partition_name(0), policy())
}

/// Runs an owner until it has no more steps. Returns its decisions.
fn run(owner: &mut Partition, store: &mut Store, now: Time, wall: WallTime) -> Vec<Decision> {
    let mut decided = Vec::new();
    let mut steps = owner.next(now, wall);
    while !steps.is_empty() {
        let mut next = Vec::new();
        for step in steps {
            match step {
                Step::Call { call } => next.extend(owner.on_answer(store.answer(call), now)),
                Step::Decided { decision, .. } => decided.push(decision),
                Step::Settled { .. } => {}
            }
        }
        next.extend(owner.next(now, wall));
        steps = next;
    }
    decided
}

fn ident(customer: &str, key: &str) -> KeyId {
    let customer = customer.parse().expect("valid name");
    let service = "afspraak-app".parse().expect("valid name");
    let key: IdempotencyKey = key.parse().expect("valid key");
    KeyId::new(&customer, &service, &key)
}

fn request(nonce: u64, key: &str, body: &str) -> ClaimRequest {
    ClaimRequest {
        ident: ident("beurs", key),
        body: Fingerprint::of([body.as_bytes()]),
        holder: "vm-1".parse().expect("valid name"),
        nonce: Nonce::new(nonce),
        left: Span::from_secs(30),
        life: Span::from_secs(3_600),
    }
}

fn decide(store: &mut Store, request: ClaimRequest, now: Time, wall: WallTime) -> Decision {
    let mut owner = owner();
    owner.on_claim_request(request, now);
    let decided = run(&mut owner, store, now, wall);
    decided.into_iter().next().expect("a decision")
}

fn settle(store: &mut Store, nonce: u64, kept: Option<StoredResponse>) {
    let mut owner = owner();
    let settlement = Settlement {
        ident: ident("beurs", "k"),
        nonce: Nonce::new(nonce),
        kept,
    };
    owner.on_settlement(settlement, Time::ZERO);
    run(&mut owner, store, Time::ZERO, BEGIN);
}

fn response() -> StoredResponse {
    let header = Header {
        name: "content-type".to_owned(),
        value: "application/json".to_owned(),
    };
    StoredResponse::new(201, vec![header], b"{\"slot\":7}")
}

#[test]
fn a_key_at_each_turn_of_its_life() {
    let store = &mut Store::default();
    let now = Time::ZERO;
    // The `left` and the `life` of `request`, each plus the policy's skew of 120 s and one second.
    let ended = BEGIN + Span::from_secs(30 + 121);
    let expired = BEGIN + Span::from_secs(3_600 + 121);
    let seen = [
        ("first", decide(store, request(1, "k", "b"), now, BEGIN)),
        (
            "again by the same holder",
            decide(store, request(1, "k", "b"), now, BEGIN),
        ),
        ("under way", decide(store, request(2, "k", "b"), now, BEGIN)),
        (
            "another body",
            decide(store, request(3, "k", "c"), now, BEGIN),
        ),
        (
            "holder never heard of again",
            decide(store, request(4, "k", "b"), now, ended),
        ),
    ];
    settle(store, 1, None);
    let freed = [(
        "provably not run",
        decide(store, request(5, "k", "b"), now, BEGIN),
    )];
    settle(store, 5, Some(response()));
    let after = [
        ("answered", decide(store, request(6, "k", "b"), now, ended)),
        (
            "answered, another body",
            decide(store, request(7, "k", "c"), now, ended),
        ),
        ("expired", decide(store, request(8, "k", "c"), now, expired)),
    ];
    insta::assert_debug_snapshot!((seen, freed, after));
}

#[test]
fn an_owner_replays_a_response_that_is_not_yet_written() {
    let store = &mut Store::default();
    let now = Time::ZERO;
    let mut owner = Partition::new(partition_name(0), Policy::default());
    owner.on_claim_request(request(1, "k", "b"), now);
    assert_eq!(run(&mut owner, store, now, BEGIN), [Decision::MaySend]);
    let kept = StoredResponse::StatusOnly { status: 201 };
    let settlement = Settlement {
        ident: ident("beurs", "k"),
        nonce: Nonce::new(1),
        kept: Some(kept.clone()),
    };
    owner.on_settlement(settlement, now);
    let written = store.version;
    owner.on_claim_request(request(2, "k", "b"), now);
    owner.on_claim_request(request(3, "k", "other"), now);
    let decided = run(&mut owner, store, now, BEGIN);
    assert_eq!(decided, [Decision::Replay { kept }, Decision::OtherBody]);
    assert_eq!(store.version, written, "the settlement is still pending");
}

#[test]
fn another_customers_key_is_another_record() {
    let store = &mut Store::default();
    let first = request(1, "k", "b");
    let second = ClaimRequest {
        ident: ident("gemeente", "k"),
        nonce: Nonce::new(2),
        ..first.clone()
    };
    assert_eq!(decide(store, first, Time::ZERO, BEGIN), Decision::MaySend);
    assert_eq!(decide(store, second, Time::ZERO, BEGIN), Decision::MaySend);
}

#[test]
fn one_key_twice_in_one_update_is_granted_once() {
    let store = &mut Store::default();
    let mut owner = owner();
    owner.on_claim_request(request(1, "k", "b"), Time::ZERO);
    owner.on_claim_request(request(2, "k", "b"), Time::ZERO);
    owner.on_claim_request(request(3, "other", "b"), Time::ZERO);
    let decided = run(&mut owner, store, Time::ZERO, BEGIN);
    // The second claim on `k` is decided last, as it waits for the write of the first.
    let expected = [Decision::MaySend, Decision::MaySend, Decision::InProgress];
    assert_eq!(decided, expected);
    assert_eq!(store.version, 1);
}

#[test]
fn a_claim_refused_by_an_unavailable_store_leaves_the_key_free() {
    let store = &mut Store::default();
    store.unavailable = true;
    let mut owner = owner();
    let now = Time::ZERO;
    let first = request(1, "k", "b");
    let mut ticket = Ticket::new(first.ident, first.nonce, first.left, Time::NEVER, now);
    owner.on_claim_request(first, now);
    assert!(run(&mut owner, store, now, BEGIN).is_empty());
    let late = now + policy().patience.get();
    let decided = run(&mut owner, store, late, BEGIN);
    assert_eq!(decided, [Decision::StoreAway]);
    let settlement = ticket.on_decision(&decided[0]).expect("a settlement");
    assert!(!ticket.authorize_send(late));
    store.unavailable = false;
    owner.on_settlement(settlement, late);
    let back = late + policy().pause.get();
    run(&mut owner, store, back, BEGIN);
    assert!(owner.is_idle());
    assert_eq!(
        decide(store, request(2, "k", "b"), back, BEGIN),
        Decision::MaySend
    );
}

#[test]
fn a_ticket_sends_once_and_not_after_its_time() {
    let first = request(1, "k", "b");
    let within = Span::from_secs(5);
    let new = || Ticket::new(first.ident, first.nonce, within, Time::NEVER, Time::ZERO);
    let mut once = new();
    assert!(!once.authorize_send(Time::ZERO), "before it is granted");
    once.on_decision(&Decision::MaySend);
    assert!(once.authorize_send(Time::ZERO) && !once.authorize_send(Time::ZERO));
    assert_eq!(once.give_up(), None);
    let mut paused = new();
    paused.on_decision(&Decision::MaySend);
    assert!(!paused.authorize_send(Time::ZERO + within.get()));
    assert!(paused.give_up().is_some_and(|owed| owed.kept.is_none()));
}

#[test]
fn old_claims_move_to_segments_and_are_found_by_a_new_owner() {
    let store = &mut Store::default();
    let mut first = Partition::new(
        partition_name(0),
        Policy {
            seal: Bytes::new(4_096),
            ..policy()
        },
    );
    for number in 0..KEYS {
        let claimed = request(number, &format!("k{number}"), "b");
        let ident = claimed.ident;
        let nonce = claimed.nonce;
        first.on_claim_request(claimed, Time::ZERO);
        run(&mut first, store, Time::ZERO, BEGIN);
        let kept = Some(response());
        let settlement = Settlement { ident, nonce, kept };
        first.on_settlement(settlement, Time::ZERO);
        run(&mut first, store, Time::ZERO, BEGIN);
    }
    let sealed: usize = store.segments().iter().map(|s| s.records.len()).sum();
    assert_eq!(first.sealed_claims(), sealed);
    // The newest claims stay in the head.
    assert!(sealed > 1_950, "only {sealed}");

    let segments = store.segments().len() as u32;
    let before = store.reads;
    let mut second = owner();
    second.on_claim_request(request(9_000, "k0", "b"), Time::ZERO);
    second.on_claim_request(request(9_001, "k1999", "b"), Time::ZERO);
    second.on_claim_request(request(9_002, "new", "b"), Time::ZERO);
    let decided = run(&mut second, store, Time::ZERO, BEGIN);
    let replayed = decided
        .iter()
        .filter(|one| **one == Decision::Replay { kept: response() });
    assert_eq!(replayed.count(), 2);
    assert!(decided.contains(&Decision::MaySend));
    assert_eq!(second.sealed_claims(), sealed);
    // One read of the head, one segment for each of the two old keys, at most 64 segments from
    // the newest to the first with a skip index, and one for each run of 64 segments.
    let reads = store.reads - before;
    println!("{reads} reads for {sealed} claims in {segments} segments");
    assert!(reads <= 3 + 64 + segments.div_ceil(64), "{reads} reads");

    // The `life` of `request`, plus the policy's skew of 120 s and one second.
    let gone = BEGIN + Span::from_secs(3_600 + 121);
    for number in 0..KEYS {
        first.on_claim_request(
            request(10_000 + number, &format!("n{number}"), "b"),
            Time::ZERO,
        );
        run(&mut first, store, Time::ZERO, gone);
    }
    assert!(first.sealed_claims() < sealed);
    // The division gives zero for at most one segment.
    assert_eq!(
        store.segments().len() * 4_096 / 8_192,
        0,
        "segments are left"
    );
}

#[test]
fn a_follower_reads_only_what_is_new() {
    let store = &mut Store::default();
    decide(store, request(1, "k", "b"), Time::ZERO, BEGIN);
    let mut follower = owner();
    for _ in 0..3 {
        follower.on_follow();
        run(&mut follower, store, Time::ZERO, BEGIN);
    }
    assert_eq!(
        store.reads, 4,
        "one read by the owner, three by the follower"
    );
}

#[test]
fn only_the_status_of_a_large_or_binary_response_is_stored() {
    let large = vec![b'x'; STORED_RESPONSE_LIMIT + 1];
    assert_eq!(
        StoredResponse::new(200, Vec::new(), &large),
        StoredResponse::StatusOnly { status: 200 }
    );
    assert_eq!(
        StoredResponse::new(200, Vec::new(), &[0xff]),
        StoredResponse::StatusOnly { status: 200 }
    );
}

#[test]
fn keys_are_visible_ascii_and_bounded() {
    for bad in ["", "a b", "tòa", &"x".repeat(256)] {
        assert!(bad.parse::<IdempotencyKey>().is_err(), "{bad:?}");
    }
}
