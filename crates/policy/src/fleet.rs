//! Number of upstreams to order for a service in each data centre, on-demand and reclaimable.
//!
//! Reclaimable upstreams are cheap and are reclaimed a data centre at a time, so more of them are ordered than the load
//! needs, spread evenly. A few on-demand upstreams remain as a floor. While reclaimable ones are unavailable, on-demand
//! ones replace them as far as the load needs it.

use std::collections::BTreeMap;

use contract::{Scaling, Zone};

/// Concurrent requests at which one upstream still sends first events on time: at sixteen, an engine prefills half of
/// the time.
const PER_UPSTREAM: f64 = 16.0;
/// Share of its time that an upstream may spend on prefill. Prompts are prefilled one after the other and delay the
/// tokens of all other requests; beyond a half, first events wait for several prompts.
const READING: f64 = 0.45;
/// Share of an upstream's slots to plan for. Requests arrive in bursts, and one that finds no free slot waits for a
/// whole run.
const FILLED: f64 = 0.5;
/// Factor on the upstreams needed for prefill, and number added to it, up to which running requests may raise the need.
const BACKLOG: (f64, f64) = (1.5, 3.0);
/// Least need that is planned for: with fewer upstreams, one that fails takes a third of the service's capacity with
/// it.
const FEWEST: u32 = 3;
/// Reclaimable upstreams for each needed one: two of four data centres may be lost at once.
const SPARE: f64 = 2.0;
/// Share of the needed upstreams that is always on-demand, so that some service remains after the loss of all others
/// until new on-demand ones have started.
const FLOOR: f64 = 0.25;

/// Share of the needed upstreams that is kept on-demand in addition during a wave of reclaims. Load grew by a fifth
/// within a wave; upstreams given up before had to be ordered again, and a fifth of all answers was late for four
/// seconds.
const KEPT: f64 = 0.25;

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
    let reading = busy / READING;
    // Under overload requests queue up, and upstreams ordered for that queue would start after it has drained.
    let piled = BACKLOG.0 * reading + BACKLOG.1;
    let each = PER_UPSTREAM.min(f64::from(slots.max(2)) * FILLED);
    reading.max((running / each).min(piled))
}

/// Plans the upstreams of a service that needs `needed` of them.
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
    // Existing upstreams are kept first: one that is replaced elsewhere loses its cache. During a wave of reclaims more
    // are kept than the current load needs, since a replacement takes seconds to start.
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

/// Returns the number of reclaimable upstreams that may be lost before on-demand ones ordered now have started. As many
/// data centres are assumed to be lost as were reclaimed within the last start time, at least one, the fullest first.
///
/// An upstream ordered at one loss starts too late for the next: where data centres are lost three seconds apart and an
/// upstream starts in four, two more are gone by then.
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

/// Keeps all reclaimable upstreams while no more can be ordered: those given up in a short lull could not be replaced.
/// A data centre that refuses orders gets no more than it has, which leaves room for on-demand upstreams.
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

/// Adds on-demand upstreams one by one to the data centre that has fewest and still has room; of equals, to the
/// cheapest.
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
