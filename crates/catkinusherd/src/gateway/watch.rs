//! Watches of the store: configuration, upstreams and drained data centres.

use std::collections::BTreeSet;
use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::freshness::StoreOutage;
use catkinusher_core::id::{DataCentreId, UpstreamId};
use catkinusher_platform::{Error, Event, Object, Store, Version};
use serde_json::Value;
use tokio::sync::Notify;
use tracing::{info, warn};

use super::dialect::{Dialect, StoreSchema};
use super::state::State;

/// How long one call waits for changes, within the store's limit. If a stalled
/// connection holds back changes, replies of peers reveal them sooner.
const WATCH_TIMEOUT: Duration = Duration::from_secs(25);

/// How long further changes are collected after the first, as each answer costs
/// a call; far below the limits within which changes must take effect.
const COALESCE_DELAY: Duration = Duration::from_millis(400);

/// The timeout of a call that only catches up, the shortest that the store accepts.
const MIN_WATCH_TIMEOUT: Duration = Duration::from_millis(1);

/// The pause after the first failed call, as every call has a cost, even a refused one.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The maximum number of doublings of the pause; a confirmed configuration ends it at once.
const MAX_DOUBLINGS: u32 = 5;

/// Handles the changes of one kind of object.
trait WatchHandler: Send + 'static {
    /// The kind of the objects.
    fn kind(&self) -> &'static str;

    /// Wakes the watch.
    fn notifier(&self) -> &Notify;

    /// Handles a list of all objects; `outage` is set if the store was unavailable until just now.
    fn on_list(&mut self, objects: Vec<Object<Value>>, outage: bool);

    /// Handles a change.
    fn on_event(&mut self, event: Event<Value>, outage: bool);

    /// Handles an answer that covers all changes up to `seen`; `newest` is the
    /// version of the latest change in it, if any.
    fn on_answer(&mut self, seen: Version, newest: Option<Version>);
}

/// Starts the watches.
pub(super) fn start<D, S>(state: &Arc<State<D>>, store: &Store<S::Form>, schema: &S)
where
    D: Dialect,
    S: StoreSchema,
{
    let configuration = ConfigurationHandler {
        state: Arc::clone(state),
        schema: schema.clone(),
    };
    tokio::spawn(run_watch::<D, S, _>(
        Arc::clone(state),
        store.clone(),
        configuration,
    ));
    let upstreams = UpstreamHandler {
        state: Arc::clone(state),
        schema: schema.clone(),
    };
    tokio::spawn(run_watch::<D, S, _>(
        Arc::clone(state),
        store.clone(),
        upstreams,
    ));
    let drained = DrainHandler::<D, S> {
        state: Arc::clone(state),
        data_centres: BTreeSet::new(),
        schema: PhantomData,
    };
    tokio::spawn(run_watch::<D, S, _>(
        Arc::clone(state),
        store.clone(),
        drained,
    ));
}

async fn run_watch<D, S, F>(state: Arc<State<D>>, store: Store<S::Form>, mut handler: F)
where
    D: Dialect,
    S: StoreSchema,
    F: WatchHandler,
{
    let mut version = None;
    let mut store_outage = StoreOutage::default();
    loop {
        let outcome = poll_store(&store, &mut handler, version, store_outage.is_ongoing()).await;
        match outcome {
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
                let first = version.replace(next).is_none();
                handler.on_answer(next, newest);
                if newest.is_some() && !first {
                    state.timers.after(COALESCE_DELAY).await;
                }
            }
            Err(Error::Compacted { after }) => {
                info!(event = "store", kind = handler.kind(), outcome = "compacted", %after);
                version = None;
            }
            Err(error) => {
                if !store_outage.is_ongoing() {
                    warn!(event = "store", kind = handler.kind(), outcome = "lost", %error);
                }
                state.metrics.on_call(handler.kind(), "failed");
                let pause = RETRY_PAUSE * (1 << store_outage.on_failure().min(MAX_DOUBLINGS));
                tokio::select! {
                    () = state.timers.after(pause) => {}
                    () = handler.notifier().notified() => {}
                }
            }
        }
    }
}

/// The result of one call.
struct PollResult {
    /// The version after which to continue.
    next: Version,
    /// The version of the latest change in the answer.
    newest: Option<Version>,
}

async fn poll_store<F, H>(
    store: &Store<F>,
    handler: &mut H,
    version: Option<Version>,
    outage: bool,
) -> Result<PollResult, Error>
where
    F: catkinusher_platform::form::Form,
    H: WatchHandler,
{
    match version {
        None => {
            let listing = store.list(handler.kind(), "").await?;
            let newest = listing.objects.iter().map(|object| object.version).max();
            handler.on_list(listing.objects, outage);
            Ok(PollResult {
                next: listing.version,
                newest,
            })
        }
        Some(version) => {
            // Only entries missing from the first answer after an outage may have
            // expired during it, so that call does not wait for further changes.
            let timeout = if outage {
                MIN_WATCH_TIMEOUT
            } else {
                WATCH_TIMEOUT
            };
            let watched = tokio::select! {
                watched = store.watch(handler.kind(), version, timeout) => watched?,
                // The connection of the waiting call may have stalled.
                () = handler.notifier().notified() => store.watch(handler.kind(), version, MIN_WATCH_TIMEOUT).await?,
            };
            // A removal event may carry the version of the object's last change.
            let version = |event: &Event<Value>| match event.value {
                Some(_) => event.version,
                None => watched.version,
            };
            let newest = watched.events.iter().map(version).max();
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
    let directory = match schema.parse_directory(value) {
        Ok(directory) => directory,
        Err(fault) => {
            warn!(event = "configuration", outcome = "bad", fault);
            return false;
        }
    };
    let mut view = state.view();
    let current = view.directory.as_ref().map(|one| one.revision());
    // A late answer must not restore an older revision.
    if current.is_some_and(|current| current >= directory.revision()) {
        return true;
    }
    info!(
        event = "configuration",
        revision = directory.revision(),
        before = current,
        routes = directory.route_count(),
    );
    view.directory = Some(Arc::new(directory));
    true
}

impl<D, S> WatchHandler for ConfigurationHandler<D, S>
where
    D: Dialect,
    S: StoreSchema,
{
    fn kind(&self) -> &'static str {
        S::CONFIGURATION.0
    }

    fn notifier(&self) -> &Notify {
        &self.state.notifiers.configuration
    }

    fn on_list(&mut self, objects: Vec<Object<Value>>, _outage: bool) {
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

    fn on_answer(&mut self, _seen: Version, _newest: Option<Version>) {}
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
                warn!(
                    event = "upstream",
                    upstream = name,
                    outcome = "bad-entry",
                    fault
                );
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
    fn kind(&self) -> &'static str {
        S::UPSTREAMS
    }

    fn notifier(&self) -> &Notify {
        &self.state.notifiers.upstreams
    }

    fn on_list(&mut self, objects: Vec<Object<Value>>, outage: bool) {
        let listed: Vec<_> = objects
            .into_iter()
            .filter_map(|object| self.parse(&object.name, object.value))
            .collect();
        info!(event = "upstreams", listed = listed.len(), outage);
        let now = self.state.now();
        self.state.fleet().on_list(listed, outage, now);
        self.state.view().upstreams_listed = true;
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

    fn on_answer(&mut self, seen: Version, newest: Option<Version>) {
        self.state.view().upstreams.on_answer(seen, newest);
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
    fn kind(&self) -> &'static str {
        S::DRAINED
    }

    fn notifier(&self) -> &Notify {
        &self.state.notifiers.drained
    }

    fn on_list(&mut self, objects: Vec<Object<Value>>, _outage: bool) {
        self.data_centres = objects
            .iter()
            .filter_map(|object| object.name.parse().ok())
            .collect();
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

    fn on_answer(&mut self, seen: Version, newest: Option<Version>) {
        self.state.view().drained.on_answer(seen, newest);
    }
}
