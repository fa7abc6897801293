//! Hosts that take no new work, and zones that lose hosts.

use std::collections::HashMap;
use std::time::Duration;

use contract::{HostId, UpstreamSpec, Zone};
use policy::Tick;

/// Reclaims an hour that a zone sees on an ordinary day.
const ORDINARY: f64 = 0.05;
/// Reclaims an hour that are expected in a zone right after one.
const WAVE: f64 = 60.0;
/// How long a reclaim is taken for the sign of a wave.
const WAVE_TIME: Duration = Duration::from_mins(1);
/// How long a leaving host is remembered; by then its registration has ended.
const KEPT: Duration = Duration::from_hours(1);

/// What is known of hosts that leave.
#[derive(Debug, Default)]
pub(super) struct Leaving {
    hosts: HashMap<(HostId, u64), Tick>,
    zones: HashMap<Zone, Tick>,
}

impl Leaving {
    /// Notes a host that takes no new work.
    pub(super) fn note(&mut self, host: &HostId, incarnation: u64, zone: Option<&Zone>, now: Tick) {
        self.hosts.retain(|_, at| now.since(*at) < KEPT);
        self.hosts.insert((host.clone(), incarnation), now);
        if let Some(zone) = zone {
            self.zones.insert(zone.clone(), now);
        }
    }

    /// Tells whether the host of an upstream takes no new work.
    pub(super) fn contains(&self, spec: &UpstreamSpec) -> bool {
        !self.hosts.is_empty() && self.hosts.contains_key(&(spec.host.id.clone(), spec.host.incarnation))
    }

    /// Gives the reclaims an hour that a zone is expected to see.
    pub(super) fn reclaims(&self, zone: &Zone, now: Tick) -> f64 {
        let wave = self.zones.get(zone).is_some_and(|at| now.since(*at) < WAVE_TIME);
        if wave { WAVE } else { ORDINARY }
    }
}
