//! An inventory in one line.

use std::fmt;

use catkinusher_core::inventory::Inventory;

/// How many entries of each kind an inventory has.
pub(super) struct Summary<'a>(pub(super) &'a Inventory);

impl fmt::Display for Summary<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Inventory {
            data_centres,
            vms,
            services,
            upstreams,
            customers,
            rules,
        } = self.0;
        write!(
            f,
            "{} data centres, {} VMs, {} services, {} upstreams, {} customers, {} rules",
            data_centres.len(),
            vms.len(),
            services.len(),
            upstreams.len(),
            customers.len(),
            rules.len(),
        )
    }
}
