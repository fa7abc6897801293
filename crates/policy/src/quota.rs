//! An entry host's part of a client account's quota.

use crate::Tick;

/// Part of the burst that must be there for a request that is larger than it. A larger request than the whole burst would
/// else never be let in; what it takes too much is paid back before the next one.
const LARGE: f64 = 0.5;

/// Part of a burst that is there at the start. All processes of a system may be restarted twice in the window in which a
/// quota is kept before this is more than what the bounds leave.
const FIRST: f64 = 0.4;

/// A bucket that fills at the account's rate times the own part.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    units: f64,
    at: Tick,
    /// Units a second.
    rate: f64,
    /// Most units that are saved up.
    burst: f64,
    /// Units that came while it was full, since the start.
    spare: f64,
}

/// A request that is over the quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// Seconds until there is room for it.
    pub wait_s: f64,
    /// Units that are saved up; below zero what a large request before has taken too much.
    pub balance: f64,
    /// Units a second.
    pub rate: f64,
}

impl Bucket {
    /// Makes a bucket that holds a part of a burst at the start.
    ///
    /// A process that was restarted must not own again what its forerunner spent. But if it began with nothing, a restart
    /// of all processes would refuse for seconds what is within every quota: after a loss of power one request in two.
    #[must_use]
    pub fn new(burst: f64, now: Tick) -> Self {
        Self {
            units: burst * FIRST,
            at: now,
            rate: 0.0,
            burst,
            spare: 0.0,
        }
    }

    /// Changes rate and burst; what is saved up beyond the new burst is lost.
    pub fn set(&mut self, rate: f64, burst: f64, now: Tick) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.units = self.units.min(burst);
    }

    /// Takes a request's units.
    ///
    /// # Errors
    /// Tells how long the request would have to wait when there is no room for it.
    pub fn take(&mut self, units: f64, now: Tick) -> Result<(), OverQuota> {
        self.fill(now);
        let needed = units.min(self.burst * LARGE);
        if self.units < needed || self.rate <= 0.0 {
            let wait_s = (needed - self.units) / self.rate.max(f64::MIN_POSITIVE);
            return Err(OverQuota {
                wait_s,
                balance: self.units,
                rate: self.rate,
            });
        }
        self.units -= units;
        Ok(())
    }

    /// Takes a request's units only if all of them are saved up.
    ///
    /// # Errors
    /// Tells how long the request would have to wait when there is no room for it.
    pub fn take_whole(&mut self, units: f64, now: Tick) -> Result<(), OverQuota> {
        self.fill(now);
        if self.units >= units {
            self.units -= units;
            return Ok(());
        }
        Err(OverQuota {
            wait_s: (units.min(self.burst) - self.units) / self.rate.max(f64::MIN_POSITIVE),
            balance: self.units,
            rate: self.rate,
        })
    }

    /// Gives back the units of a request that no upstream ran.
    pub fn refund(&mut self, units: f64) {
        self.units = (self.units + units).min(self.burst);
    }

    /// Gives the units that came while it was full, since the start; whoever shares the quota may use them.
    #[must_use]
    pub const fn overflow(&self) -> f64 {
        self.spare
    }

    fn fill(&mut self, now: Tick) {
        let passed = now.since(self.at).as_secs_f64();
        let filled = self.units + passed * self.rate;
        self.units = filled.min(self.burst);
        self.spare += filled - self.units;
        self.at = now;
    }
}
