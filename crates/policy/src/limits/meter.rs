//! Demand a second, averaged over the last second or so.

use crate::Tick;

/// Time constant of the average, in seconds.
const SECONDS: f64 = 1.0;

/// Measures how much a second is asked for.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandMeter {
    rate: f64,
    at: Tick,
}

impl DemandMeter {
    /// Notes that an amount was asked for.
    pub fn add(&mut self, amount: f64, now: Tick) {
        self.rate = self.rate(now) + amount / SECONDS;
        self.at = self.at.max(now);
    }

    /// Gives the amount a second.
    #[must_use]
    pub fn rate(&self, now: Tick) -> f64 {
        self.rate * (-now.since(self.at).as_secs_f64() / SECONDS).exp()
    }
}
