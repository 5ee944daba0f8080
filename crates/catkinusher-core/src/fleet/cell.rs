//! Cells: the parts of a service's upstreams on which requests are placed as a whole.
//!
//! One node at a time places all requests of a cell, so it knows the load there
//! exactly. A small service is one cell. A large one has a cell for each data
//! centre, so that the work of the placing nodes does not grow with the fleet
//! and most traffic stays within a data centre.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use serde::{Deserialize, Serialize};

use super::{Entry, Fleet};
use crate::id::{DataCentreId, ServiceId, UpstreamId};
use crate::rendezvous::Salt;
use crate::roster::Duty;
use crate::time::Time;

const SALT: Salt = Salt::new(0x6365_6c6c);

/// The mean number of upstreams in a data centre from which it has its own cell:
/// about the largest number that works on one prompt.
const MIN_CELL_SIZE: usize = 17;

/// The utilization below which all requests stay in their own cell.
const BUSY: f32 = 0.6;

/// The utilization from which a cell gets no requests that another one cannot take.
const NEARLY_FULL: f32 = 0.95;

/// The difference in utilization that is worth a way to another data centre.
const UTILIZATION_GAP: f32 = 0.15;

/// The difference in pending prefill, in milliseconds per upstream, that is
/// worth the way of a long prompt to another data centre.
const PREFILL_GAP_MS: f32 = 250.0;

/// A part of a service's upstreams.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Cell {
    /// The service.
    pub service: ServiceId,
    /// The data centre of its upstreams, or `None` if the cell is the whole service.
    pub data_centre: Option<DataCentreId>,
}

impl Cell {
    /// The duty to place the requests of this cell.
    #[must_use]
    pub fn duty(&self) -> Duty {
        Duty {
            name: self.to_string(),
            data_centre: self.data_centre.clone(),
        }
    }
}

impl fmt::Display for Cell {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.data_centre {
            Some(data_centre) => write!(f, "{}/{data_centre}", self.service),
            None => write!(f, "{}", self.service),
        }
    }
}

/// How busy the upstreams of a cell are.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
#[serde(into = "(f32, f32)", from = "(f32, f32)")]
pub struct Pressure {
    /// The requests in progress, as a fraction of all slots.
    pub utilization: f32,
    /// The prefill work left per upstream, in milliseconds.
    pub prefill_ms: f32,
}

impl From<Pressure> for (f32, f32) {
    fn from(pressure: Pressure) -> Self {
        (pressure.utilization, pressure.prefill_ms)
    }
}

impl From<(f32, f32)> for Pressure {
    fn from((utilization, prefill_ms): (f32, f32)) -> Self {
        Self {
            utilization,
            prefill_ms,
        }
    }
}

impl Pressure {
    /// The measure that matters for long or for short prompts.
    #[must_use]
    pub const fn of(&self, is_long: bool) -> f32 {
        if is_long {
            self.prefill_ms
        } else {
            self.utilization
        }
    }

    /// Whether requests should rather go to a cell with the pressure `other`.
    #[must_use]
    pub fn is_much_above(&self, other: &Self, is_long: bool) -> bool {
        if is_long {
            self.prefill_ms > other.prefill_ms + PREFILL_GAP_MS
        } else {
            self.utilization > BUSY && self.utilization > other.utilization + UTILIZATION_GAP
        }
    }

    /// Whether another request probably finds a free slot.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.utilization < NEARLY_FULL
    }
}

/// Which services have several cells.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(super) struct Cells {
    split: BTreeSet<ServiceId>,
}

impl Cells {
    pub(super) fn new<'a, I>(entries: I) -> Self
    where
        I: Iterator<Item = &'a Entry>,
    {
        let mut sizes: BTreeMap<&ServiceId, BTreeMap<&DataCentreId, usize>> = BTreeMap::new();
        for entry in entries {
            let upstream = &entry.upstream;
            *sizes
                .entry(&upstream.service)
                .or_default()
                .entry(&upstream.data_centre)
                .or_default() += 1;
        }
        let is_large = |sizes: &BTreeMap<&DataCentreId, usize>| {
            sizes.len() > 1 && sizes.values().sum::<usize>() >= MIN_CELL_SIZE * sizes.len()
        };
        let split = sizes
            .into_iter()
            .filter(|(_, sizes)| is_large(sizes))
            .map(|(service, _)| service.clone())
            .collect();
        Self { split }
    }
}

impl Fleet {
    /// The cell of an upstream.
    #[must_use]
    pub fn cell_of(&self, id: &UpstreamId) -> Option<Cell> {
        self.entries.get(id).map(|entry| self.cell(entry))
    }

    pub(super) fn cell(&self, entry: &Entry) -> Cell {
        let upstream = &entry.upstream;
        let is_split = self.cells.split.contains(&upstream.service);
        Cell {
            service: upstream.service.clone(),
            data_centre: is_split.then(|| upstream.data_centre.clone()),
        }
    }

    /// The cells of all services that have several.
    #[must_use]
    pub fn split_cells(&self) -> BTreeSet<Cell> {
        if self.cells.split.is_empty() {
            return BTreeSet::new();
        }
        self.entries
            .values()
            .filter(|entry| self.is_open(entry))
            .map(|entry| self.cell(entry))
            .filter(|cell| cell.data_centre.is_some())
            .collect()
    }

    /// How busy the upstreams of a cell are that accept requests.
    #[must_use]
    pub fn pressure(&self, cell: &Cell, now: Time) -> Pressure {
        let (mut active, mut slots, mut prefill_ms, mut count) = (0, 0, 0, 0_u32);
        for entry in self.entries.values() {
            if entry.upstream.service == cell.service
                && self.is_open(entry)
                && self.cell(entry) == *cell
            {
                let load = self.total_load(entry, now);
                active += load.active_requests();
                slots += entry.upstream.slots;
                prefill_ms += load.pending_prefill_ms;
                count += 1;
            }
        }
        Pressure {
            utilization: active as f32 / slots.max(1) as f32,
            prefill_ms: prefill_ms as f32 / count.max(1) as f32,
        }
    }

    /// All cells that have upstreams which accept requests.
    #[must_use]
    pub fn open_cells(&self, service: &ServiceId) -> BTreeSet<Cell> {
        self.entries
            .values()
            .filter(|entry| entry.upstream.service == *service && self.is_open(entry))
            .map(|entry| self.cell(entry))
            .collect()
    }

    /// The cell to which this node, with the name `node`, sends requests for a service.
    ///
    /// It is the cell of its own data centre. If that has no usable upstreams,
    /// the nodes spread over the other cells.
    #[must_use]
    pub fn home_cell(&self, service: &ServiceId, node: &str) -> Cell {
        let whole = Cell {
            service: service.clone(),
            data_centre: None,
        };
        if !self.cells.split.contains(service) {
            return whole;
        }
        let open = self.open_cells(service);
        let home = Cell {
            service: service.clone(),
            data_centre: Some(self.home.clone()),
        };
        if open.contains(&home) {
            return home;
        }
        open.into_iter()
            .max_by_key(|cell| SALT.score(node, &cell.to_string()))
            .unwrap_or(whole)
    }
}
