//! Following the store: configuration, upstreams and drained data centres.

use std::collections::BTreeSet;
use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;

use catkinusher_core::freshness::Absence;
use catkinusher_core::id::{DataCentreId, UpstreamId};
use catkinusher_core::time::Time;
use catkinusher_platform::{Error, Event, Object, Store, Version};
use serde_json::Value;
use tracing::{info, warn};

use super::clock;
use super::dialect::{Dialect, Source};
use super::state::State;

/// The wait for changes of what rarely changes; keep-alive probes find dead connections sooner.
const LONG_WAIT: Duration = Duration::from_secs(8);

/// The wait of a call that only catches up, the least that the store takes.
const NO_WAIT: Duration = Duration::from_millis(1);

/// The pause after a first failed call; each costs, also when refused.
const PAUSE: Duration = Duration::from_millis(60);

/// The longest pause after failed calls, well within the bounds on changes.
const PAUSE_LIMIT: Duration = Duration::from_millis(800);

/// What follows one kind of object.
trait Follow: Send + 'static {
    /// The kind.
    fn kind(&self) -> &'static str;

    /// How long to wait for changes.
    fn wait(&self) -> Duration;

    /// Takes in all objects; `outage` tells that the store was away until just now.
    fn on_list(&mut self, objects: Vec<Object<Value>>, outage: bool);

    /// Takes in a change.
    fn on_event(&mut self, event: Event<Value>, outage: bool);

    /// Takes in that a read which began at `began` has confirmed all before.
    fn on_confirmed(&mut self, began: Time);
}

/// Starts the watches.
pub(super) fn start<D, S>(state: &Arc<State<D>>, store: &Store<S::Form>, source: &S)
where
    D: Dialect,
    S: Source,
{
    let configuration = Configuration {
        state: Arc::clone(state),
        source: source.clone(),
    };
    tokio::spawn(follow::<D, S, _>(
        Arc::clone(state),
        store.clone(),
        configuration,
    ));
    let upstreams = Upstreams {
        state: Arc::clone(state),
        source: source.clone(),
    };
    tokio::spawn(follow::<D, S, _>(
        Arc::clone(state),
        store.clone(),
        upstreams,
    ));
    let drained = Drained::<D, S> {
        state: Arc::clone(state),
        zones: BTreeSet::new(),
        source: PhantomData,
    };
    tokio::spawn(follow::<D, S, _>(Arc::clone(state), store.clone(), drained));
}

async fn follow<D, S, F>(state: Arc<State<D>>, store: Store<S::Form>, mut what: F)
where
    D: Dialect,
    S: Source,
    F: Follow,
{
    let mut version = None;
    let mut absence = Absence::default();
    loop {
        let began = clock::elapsed();
        let outcome = step(&store, &mut what, version, absence.is_away()).await;
        match outcome {
            Ok(next) => {
                state.metrics.on_call(what.kind(), "answered");
                let failures = absence.on_answer();
                if failures > 0 {
                    info!(
                        event = "store",
                        kind = what.kind(),
                        outcome = "regained",
                        failures
                    );
                }
                version = Some(next);
                what.on_confirmed(began);
            }
            Err(Error::Compacted { after }) => {
                info!(event = "store", kind = what.kind(), outcome = "compacted", %after);
                version = None;
            }
            Err(error) => {
                if !absence.is_away() {
                    warn!(event = "store", kind = what.kind(), outcome = "lost", %error);
                }
                state.metrics.on_call(what.kind(), "failed");
                let pause = PAUSE * (1 << absence.on_failure().min(5));
                state.timers.after(pause.min(PAUSE_LIMIT)).await;
            }
        }
    }
}

async fn step<F, What>(
    store: &Store<F>,
    what: &mut What,
    version: Option<Version>,
    outage: bool,
) -> Result<Version, Error>
where
    F: catkinusher_platform::form::Form,
    What: Follow,
{
    match version {
        None => {
            let listing = store.list(what.kind(), "").await?;
            what.on_list(listing.objects, outage);
            Ok(listing.version)
        }
        Some(version) => {
            // After an outage only what is known at once may have lapsed in it.
            let wait = if outage { NO_WAIT } else { what.wait() };
            let watched = store.watch(what.kind(), version, wait).await?;
            for event in watched.events {
                what.on_event(event, outage);
            }
            Ok(watched.version)
        }
    }
}

struct Configuration<D, S> {
    state: Arc<State<D>>,
    source: S,
}

impl<D, S> Configuration<D, S>
where
    D: Dialect,
    S: Source,
{
    fn take(&self, name: &str, value: Value) {
        if name != S::CONFIGURATION.1 {
            return;
        }
        let directory = match self.source.directory(value) {
            Ok(directory) => directory,
            Err(fault) => {
                warn!(event = "configuration", outcome = "bad", fault);
                return;
            }
        };
        let mut view = self.state.view();
        let present = view.directory.as_ref().map(|one| one.revision());
        // An answer that was overtaken must not bring an older revision back.
        if present.is_some_and(|present| present >= directory.revision()) {
            return;
        }
        info!(
            event = "configuration",
            revision = directory.revision(),
            before = present,
            routes = directory.routes(),
        );
        view.directory = Some(Arc::new(directory));
    }
}

impl<D, S> Follow for Configuration<D, S>
where
    D: Dialect,
    S: Source,
{
    fn kind(&self) -> &'static str {
        S::CONFIGURATION.0
    }

    fn wait(&self) -> Duration {
        self.state.settings.wait
    }

    fn on_list(&mut self, objects: Vec<Object<Value>>, _outage: bool) {
        for object in objects {
            self.take(&object.name, object.value);
        }
    }

    fn on_event(&mut self, event: Event<Value>, _outage: bool) {
        if let Some(value) = event.value {
            self.take(&event.name, value);
        }
    }

    fn on_confirmed(&mut self, began: Time) {
        self.state.view().freshness.on_confirmed(began);
    }
}

struct Upstreams<D, S> {
    state: Arc<State<D>>,
    source: S,
}

impl<D, S> Upstreams<D, S>
where
    D: Dialect,
    S: Source,
{
    fn read(&self, name: &str, value: Value) -> Option<catkinusher_core::fleet::Upstream> {
        match self.source.upstream(name, value) {
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

impl<D, S> Follow for Upstreams<D, S>
where
    D: Dialect,
    S: Source,
{
    fn kind(&self) -> &'static str {
        S::UPSTREAMS
    }

    fn wait(&self) -> Duration {
        LONG_WAIT
    }

    fn on_list(&mut self, objects: Vec<Object<Value>>, outage: bool) {
        let listed: Vec<_> = objects
            .into_iter()
            .filter_map(|object| self.read(&object.name, object.value))
            .collect();
        info!(event = "upstreams", listed = listed.len(), outage);
        let now = self.state.now();
        self.state.fleet().on_list(listed, outage, now);
        self.state.view().listed = true;
    }

    fn on_event(&mut self, event: Event<Value>, outage: bool) {
        match event.value.map(|value| self.read(&event.name, value)) {
            Some(Some(upstream)) => {
                info!(
                    event = "upstream",
                    upstream = %upstream.id,
                    service = %upstream.service,
                    leaving = upstream.leaving,
                    cold_ms = upstream.cold.as_millis() as u64,
                );
                let now = self.state.now();
                self.state.fleet().on_change(upstream, now);
            }
            Some(None) => self.remove(&event.name, false),
            None => self.remove(&event.name, outage),
        }
    }

    fn on_confirmed(&mut self, _began: Time) {
        let now = self.state.now();
        for gone in self.state.fleet().expire(now) {
            info!(event = "upstream", upstream = %gone, outcome = "lapsed");
        }
    }
}

struct Drained<D, S> {
    state: Arc<State<D>>,
    zones: BTreeSet<DataCentreId>,
    source: PhantomData<S>,
}

impl<D, S> Drained<D, S>
where
    D: Dialect,
    S: Source,
{
    fn update(&self) {
        info!(event = "drained", data_centres = ?self.zones);
        self.state.fleet().on_drained(self.zones.clone());
    }
}

impl<D, S> Follow for Drained<D, S>
where
    D: Dialect,
    S: Source,
{
    fn kind(&self) -> &'static str {
        S::DRAINED
    }

    fn wait(&self) -> Duration {
        LONG_WAIT
    }

    fn on_list(&mut self, objects: Vec<Object<Value>>, _outage: bool) {
        self.zones = objects
            .iter()
            .filter_map(|object| object.name.parse().ok())
            .collect();
        self.update();
    }

    fn on_event(&mut self, event: Event<Value>, _outage: bool) {
        let Ok(zone) = event.name.parse() else {
            return;
        };
        if event.value.is_some() {
            self.zones.insert(zone);
        } else {
            self.zones.remove(&zone);
        }
        self.update();
    }

    fn on_confirmed(&mut self, _began: Time) {}
}
