//! Which services have upstreams of several versions, or had lately.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use contract::ServiceName;
use policy::Tick;
use wire::catalog::SeenVersion;

use super::Upstreams;

impl Upstreams {
    /// Records which versions each service has.
    pub(super) fn record_versions(&mut self, now: Tick) {
        let mut listed: HashMap<&ServiceName, HashSet<&str>> = HashMap::new();
        for upstream in self.all.values() {
            let upstream = &upstream.listed;
            listed.entry(&upstream.service).or_default().insert(&upstream.version);
        }
        for (service, history) in &mut self.versions {
            if !listed.contains_key(service) {
                history.record(&HashSet::new(), now);
            }
        }
        for (service, versions) in listed {
            let history = self.versions.entry(service.clone()).or_default();
            self.has_mixed |= history.record(&versions, now);
        }
    }

    /// Records the versions that the state group has seen on the list.
    pub(crate) fn record_seen_versions(&mut self, seen: &[SeenVersion], told_at: Tick) {
        for version in seen {
            let until = told_at - Duration::from_millis(version.left_ms);
            let history = self.versions.entry(version.service.clone()).or_default();
            self.has_mixed |= history.record_seen(&version.version, until, told_at);
        }
    }

    /// Returns whether a service has got a second version since the last call.
    pub(crate) fn take_mixed(&mut self) -> bool {
        std::mem::take(&mut self.has_mixed)
    }

    /// Returns whether streams of several versions of a service may be running, as far as is known.
    pub(crate) fn is_mixed(&self, service: &ServiceName, now: Tick) -> bool {
        self.versions.get(service).is_some_and(|history| history.is_mixed(now))
    }

    /// Returns the only version of a service lately; `None` if there were several or none.
    pub(crate) fn only_version(&self, service: &ServiceName, now: Tick) -> Option<&str> {
        self.versions.get(service)?.only_version(now)
    }
}
