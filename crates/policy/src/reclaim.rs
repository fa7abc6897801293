//! Reclaims of which engines tell before the list does.
//!
//! Where a notice comes one second before the end and the list lags by eight tenths, streams are lost before anybody has heard
//! of it. Engines tell of their own end at once. All reclaimable upstreams of a data centre are taken away together, so that two
//! of them speak for all, and asking one is enough while nothing happens.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{Listed, ServiceName, Zone};

use crate::Tick;

/// How long the list may go on showing upstreams as ready after engines told of a reclaim; it lags by up to a second and is
/// read twice a second. Afterwards the list is right.
const AHEAD: Duration = Duration::from_millis(1_600);

/// Reclaimable upstreams that are taken away together.
pub type ReclaimGroup = (ServiceName, Zone);

/// The reclaims that the list may not show yet.
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
    /// Notes a reclaim that engines told of.
    pub fn record(&mut self, group: ReclaimGroup, ends: Tick, now: Tick) {
        self.told.entry(group).or_insert(Told { at: now, ends });
    }

    /// Tells whether a reclaim was told of lately.
    #[must_use]
    pub fn contains(&self, group: &ReclaimGroup, now: Tick) -> bool {
        self.told.get(group).is_some_and(|told| told.is_ahead(now))
    }

    /// Marks upstreams as leaving that a list which was asked for at a time does not show as leaving yet.
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

/// Gives the upstreams of each group that are asked in a turn: the first, and the one that must say the same. The turns go
/// round, so that one engine that does not answer hides nothing for long.
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
