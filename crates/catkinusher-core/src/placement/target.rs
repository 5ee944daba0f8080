//! The target number of copies of each model.

use std::collections::BTreeMap;

use crate::id::ModelId;

/// The number of copies, out of `slots`, that the demand of each model requires.
///
/// Each model gets one copy, and the remaining slots are divided in proportion
/// to demand, without rounding, so targets may be fractional. With fewer slots
/// than models each target is one, and the placement loads as many models as fit.
///
/// A demand that is not finite is left out of the total. Its model gets an even
/// share of the remaining slots, so the targets may then add up to more than
/// `slots`. If no demand is above zero, all models get an even share.
#[must_use]
pub fn targets(demand: &BTreeMap<ModelId, f64>, slots: usize) -> BTreeMap<ModelId, f64> {
    let rest = slots.saturating_sub(demand.len()) as f64;
    let total: f64 = demand.values().filter(|rate| rate.is_finite()).sum();
    let share = |rate: f64| {
        if total > 0.0 && rate.is_finite() {
            rest * rate / total
        } else {
            rest / demand.len().max(1) as f64
        }
    };
    demand
        .iter()
        .map(|(model, rate)| (model.clone(), 1.0 + share(*rate)))
        .collect()
}
