//! How many upstreams of a service are ordered in each data centre, by count and kind.
//!
//! Reclaimable upstreams are cheap and are taken away a data centre at a time, so there are more of them than the load
//! needs, spread evenly. A small number of on-demand upstreams is never taken away. While reclaimable ones are not to be
//! had, on-demand ones stand in as far as the load needs it.

use std::collections::BTreeMap;

use contract::{Scaling, Zone};

/// Requests that one upstream runs at once while first events are on time. Measured on the users' sheets: at sixteen
/// running requests an engine reads prompts half of the time.
const PER_UPSTREAM: f64 = 16.0;
/// Part of its time that an upstream may spend on reading prompts. Prompts are read one after the other and hold up the
/// tokens of all others; beyond a half, first events wait behind several prompts.
const READING: f64 = 0.45;
/// Part of an upstream's slots that may be filled; requests come in bunches, and one that finds no slot waits for a whole run.
const FILLED: f64 = 0.5;
/// Factor and number of upstreams by which running requests may raise the need beyond what prompts ask for.
const BACKLOG: (f64, f64) = (1.5, 3.0);
/// Fewest upstreams that the load is taken to need: with fewer, one that fails takes a third of the service along.
const FEWEST: u32 = 3;
/// Reclaimable upstreams for each that is needed, so that two of four data centres may be lost at once.
const SPARE: f64 = 2.0;
/// Part of the needed upstreams that is always on-demand, so that the loss of all others leaves a thin service until
/// on-demand ones have started.
const FLOOR: f64 = 0.25;

/// Part of the needed upstreams that is kept on-demand on top in a wave of reclaims. Load grew by a fifth within a wave, and
/// upstreams that had been given up were ordered anew: for four seconds a fifth of all answers was late.
const KEPT: f64 = 0.25;

/// What there is in one data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneSupply {
    /// On-demand upstreams that are ready, or ordered and starting.
    pub on_demand: u32,
    /// Reclaimable ones that are ready.
    pub reclaimable: u32,
    /// Whether reclaimable ones were refused lately, so that a wave of reclaims is likely under way.
    pub scarce: bool,
    /// Whether its reclaimable ones were called back a moment ago, within the time in which an upstream starts.
    pub reclaimed: bool,
    /// Whether they were refused just now, so that asking again is of no use yet.
    pub backing_off: bool,
}

/// What there shall be in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneTarget {
    /// On-demand upstreams.
    pub on_demand: u32,
    /// Reclaimable ones.
    pub reclaimable: u32,
}

/// Gives the upstreams that are needed for so many requests at once, whose prompts keep so many busy with reading.
///
/// The count of requests alone says too little: with long prompts an upstream is full while few run there.
#[must_use]
pub fn upstreams_needed(running: f64, busy: f64, slots: u32) -> f64 {
    let reading = busy / READING;
    // Under too much load requests pile up. Upstreams that are ordered for the pile start when it is gone.
    let piled = BACKLOG.0 * reading + BACKLOG.1;
    let each = PER_UPSTREAM.min(f64::from(slots.max(2)) * FILLED);
    reading.max((running / each).min(piled))
}

/// Plans the upstreams of a service of which so many are needed.
#[must_use]
pub fn plan(present: &BTreeMap<Zone, ZoneSupply>, scaling: &Scaling, needed: f64) -> BTreeMap<Zone, ZoneTarget> {
    let zones = by_price(present, scaling);
    let needed = (needed.ceil() as u32).max(FEWEST);
    if scaling.spot_price >= 1.0 {
        return all_on_demand(&zones, scaling, needed);
    }
    let mut wanted: BTreeMap<Zone, ZoneTarget> =
        zones.iter().map(|zone| (zone.clone(), ZoneTarget::default())).collect();
    spread_reclaimable(&mut wanted, &zones, scaling, needed);
    let dry = present.values().any(|there| there.scarce);
    if dry {
        keep_reclaimable(&mut wanted, present);
    }
    let floor = (f64::from(needed) * FLOOR).ceil() as u32;
    let usable: u32 = present.values().map(|there| there.reclaimable).sum();
    let sure = if dry { usable - soon_lost(present) } else { usable };
    let missing = needed.saturating_sub(sure).max(floor);
    let held: u32 = present.values().map(|there| there.on_demand).sum();
    // What is there already is kept first: an upstream that is drained and ordered anew elsewhere loses its cache.
    // In a wave some more are kept than the load of the moment asks for: what is given up takes seconds to come back.
    let spare = if dry { f64::from(needed) * KEPT } else { 0.0 };
    let keep = held.min(missing + spare.ceil() as u32);
    place(&mut wanted, keep, &zones, |zone, there| {
        there.on_demand < present.get(zone).map_or(0, |held| held.on_demand)
    });
    let more = if dry || usable + held == 0 {
        missing.saturating_sub(keep)
    } else {
        floor.saturating_sub(keep)
    };
    place(&mut wanted, more, &zones, |_, there| {
        there.on_demand + there.reclaimable < scaling.max
    });
    for there in wanted.values_mut() {
        there.reclaimable = there.reclaimable.min(scaling.max.saturating_sub(there.on_demand));
    }
    wanted
}

/// Gives the reclaimable upstreams that a wave of reclaims may take before on-demand ones that are ordered now have started: as
/// many data centres as were called back in the last such time, the fullest ones.
///
/// What is ordered when one goes starts seconds too late for the next. Where data centres go three seconds after one another
/// and an upstream starts in four, the next two are gone by then.
fn soon_lost(present: &BTreeMap<Zone, ZoneSupply>) -> u32 {
    let mut counts: Vec<u32> = present.values().map(|there| there.reclaimable).collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    let pace = present.values().filter(|there| there.reclaimed).count().max(1);
    counts.iter().take(pace).sum()
}

fn by_price(present: &BTreeMap<Zone, ZoneSupply>, scaling: &Scaling) -> Vec<Zone> {
    let known = present.keys().chain(scaling.prices.keys());
    let mut zones: Vec<Zone> = known.cloned().collect();
    zones.sort();
    zones.dedup();
    let price = |zone: &Zone| scaling.prices.get(zone).copied().unwrap_or(1.0);
    zones.sort_by(|a, b| price(a).total_cmp(&price(b)));
    zones
}

fn spread_reclaimable(wanted: &mut BTreeMap<Zone, ZoneTarget>, zones: &[Zone], scaling: &Scaling, needed: u32) {
    let total = (f64::from(needed) * SPARE).ceil() as u32;
    for at in 0..total.max(zones.len() as u32) {
        let zone = &zones[at as usize % zones.len()];
        if let Some(there) = wanted.get_mut(zone) {
            there.reclaimable = (there.reclaimable + 1).min(scaling.max);
        }
    }
    for there in wanted.values_mut() {
        there.reclaimable = there.reclaimable.max(scaling.min).min(scaling.max);
    }
}

/// Gives up no reclaimable upstream while others can't be had: a lower load for a moment would cost what can't be replaced.
/// Where they can't be had, their places are left for on-demand ones.
fn keep_reclaimable(wanted: &mut BTreeMap<Zone, ZoneTarget>, present: &BTreeMap<Zone, ZoneSupply>) {
    for (zone, there) in wanted {
        let Some(held) = present.get(zone) else {
            continue;
        };
        there.reclaimable = if held.backing_off {
            held.reclaimable
        } else {
            there.reclaimable.max(held.reclaimable)
        };
    }
}

/// Adds on-demand upstreams, the cheapest data centre with room first and one after the other.
fn place(
    wanted: &mut BTreeMap<Zone, ZoneTarget>,
    count: u32,
    zones: &[Zone],
    room: impl Fn(&Zone, &ZoneTarget) -> bool,
) {
    for _ in 0..count {
        let open = zones
            .iter()
            .filter(|zone| wanted.get(*zone).is_some_and(|there| room(zone, there)));
        let best = open.min_by_key(|zone| wanted.get(*zone).map_or(0, |there| there.on_demand));
        let Some(there) = best.cloned().and_then(|zone| wanted.get_mut(&zone)) else {
            return;
        };
        there.on_demand += 1;
    }
}

fn all_on_demand(zones: &[Zone], scaling: &Scaling, needed: u32) -> BTreeMap<Zone, ZoneTarget> {
    let mut wanted: BTreeMap<Zone, ZoneTarget> =
        zones.iter().map(|zone| (zone.clone(), ZoneTarget::default())).collect();
    for there in wanted.values_mut() {
        there.on_demand = scaling.min;
    }
    let base = scaling.min * zones.len() as u32;
    place(&mut wanted, (needed + 1).saturating_sub(base), zones, |_, there| {
        there.on_demand < scaling.max
    });
    wanted
}
