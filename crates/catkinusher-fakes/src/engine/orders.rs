//! Orders to load models, adapters and versions, or to change role.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

/// What an engine is told to do.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Order {
    /// Load a model, or another version of it.
    Load {
        /// The model.
        model: String,
        /// Its version.
        version: String,
    },
    /// Drop a model with its adapters.
    Unload {
        /// The model.
        model: String,
    },
    /// Load an adapter of a model.
    Adapter {
        /// The model.
        model: String,
        /// The adapter.
        adapter: String,
    },
    /// Change role.
    Role {
        /// The new role.
        role: String,
    },
}

/// An order with who may give it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// The fencing number of the holder who gives it.
    pub fence: u64,
    /// Names the order, so that it can be found again.
    pub id: String,
    /// The order.
    pub order: Order,
}

/// A model that is loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Loaded {
    /// The model.
    pub model: String,
    /// Its version.
    pub version: String,
    /// Its adapters.
    pub adapters: BTreeSet<String>,
}

/// What an engine has of orders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Orders {
    /// The highest fencing number it has seen.
    pub fence: u64,
    /// The models loaded.
    pub models: Vec<Loaded>,
    /// Its role.
    pub role: String,
    /// Orders applied, the oldest first; one that was given twice stands twice.
    pub applied: Vec<String>,
}

/// Why an order is not applied.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Rejection {
    /// Its fencing number is lower than the highest.
    OldFence,
    /// It is about a model that is not loaded.
    NoModel,
}

/// Applies orders.
#[derive(Debug, Clone)]
pub(super) struct OrderBook {
    fencing: bool,
    fence: u64,
    models: BTreeMap<String, Loaded>,
    role: String,
    applied: Vec<String>,
}

impl OrderBook {
    pub(super) fn new(fencing: bool, models: &[(String, String)], role: String) -> Self {
        let mut book = Self {
            fencing,
            fence: 0,
            models: BTreeMap::new(),
            role,
            applied: Vec::new(),
        };
        for (model, version) in models {
            book.load(model, version);
        }
        book
    }

    fn load(&mut self, model: &str, version: &str) {
        let loaded = Loaded {
            model: model.to_owned(),
            version: version.to_owned(),
            adapters: BTreeSet::new(),
        };
        self.models.insert(model.to_owned(), loaded);
    }

    pub(super) fn apply(&mut self, fenced: &Fenced) -> Result<(), Rejection> {
        if self.fencing && fenced.fence < self.fence {
            return Err(Rejection::OldFence);
        }
        self.fence = self.fence.max(fenced.fence);
        match &fenced.order {
            Order::Load { model, version } => self.load(model, version),
            Order::Unload { model } => {
                self.models.remove(model);
            }
            Order::Adapter { model, adapter } => {
                let loaded = self.models.get_mut(model).ok_or(Rejection::NoModel)?;
                loaded.adapters.insert(adapter.clone());
            }
            Order::Role { role } => self.role.clone_from(role),
        }
        self.applied.push(fenced.id.clone());
        Ok(())
    }

    pub(super) fn fence(&self) -> u64 {
        self.fence
    }

    /// Whether a completion of this model can run; an engine without models takes any.
    pub(super) fn serves(&self, model: &str) -> bool {
        self.models.is_empty() || self.models.contains_key(model)
    }

    pub(super) fn report(&self) -> Orders {
        Orders {
            fence: self.fence,
            models: self.models.values().cloned().collect(),
            role: self.role.clone(),
            applied: self.applied.clone(),
        }
    }
}
