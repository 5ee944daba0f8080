//! The tree over which the nodes of a data centre pass news on.
//!
//! The members of each data centre stand in the order of their rendezvous
//! scores. The first few watch the platform, and the place in the order gives
//! parent and children. Nodes whose views differ send a word to the wrong peer
//! now and then, which the repair makes up for.

use std::collections::BTreeMap;

use super::Salt;
use crate::id::{DataCentreId, VmId};

const SALT: Salt = Salt::new(0x7370_7265);

/// The orders of all data centres, as one node sees them.
#[derive(Debug, Clone, Default)]
pub struct Tree {
    orders: BTreeMap<DataCentreId, Vec<VmId>>,
    home: Option<(DataCentreId, usize)>,
}

impl Tree {
    /// The orders of these members, this node `me` among them.
    pub fn new<'a, M>(me: &VmId, members: M) -> Self
    where
        M: IntoIterator<Item = (&'a VmId, &'a DataCentreId)>,
    {
        let mut scored = BTreeMap::<DataCentreId, Vec<(u64, VmId)>>::new();
        for (vm, data_centre) in members {
            let score = SALT.score(data_centre.as_str(), vm.as_str());
            let order = scored.entry(data_centre.clone()).or_default();
            order.push((score, vm.clone()));
        }
        let mut tree = Self::default();
        for (data_centre, mut order) in scored {
            order.sort_unstable_by(|a, b| b.cmp(a));
            let order: Vec<VmId> = order.into_iter().map(|(_, vm)| vm).collect();
            if let Some(place) = order.iter().position(|vm| vm == me) {
                tree.home = Some((data_centre.clone(), place));
            }
            tree.orders.insert(data_centre, order);
        }
        tree
    }

    /// Whether this node is among the first `count` of its data centre.
    #[must_use]
    pub fn is_among_first(&self, count: usize) -> bool {
        self.home.as_ref().is_some_and(|(_, place)| *place < count)
    }

    /// The parent in this node's data centre; the first has none.
    #[must_use]
    pub fn parent(&self, fanout: usize) -> Option<VmId> {
        let (data_centre, place) = self.home.as_ref()?;
        let above = place.checked_sub(1)? / fanout;
        self.orders[data_centre].get(above).cloned()
    }

    /// The children in this node's data centre, `fanout` at most.
    #[must_use]
    pub fn children(&self, fanout: usize) -> Vec<VmId> {
        let Some((data_centre, place)) = &self.home else {
            return Vec::new();
        };
        let order = &self.orders[data_centre];
        let first = place * fanout + 1;
        order.iter().skip(first).take(fanout).cloned().collect()
    }

    /// The first of every other data centre, if this node is the first of its own.
    #[must_use]
    pub fn remote_roots(&self) -> Vec<VmId> {
        match &self.home {
            Some((home, 0)) => self
                .orders
                .iter()
                .filter(|(data_centre, _)| *data_centre != home)
                .filter_map(|(_, order)| order.first().cloned())
                .collect(),
            _ => Vec::new(),
        }
    }

    /// Every other member.
    pub fn others<'a>(&'a self, me: &'a VmId) -> impl Iterator<Item = &'a VmId> {
        self.orders.values().flatten().filter(move |vm| *vm != me)
    }

    /// Whether `vm` is in another data centre than this node, or unknown.
    #[must_use]
    pub fn is_remote(&self, vm: &VmId) -> bool {
        let home = self.home.as_ref().map(|(data_centre, _)| data_centre);
        let order = home.and_then(|data_centre| self.orders.get(data_centre));
        !order.is_some_and(|order| order.contains(vm))
    }
}
