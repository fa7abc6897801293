//! Number of upstreams to order for a service in each data centre, on-demand and reclaimable.
//!
//! Reclaimable upstreams are cheap and are reclaimed a data centre at a time, so more of them are ordered than the load
//! needs, spread evenly. A few on-demand upstreams remain as a floor. While reclaimable ones are unavailable, on-demand
//! ones replace them as far as the load needs it.

use std::collections::BTreeMap;

use contract::{Scaling, Zone};

/// Concurrent requests at which one upstream still sends first events on time: at sixteen, an engine prefills half of
/// the time.
const RUNNING_PER_UPSTREAM: f64 = 16.0;
/// Share of its time that an upstream may spend on prefill. Prompts are prefilled one after the other and delay the
/// tokens of all other requests; beyond a half, first events wait for several prompts.
const PREFILL_SHARE: f64 = 0.45;
/// Share of an upstream's slots to plan for. Requests arrive in bursts, and one that finds no free slot waits for a
/// whole run.
const SLOT_SHARE: f64 = 0.5;
/// Factor on the upstreams needed for prefill, and number added to it, up to which running requests may raise the need.
const QUEUE_ALLOWANCE: (f64, f64) = (1.5, 3.0);
/// Least need that is planned for: with fewer upstreams, one that fails takes a third of the service's capacity with
/// it.
const MIN_NEEDED: u32 = 3;
/// Reclaimable upstreams for each needed one: two of four data centres may be lost at once.
const RECLAIMABLE_FACTOR: f64 = 2.0;
/// Share of the needed upstreams that is always on-demand, so that some service remains after the loss of all others
/// until new on-demand ones have started.
const FLOOR_SHARE: f64 = 0.25;

/// Share of the needed upstreams that is kept on-demand in addition during a wave of reclaims. Load grew by a fifth
/// within a wave; upstreams given up before had to be ordered again, and a fifth of all answers was late for four
/// seconds.
const KEPT_SHARE: f64 = 0.25;

/// Upstreams available in one data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneSupply {
    /// On-demand upstreams that are ready or starting.
    pub on_demand: u32,
    /// Reclaimable upstreams that are ready.
    pub reclaimable: u32,
    /// Whether an order of reclaimable upstreams was refused lately, which hints at a wave of reclaims.
    pub scarce: bool,
    /// Whether its reclaimable upstreams were reclaimed within the last start time of an upstream.
    pub reclaimed: bool,
    /// Whether an order of reclaimable upstreams was refused so recently that another would be refused too.
    pub backing_off: bool,
}

/// Target number of upstreams in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneTarget {
    /// On-demand upstreams.
    pub on_demand: u32,
    /// Reclaimable upstreams.
    pub reclaimable: u32,
}

/// Returns the number of upstreams needed for `running` concurrent requests whose prefill keeps `busy` upstreams busy.
///
/// The number of requests alone is not enough: with long prompts an upstream is at its limit with few requests.
#[must_use]
pub fn upstreams_needed(running: f64, busy: f64, slots: u32) -> f64 {
    let for_prefill = busy / PREFILL_SHARE;
    // Under overload requests queue up, and upstreams ordered for that queue would start after it has drained.
    let most = QUEUE_ALLOWANCE.0 * for_prefill + QUEUE_ALLOWANCE.1;
    let per_upstream = RUNNING_PER_UPSTREAM.min(f64::from(slots.max(2)) * SLOT_SHARE);
    for_prefill.max((running / per_upstream).min(most))
}

/// Plans the upstreams of a service that needs `needed` of them.
#[must_use]
pub fn plan(supplies: &BTreeMap<Zone, ZoneSupply>, scaling: &Scaling, needed: f64) -> BTreeMap<Zone, ZoneTarget> {
    let zones = by_price(supplies, scaling);
    if zones.is_empty() {
        return BTreeMap::new();
    }
    let needed = (needed.ceil() as u32).max(MIN_NEEDED);
    if scaling.spot_price >= 1.0 {
        return all_on_demand(&zones, scaling, needed);
    }
    let mut targets: BTreeMap<Zone, ZoneTarget> =
        zones.iter().map(|zone| (zone.clone(), ZoneTarget::default())).collect();
    spread_reclaimable(&mut targets, &zones, scaling, needed);
    let scarce = supplies.values().any(|supply| supply.scarce);
    if scarce {
        keep_reclaimable(&mut targets, supplies);
    }
    let floor = (f64::from(needed) * FLOOR_SHARE).ceil() as u32;
    let usable: u32 = supplies.values().map(|supply| supply.reclaimable).sum();
    let remaining = if scarce { usable - soon_lost(supplies) } else { usable };
    let missing = needed.saturating_sub(remaining).max(floor);
    let current: u32 = supplies.values().map(|supply| supply.on_demand).sum();
    // Existing upstreams are kept first: one that is replaced elsewhere loses its cache. During a wave of reclaims more
    // are kept than the current load needs, since a replacement takes seconds to start.
    let spare = if scarce { f64::from(needed) * KEPT_SHARE } else { 0.0 };
    let keep = current.min(missing + spare.ceil() as u32);
    add_on_demand(&mut targets, keep, &zones, |zone, target| {
        target.on_demand < supplies.get(zone).map_or(0, |supply| supply.on_demand)
    });
    let more = if scarce || usable + current == 0 {
        missing.saturating_sub(keep)
    } else {
        floor.saturating_sub(keep)
    };
    add_on_demand(&mut targets, more, &zones, |_, target| {
        target.on_demand + target.reclaimable < scaling.max
    });
    for target in targets.values_mut() {
        target.reclaimable = target.reclaimable.min(scaling.max.saturating_sub(target.on_demand));
    }
    targets
}

/// Returns the number of reclaimable upstreams that may be lost before on-demand ones ordered now have started. As many
/// data centres are assumed to be lost as were reclaimed within the last start time, at least one, the fullest first.
///
/// An upstream ordered at one loss starts too late for the next: where data centres are lost three seconds apart and an
/// upstream starts in four, two more are gone by then.
fn soon_lost(supplies: &BTreeMap<Zone, ZoneSupply>) -> u32 {
    let mut counts: Vec<u32> = supplies.values().map(|supply| supply.reclaimable).collect();
    counts.sort_unstable_by(|a, b| b.cmp(a));
    let lost_zones = supplies.values().filter(|supply| supply.reclaimed).count().max(1);
    counts.iter().take(lost_zones).sum()
}

fn by_price(supplies: &BTreeMap<Zone, ZoneSupply>, scaling: &Scaling) -> Vec<Zone> {
    let known = supplies.keys().chain(scaling.prices.keys());
    let mut zones: Vec<Zone> = known.cloned().collect();
    zones.sort();
    zones.dedup();
    let price = |zone: &Zone| scaling.prices.get(zone).copied().unwrap_or(1.0);
    zones.sort_by(|a, b| price(a).total_cmp(&price(b)));
    zones
}

fn spread_reclaimable(targets: &mut BTreeMap<Zone, ZoneTarget>, zones: &[Zone], scaling: &Scaling, needed: u32) {
    let total = (f64::from(needed) * RECLAIMABLE_FACTOR).ceil() as u32;
    for at in 0..total.max(zones.len() as u32) {
        let zone = &zones[at as usize % zones.len()];
        if let Some(target) = targets.get_mut(zone) {
            target.reclaimable = (target.reclaimable + 1).min(scaling.max);
        }
    }
    for target in targets.values_mut() {
        target.reclaimable = target.reclaimable.max(scaling.min).min(scaling.max);
    }
}

/// Keeps all reclaimable upstreams while no more can be ordered: those given up in a short lull could not be replaced.
/// A data centre that refuses orders gets no more than it has, which leaves room for on-demand upstreams.
fn keep_reclaimable(targets: &mut BTreeMap<Zone, ZoneTarget>, supplies: &BTreeMap<Zone, ZoneSupply>) {
    for (zone, target) in targets {
        let Some(supply) = supplies.get(zone) else {
            continue;
        };
        target.reclaimable = if supply.backing_off {
            supply.reclaimable
        } else {
            target.reclaimable.max(supply.reclaimable)
        };
    }
}

/// Adds on-demand upstreams one by one to the data centre that has fewest and still has room; of equals, to the
/// cheapest.
fn add_on_demand(
    targets: &mut BTreeMap<Zone, ZoneTarget>,
    count: u32,
    zones: &[Zone],
    has_room: impl Fn(&Zone, &ZoneTarget) -> bool,
) {
    for _ in 0..count {
        let open = zones
            .iter()
            .filter(|zone| targets.get(*zone).is_some_and(|target| has_room(zone, target)));
        let best = open.min_by_key(|zone| targets.get(*zone).map_or(0, |target| target.on_demand));
        let Some(target) = best.cloned().and_then(|zone| targets.get_mut(&zone)) else {
            return;
        };
        target.on_demand += 1;
    }
}

fn all_on_demand(zones: &[Zone], scaling: &Scaling, needed: u32) -> BTreeMap<Zone, ZoneTarget> {
    let mut targets: BTreeMap<Zone, ZoneTarget> =
        zones.iter().map(|zone| (zone.clone(), ZoneTarget::default())).collect();
    for target in targets.values_mut() {
        target.on_demand = scaling.min;
    }
    let base = scaling.min * zones.len() as u32;
    add_on_demand(&mut targets, (needed + 1).saturating_sub(base), zones, |_, target| {
        target.on_demand < scaling.max
    });
    targets
}
