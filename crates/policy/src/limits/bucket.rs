//! A token bucket with a variable rate, for one limit at one entry host.

use std::time::Duration;

use crate::{Tick, duration_from_secs};

/// Time for which a bucket saves up unused allowance.
pub const BURST: Duration = Duration::from_secs(1);

/// A token bucket whose rate may change at any time.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    rate: f64,
    level: f64,
    filled: Tick,
}

impl Bucket {
    /// Creates a full bucket; `rate` is per second.
    #[must_use]
    pub fn new(rate: f64, now: Tick) -> Self {
        Self {
            rate,
            level: burst(rate),
            filled: now,
        }
    }

    /// Changes the rate; saved allowance beyond the new burst is lost.
    pub fn set_rate(&mut self, rate: f64, now: Tick) {
        self.fill(now);
        self.rate = rate;
        self.level = self.level.min(burst(rate));
    }

    /// Takes an amount if enough allowance is left.
    ///
    /// One request may take the level below zero, so that a request larger than the burst is not refused for ever.
    ///
    /// # Errors
    /// Returns the time after which to retry.
    pub fn take(&mut self, amount: f64, now: Tick) -> Result<(), Duration> {
        self.fill(now);
        let needed = amount.min(burst(self.rate));
        if self.level < needed {
            return Err(duration_from_secs(
                ((needed - self.level) / self.rate.max(1e-9)).min(3_600.0),
            ));
        }
        self.level -= amount;
        Ok(())
    }

    /// Returns an unused amount to the bucket; a negative amount takes what was used beyond the estimate.
    pub fn correct(&mut self, amount: f64) {
        self.level = (self.level + amount).min(burst(self.rate));
    }

    fn fill(&mut self, now: Tick) {
        let gained = now.since(self.filled).as_secs_f64() * self.rate;
        self.level = (self.level + gained).min(burst(self.rate));
        self.filled = self.filled.max(now);
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(1.0)
}
