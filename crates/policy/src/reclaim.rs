//! Reclaims that engines report before the upstream list shows them.
//!
//! A reclaim notice may come one second before the end while the list lags by 0.8 seconds, so streams would be lost
//! before anyone knows. Engines report their own end at once. All reclaimable upstreams of a data centre are reclaimed
//! together, so two reports stand for all of them, and probing one engine is enough while nothing happens.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{ListedUpstream, ServiceName, Zone};

use crate::Tick;

/// Time for which a reported reclaim overrides the list: the list lags by up to a second and is read twice a second.
const LIST_LAG: Duration = Duration::from_millis(1_600);

/// Reclaimable upstreams that are reclaimed together.
pub type ReclaimGroup = (ServiceName, Zone);

/// Reclaims that the list may not show yet.
#[derive(Clone, Debug, Default)]
pub struct ReportedReclaims {
    reports: BTreeMap<ReclaimGroup, Report>,
}

#[derive(Clone, Copy, Debug)]
struct Report {
    reported: Tick,
    ends: Tick,
}

impl ReportedReclaims {
    /// Records a reclaim that was reported by engines; `ends` is the announced end.
    pub fn record(&mut self, group: ReclaimGroup, ends: Tick, now: Tick) {
        self.reports.entry(group).or_insert(Report { reported: now, ends });
    }

    /// Returns whether a reclaim of the group was reported lately.
    #[must_use]
    pub fn contains(&self, group: &ReclaimGroup, now: Tick) -> bool {
        self.reports.get(group).is_some_and(|report| report.is_current(now))
    }

    /// Marks the upstreams of reported reclaims as leaving in a list; `requested` is when the list was requested.
    pub fn apply(&mut self, list: &mut [ListedUpstream], requested: Tick) {
        self.reports.retain(|_, report| report.is_current(requested));
        for upstream in list
            .iter_mut()
            .filter(|upstream| upstream.reclaimable && !upstream.leaving)
        {
            if let Some(report) = self.reports.get(&group_of(upstream)) {
                upstream.leaving = true;
                upstream.left = Some(report.ends.since(requested));
            }
        }
    }
}

impl Report {
    fn is_current(&self, now: Tick) -> bool {
        now.since(self.reported) < LIST_LAG
    }
}

fn group_of(upstream: &ListedUpstream) -> ReclaimGroup {
    (upstream.service.clone(), upstream.zone.clone())
}

/// Returns the upstreams of each group to probe in a turn: the first, and a second one that must confirm its report.
/// They rotate with the turn, so that an engine that hangs does not hide a reclaim for long.
#[must_use]
pub fn engines_to_probe(list: &[ListedUpstream], turn: usize) -> Vec<(ReclaimGroup, Vec<&ListedUpstream>)> {
    let mut groups: BTreeMap<ReclaimGroup, Vec<&ListedUpstream>> = BTreeMap::new();
    for upstream in list.iter().filter(|upstream| upstream.reclaimable && !upstream.leaving) {
        groups.entry(group_of(upstream)).or_default().push(upstream);
    }
    groups
        .into_iter()
        .map(|(group, all)| (group, pair(&all, turn)))
        .collect()
}

fn pair<'a>(all: &[&'a ListedUpstream], turn: usize) -> Vec<&'a ListedUpstream> {
    (0..all.len().min(2)).map(|at| all[(turn + at) % all.len()]).collect()
}
