//! Watches of the store: configuration, upstreams, drained data centres, nodes and quarantined content.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::marker::PhantomData;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::confirm::WatchProgress;
use catkinusher_core::feed;
use catkinusher_core::fingerprint::Fingerprint;
use catkinusher_core::freshness::StoreOutage;
use catkinusher_core::id::{DataCentreId, UpstreamId};
use catkinusher_core::roster::Member;
use catkinusher_core::time::Time;
use catkinusher_platform::{Error, Event, Object, Store, Unreadable, Version};
use serde_json::Value;
use tokio::sync::Notify;
use tracing::{info, warn};

use super::clock;
use super::dialect::{Dialect, StoreSchema};
use super::peers::Feed;
use super::quarantine;
use super::state::State;
use super::supervise;

/// How long one call waits for changes, within the store's limit. If a stalled
/// connection holds back changes, replies of peers reveal them sooner.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// How long further changes are collected after the first, as each answer costs
/// a call; far below the limits within which changes must take effect.
const COALESCE_DELAY: Duration = Duration::from_millis(400);

/// How often a node that does not watch the store checks whether it has become a reader.
const ROLE_PERIOD: Duration = Duration::from_secs(1);

/// The same before the list of nodes tells which nodes are readers.
const START_ROLE_PERIOD: Duration = Duration::from_millis(50);

/// The timeout of a call that only catches up, the shortest that the store accepts.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// The pause after the first failed call, as every call has a cost, even a refused one.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The maximum number of doublings of the pause; a confirmed configuration ends it at once.
const MAX_DOUBLINGS: u32 = 5;

/// The faults of one revision of the configuration that are logged; the others are only counted.
const MAX_LOGGED_FAULTS: usize = 20;

/// Why entries may be missing from a list although nobody has removed them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Gap {
    None,
    /// The store was unavailable until just now, so that they may have expired.
    Outage,
    /// The store came back from an older copy, which may also list what was removed since.
    Restored,
}

/// Handles the changes of one kind of object.
trait WatchHandler: Send + 'static {
    /// The feed through which readers pass on the changes, if any.
    const FEED: Option<Feed>;

    /// The kind of the objects.
    fn kind(&self) -> &'static str;

    /// Wakes the watch.
    fn notifier(&self) -> &Notify;

    /// Handles a list of all objects.
    ///
    /// `removed` are those that were known and are no longer there.
    fn on_list(&mut self, objects: Vec<Object<Value>>, removed: Vec<String>, gap: Gap);

    /// Handles a change.
    fn on_event(&mut self, event: Event<Value>, outage: bool);

    /// Calls `act` with the progress of the watch, if peers are compared with it.
    fn with_progress<T, F>(&self, act: F) -> Option<T>
    where
        F: FnOnce(&mut WatchProgress) -> T;

    /// Handles an answer that covers all changes up to `seen`; `newest` is the
    /// version of the latest change in it, if any.
    fn on_answer(&self, seen: Version, newest: Option<Version>) {
        self.with_progress(|progress| progress.on_answer(seen, newest));
    }
}

/// Starts the watches.
pub(super) fn start<D, S>(state: &Arc<State<D>>, store: &Store<S::Form>, schema: &S)
where
    D: Dialect,
    S: StoreSchema,
{
    // The parts of the configuration, and the names of drained data centres, count by themselves.
    let lenient = store.lenient();
    let kept = schema.clone();
    follow_kind::<D, S, _, _>(state, &lenient, move |state| ConfigurationHandler {
        state,
        schema: kept.clone(),
    });
    let kept = schema.clone();
    follow_kind::<D, S, _, _>(state, store, move |state| UpstreamHandler {
        state,
        schema: kept.clone(),
    });
    follow_kind::<D, S, _, _>(state, store, |state| NodeHandler::<D, S> {
        state,
        addresses: HashMap::new(),
        schema: PhantomData,
    });
    follow_kind::<D, S, _, _>(state, store, |state| QuarantineHandler::<D, S> {
        state,
        schema: PhantomData,
    });
    follow_kind::<D, S, _, _>(state, &lenient, |state| DrainHandler::<D, S> {
        state,
        data_centres: BTreeSet::new(),
        schema: PhantomData,
    });
}

/// Starts the watch of one kind; `handler` builds what handles its changes.
fn follow_kind<D, S, H, F>(state: &Arc<State<D>>, store: &Store<S::Form>, handler: F)
where
    D: Dialect,
    S: StoreSchema,
    H: WatchHandler,
    F: Fn(Arc<State<D>>) -> H + Send + 'static,
{
    let store = store.clone();
    supervise::spawn(state, "watch", move |state| {
        let handler = handler(Arc::clone(&state));
        run_watch::<D, S, _>(state, store.clone(), handler)
    });
}

async fn run_watch<D, S, F>(state: Arc<State<D>>, store: Store<S::Form>, mut handler: F)
where
    D: Dialect,
    S: StoreSchema,
    F: WatchHandler,
{
    let mut version = None;
    let mut store_outage = StoreOutage::default();
    let mut compacted = false;
    // An answer that may be old did not have the changes that a peer knows.
    let mut must_be_current = false;
    // The end of an outage after which the store has answered already.
    let mut seen_outage = Time::ZERO;
    loop {
        if F::FEED.is_none() && !state.is_reader() {
            // Only readers watch the configuration; for others it comes with the confirmations.
            state.timers.after(role_period(&state)).await;
            continue;
        }
        let mut catch_up = must_be_current;
        if !catch_up && version.is_some() && !store_outage.is_ongoing() && !state.is_reader() {
            match follow(&state, &mut handler, &mut version).await {
                Followed::Changes => continue,
                Followed::Behind => catch_up = true,
            }
        }
        let just_regained = state.regained_store_at().filter(|at| *at != seen_outage);
        let outage = store_outage.is_ongoing() || just_regained.is_some();
        let poll = Poll {
            version,
            outage,
            catch_up,
        };
        // A list begins a watch, and a catch-up is repeated until readers know no more,
        // so both may be old, unless the changes since an old list may be gone.
        let may_be_old = (version.is_none() && !compacted) || (catch_up && !must_be_current);
        // What lapsed in an outage shows only in a current answer, but not to a node that has just
        // started, and after a loss of all nodes each of them may have to list again.
        let is_first = version.is_none() && !compacted;
        let store = if may_be_old && (!outage || is_first) {
            store.stale()
        } else {
            store.clone()
        };
        let result = poll_store(&state, &store, &mut handler, poll).await;
        state.on_era(store.era());
        match result {
            Ok(PollResult { next, newest }) => {
                state.metrics.on_call(handler.kind(), "answered");
                let failures = store_outage.on_answer();
                if failures > 0 {
                    info!(
                        event = "store",
                        kind = handler.kind(),
                        outcome = "regained",
                        failures
                    );
                }
                compacted = false;
                seen_outage = just_regained.unwrap_or(seen_outage);
                let first = version.replace(next).is_none();
                handler.on_answer(next, newest);
                let is_behind = handler.with_progress(|progress| progress.is_behind());
                must_be_current = may_be_old && is_behind == Some(true);
                if must_be_current {
                    continue;
                }
                if newest.is_some() && !first {
                    state.timers.after(COALESCE_DELAY).await;
                }
            }
            Err(Error::Compacted { after }) => {
                info!(event = "store", kind = handler.kind(), outcome = "compacted", %after);
                version = None;
                compacted = true;
            }
            Err(error) => {
                if !store_outage.is_ongoing() {
                    warn!(event = "store", kind = handler.kind(), outcome = "lost", %error);
                }
                state.metrics.on_call(handler.kind(), "failed");
                let pause = RETRY_PAUSE * (1 << store_outage.on_failure().min(MAX_DOUBLINGS));
                tokio::select! {
                    () = state.timers.after(pause) => {}
                    // A peer that reaches the store may send the changes, or tell that it is back.
                    _followed = follow(&state, &mut handler, &mut version) => {}
                }
            }
        }
    }
}

fn role_period<D>(state: &State<D>) -> Duration {
    if state.roster().is_listed() {
        ROLE_PERIOD
    } else {
        START_ROLE_PERIOD
    }
}

/// Why a node that follows the readers has stopped waiting.
enum Followed {
    /// It has applied changes, or its role may have changed.
    Changes,
    /// A reader knows changes that it did not send, so the store has to be called.
    Behind,
}

/// Waits for changes that readers of the store send, and applies them.
async fn follow<D, F>(state: &State<D>, handler: &mut F, version: &mut Option<Version>) -> Followed
where
    F: WatchHandler,
{
    let Some(feed) = F::FEED else {
        handler.notifier().notified().await;
        return Followed::Behind;
    };
    tokio::select! {
        () = state.timers.after(ROLE_PERIOD) => {}
        () = state.feeds.arrived(feed) => {
            for batch in state.feeds.take(feed) {
                if !state.feeds.continues(feed, &batch) {
                    continue;
                }
                for change in &batch.changes {
                    let event = Event {
                        name: change.name.clone(),
                        version: change.version,
                        value: change.value.clone(),
                    };
                    handler.on_event(event, change.outage);
                }
                let newest = batch.changes.iter().map(|change| change.version).max();
                handler.on_answer(batch.upto, newest);
                *version = Some(batch.upto);
                state.metrics.on_call(handler.kind(), "followed");
                state.feeds.on_changes(feed, batch.upto, batch.changes);
            }
        }
        () = handler.notifier().notified() => return Followed::Behind,
    }
    Followed::Changes
}

/// How to call the store.
#[derive(Debug, Clone, Copy)]
struct Poll {
    /// The version after which to continue, or `None` for a list.
    version: Option<Version>,
    /// Whether the store was unavailable until just now.
    outage: bool,
    /// Whether to return at once even if there are no changes.
    catch_up: bool,
}

/// The result of one call.
struct PollResult {
    /// The version after which to continue.
    next: Version,
    /// The version of the latest change in the answer.
    newest: Option<Version>,
}

async fn poll_store<D, F, H>(
    state: &State<D>,
    store: &Store<F>,
    handler: &mut H,
    poll: Poll,
) -> Result<PollResult, Error>
where
    F: catkinusher_platform::form::Form,
    H: WatchHandler,
{
    let Poll {
        version,
        outage,
        catch_up,
    } = poll;
    match version {
        None => {
            let listing = store.list(handler.kind(), "").await?;
            log_unreadable(state, handler.kind(), &listing.unreadable);
            let (newest, removed, is_restored) = match H::FEED {
                Some(feed) => {
                    let difference = state.feeds.on_list(feed, &listing, outage);
                    (
                        difference.newest,
                        difference.removed,
                        difference.is_restored,
                    )
                }
                None => (listing.version, Vec::new(), false),
            };
            let gap = match (is_restored, outage) {
                (true, _) => Gap::Restored,
                (false, true) => Gap::Outage,
                (false, false) => Gap::None,
            };
            handler.on_list(listing.objects, removed, gap);
            Ok(PollResult {
                next: listing.version,
                newest: (newest > Version::NONE).then_some(newest),
            })
        }
        Some(after) => {
            // Only entries missing from the first answer after an outage may have
            // expired during it, so that call does not wait for further changes.
            let timeout = if outage || catch_up {
                MIN_WATCH_TIMEOUT
            } else {
                WATCH_TIMEOUT
            };
            let watched = tokio::select! {
                watched = store.watch(handler.kind(), after, timeout) => watched?,
                // The connection of the waiting call may have stalled.
                () = handler.notifier().notified() => store.watch(handler.kind(), after, MIN_WATCH_TIMEOUT).await?,
            };
            log_unreadable(state, handler.kind(), &watched.unreadable);
            let events = watched.events.iter().map(|event| {
                let value = event.value.clone();
                (
                    event.name.clone(),
                    value.map(|value| (event.version, value)),
                )
            });
            let changes = feed::numbered(events.collect(), watched.version, outage);
            let newest = changes.iter().map(|change| change.version).max();
            if let Some(feed) = H::FEED {
                state.feeds.on_changes(feed, watched.version, changes);
            }
            for event in watched.events {
                handler.on_event(event, outage);
            }
            Ok(PollResult {
                next: watched.version,
                newest,
            })
        }
    }
}

fn log_unreadable<D>(state: &State<D>, kind: &'static str, unreadable: &[Unreadable]) {
    for Unreadable { name, reason } in unreadable {
        state.on_bad_entry(kind, name.as_deref(), reason);
    }
}

struct ConfigurationHandler<D, S> {
    state: Arc<State<D>>,
    schema: S,
}

/// Applies a configuration object, and returns whether the configuration in
/// force is now at least as new as the object.
///
/// Returns `false` for an object that cannot be parsed: it may have revoked
/// keys, so reading it does not confirm the present configuration.
pub(super) fn apply_configuration<D, S>(
    state: &State<D>,
    schema: &S,
    name: &str,
    value: Value,
) -> bool
where
    S: StoreSchema,
{
    if name != S::CONFIGURATION.1 {
        return true;
    }
    let mut directory = match schema.parse_directory(value) {
        Ok(directory) => directory,
        Err(fault) => {
            warn!(event = "configuration", outcome = "bad", fault);
            return false;
        }
    };
    let mut view = state.view();
    let current = view.directory.as_ref().map(|one| one.revision());
    // A late answer must not restore an older revision.
    if let Some(current) = current.filter(|current| *current >= directory.revision()) {
        let revision = directory.revision();
        if revision < current {
            info!(
                event = "configuration",
                outcome = "older",
                revision,
                current
            );
        }
        return true;
    }
    info!(
        event = "configuration",
        revision = directory.revision(),
        before = current,
        routes = directory.route_count(),
    );
    for (number, fault) in directory.faults().iter().enumerate() {
        state.metrics.on_call(S::CONFIGURATION.0, "bad-entry");
        if number < MAX_LOGGED_FAULTS {
            warn!(event = "configuration", outcome = "bad-part", fault);
        }
    }
    if let Some(previous) = &view.directory {
        directory.inherit_services(previous);
    }
    view.directory = Some(Arc::new(directory));
    true
}

impl<D, S> WatchHandler for ConfigurationHandler<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    const FEED: Option<Feed> = None;

    fn kind(&self) -> &'static str {
        S::CONFIGURATION.0
    }

    fn notifier(&self) -> &Notify {
        &self.state.notifiers.configuration
    }

    fn on_list(&mut self, objects: Vec<Object<Value>>, _removed: Vec<String>, _gap: Gap) {
        for object in objects {
            // Only the reads of the confirmer decide whether an invalid object ends the trust in the configuration.
            let _is_current =
                apply_configuration(&self.state, &self.schema, &object.name, object.value);
        }
    }

    fn on_event(&mut self, event: Event<Value>, _outage: bool) {
        if let Some(value) = event.value {
            let _is_current = apply_configuration(&self.state, &self.schema, &event.name, value);
        }
    }

    fn with_progress<T, F>(&self, _act: F) -> Option<T>
    where
        F: FnOnce(&mut WatchProgress) -> T,
    {
        None
    }
}

struct UpstreamHandler<D, S> {
    state: Arc<State<D>>,
    schema: S,
}

impl<D, S> UpstreamHandler<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    fn parse(&self, name: &str, value: Value) -> Option<catkinusher_core::fleet::Upstream> {
        match self.schema.parse_upstream(name, value) {
            Ok(upstream) => Some(upstream),
            Err(fault) => {
                self.state.on_bad_entry(S::UPSTREAMS, Some(name), &fault);
                None
            }
        }
    }

    fn remove(&self, name: &str, outage: bool) {
        if let Ok(id) = name.parse::<UpstreamId>() {
            let now = self.state.now();
            self.state.fleet().on_removed(&id, outage, now);
            info!(
                event = "upstream",
                upstream = name,
                outcome = "removed",
                outage
            );
        }
    }
}

impl<D, S> WatchHandler for UpstreamHandler<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    const FEED: Option<Feed> = Some(Feed::Upstreams);

    fn kind(&self) -> &'static str {
        S::UPSTREAMS
    }

    fn notifier(&self) -> &Notify {
        &self.state.notifiers.upstreams
    }

    fn on_list(&mut self, objects: Vec<Object<Value>>, _removed: Vec<String>, gap: Gap) {
        let listed: Vec<_> = objects
            .into_iter()
            .filter_map(|object| self.parse(&object.name, object.value))
            .collect();
        info!(event = "upstreams", listed = listed.len(), ?gap);
        let now = self.state.now();
        match gap {
            Gap::Restored => self.state.fleet().on_restored_list(listed, now),
            Gap::Outage => self.state.fleet().on_list(listed, true, now),
            Gap::None => self.state.fleet().on_list(listed, false, now),
        }
        self.state.view().upstreams_listed = true;
        self.state.note_start();
    }

    fn on_event(&mut self, event: Event<Value>, outage: bool) {
        match event.value.map(|value| self.parse(&event.name, value)) {
            Some(Some(upstream)) => {
                info!(
                    event = "upstream",
                    upstream = %upstream.id,
                    service = %upstream.service,
                    leaving = upstream.leaving,
                    cold_ms = upstream.cold_for.as_millis() as u64,
                );
                let now = self.state.now();
                self.state.fleet().on_change(upstream, now);
            }
            Some(None) => self.remove(&event.name, false),
            None => self.remove(&event.name, outage),
        }
    }

    fn with_progress<T, F>(&self, act: F) -> Option<T>
    where
        F: FnOnce(&mut WatchProgress) -> T,
    {
        Some(act(&mut self.state.view().upstreams))
    }
}

struct DrainHandler<D, S> {
    state: Arc<State<D>>,
    data_centres: BTreeSet<DataCentreId>,
    schema: PhantomData<S>,
}

impl<D, S> DrainHandler<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    fn apply(&self) {
        info!(event = "drained", data_centres = ?self.data_centres);
        self.state.fleet().on_drained(self.data_centres.clone());
    }
}

impl<D, S> WatchHandler for DrainHandler<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    const FEED: Option<Feed> = Some(Feed::Drained);

    fn kind(&self) -> &'static str {
        S::DRAINED
    }

    fn notifier(&self) -> &Notify {
        &self.state.notifiers.drained
    }

    fn on_list(&mut self, objects: Vec<Object<Value>>, _removed: Vec<String>, gap: Gap) {
        self.data_centres = objects
            .iter()
            .filter_map(|object| object.name.parse().ok())
            .collect();
        if gap == Gap::Restored {
            let now = self.state.now();
            let mut fleet = self.state.fleet();
            fleet.on_restored_drains(self.data_centres.clone(), now);
        }
        self.apply();
    }

    fn on_event(&mut self, event: Event<Value>, _outage: bool) {
        let Ok(data_centre) = event.name.parse() else {
            return;
        };
        if event.value.is_some() {
            self.data_centres.insert(data_centre);
        } else {
            self.data_centres.remove(&data_centre);
        }
        self.apply();
    }

    fn with_progress<T, F>(&self, act: F) -> Option<T>
    where
        F: FnOnce(&mut WatchProgress) -> T,
    {
        Some(act(&mut self.state.view().drained))
    }
}

struct NodeHandler<D, S> {
    state: Arc<State<D>>,
    addresses: HashMap<String, SocketAddr>,
    schema: PhantomData<S>,
}

impl<D, S> NodeHandler<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    fn parse(&self, name: &str, value: Value) -> Option<Member> {
        match serde_json::from_value(value) {
            Ok(member) => Some(member),
            Err(fault) => {
                self.state
                    .on_bad_entry(S::NODES, Some(name), &fault.to_string());
                None
            }
        }
    }
}

impl<D, S> WatchHandler for NodeHandler<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    const FEED: Option<Feed> = Some(Feed::Nodes);

    fn kind(&self) -> &'static str {
        S::NODES
    }

    fn notifier(&self) -> &Notify {
        &self.state.notifiers.nodes
    }

    fn on_list(&mut self, objects: Vec<Object<Value>>, _removed: Vec<String>, gap: Gap) {
        let members: BTreeMap<String, Member> = objects
            .into_iter()
            .filter_map(|object| {
                let member = self.parse(&object.name, object.value)?;
                Some((object.name, member))
            })
            .collect();
        info!(event = "peers", listed = members.len());
        self.state
            .set_registration(members.get(self.state.settings.node.as_str()));
        let listed = members
            .iter()
            .map(|(name, member)| (name.clone(), member.address));
        let now = clock::boot_time();
        let mut roster = self.state.roster();
        let is_first = !roster.is_listed();
        if gap == Gap::Restored {
            self.addresses.extend(listed);
            roster.on_restored_list(members.into_values().collect(), now);
        } else {
            self.addresses = listed.collect();
            roster.on_list(members.into_values().collect(), now);
        }
        drop(roster);
        self.state.on_roster_changed();
        if is_first {
            // It tells which nodes are readers.
            self.state.notifiers.confirm.notify_one();
        }
    }

    fn on_event(&mut self, event: Event<Value>, _outage: bool) {
        let is_own = event.name == self.state.settings.node.as_str();
        let member = event.value.and_then(|value| self.parse(&event.name, value));
        if is_own {
            self.state.set_registration(member.as_ref());
        }
        let mut roster = self.state.roster();
        let previous = match member {
            Some(member) => {
                roster.on_joined(member.clone(), clock::boot_time());
                self.addresses.insert(event.name, member.address)
            }
            None => self.addresses.remove(&event.name),
        };
        // Another node may have been registered at this address since.
        if let Some(previous) =
            previous.filter(|address| !self.addresses.values().any(|one| one == address))
        {
            roster.on_left(previous);
        }
        drop(roster);
        self.state.on_roster_changed();
    }

    fn with_progress<T, F>(&self, act: F) -> Option<T>
    where
        F: FnOnce(&mut WatchProgress) -> T,
    {
        Some(act(&mut self.state.view().nodes))
    }
}

struct QuarantineHandler<D, S> {
    state: Arc<State<D>>,
    schema: PhantomData<S>,
}

impl<D, S> QuarantineHandler<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    fn apply(&self, name: &str, value: Value) {
        let entry = serde_json::from_value(value).map_err(|fault| fault.to_string());
        let content = name.parse::<Fingerprint>();
        match (content.map_err(|fault| fault.to_string()), entry) {
            (Ok(content), Ok(entry)) => quarantine::on_stored(&self.state, content, &entry),
            (Err(fault), _) | (_, Err(fault)) => {
                self.state.on_bad_entry(S::QUARANTINE, Some(name), &fault);
            }
        }
    }

    fn remove(&self, name: &str) {
        if let Ok(content) = name.parse() {
            quarantine::on_removed(&self.state, content);
        }
    }
}

impl<D, S> WatchHandler for QuarantineHandler<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    const FEED: Option<Feed> = Some(Feed::Quarantine);

    fn kind(&self) -> &'static str {
        S::QUARANTINE
    }

    fn notifier(&self) -> &Notify {
        &self.state.notifiers.quarantine
    }

    // Other entries that the list lacks stay, as they may not be in the store yet.
    fn on_list(&mut self, objects: Vec<Object<Value>>, removed: Vec<String>, gap: Gap) {
        let names = objects.iter().filter_map(|object| object.name.parse().ok());
        let listed: BTreeSet<Fingerprint> = names.collect();
        for object in objects {
            self.apply(&object.name, object.value);
        }
        if gap == Gap::Restored {
            quarantine::on_restored(&self.state, &listed);
        } else {
            for name in removed {
                self.remove(&name);
            }
        }
        self.state.view().quarantine_listed = true;
    }

    fn on_event(&mut self, event: Event<Value>, _outage: bool) {
        match event.value {
            Some(value) => self.apply(&event.name, value),
            None => self.remove(&event.name),
        }
    }

    fn with_progress<T, F>(&self, act: F) -> Option<T>
    where
        F: FnOnce(&mut WatchProgress) -> T,
    {
        Some(act(&mut self.state.view().quarantine))
    }
}
