//! Backoff after refused host starts, by zone and machine class.

use std::collections::HashMap;
use std::time::Duration;

use contract::{HostClass, Zone};

use crate::Tick;

/// Shortest and longest pause after a refused start.
const PAUSE: (Duration, Duration) = (Duration::from_secs(5), Duration::from_mins(5));

/// Zones and machine classes whose starts were refused lately.
///
/// After a wave of reclaims, everyone asks the same zones for hosts. Repeating a refused start at once takes the time
/// in which another zone would have provided a host.
#[derive(Debug, Default)]
pub struct Backoff {
    refused: HashMap<(Zone, HostClass), RefusedStart>,
}

#[derive(Clone, Copy, Debug)]
struct RefusedStart {
    times: u32,
    until: Tick,
}

impl Backoff {
    /// Records a refused start; each consecutive one doubles the pause.
    pub fn refused(&mut self, zone: &Zone, class: HostClass, now: Tick) {
        let key = (zone.clone(), class);
        let times = self.refused.get(&key).map_or(0, |before| before.times);
        let pause = PAUSE.0.saturating_mul(2_u32.saturating_pow(times)).min(PAUSE.1);
        self.refused.insert(
            key,
            RefusedStart {
                times: times + 1,
                until: now + pause,
            },
        );
    }

    /// Records a successful start, which ends the backoff.
    pub fn started(&mut self, zone: &Zone, class: HostClass) {
        self.refused.remove(&(zone.clone(), class));
    }

    /// Returns whether a start may be tried.
    #[must_use]
    pub fn is_open(&self, zone: &Zone, class: HostClass, now: Tick) -> bool {
        let refused = self.refused.get(&(zone.clone(), class));
        refused.is_none_or(|refused| refused.until <= now)
    }
}
