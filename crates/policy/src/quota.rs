//! An entry host's share of a client account's quota.

use crate::Tick;

/// Share of the burst that must be available for a request larger than it. Otherwise a request larger than the whole
/// burst could never be admitted; the bucket then goes below zero, which delays the next requests.
const MIN_FILL_SHARE: f64 = 0.5;

/// Share of the burst that is available at the start. All processes of a system may be restarted twice within the
/// window of a quota before this exceeds the slack.
const INITIAL_SHARE: f64 = 0.4;

/// A token bucket that fills at the rate of the entry host's share.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    units: f64,
    updated: Tick,
    /// Units per second.
    rate: f64,
    /// Most units that can be saved up.
    burst: f64,
    /// Units that arrived while the bucket was full, since the start.
    overflow: f64,
}

/// A request that exceeds the quota.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverQuota {
    /// Seconds until there is room for the request.
    pub wait_s: f64,
    /// Units in the bucket; negative after a request larger than its contents.
    pub balance: f64,
    /// Units per second at which the bucket fills.
    pub rate: f64,
    /// Whether the request leaves the quota to more urgent ones of its account.
    pub held_back: bool,
}

impl Bucket {
    /// Creates a bucket with a part of its burst.
    ///
    /// A restarted process must not spend again what its predecessor spent. But with an empty bucket, a restart of all
    /// processes would refuse requests within their quota for seconds: after a power loss, it refused every second
    /// request.
    #[must_use]
    pub fn new(burst: f64, now: Tick) -> Self {
        Self {
            units: burst * INITIAL_SHARE,
            updated: now,
            rate: 0.0,
            burst,
            overflow: 0.0,
        }
    }

    /// Changes rate and burst; saved units beyond the new burst are lost.
    pub fn set(&mut self, rate: f64, burst: f64, now: Tick) {
        self.fill(now);
        self.rate = rate;
        self.burst = burst;
        self.units = self.units.min(burst);
    }

    /// Takes the units of a request. A request larger than the burst may overdraw the bucket.
    ///
    /// # Errors
    /// Returns the time to wait if there is no room for the request.
    pub fn take(&mut self, units: f64, now: Tick) -> Result<(), OverQuota> {
        self.fill(now);
        let needed = units.min(self.burst * MIN_FILL_SHARE);
        if self.units < needed || self.rate <= 0.0 {
            let wait_s = (needed - self.units) / self.rate.max(f64::MIN_POSITIVE);
            return Err(OverQuota {
                wait_s,
                balance: self.units,
                rate: self.rate,
                held_back: false,
            });
        }
        self.units -= units;
        Ok(())
    }

    /// Takes the units of a request only if all of them are in the bucket.
    ///
    /// # Errors
    /// Returns the time to wait if there is no room for the request.
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
            held_back: false,
        })
    }

    /// Takes as many of the units as the bucket holds, and returns their number.
    pub fn take_available(&mut self, units: f64, now: Tick) -> f64 {
        self.fill(now);
        let taken = units.min(self.units).max(0.0);
        self.units -= taken;
        taken
    }

    /// Returns the units of a request that no upstream ran to the bucket.
    pub fn refund(&mut self, units: f64) {
        self.units = (self.units + units).min(self.burst);
    }

    /// Returns the units in the bucket as of its last use.
    #[must_use]
    pub const fn balance(&self) -> f64 {
        self.units
    }

    /// Returns the units that arrived while the bucket was full, since the start; other entry hosts may use them.
    #[must_use]
    pub const fn overflow(&self) -> f64 {
        self.overflow
    }

    fn fill(&mut self, now: Tick) {
        let elapsed = now.since(self.updated).as_secs_f64();
        let filled = self.units + elapsed * self.rate;
        self.units = filled.min(self.burst);
        self.overflow += filled - self.units;
        self.updated = now;
    }
}
