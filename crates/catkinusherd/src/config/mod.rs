//! The configuration in force on this node.

use std::sync::Arc;

use catkinusher_core::catalog::Catalog;
use catkinusher_core::inventory;
use tracing::{info, warn};

use crate::node::State;

/// A configuration with its version.
#[derive(Debug, Clone, Default)]
pub struct Config {
    /// The version of its object, or 0 if there is no configuration yet.
    pub version: u64,
    /// The catalog built from the inventory.
    pub catalog: Arc<Catalog>,
}

/// Puts a revision in force, unless it is invalid or not newer than the current one.
pub fn apply(state: &State, version: u64, text: &str) {
    if version <= state.config.borrow().version {
        return;
    }
    let inventory = match inventory::read(text) {
        Ok(inventory) => inventory,
        Err(faults) => {
            warn!("config: version {version} is invalid and ignored: {faults}");
            return;
        }
    };
    let catalog = Arc::new(Catalog::new(inventory));
    let now = state.timers.now();
    state.routers.on_catalog(&catalog, now);
    state.members.on_catalog(&catalog, now);
    state
        .config
        .send_replace(Arc::new(Config { version, catalog }));
    state.update_ownership();
    info!("config: version {version} is in force");
}
