//! Expected reclaim rate of each zone: reclaims come in waves, so one reclaim in a zone predicts more.

use std::collections::HashMap;
use std::time::Duration;

use contract::Zone;
use policy::Tick;

/// Reclaims an hour that are expected in a zone without a recent reclaim.
const ORDINARY: f64 = 0.05;
/// Reclaims an hour that are expected in a zone after a recent reclaim.
const WAVE: f64 = 60.0;
/// Time for which a reclaim predicts further ones.
const WAVE_TIME: Duration = Duration::from_mins(1);

/// The time of the last reclaim in each zone.
#[derive(Debug, Default)]
pub(super) struct Waves {
    zones: HashMap<Zone, Tick>,
}

impl Waves {
    /// Records that a host of a zone was reclaimed.
    pub(super) fn note(&mut self, zone: &Zone, now: Tick) {
        self.zones.insert(zone.clone(), now);
    }

    /// Returns the number of reclaims an hour that are expected in a zone.
    pub(super) fn reclaims(&self, zone: &Zone, now: Tick) -> f64 {
        let wave = self.zones.get(zone).is_some_and(|at| now.since(*at) < WAVE_TIME);
        if wave { WAVE } else { ORDINARY }
    }
}
