//! Idempotency keys: bids on them, and what became of them.
//!
//! A bid goes to the owner of its key's partition, who puts many into one
//! conditional update of the partition's object. That it has an owner only
//! saves calls: the update's version check is what keeps two claims on one key
//! apart (see [docs/design/outcomes.md](../../../../docs/design/outcomes.md)).

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use catkinusher_core::claim::{
    CLAIM_KIND, ClaimRequest, Decision, Nonce, PARTITIONS, Partition, Policy, Settlement, Step,
    Value, WallTime, partition_name,
};
use catkinusher_core::id::VmId;
use catkinusher_core::object::Answer;
use catkinusher_core::units::Span;
use catkinusher_platform::{Priority, Store};
use tokio::sync::{mpsc, oneshot};
use tracing::{info, warn};

use crate::node::State;
use crate::timer::Timers;

/// How much longer than the owner's own patience a bid's answer may take.
const BID_GRACE: Duration = Duration::from_millis(300);

/// How often a settlement is sent before it is left to expiry.
const SETTLE_TRIES: u32 = 3;

enum Event {
    ClaimRequest(ClaimRequest, oneshot::Sender<Decision>),
    Settle(Settlement),
}

/// The partitions of keys, each with a task once it is used.
#[derive(Debug)]
pub struct Claims {
    partitions: Vec<mpsc::UnboundedSender<Event>>,
    patience: Span,
}

impl Claims {
    /// Starts the partitions on the present runtime.
    #[must_use]
    pub fn start(store: &Store, timers: &Timers) -> Self {
        let policy = Policy::default();
        let partitions = (0..PARTITIONS).map(|number| {
            let (sender, receiver) = mpsc::unbounded_channel();
            let name = partition_name(number);
            let driver = Driver {
                partition: Partition::new(name.clone(), policy),
                store: store.at(Priority::Claim),
                timers: timers.clone(),
                waiting: HashMap::new(),
            };
            tokio::spawn(driver.run(receiver));
            sender
        });
        Self {
            partitions: partitions.collect(),
            patience: policy.patience,
        }
    }

    /// Puts in a bid as the partition's owner.
    pub async fn request(&self, bid: ClaimRequest) -> Decision {
        let (sender, receiver) = oneshot::channel();
        let partition = bid.ident.partition() as usize;
        let sent = self
            .partitions
            .get(partition)
            .is_some_and(|queue| queue.send(Event::ClaimRequest(bid, sender)).is_ok());
        if !sent {
            return Decision::StoreAway;
        }
        receiver.await.unwrap_or(Decision::StoreAway)
    }

    /// Takes in what a claim came to, as the partition's owner.
    pub fn settle(&self, settlement: Settlement) {
        let partition = settlement.ident.partition() as usize;
        if let Some(queue) = self.partitions.get(partition) {
            // The task ends only with the process.
            let _ended = queue.send(Event::Settle(settlement));
        }
    }
}

/// Asks the owner of a key's partition for the right to send a request once.
pub async fn request_claim(state: &State, bid: ClaimRequest) -> Decision {
    let owner = state.members.claim_owner(bid.ident.partition());
    let Some((owner, address)) = owner.filter(|(owner, _)| *owner != state.settings.node.name)
    else {
        return state.claims.request(bid).await;
    };
    let limit = state.claims.patience.get() + BID_GRACE;
    let sent = bid.clone();
    let call = state
        .links
        .call(address, limit, |client, context| async move {
            client.bid(context, sent).await
        });
    match call.await {
        Ok(decision) => decision,
        Err(error) => {
            // The bid may stand, so it is put in again under its own number: a
            // claim that bears it counts as this one.
            info!("claim: owner {owner} can't be asked, done here: {error}");
            state.claims.request(bid).await
        }
    }
}

/// Tells the owner of a key's partition what a claim came to.
pub async fn settle(state: &Arc<State>, settlement: Settlement) {
    for _try in 0..SETTLE_TRIES {
        let owner = state.members.claim_owner(settlement.ident.partition());
        let Some((_owner, address)) =
            owner.filter(|(owner, _): &(VmId, _)| *owner != state.settings.node.name)
        else {
            state.claims.settle(settlement);
            return;
        };
        let sent = settlement.clone();
        let call = state
            .links
            .call(address, BID_GRACE, |client, context| async move {
                client.settle(context, sent).await
            });
        if call.await.is_ok() {
            return;
        }
    }
    state.claims.settle(settlement);
}

/// The present moment by the wall clock, to which records expire.
#[must_use]
pub fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime::from_secs(since.map_or(0, |since| since.as_secs()))
}

/// Carries out what one partition asks for.
struct Driver {
    partition: Partition,
    store: Store,
    timers: Timers,
    waiting: HashMap<Nonce, Vec<oneshot::Sender<Decision>>>,
}

impl Driver {
    async fn run(mut self, mut events: mpsc::UnboundedReceiver<Event>) {
        let (answers, mut answered) = mpsc::unbounded_channel();
        loop {
            let wake = self.partition.wake();
            tokio::select! {
                event = events.recv() => match event {
                    Some(event) => self.on_event(event),
                    None => return,
                },
                Some(answer) = answered.recv() => {
                    let now = self.timers.now();
                    let steps = self.partition.on_answer(answer, now);
                    self.carry_out(steps, &answers);
                }
                () = self.timers.at(wake) => {}
            }
            let steps = self.partition.next(self.timers.now(), wall_time());
            self.carry_out(steps, &answers);
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.timers.now();
        match event {
            Event::ClaimRequest(bid, sender) => {
                self.waiting.entry(bid.nonce).or_default().push(sender);
                self.partition.on_claim_request(bid, now);
            }
            Event::Settle(settlement) => self.partition.on_settlement(settlement, now),
        }
    }

    fn carry_out(&mut self, steps: Vec<Step>, answers: &mpsc::UnboundedSender<Answer<Value>>) {
        for step in steps {
            match step {
                Step::Call { call } => {
                    let store = self.store.clone();
                    let answers = answers.clone();
                    tokio::spawn(async move {
                        let answer = store.perform(CLAIM_KIND, call).await;
                        if matches!(answer, Answer::Lost | Answer::Away) {
                            warn!("claim: the store gave no answer");
                        }
                        let _ended = answers.send(answer);
                    });
                }
                Step::Decided { nonce, decision } => {
                    info!(%nonce, ?decision, "claim: decided");
                    for sender in self.waiting.remove(&nonce).unwrap_or_default() {
                        // A holder that is gone settles or lets the claim expire.
                        let _gone = sender.send(decision.clone());
                    }
                }
                Step::Settled { .. } => {}
            }
        }
    }
}
