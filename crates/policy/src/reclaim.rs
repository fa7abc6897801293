//! Reclaims that engines report before the upstream list shows them.
//!
//! A reclaim notice may come one second before the end while the list lags by 0.8 seconds, so streams would be lost
//! before anyone knows. Engines report their own end at once. All reclaimable upstreams of a data centre are reclaimed
//! together, so two reports stand for all of them, and probing one engine is enough while nothing happens.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{Listed, ServiceName, Zone};

use crate::Tick;

/// Time for which a reported reclaim overrides the list: the list lags by up to a second and is read twice a second.
const AHEAD: Duration = Duration::from_millis(1_600);

/// Reclaimable upstreams that are reclaimed together.
pub type ReclaimGroup = (ServiceName, Zone);

/// Reclaims that the list may not show yet.
#[derive(Clone, Debug, Default)]
pub struct ReportedReclaims {
    told: BTreeMap<ReclaimGroup, Told>,
}

#[derive(Clone, Copy, Debug)]
struct Told {
    at: Tick,
    ends: Tick,
}

impl ReportedReclaims {
    /// Records a reclaim that was reported by engines; `ends` is the announced end.
    pub fn record(&mut self, group: ReclaimGroup, ends: Tick, now: Tick) {
        self.told.entry(group).or_insert(Told { at: now, ends });
    }

    /// Returns whether a reclaim of the group was reported lately.
    #[must_use]
    pub fn contains(&self, group: &ReclaimGroup, now: Tick) -> bool {
        self.told.get(group).is_some_and(|told| told.is_ahead(now))
    }

    /// Marks the upstreams of reported reclaims as leaving in a list that was requested at `asked`.
    pub fn apply(&mut self, list: &mut [Listed], asked: Tick) {
        self.told.retain(|_, told| told.is_ahead(asked));
        for one in list.iter_mut().filter(|one| one.reclaimable && !one.leaving) {
            if let Some(told) = self.told.get(&group(one)) {
                one.leaving = true;
                one.left = Some(told.ends.since(asked));
            }
        }
    }
}

impl Told {
    fn is_ahead(&self, now: Tick) -> bool {
        now.since(self.at) < AHEAD
    }
}

fn group(one: &Listed) -> ReclaimGroup {
    (one.service.clone(), one.zone.clone())
}

/// Returns the upstreams of each group to probe in a turn: the first, and a second one that must confirm its report.
/// They rotate with the turn, so that an engine that hangs does not hide a reclaim for long.
#[must_use]
pub fn engines_to_probe(list: &[Listed], turn: usize) -> Vec<(ReclaimGroup, Vec<&Listed>)> {
    let mut groups: BTreeMap<ReclaimGroup, Vec<&Listed>> = BTreeMap::new();
    for one in list.iter().filter(|one| one.reclaimable && !one.leaving) {
        groups.entry(group(one)).or_default().push(one);
    }
    groups
        .into_iter()
        .map(|(group, all)| (group, two(&all, turn)))
        .collect()
}

fn two<'a>(all: &[&'a Listed], turn: usize) -> Vec<&'a Listed> {
    (0..all.len().min(2)).map(|at| all[(turn + at) % all.len()]).collect()
}
