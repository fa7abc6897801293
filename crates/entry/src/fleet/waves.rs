//! Zones that lose hosts: one reclaim in a zone is a sign that more will follow.

use std::collections::HashMap;
use std::time::Duration;

use contract::Zone;
use policy::Tick;

/// Reclaims an hour that a zone sees on an ordinary day.
const ORDINARY: f64 = 0.05;
/// Reclaims an hour that are expected in a zone right after one.
const WAVE: f64 = 60.0;
/// How long a reclaim is taken for the sign of a wave.
const WAVE_TIME: Duration = Duration::from_mins(1);

/// When each zone last lost a host.
#[derive(Debug, Default)]
pub(super) struct Waves {
    zones: HashMap<Zone, Tick>,
}

impl Waves {
    /// Notes that a host of a zone leaves.
    pub(super) fn note(&mut self, zone: &Zone, now: Tick) {
        self.zones.insert(zone.clone(), now);
    }

    /// Gives the reclaims an hour that a zone is expected to see.
    pub(super) fn reclaims(&self, zone: &Zone, now: Tick) -> f64 {
        let wave = self.zones.get(zone).is_some_and(|at| now.since(*at) < WAVE_TIME);
        if wave { WAVE } else { ORDINARY }
    }
}
