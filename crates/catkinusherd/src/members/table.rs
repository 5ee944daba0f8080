//! The owners of the partitions of idempotency keys, derived from the members.

use std::collections::BTreeMap;

use catkinusher_core::claim::PARTITIONS;
use catkinusher_core::id::{DataCentreId, VmId};
use catkinusher_core::rendezvous::Salt;

/// The rendezvous hashing salt for the owners of partitions: "clai" in ASCII.
const SALT: Salt = Salt::new(0x636c_6169);

/// For each partition of idempotency keys, the member that writes its claims to the platform.
#[derive(Debug, Default)]
pub(super) struct ClaimOwners {
    owners: Vec<VmId>,
}

impl ClaimOwners {
    /// Recomputes the owners for the given members.
    pub(super) fn set_members(&mut self, members: &BTreeMap<VmId, DataCentreId>) {
        let best = |partition: u32| {
            let name = partition.to_string();
            members
                .keys()
                .max_by_key(|vm| SALT.score(&name, vm.as_str()))
                .cloned()
        };
        self.owners = (0..PARTITIONS).filter_map(best).collect();
    }

    pub(super) fn owner(&self, partition: u32) -> Option<&VmId> {
        self.owners.get(partition as usize)
    }
}
