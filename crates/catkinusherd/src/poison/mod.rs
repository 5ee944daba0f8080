//! Quarantine of requests that crash upstreams: reported by owners, replicated among the nodes.
//!
//! The owner of an upstream knows which requests ran when the upstream
//! restarted with a new incarnation. Each node sends the digest of its
//! quarantine to a few peers at a time; entries are sent only where the digests differ.

use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::id::{Incarnation, VmId};
use catkinusher_core::inventory::ServiceKind;
use catkinusher_core::outcome::Refusal;
use catkinusher_core::owner::{Outcome, Report, RunOptions};
use catkinusher_core::poison::{QuarantineEntry, Verdict};
use catkinusher_peer::rpc::Note;
use catkinusher_upstream::{Error, engine, plain};
use rand::seq::IteratorRandom;
use tracing::{debug, info};

use crate::node::State;
use crate::permit::Lease;

/// The interval at which a node sends the digest of its quarantine to peers.
const PERIOD: Duration = Duration::from_secs(2);

/// The number of peers that a digest is sent to.
const FANOUT: usize = 3;

/// How often the upstream of a broken connection is asked for its incarnation.
const MAX_CHECKS: u32 = 3;

/// The number of upstreams that may crash while running a request before it is no longer retried.
pub const MAX_CRASHES: u32 = 2;

/// The time limit of one message to a peer.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

/// Handles crashes and replicates the quarantine, until the node stops.
pub async fn run(state: Arc<State>) {
    let mut ticks = state.timers.every(PERIOD);
    loop {
        tokio::select! {
            crashes = state.owners.next_crashes() => on_crashes(&state, &crashes),
            () = state.quarantine_changed.notified() => {}
            alive = ticks.next() => {
                if !alive {
                    return;
                }
            }
        }
        send_digest(&state);
    }
}

fn on_crashes(state: &State, crashes: &[Vec<Fingerprint>]) {
    let now = state.timers.now();
    let mut quarantine = state.quarantine();
    for running in crashes {
        quarantine.on_crash(running, now);
    }
}

/// Sends the digest of the quarantine to a few peers.
fn send_digest(state: &Arc<State>) {
    let digest = {
        let mut quarantine = state.quarantine();
        quarantine.on_time(state.timers.now());
        if quarantine.is_empty() {
            return;
        }
        quarantine.digest()
    };
    let me = &state.settings.node.name;
    let others = state.members.reachable().into_keys();
    let others = others.filter(|vm| vm != me);
    for vm in others.sample(&mut rand::rng(), FANOUT) {
        send(state, vm, Note::Guilt(digest));
    }
}

fn send(state: &Arc<State>, to: VmId, note: Note) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let Some(address) = state.members.address(&to) else {
            return;
        };
        let from = state.settings.node.name.clone();
        let call = state
            .links
            .call(address, SEND_TIMEOUT, |client, context| async move {
                client.tell(context, from, vec![note]).await
            });
        if let Err(error) = call.await {
            debug!("poison: cannot send to {to}: {error}");
        }
    });
}

/// Compares a peer's digest with this node's, and sends the peer the entries if they differ.
pub fn on_digest(state: &Arc<State>, from: &VmId, digest: u64) {
    let now = state.timers.now();
    let rumours = {
        let mut quarantine = state.quarantine();
        quarantine.on_time(now);
        if quarantine.digest() == digest {
            return;
        }
        quarantine.entries_for_peer(now)
    };
    let back = true;
    send(state, from.clone(), Note::Poison { rumours, back });
}

/// Merges a peer's entries, and replies with this node's if `back` is set.
pub fn on_entries(state: &Arc<State>, from: &VmId, rumours: &[QuarantineEntry], back: bool) {
    let now = state.timers.now();
    let (changed, known) = {
        let mut quarantine = state.quarantine();
        let before = quarantine.digest();
        quarantine.merge(rumours, now);
        (
            quarantine.digest() != before,
            quarantine.entries_for_peer(now),
        )
    };
    if back {
        let note = Note::Poison {
            rumours: known,
            back: false,
        };
        send(state, from.clone(), note);
    }
    if changed {
        state.quarantine_changed.notify_one();
    }
}

/// Returns whether a request must run isolated from others, by its quarantine entry.
///
/// `crashed` means that an upstream just crashed while running the request,
/// which other nodes may not know yet.
///
/// # Errors
///
/// A refusal if the request is proven to crash upstreams.
pub fn run_options(
    state: &State,
    fingerprint: Fingerprint,
    crashed: bool,
) -> Result<RunOptions, Refusal> {
    let now = state.timers.now();
    let isolated = match state.quarantine().check(fingerprint, now) {
        Verdict::Run => crashed,
        Verdict::Isolated => true,
        Verdict::Refuse { left } => return Err(Refusal::Quarantined { left }),
    };
    let fingerprint = Some(fingerprint);
    Ok(RunOptions {
        fingerprint,
        isolated,
    })
}

/// Clears a request that ran isolated to its end.
pub fn on_finish(state: &State, run_options: RunOptions) {
    let Some(fingerprint) = run_options.fingerprint.filter(|_| run_options.isolated) else {
        return;
    };
    info!("poison: {fingerprint} finished without a crash while isolated and is cleared");
    state.quarantine().on_finish(fingerprint);
    state.quarantine_changed.notify_one();
}

/// The result of checking an upstream after the connection of a request broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamCheck {
    /// There is no sign of a crash.
    Unknown,
    /// Its process has ended: connections are refused.
    ProcessEnded,
    /// It has restarted with this incarnation.
    Restarted(Incarnation),
}

impl UpstreamCheck {
    /// Whether the upstream crashed while running the request.
    #[must_use]
    pub const fn is_crash(self) -> bool {
        !matches!(self, Self::Unknown)
    }

    /// Adds the result to the report for the owner.
    pub const fn add_to(self, report: &mut Report) {
        match self {
            Self::Unknown => {}
            Self::ProcessEnded => report.outcome = Outcome::Crashed,
            Self::Restarted(incarnation) => report.incarnation = Some(incarnation),
        }
    }
}

/// Checks the upstream of a request whose connection broke for a crash.
///
/// An upstream that does not answer does not count as crashed: its VM may be gone or the network
/// interrupted, and its requests are retried elsewhere like any other.
pub async fn check_upstream(state: &State, lease: &Lease) -> UpstreamCheck {
    let catalog = state.catalog();
    let Some(server) = catalog.server(lease.upstream.as_str()) else {
        return UpstreamCheck::Unknown;
    };
    let kind = catalog
        .service(server.service.as_str())
        .map(|service| service.kind);
    // The first attempt may use a pooled connection that broke together with the request's.
    for _attempt in 0..MAX_CHECKS {
        let incarnation = if kind == Some(ServiceKind::Plain) {
            let load = plain::load(&state.control, lease.address).await;
            load.map(|load| load.incarnation)
        } else {
            let list = engine::running(&state.control, lease.address).await;
            list.map(|list| list.incarnation)
        };
        let old = lease.permit.incarnation;
        match incarnation {
            Ok(incarnation) if old != Incarnation::default() && incarnation > old => {
                return UpstreamCheck::Restarted(incarnation);
            }
            Ok(_same) => return UpstreamCheck::Unknown,
            Err(Error::NotSent { .. }) => return UpstreamCheck::ProcessEnded,
            Err(Error::Silent { .. }) => return UpstreamCheck::Unknown,
            Err(_broken) => {}
        }
    }
    UpstreamCheck::Unknown
}
