//! Tokens from bytes, per model, corrected by what engines count.

use std::collections::BTreeMap;

use crate::id::ModelId;
use crate::units::{Bytes, Tokens};

/// Bytes of text for one token while nothing is known of a model.
pub const DEFAULT_BYTES: f64 = 4.0;

/// The weight of a usage count, by the share of its prompt in what was seen.
const GAIN: f64 = 0.05;

/// Bounds of a believable ratio.
const BOUNDS: (f64, f64) = (0.5, 16.0);

/// How far estimates are raised, since a reservation that is too small hurts more.
const MARGIN: f64 = 1.05;

/// Bytes for one token, by model.
#[derive(Debug, Clone, Default)]
pub struct TokenEstimator {
    ratios: BTreeMap<ModelId, f64>,
}

impl TokenEstimator {
    /// The estimated length of a prompt of this many bytes.
    #[must_use]
    pub fn tokens(&self, model: &ModelId, bytes: Bytes) -> Tokens {
        let ratio = self.bytes_per_token(model);
        Tokens::new((bytes.get() as f64 / ratio * MARGIN).ceil() as u64)
    }

    /// Bytes for one token of a model, as far as is known.
    #[must_use]
    pub fn bytes_per_token(&self, model: &ModelId) -> f64 {
        self.ratios.get(model).copied().unwrap_or(DEFAULT_BYTES)
    }

    /// Notes what an engine counted for a prompt of this many bytes.
    pub fn on_usage(&mut self, model: &ModelId, bytes: Bytes, counted: Tokens) {
        if counted == Tokens::ZERO || bytes == Bytes::ZERO {
            return;
        }
        let seen = bytes.get() as f64 / counted.get() as f64;
        let seen = seen.clamp(BOUNDS.0, BOUNDS.1);
        let ratio = self.ratios.entry(model.clone()).or_insert(seen);
        *ratio += (seen - *ratio) * GAIN;
    }

    /// Forgets models that are not served any more, which bounds the map.
    pub fn retain<F>(&mut self, mut served: F)
    where
        F: FnMut(&ModelId) -> bool,
    {
        self.ratios.retain(|model, _| served(model));
    }
}
