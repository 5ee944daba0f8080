//! The slow start of an engine.

use super::job::Rates;

/// How warm an engine is, and how hard it was pushed while it was not.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Warmth {
    finished: u32,
    refused: u32,
    overload: u64,
    peak: u32,
}

impl Warmth {
    pub(super) fn chill(&mut self) {
        self.finished = 0;
        self.refused = 0;
    }

    pub(super) fn warm_up(&mut self, rates: &Rates) {
        self.finished = rates.warm_after;
    }

    pub(super) fn on_finish(&mut self, rates: &Rates) {
        self.finished = rates.warm_after.min(self.finished + 1);
        self.refused = 0;
    }

    /// From 0 (just started) to 1 (fully warm).
    fn share(self, rates: &Rates) -> f64 {
        if self.finished >= rates.warm_after {
            return 1.0;
        }
        f64::from(self.finished) / f64::from(rates.warm_after)
    }

    pub(super) fn is_cold(self, rates: &Rates) -> bool {
        self.finished < rates.warm_after
    }

    pub(super) fn speed(self, rates: &Rates) -> f64 {
        rates.cold_speed + (1.0 - rates.cold_speed) * self.share(rates)
    }

    /// Streams that it bears now.
    pub(super) fn bears(self, rates: &Rates) -> u32 {
        let cold = rates.cold_streams.min(rates.streams);
        let growth = f64::from(rates.streams - cold) * self.share(rates);
        cold + growth as u32
    }

    /// Counts work that came on top of what a cold engine bears.
    ///
    /// Answers whether that was too much: as many refused since the last
    /// finished request as it bears.
    pub(super) fn on_push(&mut self, held: u32, rates: &Rates) -> bool {
        let bears = self.bears(rates);
        self.refused += 1;
        self.overload += 1;
        let over = (held + self.refused).saturating_sub(bears);
        self.peak = self.peak.max(over);
        self.refused > bears
    }

    pub(super) fn overload(self) -> u64 {
        self.overload
    }

    pub(super) fn peak(self) -> u32 {
        self.peak
    }
}
