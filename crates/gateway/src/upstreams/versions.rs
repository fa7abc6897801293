//! Which services have upstreams of several versions.

use std::collections::{HashMap, HashSet};

use contract::ServiceName;
use policy::Tick;

use super::Upstreams;

impl Upstreams {
    /// Records how many versions each service has.
    pub(super) fn record_versions(&mut self, now: Tick) {
        let mut versions: HashMap<&ServiceName, HashSet<&str>> = HashMap::new();
        for upstream in self.all.values() {
            let listed = &upstream.listed;
            versions.entry(&listed.service).or_default().insert(&listed.version);
        }
        for (service, versions) in versions {
            let mix = self.mixes.entry(service.clone()).or_default();
            self.has_mixed |= mix.record(versions.len(), now);
        }
    }

    /// Returns whether a service has got a second version since the last call.
    pub(crate) fn take_mixed(&mut self) -> bool {
        std::mem::take(&mut self.has_mixed)
    }

    /// Returns whether streams of several versions of a service may be running, as far as is known.
    pub(crate) fn is_mixed(&self, service: &ServiceName, now: Tick) -> bool {
        self.mixes.get(service).is_some_and(|mix| mix.is_mixed(now))
    }

    /// Returns whether streams of several versions of a service may be running, also from before its list was known.
    pub(crate) fn may_be_mixed(&self, service: &ServiceName, now: Tick) -> bool {
        self.mixes.get(service).is_none_or(|mix| mix.may_be_mixed(now))
    }
}
