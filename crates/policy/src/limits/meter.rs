//! Demand per second, as an exponential moving average.

use crate::Tick;

/// Time constant of the average, in seconds.
const TIME_CONSTANT_S: f64 = 1.0;

/// Measures the demand per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    updated: Tick,
}

impl DemandMeter {
    /// Records a demand of `amount`, granted or not.
    pub fn add(&mut self, amount: f64, now: Tick) {
        self.rate = self.rate(now) + amount / TIME_CONSTANT_S;
        self.updated = self.updated.max(now);
    }

    /// Returns the demand per second.
    #[must_use]
    pub fn rate(&self, now: Tick) -> f64 {
        self.rate * (-now.since(self.updated).as_secs_f64() / TIME_CONSTANT_S).exp()
    }
}
