//! Placement of models on engines.
//!
//! Each model gets a share of a service's upstreams in proportion to its
//! demand, at least one. The holder of the service's lease places one model at
//! a time where it helps most, within the load rate of the weight store. It
//! waits until an upstream reports the result of an order before it gives that
//! upstream another. The last copy of a model in demand is never unloaded,
//! and small changes of demand cause no moves.

mod target;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

pub use self::target::targets;
use crate::id::{DataCentreId, ModelId, UpstreamId};
use crate::time::Time;
use crate::units::{Rate, Span};

/// Settings that limit when and how often models are moved.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Settings {
    /// Maximum rate of loads from the weight store.
    pub loads: Rate,
    /// Maximum number of concurrent loads.
    pub parallel: usize,
    /// Time after which an order without a result is considered failed.
    pub order_wait: Span,
    /// Minimum deficit in copies, relative to its target, before a model gets another copy.
    pub slack: f64,
    /// Minimum time that an upstream keeps a model before it may be given another.
    pub rest: Span,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            loads: Rate::per_second(0.1),
            parallel: 4,
            order_wait: Span::from_secs(300),
            slack: 0.75,
            rest: Span::from_secs(600),
        }
    }
}

/// The last reported state of an engine of the service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Engine {
    /// The data centre of the engine.
    pub data_centre: DataCentreId,
    /// The loaded models.
    pub models: BTreeSet<ModelId>,
    /// Maximum number of loaded models.
    pub slots: usize,
    /// Whether the engine may be given orders: it is live, not drained and not shutting down.
    pub usable: bool,
}

/// Why a model is loaded on another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No usable engine holds the model.
    Missing,
    /// The model has fewer copies than its demand requires.
    Demand,
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Missing => "no engine holds it",
            Self::Demand => "its demand asks for more copies",
        })
    }
}

/// One placement decision. Its `Display` form is written to the log.
///
/// `F` is the type of the fencing token issued with the lease.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Decision<F> {
    /// The fencing token to send with both orders.
    pub fence: F,
    /// The engine that gets the model.
    pub upstream: UpstreamId,
    /// The model to load.
    pub load: ModelId,
    /// The model to unload first, if the engine has no free slot.
    pub unload: Option<ModelId>,
    /// The reason for the decision.
    pub reason: Reason,
    /// Copies of the model that are loaded or being loaded, without this one.
    pub copies: usize,
    /// The number of copies that its demand requires.
    pub target: f64,
}

impl<F> fmt::Display for Decision<F>
where
    F: fmt::Display,
{
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "load {} on {}", self.load, self.upstream)?;
        if let Some(unload) = &self.unload {
            write!(f, " in place of {unload}")?;
        }
        let Self {
            reason,
            copies,
            target,
            ..
        } = self;
        write!(f, ": {reason} ({copies} of {target:.1}), {}", self.fence)
    }
}

/// An order whose result has not been reported yet.
#[derive(Debug, Clone)]
struct Order {
    load: ModelId,
    unload: Option<ModelId>,
    expires_at: Time,
}

/// Placement state for one service's models, kept by its lease holder.
#[derive(Debug, Clone)]
pub struct Placement {
    settings: Settings,
    engines: BTreeMap<UpstreamId, Engine>,
    demand: BTreeMap<ModelId, f64>,
    orders: BTreeMap<UpstreamId, Order>,
    cooldowns: BTreeMap<UpstreamId, Time>,
    next_load: Time,
}

impl Placement {
    /// Creates an empty state. A new lease holder must read the state of all engines first.
    #[must_use]
    pub const fn new(settings: Settings, now: Time) -> Self {
        Self {
            settings,
            engines: BTreeMap::new(),
            demand: BTreeMap::new(),
            orders: BTreeMap::new(),
            cooldowns: BTreeMap::new(),
            next_load: now,
        }
    }

    /// Updates the reported state of an engine.
    pub fn on_engine(&mut self, upstream: UpstreamId, engine: Engine, now: Time) {
        let done = self.orders.get(&upstream).is_some_and(|order| {
            let unloaded = order
                .unload
                .as_ref()
                .is_none_or(|m| !engine.models.contains(m));
            unloaded && engine.models.contains(&order.load)
        });
        if done {
            self.orders.remove(&upstream);
            let until = now + self.settings.rest.get();
            self.cooldowns.insert(upstream.clone(), until);
        }
        self.engines.insert(upstream, engine);
    }

    /// Removes an engine that is no longer in the inventory.
    pub fn on_removed(&mut self, upstream: &UpstreamId) {
        self.engines.remove(upstream);
        self.orders.remove(upstream);
        self.cooldowns.remove(upstream);
    }

    /// Updates the demand of every model of the service, in any common unit.
    pub fn on_demand(&mut self, demand: BTreeMap<ModelId, f64>) {
        self.demand = demand;
    }

    /// Decides on the next load, if one is due and useful.
    ///
    /// Call this with the fencing token while the lease allows orders: again
    /// after each decision, and at [`next_wake`](Self::next_wake).
    pub fn decide<F>(&mut self, fence: F, now: Time) -> Option<Decision<F>> {
        self.orders.retain(|_, order| order.expires_at > now);
        self.cooldowns.retain(|_, until| *until > now);
        if now < self.next_load || self.orders.len() >= self.settings.parallel {
            return None;
        }
        let decision = self.choose(fence)?;
        let order = Order {
            load: decision.load.clone(),
            unload: decision.unload.clone(),
            expires_at: now + self.settings.order_wait.get(),
        };
        self.orders.insert(decision.upstream.clone(), order);
        self.next_load = now + self.settings.loads.time_for(1);
        Some(decision)
    }

    /// When the rate limit of the weight store allows the next load.
    #[must_use]
    pub const fn next_wake(&self) -> Time {
        self.next_load
    }

    /// Chooses the model with the greatest deficit and the most suitable engine for it.
    fn choose<F>(&self, fence: F) -> Option<Decision<F>> {
        let slots = self.usable().map(|(_, engine)| engine.slots).sum();
        let targets = targets(&self.demand, slots);
        let copies = self.copies();
        let count = |model: &ModelId| copies.get(model).copied().unwrap_or(0);
        let mut candidates: Vec<(&ModelId, f64)> = targets
            .iter()
            .map(|(model, target)| (model, target - count(model) as f64))
            .filter(|(model, deficit)| *deficit >= self.settings.slack || count(model) == 0)
            .collect();
        candidates.sort_by(|a, b| {
            let missing = (count(b.0) == 0).cmp(&(count(a.0) == 0));
            missing.then(b.1.total_cmp(&a.1)).then(a.0.cmp(b.0))
        });
        let (model, (upstream, unload)) = candidates.into_iter().find_map(|(model, _)| {
            let missing = count(model) == 0;
            Some((
                model,
                self.choose_engine(model, &targets, &copies, missing)?,
            ))
        })?;
        let copies = count(model);
        let reason = if copies == 0 {
            Reason::Missing
        } else {
            Reason::Demand
        };
        Some(Decision {
            fence,
            upstream: upstream.clone(),
            load: model.clone(),
            unload,
            reason,
            copies,
            target: targets[model],
        })
    }

    /// Chooses the engine for `model`: one with a free slot, or otherwise the one
    /// that holds the model with the most copies above its target. Among equals,
    /// data centres with fewer copies of `model` are preferred.
    fn choose_engine(
        &self,
        model: &ModelId,
        targets: &BTreeMap<ModelId, f64>,
        copies: &BTreeMap<ModelId, usize>,
        missing: bool,
    ) -> Option<(&UpstreamId, Option<ModelId>)> {
        let copies_by_data_centre = self.copies_by_data_centre(model);
        let mut candidates: Vec<(f64, usize, &UpstreamId, Option<ModelId>)> = Vec::new();
        for (upstream, engine) in self.usable() {
            let cooling_down = self.cooldowns.contains_key(upstream) && !missing;
            if engine.models.contains(model) || self.orders.contains_key(upstream) || cooling_down {
                continue;
            }
            let local_copies = copies_by_data_centre
                .get(&engine.data_centre)
                .copied()
                .unwrap_or(0);
            if engine.models.len() < engine.slots {
                candidates.push((f64::MAX, local_copies, upstream, None));
                continue;
            }
            for held in &engine.models {
                let count = copies.get(held).copied().unwrap_or(0);
                let target = targets.get(held).copied().unwrap_or(0.0);
                let surplus = count as f64 - target;
                let replaceable = surplus >= self.settings.slack || (missing && count > 1);
                if replaceable && (count > 1 || target == 0.0) {
                    candidates.push((surplus, local_copies, upstream, Some(held.clone())));
                }
            }
        }
        candidates
            .into_iter()
            .min_by(|a, b| {
                let by_surplus = b.0.total_cmp(&a.0);
                by_surplus.then(a.1.cmp(&b.1)).then(a.2.cmp(b.2))
            })
            .map(|(_, _, upstream, unload)| (upstream, unload))
    }

    fn usable(&self) -> impl Iterator<Item = (&UpstreamId, &Engine)> {
        self.engines.iter().filter(|(_, engine)| engine.usable)
    }

    /// The number of copies of each model, including those being loaded and excluding those being
    /// unloaded.
    fn copies(&self) -> BTreeMap<ModelId, usize> {
        let mut copies = BTreeMap::<ModelId, usize>::new();
        for (upstream, engine) in self.usable() {
            let order = self.orders.get(upstream);
            let unload = order.and_then(|order| order.unload.as_ref());
            let kept = engine.models.iter().filter(|model| Some(*model) != unload);
            let load = order.map(|order| &order.load);
            let held: BTreeSet<&ModelId> = kept.chain(load).collect();
            for model in held {
                *copies.entry(model.clone()).or_default() += 1;
            }
        }
        copies
    }

    fn copies_by_data_centre(&self, model: &ModelId) -> BTreeMap<&DataCentreId, usize> {
        let mut copies = BTreeMap::new();
        for (_, engine) in self.usable().filter(|(_, e)| e.models.contains(model)) {
            *copies.entry(&engine.data_centre).or_default() += 1;
        }
        copies
    }
}
