//! Which version of a service a request goes to, and which upstreams of a new version take part.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{RolloutState, Zone};

/// Age of the newest plan from which an entry host sends nothing more to a new version that is on trial.
const MAX_PLAN_AGE: Duration = Duration::from_secs(2);
/// Fewest upstreams of a new version that take part, so that the fault of one is not taken for one of the version.
const MIN_CANARIES: usize = 2;

/// The versions that a request may go to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionChoice {
    /// The new version; any while it has no upstream.
    New,
    /// The old version; any while it has no upstream.
    Old,
    /// The old version only.
    NeverNew,
}

/// Chooses the version for a request. `draw` is uniform in 0 to 1 and the same for all attempts of a request; repeated
/// attempts go to the old version, since the new one may be why the first one failed.
#[must_use]
pub fn choose_version(state: RolloutState, share: f64, plan_age: Duration, draw: f64, repeated: bool) -> VersionChoice {
    match state {
        RolloutState::Succeeded => VersionChoice::New,
        RolloutState::RolledBack => VersionChoice::NeverNew,
        RolloutState::Running if plan_age > MAX_PLAN_AGE => VersionChoice::Old,
        RolloutState::Running if share >= 1.0 || (draw < share && !repeated) => VersionChoice::New,
        RolloutState::Running => VersionChoice::Old,
    }
}

/// Chooses the upstreams of a new version that share the requests of a trial; returns whether each takes part.
///
/// They are so few that each one gets as many requests as one of the `old` upstreams, since some faults show only under
/// load, and are spread over data centres. `new` holds the data centre and a hash of each one. All entry hosts choose
/// the same.
#[must_use]
pub fn choose_canaries(new: &[(&Zone, u64)], old: usize, share: f64) -> Vec<bool> {
    let wanted = ((share * old as f64).ceil() as usize).max(MIN_CANARIES);
    let mut by_hash: Vec<usize> = (0..new.len()).collect();
    by_hash.sort_by_key(|index| new[*index].1);
    let mut in_zone: BTreeMap<&Zone, usize> = BTreeMap::new();
    let mut ranked: Vec<(usize, usize)> = Vec::with_capacity(new.len());
    for index in by_hash {
        let rank = in_zone.entry(new[index].0).or_default();
        ranked.push((*rank, index));
        *rank += 1;
    }
    ranked.sort_by_key(|(rank, _)| *rank);
    let mut chosen = vec![false; new.len()];
    for (_, index) in ranked.into_iter().take(wanted) {
        chosen[index] = true;
    }
    chosen
}
