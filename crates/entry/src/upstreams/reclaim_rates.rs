//! Expected reclaim rate of each zone: reclaims come in waves, so one reclaim in a zone predicts more.

use std::collections::HashMap;
use std::time::Duration;

use contract::Zone;
use policy::Tick;

/// Reclaims an hour that are expected in a zone without a recent reclaim.
const BASE_PER_HOUR: f64 = 0.05;
/// Reclaims an hour that are expected in a zone after a recent reclaim.
const WAVE_PER_HOUR: f64 = 60.0;
/// Time for which a reclaim predicts further ones.
const WAVE_TIME: Duration = Duration::from_mins(1);

/// The time of the last reclaim in each zone.
#[derive(Debug, Default)]
pub(super) struct ReclaimRates {
    last_reclaims: HashMap<Zone, Tick>,
}

impl ReclaimRates {
    /// Records that a host of a zone was reclaimed.
    pub(super) fn record(&mut self, zone: &Zone, now: Tick) {
        self.last_reclaims.insert(zone.clone(), now);
    }

    /// Returns the number of reclaims an hour that are expected in a zone.
    pub(super) fn per_hour(&self, zone: &Zone, now: Tick) -> f64 {
        let in_wave = self
            .last_reclaims
            .get(zone)
            .is_some_and(|at| now.since(*at) < WAVE_TIME);
        if in_wave { WAVE_PER_HOUR } else { BASE_PER_HOUR }
    }
}
