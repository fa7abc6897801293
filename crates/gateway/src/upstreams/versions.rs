//! Which services have upstreams of several versions, or had lately.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use contract::ServiceName;
use policy::Tick;
use wire::catalog::SeenVersion;

use super::Upstreams;

impl Upstreams {
    /// Records how many versions each service has.
    pub(super) fn record_versions(&mut self, now: Tick) {
        let mut versions: HashMap<&ServiceName, HashSet<&str>> = HashMap::new();
        for upstream in self.all.values() {
            let listed = &upstream.listed;
            versions.entry(&listed.service).or_default().insert(&listed.version);
        }
        // A service whose last upstream has left keeps its history.
        for service in self.versions.keys() {
            versions.entry(service).or_default();
        }
        let listed: Vec<(ServiceName, HashSet<String>)> = versions
            .into_iter()
            .map(|(service, versions)| (service.clone(), versions.into_iter().map(str::to_owned).collect()))
            .collect();
        for (service, versions) in listed {
            let versions = versions.iter().map(String::as_str).collect();
            self.has_mixed |= self.versions.entry(service).or_default().record(&versions, now);
        }
    }

    /// Records the versions that the state group has seen on the list.
    pub(crate) fn record_seen_versions(&mut self, seen: &[SeenVersion], told_at: Tick) {
        for version in seen {
            let until = told_at - Duration::from_millis(version.left_ms);
            let history = self.versions.entry(version.service.clone()).or_default();
            history.record_seen(&version.version, until);
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

    /// Returns whether streams of several versions of a service may be running, also from before its list was known.
    pub(crate) fn may_be_mixed(&self, service: &ServiceName, now: Tick) -> bool {
        self.versions
            .get(service)
            .is_none_or(|history| history.may_be_mixed(now))
    }
}
