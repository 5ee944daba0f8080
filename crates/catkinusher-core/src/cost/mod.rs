//! Estimates token counts from byte lengths, per model, calibrated with the engines' counts.

use std::collections::BTreeMap;

use crate::id::ModelId;
use crate::units::{Bytes, Tokens};

/// Bytes per token of a model without any observations.
pub const DEFAULT_BYTES: f64 = 4.0;

/// Weight of one observed usage count in the moving average.
const GAIN: f64 = 0.05;

/// Plausible range of bytes per token.
const RATIO_BOUNDS: (f64, f64) = (0.5, 16.0);

/// Factor by which estimates are raised, because a reservation that is too small does more
/// harm than one that is too large.
const SAFETY_MARGIN: f64 = 1.05;

/// Estimates prompt lengths in tokens by the bytes per token of each model.
#[derive(Debug, Clone, Default)]
pub struct TokenEstimator {
    ratios: BTreeMap<ModelId, f64>,
}

impl TokenEstimator {
    /// The estimated length of a prompt of this many bytes.
    #[must_use]
    pub fn tokens(&self, model: &ModelId, bytes: Bytes) -> Tokens {
        let ratio = self.bytes_per_token(model);
        Tokens::new((bytes.get() as f64 / ratio * SAFETY_MARGIN).ceil() as u64)
    }

    /// The estimated bytes per token of a model.
    #[must_use]
    pub fn bytes_per_token(&self, model: &ModelId) -> f64 {
        self.ratios.get(model).copied().unwrap_or(DEFAULT_BYTES)
    }

    /// Records the tokens that an engine counted for a prompt of this many bytes.
    pub fn on_usage(&mut self, model: &ModelId, bytes: Bytes, counted: Tokens) {
        if counted == Tokens::ZERO || bytes == Bytes::ZERO {
            return;
        }
        let observed = bytes.get() as f64 / counted.get() as f64;
        let observed = observed.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1);
        let ratio = self.ratios.entry(model.clone()).or_insert(observed);
        *ratio += (observed - *ratio) * GAIN;
    }

    /// Removes models that are no longer served, which bounds the map.
    pub fn retain<F>(&mut self, mut served: F)
    where
        F: FnMut(&ModelId) -> bool,
    {
        self.ratios.retain(|model, _| served(model));
    }
}
