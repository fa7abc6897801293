//! Versions of services that were listed lately, as part of the replicated state: entry hosts that were all restarted
//! know nothing of a version that has left, though callers may go on with its streams.

use std::collections::{BTreeMap, BTreeSet};

use contract::{ListedUpstream, ServiceName};
use policy::origins::MEMORY_TIME;
use serde::{Deserialize, Serialize};
use wire::catalog::SeenVersion;

/// Versions by service, as one read of the list names them.
pub type ListedVersions = BTreeMap<ServiceName, BTreeSet<String>>;

/// Returns the versions that a list names.
#[must_use]
pub fn listed_versions(list: &[ListedUpstream]) -> ListedVersions {
    let mut versions = ListedVersions::new();
    for upstream in list {
        let listed = versions.entry(upstream.service.clone()).or_default();
        listed.insert(upstream.version.clone());
    }
    versions
}

/// Versions that are listed, or were until lately.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SeenVersions {
    /// Log time in milliseconds at which each version left the list; `None` while it is listed.
    left_at: BTreeMap<ServiceName, BTreeMap<String, Option<u64>>>,
}

impl SeenVersions {
    /// Records the versions that are listed at a log time.
    pub fn record(&mut self, listed: &ListedVersions, at_ms: u64) {
        for (service, versions) in &mut self.left_at {
            for (version, left_at) in versions.iter_mut() {
                if !listed.get(service).is_some_and(|listed| listed.contains(version)) {
                    left_at.get_or_insert(at_ms);
                }
            }
            versions.retain(|_, left_at| is_recent(*left_at, at_ms));
        }
        self.left_at.retain(|_, versions| !versions.is_empty());
        for (service, versions) in listed {
            let known = self.left_at.entry(service.clone()).or_default();
            known.extend(versions.iter().map(|version| (version.clone(), None)));
        }
    }

    /// Returns the versions whose streams may still be running at a log time.
    #[must_use]
    pub fn recent(&self, now_ms: u64) -> Vec<SeenVersion> {
        let all = self.left_at.iter();
        let all = all.flat_map(|(service, versions)| versions.iter().map(move |seen| (service, seen)));
        let recent = all.filter(|(_, (_, left_at))| is_recent(**left_at, now_ms));
        let seen = recent.map(|(service, (version, left_at))| SeenVersion {
            service: service.clone(),
            version: version.clone(),
            left_ms: left_at.map_or(0, |at| now_ms.saturating_sub(at)),
        });
        seen.collect()
    }
}

fn is_recent(left_at: Option<u64>, now_ms: u64) -> bool {
    left_at.is_none_or(|at| now_ms.saturating_sub(at) < MEMORY_TIME.as_millis() as u64)
}
