//! Chooses an upstream and requests a permit from its owner.

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

/// How long one call may wait in an owner's queue before it is repeated.
const ASK_WAIT: Duration = Duration::from_secs(1);

/// How much later the answer may arrive before the owner counts as unresponsive.
const ASK_GRACE: Duration = Duration::from_millis(500);

/// The number of upstreams tried before the request is refused.
const MAX_UPSTREAMS: usize = 3;

/// The number of failed calls to the owner of an upstream before another upstream is tried.
const MAX_OWNER_FAILURES: u32 = 2;

/// The number of `NotOwner` answers, as nodes disagree on the owner, before another upstream is
/// tried.
const MAX_OWNER_DISPUTES: u32 = 20;

/// How long a request waits while no upstream is available.
const CHOICE_WAIT: Duration = Duration::from_secs(3);

/// The delay before another attempt after an owner could not be asked.
const OWNER_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The retry delay given to callers when no better estimate is known.
const DEFAULT_RETRY_AFTER: Span = Span::from_secs(1);

/// Chooses an upstream and acquires a permit for it, within the request's deadline.
///
/// # Errors
///
/// A refusal; the request has not been sent to any upstream.
pub async fn acquire(
    state: &Arc<State>,
    ask: &Ask,
    run_options: RunOptions,
    avoid: &[UpstreamId],
) -> Result<Lease, Refusal> {
    let mut avoid = avoid.to_vec();
    let mut last = None;
    for _attempt in 0..MAX_UPSTREAMS {
        let now = state.timers.now();
        let Some(choice) = choose(state, ask, run_options, &avoid).await else {
            break;
        };
        log_choice(state, ask, &choice);
        match acquire_choice(state, ask, run_options, &choice).await {
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
    let no_upstream = || Refusal::NoUpstream {
        service: ask.service.clone(),
        after: DEFAULT_RETRY_AFTER,
    };
    Err(last.unwrap_or_else(no_upstream))
}

/// Acquires a permit for the given upstream.
///
/// # Errors
///
/// A refusal; the request has not been sent to the upstream.
pub async fn acquire_at(
    state: &Arc<State>,
    ask: &Ask,
    run_options: RunOptions,
    upstream: &UpstreamId,
) -> Result<Lease, Refusal> {
    let now = state.timers.now();
    state.routers.on_sent(ask, upstream, now);
    let result = await_permit(state, ask, run_options, upstream).await;
    result.map_err(|denied| {
        state.routers.on_ended(&ask.service, upstream);
        denied.refusal(ask, now)
    })
}

/// Chooses an upstream; if none is reachable, as while owners change, retries for up to
/// [`CHOICE_WAIT`].
async fn choose(
    state: &Arc<State>,
    ask: &Ask,
    run_options: RunOptions,
    avoid: &[UpstreamId],
) -> Option<Choice> {
    let end = ask.deadline.min(state.timers.now() + CHOICE_WAIT);
    loop {
        let now = state.timers.now();
        let choice = if run_options.isolated {
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
        state.timers.after(OWNER_RETRY_DELAY).await;
    }
}

fn log_choice(state: &State, ask: &Ask, choice: &Choice) {
    let step = Step::Chosen {
        upstream: choice.upstream.clone(),
        reason: choice.reason,
        second: choice.second.clone(),
        predicted_ms: choice.predicted.as_millis() as u64,
    };
    state.journal.record(&ask.request, step);
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

/// Why an owner did not grant a permit.
#[derive(Debug)]
enum Denied {
    /// The first token is expected after this time, which exceeds the request's patience.
    Busy(Duration),
    /// The request cannot run on this upstream.
    Refused(Refusal),
}

impl Denied {
    fn refusal(self, ask: &Ask, now: Time) -> Refusal {
        match self {
            Self::Refused(refusal) => refusal,
            Self::Busy(after) => Refusal::TooLate {
                predicted: to_millis(after),
                left: to_millis(ask.left(now)),
                after: DEFAULT_RETRY_AFTER,
            },
        }
    }
}

/// Asks the owner of the chosen upstream, and that of the second choice if the first is busier
/// than predicted.
///
/// Digests lag behind, so the answers of the two owners decide.
async fn acquire_choice(
    state: &Arc<State>,
    ask: &Ask,
    run_options: RunOptions,
    choice: &Choice,
) -> Result<Lease, Denied> {
    let with_patience = |patience| Ask {
        patience,
        ..ask.clone()
    };
    let busy = match await_permit(
        state,
        &with_patience(choice.patience),
        run_options,
        &choice.upstream,
    )
    .await
    {
        Err(Denied::Busy(after)) => after,
        result => return result,
    };
    if let Some(second) = &choice.second {
        info!(request = %ask.request, upstream = %second, busy_ms = busy.as_millis() as u64, "route: second choice asked");
        if let Ok(lease) =
            await_permit(state, &with_patience(Some(busy)), run_options, second).await
        {
            return Ok(lease);
        }
    }
    await_permit(state, &with_patience(None), run_options, &choice.upstream).await
}

/// Asks the owner of one upstream until it grants or refuses a permit.
async fn await_permit(
    state: &Arc<State>,
    ask: &Ask,
    run_options: RunOptions,
    upstream: &UpstreamId,
) -> Result<Lease, Denied> {
    let mut pending = PendingAcquire {
        state: Arc::clone(state),
        upstream: upstream.clone(),
        request: ask.request.clone(),
        asked: None,
    };
    let mut owner_hint = None;
    let mut failures = 0;
    let mut disputes = 0;
    loop {
        if failures >= MAX_OWNER_FAILURES || disputes >= MAX_OWNER_DISPUTES {
            return Err(Denied::Refused(no_upstream(ask)));
        }
        let now = state.timers.now();
        if now >= ask.deadline {
            return Err(Denied::Refused(deadline_passed(ask, now)));
        }
        let catalog = state.catalog();
        let Some(server) = catalog.server(upstream.as_str()) else {
            return Err(Denied::Refused(no_upstream(ask)));
        };
        let owner = owner_hint.take().or_else(|| state.members.owner(upstream));
        let Some(owner) = owner else {
            return Err(Denied::Refused(no_upstream(ask)));
        };
        pending.asked = Some(owner.clone());
        match call_owner(state, (ask, run_options), upstream, &owner, now).await {
            Some(Acquired::Granted {
                permit,
                left,
                digest,
            }) => {
                pending.asked = None;
                state.routers.on_digest(upstream, digest, now);
                state.held_permits.add(upstream, &ask.request);
                let step = Step::Granted {
                    upstream: upstream.clone(),
                    priority: permit.priority,
                    memory: permit.memory,
                    cached: permit.cached,
                };
                state.journal.record(&ask.request, step);
                return Ok(Lease {
                    state: Arc::clone(state),
                    service: ask.service.clone(),
                    upstream: upstream.clone(),
                    address: server.address,
                    permit,
                    expires: now + left.get(),
                    run_options,
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
                state.journal.record(&ask.request, step);
                return Err(match refusal.reason {
                    Reason::Busy => Denied::Busy(refusal.after),
                    reason => Denied::Refused(to_refusal(state, ask, reason, refusal.after, now)),
                });
            }
            Some(Acquired::NotOwner { owner: other }) => {
                owner_hint = other.filter(|other| *other != owner);
                disputes += 1;
                state.timers.after(OWNER_RETRY_DELAY).await;
            }
            None => {
                state.members.on_unresponsive_owner(&owner, now);
                failures += 1;
                state.timers.after(OWNER_RETRY_DELAY).await;
            }
        }
    }
}

async fn call_owner(
    state: &Arc<State>,
    (ask, run_options): (&Ask, RunOptions),
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
        terms: run_options,
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
            warn!("route: owner {owner} of {upstream} cannot be reached: {error}");
            None
        }
    }
}

/// A request for a permit, withdrawn from the owner if dropped before the answer.
struct PendingAcquire {
    state: Arc<State>,
    upstream: UpstreamId,
    request: RequestId,
    asked: Option<VmId>,
}

impl Drop for PendingAcquire {
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
            // An owner that misses this call drops the request after a timeout.
            let _result = call.await;
        });
    }
}

/// Rounds a duration down to the milliseconds reported to callers.
fn to_millis(length: Duration) -> Span {
    Span::from_millis(length.as_millis() as u64)
}

fn deadline_passed(ask: &Ask, now: Time) -> Refusal {
    Refusal::TooLate {
        predicted: to_millis(ask.left(now)),
        left: to_millis(ask.left(now)),
        after: DEFAULT_RETRY_AFTER,
    }
}

fn no_upstream(ask: &Ask) -> Refusal {
    Refusal::NoUpstream {
        service: ask.service.clone(),
        after: DEFAULT_RETRY_AFTER,
    }
}

fn to_refusal(state: &State, ask: &Ask, reason: Reason, after: Duration, now: Time) -> Refusal {
    let service = ask.service.clone();
    let wait = to_millis(after);
    let catalog = state.catalog();
    let engine = catalog
        .service(service.as_str())
        .and_then(|service| service.engine.as_ref());
    let limit = engine.map_or(Tokens::ZERO, |engine| engine.memory);
    match reason {
        Reason::Deadline | Reason::Busy => Refusal::TooLate {
            predicted: to_millis(ask.left(now) + after),
            left: to_millis(ask.left(now)),
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
