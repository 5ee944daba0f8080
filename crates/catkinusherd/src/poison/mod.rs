//! Requests that crash upstreams: learnt from owners, spread among the nodes.
//!
//! An owner knows what ran when its upstream came back in a new life. Nodes
//! compare digests of what they know with a few others at a time, and send
//! entries only where the digests differ.

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

/// How often a node compares what it knows with others.
const PERIOD: Duration = Duration::from_secs(2);

/// With how many others it does so at a time.
const FANOUT: usize = 3;

/// How often the upstream of a broken request is asked for its life.
const LOOKS: u32 = 3;

/// How many upstreams may crash under a request before it is not tried again.
pub const MAX_CRASHES: u32 = 2;

/// How long telling a peer may take.
const TELL_LIMIT: Duration = Duration::from_secs(1);

/// Takes in crashes and spreads what is known, until the node ends.
pub async fn run(state: Arc<State>) {
    let mut ticks = state.timers.every(PERIOD);
    loop {
        tokio::select! {
            crashes = state.owners.next_crashes() => on_crashes(&state, &crashes),
            () = state.guilt.notified() => {}
            alive = ticks.next() => {
                if !alive {
                    return;
                }
            }
        }
        compare(&state);
    }
}

fn on_crashes(state: &State, crashes: &[Vec<Fingerprint>]) {
    let now = state.timers.now();
    let mut quarantine = state.quarantine();
    for running in crashes {
        quarantine.on_crash(running, now);
    }
}

/// Sends a few peers the digest of what this node knows.
fn compare(state: &Arc<State>) {
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
        tell(state, vm, Note::Guilt(digest));
    }
}

fn tell(state: &Arc<State>, to: VmId, note: Note) {
    let state = Arc::clone(state);
    tokio::spawn(async move {
        let Some(address) = state.members.address(&to) else {
            return;
        };
        let from = state.settings.node.name.clone();
        let call = state
            .links
            .call(address, TELL_LIMIT, |client, context| async move {
                client.tell(context, from, vec![note]).await
            });
        if let Err(error) = call.await {
            debug!("poison: {to} can't be told: {error}");
        }
    });
}

/// Takes in a peer's digest, and answers with entries if it differs.
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
    tell(state, from.clone(), Note::Poison { rumours, back });
}

/// Takes in a peer's entries, and answers with this node's if the peer wants them.
pub fn on_entries(state: &Arc<State>, from: &VmId, rumours: &[QuarantineEntry], back: bool) {
    let now = state.timers.now();
    let (news, known) = {
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
        tell(state, from.clone(), note);
    }
    if news {
        state.guilt.notify_one();
    }
}

/// How a request may run beside others, given what is known of it.
///
/// `crashed` tells that an upstream crashed under it just now, which the rest
/// of the fleet may not know yet.
///
/// # Errors
///
/// A refusal for a request that is proven to crash upstreams.
pub fn run_options(
    state: &State,
    print: Fingerprint,
    crashed: bool,
) -> Result<RunOptions, Refusal> {
    let now = state.timers.now();
    let isolated = match state.quarantine().check(print, now) {
        Verdict::Run => crashed,
        Verdict::Isolated => true,
        Verdict::Refuse { left } => return Err(Refusal::Quarantined { left }),
    };
    let fingerprint = Some(print);
    Ok(RunOptions {
        fingerprint,
        isolated,
    })
}

/// Takes in that a request ran to its end.
pub fn on_finish(state: &State, terms: RunOptions) {
    let Some(print) = terms.fingerprint.filter(|_| terms.isolated) else {
        return;
    };
    info!("poison: {print} ran apart to its end and is cleared");
    state.quarantine().on_finish(print);
    state.guilt.notify_one();
}

/// What a look at the upstream of a broken request tells.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamCheck {
    /// It may well be alive.
    Unknown,
    /// Its process has ended.
    ProcessEnded,
    /// It has come back in this life.
    Restarted(Incarnation),
}

impl UpstreamCheck {
    /// Whether the upstream crashed under the request.
    #[must_use]
    pub const fn is_crash(self) -> bool {
        !matches!(self, Self::Unknown)
    }

    /// Puts into a report what the owner should know of it.
    pub const fn add_to(self, report: &mut Report) {
        match self {
            Self::Unknown => {}
            Self::ProcessEnded => report.outcome = Outcome::Crashed,
            Self::Restarted(life) => report.incarnation = Some(life),
        }
    }
}

/// Looks at the upstream of a request whose connection broke.
///
/// One that is silent is no crash: its VM may be gone or the network broken,
/// and what ran there goes on elsewhere like any other request.
pub async fn check_upstream(state: &State, lease: &Lease) -> UpstreamCheck {
    let catalog = state.catalog();
    let Some(server) = catalog.server(lease.upstream.as_str()) else {
        return UpstreamCheck::Unknown;
    };
    let kind = catalog
        .service(server.service.as_str())
        .map(|service| service.kind);
    // The first connection may be a kept one that broke with the request's.
    for _try in 0..LOOKS {
        let life = if kind == Some(ServiceKind::Plain) {
            let load = plain::load(&state.control, lease.address).await;
            load.map(|load| load.incarnation)
        } else {
            let list = engine::running(&state.control, lease.address).await;
            list.map(|list| list.incarnation)
        };
        let old = lease.permit.incarnation;
        match life {
            Ok(life) if old != Incarnation::default() && life > old => {
                return UpstreamCheck::Restarted(life);
            }
            Ok(_same) => return UpstreamCheck::Unknown,
            Err(Error::NotSent { .. }) => return UpstreamCheck::ProcessEnded,
            Err(Error::Silent { .. }) => return UpstreamCheck::Unknown,
            Err(_broken) => {}
        }
    }
    UpstreamCheck::Unknown
}
