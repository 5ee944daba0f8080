//! Choosing an upstream and asking its owner.

use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::ask::Ask;
use catkinusher_core::id::{RequestId, UpstreamId, VmId};
use catkinusher_core::outcome::Refusal;
use catkinusher_core::owner::{Outcome, Reason, Report, RunOptions};
use catkinusher_core::route::Choice;
use catkinusher_core::time::Time;
use catkinusher_core::units::{Span, Tokens};
use catkinusher_peer::rpc::{Acquire, Acquired};
use tracing::{info, warn};

use super::Lease;
use crate::explain::Step;
use crate::node::State;

/// How long one ask may wait at an owner before it is asked again.
const ASK_WAIT: Duration = Duration::from_secs(1);

/// How much longer than that the answer may take before the owner is held silent.
const ASK_GRACE: Duration = Duration::from_millis(500);

/// How many upstreams may refuse a request before it is refused.
const REFUSALS: usize = 3;

/// How often the owner of an upstream may be out of reach before another upstream is tried.
const OWNER_TRIES: u32 = 2;

/// How often nodes may disagree on an owner before another upstream is tried.
const DISPUTES: u32 = 20;

/// How long a request waits while no upstream can be asked for.
const CHOICE_WAIT: Duration = Duration::from_secs(3);

/// The pause after an owner could not be asked.
const OWNER_PAUSE: Duration = Duration::from_millis(100);

/// What a caller is told to wait when nothing better is known.
const AGAIN: Span = Span::from_secs(1);

/// Chooses an upstream and gets a permit for it, within the request's time.
///
/// # Errors
///
/// A refusal; nothing has left this node.
pub async fn acquire(
    state: &Arc<State>,
    ask: &Ask,
    terms: RunOptions,
    avoid: &[UpstreamId],
) -> Result<Lease, Refusal> {
    let mut avoid = avoid.to_vec();
    let mut last = None;
    for _turn in 0..REFUSALS {
        let now = state.timers.now();
        let Some(choice) = choose(state, ask, terms, &avoid).await else {
            break;
        };
        log(state, ask, &choice);
        match either(state, ask, terms, &choice).await {
            Ok(lease) => return Ok(lease),
            Err(denied) => {
                state.routers.on_ended(&ask.service, &choice.upstream);
                avoid.push(choice.upstream);
                last = Some(denied.refusal(ask, now));
            }
        }
        if state.timers.now() >= ask.deadline {
            break;
        }
    }
    let nowhere = || Refusal::NoUpstream {
        service: ask.service.clone(),
        after: AGAIN,
    };
    Err(last.unwrap_or_else(nowhere))
}

/// Gets a permit for this very upstream.
///
/// # Errors
///
/// A refusal; nothing has left this node.
pub async fn acquire_at(
    state: &Arc<State>,
    ask: &Ask,
    terms: RunOptions,
    upstream: &UpstreamId,
) -> Result<Lease, Refusal> {
    let now = state.timers.now();
    state.routers.on_sent(ask, upstream, now);
    let answer = wait(state, ask, terms, upstream).await;
    answer.map_err(|denied| {
        state.routers.on_ended(&ask.service, upstream);
        denied.refusal(ask, now)
    })
}

/// Chooses, and waits a little if all upstreams are out of reach, as while owners change.
async fn choose(
    state: &Arc<State>,
    ask: &Ask,
    terms: RunOptions,
    avoid: &[UpstreamId],
) -> Option<Choice> {
    let end = ask.deadline.min(state.timers.now() + CHOICE_WAIT);
    loop {
        let now = state.timers.now();
        let choice = if terms.isolated {
            state.routers.choose_isolated(ask, avoid, now)
        } else {
            state.routers.choose(ask, avoid, now)
        };
        let drained = || {
            let catalog = state.catalog();
            let mut servers = catalog.servers_of(ask.service.as_str());
            servers.all(|server| server.drained)
        };
        if choice.is_some() || now >= end || !avoid.is_empty() || drained() {
            return choice;
        }
        state.timers.after(OWNER_PAUSE).await;
    }
}

fn log(state: &State, ask: &Ask, choice: &Choice) {
    let step = Step::Chosen {
        upstream: choice.upstream.clone(),
        reason: choice.reason,
        second: choice.second.clone(),
        predicted_ms: choice.predicted.as_millis() as u64,
    };
    state.journal.note(&ask.request, step);
    let second = choice
        .second
        .as_ref()
        .map_or("none", |second| second.as_str());
    info!(
        request = %ask.request,
        upstream = %choice.upstream,
        reason = %choice.reason,
        second,
        predicted_ms = choice.predicted.as_millis() as u64,
        class = %ask.class(),
        "route: chosen"
    );
}

/// Why an owner did not grant.
#[derive(Debug)]
enum Denied {
    /// The first token would come later than the ask's patience, after this time.
    Busy(Duration),
    /// It will not run there.
    Refused(Refusal),
}

impl Denied {
    fn refusal(self, ask: &Ask, now: Time) -> Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            Self::Busy(after) => Refusal::TooLate {
                predicted: told(after),
                left: told(ask.left(now)),
                after: AGAIN,
            },
        }
    }
}

/// Asks the owner of the choice, and that of the runner-up if the first is busier than thought.
///
/// Digests are late, so the two owners' own words decide.
async fn either(
    state: &Arc<State>,
    ask: &Ask,
    terms: RunOptions,
    choice: &Choice,
) -> Result<Lease, Denied> {
    let patient = |patience| Ask {
        patience,
        ..ask.clone()
    };
    let busy = match wait(state, &patient(choice.patience), terms, &choice.upstream).await {
        Err(Denied::Busy(after)) => after,
        settled => return settled,
    };
    if let Some(second) = &choice.second {
        info!(request = %ask.request, upstream = %second, busy_ms = busy.as_millis() as u64, "route: runner-up asked");
        if let Ok(lease) = wait(state, &patient(Some(busy)), terms, second).await {
            return Ok(lease);
        }
    }
    wait(state, &patient(None), terms, &choice.upstream).await
}

/// Asks the owner of one upstream until it has granted or refused.
async fn wait(
    state: &Arc<State>,
    ask: &Ask,
    terms: RunOptions,
    upstream: &UpstreamId,
) -> Result<Lease, Denied> {
    let mut pending = Pending {
        state: Arc::clone(state),
        upstream: upstream.clone(),
        request: ask.request.clone(),
        asked: None,
    };
    let mut hint = None;
    let mut failures = 0;
    let mut disputes = 0;
    loop {
        if failures >= OWNER_TRIES || disputes >= DISPUTES {
            return Err(Denied::Refused(gone(ask)));
        }
        let now = state.timers.now();
        if now >= ask.deadline {
            return Err(Denied::Refused(late(ask, now)));
        }
        let catalog = state.catalog();
        let Some(server) = catalog.server(upstream.as_str()) else {
            return Err(Denied::Refused(gone(ask)));
        };
        let owner = hint.take().or_else(|| state.members.owner(upstream));
        let Some(owner) = owner else {
            return Err(Denied::Refused(gone(ask)));
        };
        pending.asked = Some(owner.clone());
        match call(state, (ask, terms), upstream, &owner, now).await {
            Some(Acquired::Granted {
                permit,
                left,
                digest,
            }) => {
                pending.asked = None;
                state.routers.on_digest(upstream, digest, now);
                state.held.add(upstream, &ask.request);
                let step = Step::Granted {
                    upstream: upstream.clone(),
                    priority: permit.priority,
                    memory: permit.memory,
                    cached: permit.cached,
                };
                state.journal.note(&ask.request, step);
                return Ok(Lease {
                    state: Arc::clone(state),
                    service: ask.service.clone(),
                    upstream: upstream.clone(),
                    address: server.address,
                    permit,
                    expires: now + left.get(),
                    run_options: terms,
                    report: Report::new(Outcome::Cancelled),
                });
            }
            Some(Acquired::Queued { digest }) => {
                failures = 0;
                state.routers.on_digest(upstream, digest, now);
            }
            Some(Acquired::Refused { refusal, digest }) => {
                pending.asked = None;
                state.routers.on_digest(upstream, digest, now);
                let step = Step::Denied {
                    upstream: upstream.clone(),
                    reason: format!("{:?}", refusal.reason),
                };
                state.journal.note(&ask.request, step);
                return Err(match refusal.reason {
                    Reason::Busy => Denied::Busy(refusal.after),
                    reason => Denied::Refused(refused(state, ask, reason, refusal.after, now)),
                });
            }
            Some(Acquired::NotOwner { owner: other }) => {
                hint = other.filter(|other| *other != owner);
                disputes += 1;
                state.timers.after(OWNER_PAUSE).await;
            }
            None => {
                state.members.on_unresponsive_owner(&owner, now);
                failures += 1;
                state.timers.after(OWNER_PAUSE).await;
            }
        }
    }
}

async fn call(
    state: &Arc<State>,
    (ask, terms): (&Ask, RunOptions),
    upstream: &UpstreamId,
    owner: &VmId,
    now: Time,
) -> Option<Acquired> {
    let left = ask.left(now);
    let wait = ASK_WAIT.min(left);
    let call = Acquire {
        upstream: upstream.clone(),
        ask: ask.clone(),
        left: Span::new(left),
        holder: state.settings.node.name.clone(),
        wait: Span::new(wait),
        terms,
    };
    if *owner == state.settings.node.name {
        return Some(state.owners.acquire(call).await);
    }
    let address = state.members.address(owner)?;
    let answer = state
        .links
        .call(address, wait + ASK_GRACE, |client, context| async move {
            client.acquire(context, call).await
        })
        .await;
    match answer {
        Ok(answer) => Some(answer),
        Err(error) => {
            warn!("route: owner {owner} of {upstream} cannot be asked: {error}");
            None
        }
    }
}

/// An ask at an owner, taken back if nobody waits for its answer any more.
struct Pending {
    state: Arc<State>,
    upstream: UpstreamId,
    request: RequestId,
    asked: Option<VmId>,
}

impl Drop for Pending {
    fn drop(&mut self) {
        let Some(owner) = self.asked.take() else {
            return;
        };
        let state = Arc::clone(&self.state);
        let upstream = self.upstream.clone();
        let request = self.request.clone();
        if owner == state.settings.node.name {
            state.owners.withdraw(&upstream, &request);
            return;
        }
        tokio::spawn(async move {
            let Some(address) = state.members.address(&owner) else {
                return;
            };
            let call = state
                .links
                .call(address, ASK_GRACE, |client, context| async move {
                    client.withdraw(context, upstream, request).await
                });
            // An owner that hears nothing lets the ask go by itself.
            let _unheard = call.await;
        });
    }
}

/// A span as callers are told of it, to the millisecond.
fn told(length: Duration) -> Span {
    Span::from_millis(length.as_millis() as u64)
}

fn late(ask: &Ask, now: Time) -> Refusal {
    Refusal::TooLate {
        predicted: told(ask.left(now)),
        left: told(ask.left(now)),
        after: AGAIN,
    }
}

fn gone(ask: &Ask) -> Refusal {
    Refusal::NoUpstream {
        service: ask.service.clone(),
        after: AGAIN,
    }
}

fn refused(state: &State, ask: &Ask, reason: Reason, after: Duration, now: Time) -> Refusal {
    let service = ask.service.clone();
    let wait = told(after);
    let catalog = state.catalog();
    let engine = catalog
        .service(service.as_str())
        .and_then(|service| service.engine.as_ref());
    let limit = engine.map_or(Tokens::ZERO, |engine| engine.memory);
    match reason {
        Reason::Deadline | Reason::Busy => Refusal::TooLate {
            predicted: told(ask.left(now) + after),
            left: told(ask.left(now)),
            after: wait,
        },
        Reason::TooLarge => Refusal::PromptTooLong {
            needed: ask.memory(),
            limit,
        },
        Reason::Drained => Refusal::Drained { service },
        Reason::QueueFull | Reason::OpenLimit | Reason::OverShare => Refusal::QueueFull {
            service,
            after: wait,
        },
        Reason::Duplicate | Reason::NoUpstream => Refusal::NoUpstream {
            service,
            after: wait,
        },
    }
}
