//! Claims on idempotency keys, and their settlement.
//!
//! A claim request goes to the owner of its key's partition, which batches many into one
//! conditional update of the partition's object. The owner only saves calls to the store: the
//! version check of the update is what prevents two claims on one key
//! (see [docs/design/outcomes.md](../../../../docs/design/outcomes.md)).

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

/// How much longer than the owner's own patience the answer to a claim request may take.
const CALL_GRACE: Duration = Duration::from_millis(300);

/// How often a settlement is sent to the owner before this node settles the claim itself; a
/// claim that is never settled expires.
const MAX_SETTLE_ATTEMPTS: u32 = 3;

enum Event {
    ClaimRequest(ClaimRequest, oneshot::Sender<Decision>),
    Settle(Settlement),
}

/// The partitions of keys, each with a task.
#[derive(Debug)]
pub struct Claims {
    partitions: Vec<mpsc::UnboundedSender<Event>>,
    patience: Span,
}

impl Claims {
    /// Starts the tasks of the partitions on the current runtime.
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

    /// Handles a claim request as the partition's owner.
    pub async fn request(&self, claim_request: ClaimRequest) -> Decision {
        let (sender, receiver) = oneshot::channel();
        let partition = claim_request.ident.partition() as usize;
        let sent = self.partitions.get(partition).is_some_and(|queue| {
            queue
                .send(Event::ClaimRequest(claim_request, sender))
                .is_ok()
        });
        if !sent {
            return Decision::StoreAway;
        }
        receiver.await.unwrap_or(Decision::StoreAway)
    }

    /// Handles the settlement of a claim as the partition's owner.
    pub fn settle(&self, settlement: Settlement) {
        let partition = settlement.ident.partition() as usize;
        if let Some(queue) = self.partitions.get(partition) {
            // The task runs as long as the process, so the channel stays open.
            let _result = queue.send(Event::Settle(settlement));
        }
    }
}

/// Asks the owner of a key's partition for the claim that permits sending a request once.
pub async fn request_claim(state: &State, claim_request: ClaimRequest) -> Decision {
    let owner = state.members.claim_owner(claim_request.ident.partition());
    let Some((owner, address)) = owner.filter(|(owner, _)| *owner != state.settings.node.name)
    else {
        return state.claims.request(claim_request).await;
    };
    let limit = state.claims.patience.get() + CALL_GRACE;
    let sent = claim_request.clone();
    let call = state
        .links
        .call(address, limit, |client, context| async move {
            client.bid(context, sent).await
        });
    match call.await {
        Ok(decision) => decision,
        Err(error) => {
            // The owner may have recorded the claim, so the same nonce is used again: a
            // claim with this nonce counts as this one.
            info!("claim: owner {owner} cannot be reached, claiming from this node: {error}");
            state.claims.request(claim_request).await
        }
    }
}

/// Sends the settlement of a claim to the owner of its key's partition.
pub async fn settle(state: &Arc<State>, settlement: Settlement) {
    for _attempt in 0..MAX_SETTLE_ATTEMPTS {
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
            .call(address, CALL_GRACE, |client, context| async move {
                client.settle(context, sent).await
            });
        if call.await.is_ok() {
            return;
        }
    }
    state.claims.settle(settlement);
}

/// The current wall clock time, by which records expire.
#[must_use]
pub fn wall_time() -> WallTime {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime::from_secs(since.map_or(0, |since| since.as_secs()))
}

/// Executes the steps of one partition.
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
                    self.execute(steps, &answers);
                }
                () = self.timers.at(wake) => {}
            }
            let steps = self.partition.next(self.timers.now(), wall_time());
            self.execute(steps, &answers);
        }
    }

    fn on_event(&mut self, event: Event) {
        let now = self.timers.now();
        match event {
            Event::ClaimRequest(claim_request, sender) => {
                self.waiting
                    .entry(claim_request.nonce)
                    .or_default()
                    .push(sender);
                self.partition.on_claim_request(claim_request, now);
            }
            Event::Settle(settlement) => self.partition.on_settlement(settlement, now),
        }
    }

    fn execute(&mut self, steps: Vec<Step>, answers: &mpsc::UnboundedSender<Answer<Value>>) {
        for step in steps {
            match step {
                Step::Call { call } => {
                    let store = self.store.clone();
                    let answers = answers.clone();
                    tokio::spawn(async move {
                        let answer = store.perform(CLAIM_KIND, call).await;
                        if matches!(answer, Answer::Lost | Answer::Away) {
                            warn!("claim: the store did not answer");
                        }
                        let _result = answers.send(answer);
                    });
                }
                Step::Decided { nonce, decision } => {
                    info!(%nonce, ?decision, "claim: decided");
                    for sender in self.waiting.remove(&nonce).unwrap_or_default() {
                        // If the caller is gone, the claim is settled elsewhere or expires.
                        let _result = sender.send(decision.clone());
                    }
                }
                Step::Settled { .. } => {}
            }
        }
    }
}
