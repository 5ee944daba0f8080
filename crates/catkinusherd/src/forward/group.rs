//! Groups of engines for prompts that exceed one engine's memory.
//!
//! Members are reserved one at a time, in the same order on all nodes, see
//! [`catkinusher_core::group`]; however the request ends, all are freed.

use std::net::SocketAddr;
use std::sync::Arc;

use catkinusher_core::ask::{Ask, Role};
use catkinusher_core::group::{Group, Member, Offer, Step, max_group_memory};
use catkinusher_core::id::{RequestId, UpstreamId};
use catkinusher_core::inventory::EngineLimits;
use catkinusher_core::outcome::Refusal;
use catkinusher_core::owner::{Outcome, Report, RunOptions, single_prompt_limit};
use catkinusher_core::units::{Span, Tokens};
use catkinusher_upstream::engine;
use tracing::info;

use crate::explain::Step as Explain;
use crate::node::State;
use crate::permit::{self, Lease};

/// How many groups are tried before the request is refused; each failure excludes the failed member.
const MAX_ATTEMPTS: usize = 3;

/// The `Retry-After` when no group can be reserved.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Whether a request needs more than one engine, and its service's engines can transfer KV caches.
pub(super) fn is_needed(ask: &Ask, engine: &EngineLimits) -> bool {
    engine.kv_transfer && ask.memory() > single_prompt_limit(engine.memory)
}

/// The permits of all engines that a request runs on.
#[derive(Debug)]
pub(super) struct Leases {
    /// The engine that gets the request.
    pub(super) lead: Lease,
    /// The other members, which only reserve memory for it.
    pub(super) others: OtherMembers,
}

/// The members of a group other than its lead; freed when dropped.
#[derive(Debug, Default)]
pub(super) struct OtherMembers(Vec<MemberLease>);

impl OtherMembers {
    /// The addresses of their engines.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        let leases = self
            .0
            .iter()
            .filter_map(|member_lease| member_lease.lease.as_ref());
        leases.map(|lease| lease.address).collect()
    }
}

/// One member's permit; also frees the memory that its engine may have reserved.
#[derive(Debug)]
struct MemberLease {
    state: Arc<State>,
    request: RequestId,
    lease: Option<Lease>,
}

impl Drop for MemberLease {
    fn drop(&mut self) {
        let Some(lease) = self.lease.take() else {
            return;
        };
        let state = Arc::clone(&self.state);
        let request = self.request.clone();
        // The engine frees its memory before the permit is released; otherwise the owner could grant
        // memory that is still in use.
        tokio::spawn(async move {
            if let Err(error) = engine::cancel(&state.control, lease.address, &request).await {
                info!(%request, upstream = %lease.upstream, "route: cannot free the memory of a group member: {error}");
            }
            lease.release(Report::new(Outcome::Cancelled));
        });
    }
}

/// Reserves a group of engines for a request, all or none of them.
///
/// # Errors
///
/// A refusal; no part of the request was sent to an engine.
pub(super) async fn acquire(
    state: &Arc<State>,
    ask: &Ask,
    engine: &EngineLimits,
    run_options: RunOptions,
    avoid: &[UpstreamId],
) -> Result<Leases, Refusal> {
    let mut avoid = avoid.to_vec();
    let mut last = None;
    for _attempt in 0..MAX_ATTEMPTS {
        let Some(group) = plan(state, ask, engine, &avoid) else {
            break;
        };
        match reserve(state, ask, run_options, group).await {
            Ok(leases) => return Ok(leases),
            Err((upstream, refusal)) => {
                info!(request = %ask.request, %upstream, "route: cannot reserve the group: {refusal}");
                avoid.push(upstream);
                last = Some(refusal);
            }
        }
    }
    Err(last.unwrap_or_else(|| planning_refusal(state, ask, engine)))
}

/// Why no group can be planned: the prompt exceeds what a group can ever hold, or too few engines are available now.
fn planning_refusal(state: &State, ask: &Ask, engine: &EngineLimits) -> Refusal {
    let catalog = state.catalog();
    let engines = catalog.servers_of(ask.service.as_str()).count();
    let limit = max_group_memory(engine.memory, engines);
    if ask.memory() > limit {
        return Refusal::PromptTooLong {
            needed: ask.memory(),
            limit,
        };
    }
    Refusal::NoUpstream {
        service: ask.service.clone(),
        after: RETRY_AFTER,
    }
}

fn plan(state: &State, ask: &Ask, engine: &EngineLimits, avoid: &[UpstreamId]) -> Option<Group> {
    let free = state.routers.free_memory(&ask.service, avoid);
    let offer =
        |free: Tokens, upstream: &UpstreamId| Offer::new(upstream.clone(), free, engine.memory);
    let free_now = free.iter().map(|(upstream, free)| offer(*free, upstream));
    // Memory that is in use can be waited for: all nodes reserve in the same order, which rules out deadlock.
    let capacity = free
        .iter()
        .map(|(upstream, _)| offer(engine.memory, upstream));
    let plan = |offers| Group::plan(ask.request.clone(), ask.memory(), offers);
    let group = plan(free_now.collect()).or_else(|| plan(capacity.collect()))?;
    let step = Explain::Grouped {
        lead: group.lead().clone(),
        members: group.members().map(|member| member.upstream).collect(),
    };
    state.journal.record(&ask.request, step);
    info!(
        request = %ask.request,
        lead = %group.lead(),
        members = group.members().count(),
        memory = %ask.memory(),
        "route: group planned"
    );
    Some(group)
}

async fn reserve(
    state: &Arc<State>,
    ask: &Ask,
    run_options: RunOptions,
    mut group: Group,
) -> Result<Leases, (UpstreamId, Refusal)> {
    let mut lead = None;
    let mut others = OtherMembers::default();
    let mut steps = group.start();
    // On an early return, dropping the leases frees what was reserved.
    while let Some(Step::Reserve(member)) = steps.pop() {
        let upstream = member.upstream.clone();
        let is_lead = *group.lead() == upstream;
        let acquired = acquire_member(state, ask, run_options, member, is_lead).await;
        let member_lease = acquired.map_err(|refusal| (upstream.clone(), refusal))?;
        if is_lead {
            lead = Some(member_lease);
        } else {
            others.0.push(member_lease);
        }
        steps = group.on_reserved(&upstream);
    }
    let lead = lead.and_then(|mut member_lease| member_lease.lease.take());
    let lead = lead.expect("a group starts only after its lead is reserved");
    Ok(Leases { lead, others })
}

/// Acquires one member's permit, and reserves the memory on its engine unless it is the lead.
async fn acquire_member(
    state: &Arc<State>,
    ask: &Ask,
    run_options: RunOptions,
    member: Member,
    is_lead: bool,
) -> Result<MemberLease, Refusal> {
    let Member { upstream, memory } = member;
    let role = if is_lead {
        Role::Lead(memory)
    } else {
        Role::Member(memory)
    };
    let ask = Ask {
        role,
        patience: None,
        ..ask.clone()
    };
    let run_options = RunOptions {
        isolated: false,
        ..run_options
    };
    let lease = permit::acquire_at(state, &ask, run_options, &upstream).await?;
    let address = lease.address;
    let member_lease = MemberLease {
        state: Arc::clone(state),
        request: ask.request.clone(),
        lease: Some(lease),
    };
    if !is_lead {
        reserve_memory(state, address, &ask, memory).await?;
    }
    Ok(member_lease)
}

async fn reserve_memory(
    state: &State,
    address: SocketAddr,
    ask: &Ask,
    memory: Tokens,
) -> Result<(), Refusal> {
    let reserved = engine::reserve(&state.control, address, &ask.request, memory).await;
    reserved.map_err(|error| {
        info!(request = %ask.request, "route: {address} did not reserve memory: {error}");
        Refusal::NoUpstream {
            service: ask.service.clone(),
            after: RETRY_AFTER,
        }
    })
}
