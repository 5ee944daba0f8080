//! The tree over which the nodes of a data centre forward updates.
//!
//! The members of each data centre are ranked by their rendezvous scores. The
//! first few watch the platform, and a node's rank determines its parent and
//! children. Nodes with different views of the membership sometimes send a
//! message to the wrong peer. The anti-entropy messages of [`crate::spread`]
//! deliver what was missed.

use std::collections::BTreeMap;

use super::Salt;
use crate::id::{DataCentreId, VmId};

/// The salt of the ranks: `spre`, for "spread", in ASCII.
const SALT: Salt = Salt::new(0x7370_7265);

/// The ranked members of all data centres, as one node sees them.
#[derive(Debug, Clone, Default)]
pub struct Tree {
    members: BTreeMap<DataCentreId, Vec<VmId>>,
    home: Option<(DataCentreId, usize)>,
}

impl Tree {
    /// Ranks these members, which include this node, `me`.
    pub fn new<'a, M>(me: &VmId, members: M) -> Self
    where
        M: IntoIterator<Item = (&'a VmId, &'a DataCentreId)>,
    {
        let mut scored = BTreeMap::<DataCentreId, Vec<(u64, VmId)>>::new();
        for (vm, data_centre) in members {
            let score = SALT.score(data_centre.as_str(), vm.as_str());
            let ranked = scored.entry(data_centre.clone()).or_default();
            ranked.push((score, vm.clone()));
        }
        let mut tree = Self::default();
        for (data_centre, mut ranked) in scored {
            ranked.sort_unstable_by(|a, b| b.cmp(a));
            let ranked: Vec<VmId> = ranked.into_iter().map(|(_, vm)| vm).collect();
            if let Some(rank) = ranked.iter().position(|vm| vm == me) {
                tree.home = Some((data_centre.clone(), rank));
            }
            tree.members.insert(data_centre, ranked);
        }
        tree
    }

    /// Whether this node is among the `count` first-ranked members of its data centre.
    #[must_use]
    pub fn is_among_first(&self, count: usize) -> bool {
        self.home.as_ref().is_some_and(|(_, rank)| *rank < count)
    }

    /// This node's parent in its data centre; the root has none.
    #[must_use]
    pub fn parent(&self, fanout: usize) -> Option<VmId> {
        let (data_centre, rank) = self.home.as_ref()?;
        let above = rank.checked_sub(1)? / fanout;
        self.members[data_centre].get(above).cloned()
    }

    /// This node's children in its data centre, at most `fanout`.
    #[must_use]
    pub fn children(&self, fanout: usize) -> Vec<VmId> {
        let Some((data_centre, rank)) = &self.home else {
            return Vec::new();
        };
        let ranked = &self.members[data_centre];
        let first = rank * fanout + 1;
        ranked.iter().skip(first).take(fanout).cloned().collect()
    }

    /// The roots of all other data centres, if this node is the root of its own.
    #[must_use]
    pub fn remote_roots(&self) -> Vec<VmId> {
        match &self.home {
            Some((home, 0)) => self
                .members
                .iter()
                .filter(|(data_centre, _)| *data_centre != home)
                .filter_map(|(_, ranked)| ranked.first().cloned())
                .collect(),
            _ => Vec::new(),
        }
    }

    /// All members except `me`.
    pub fn others<'a>(&'a self, me: &'a VmId) -> impl Iterator<Item = &'a VmId> {
        self.members.values().flatten().filter(move |vm| *vm != me)
    }

    /// Whether `vm` is in another data centre than this node, or unknown.
    #[must_use]
    pub fn is_remote(&self, vm: &VmId) -> bool {
        let home = self.home.as_ref().map(|(data_centre, _)| data_centre);
        let ranked = home.and_then(|data_centre| self.members.get(data_centre));
        !ranked.is_some_and(|ranked| ranked.contains(vm))
    }
}
