//! Demand per second, as an exponential moving average.

use crate::Tick;

/// Time constant of the average, in seconds.
const SECONDS: f64 = 1.0;

/// Measures the demand per second.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    at: Tick,
}

impl DemandMeter {
    /// Records a demand of `amount`, granted or not.
    pub fn add(&mut self, amount: f64, now: Tick) {
        self.rate = self.rate(now) + amount / SECONDS;
        self.at = self.at.max(now);
    }

    /// Returns the demand per second.
    #[must_use]
    pub fn rate(&self, now: Tick) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / SECONDS).exp()
    }
}
