//! How many upstreams of a service are ordered in each data centre, by count and kind: as many as cost least, counted with the
//! answers that come late.
//!
//! Reclaimable upstreams are cheap, are taken away a data centre at a time, and can't be had for a while afterwards.
//! On-demand ones stay, and serve some seconds after they were ordered. Both are weighed against what late answers cost, in
//! each of the states into which reclaims may bring the fleet. Spare ones, a floor on demand and reserves for the next reclaim
//! follow from prices, the pace of reclaims and the load; none of them is a rule of its own.

mod cost;
mod seen;

use std::collections::BTreeMap;

use contract::{Scaling, Zone};

pub use cost::Demand;
use cost::{Lateness, cheapest};
pub use seen::{Load, Loads, Reclaims};

/// What answers in time are worth, as a multiple of the price of the upstreams that are busy with them. Operators run a service
/// because it is worth much more than its machines.
const WORTH: f64 = 12.0;
/// Part of the price at which an upstream is kept rather than ordered anew: what is given up loses its cache, and is paid for
/// while it starts again.
const KEPT: f64 = 0.3;

/// What there is in one data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Present {
    /// On-demand upstreams that are ready, or ordered and starting.
    pub on_demand: u32,
    /// Reclaimable ones that are ready.
    pub reclaimable: u32,
    /// Whether reclaimable ones were refused lately, so that a wave of reclaims is likely under way.
    pub dry: bool,
    /// Whether they were refused just now, so that asking again is of no use yet.
    pub closed: bool,
}

/// What there shall be in one data centre.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Wanted {
    /// On-demand upstreams.
    pub on_demand: u32,
    /// Reclaimable ones.
    pub reclaimable: u32,
}

/// How reclaims go, as observed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Risk {
    /// Reclaims that are expected, data centres of them, while an on-demand upstream starts.
    pub soon: f64,
    /// Part of the time for which a data centre has no reclaimable upstreams to give.
    pub out: f64,
}

/// Plans the upstreams of a service.
#[must_use]
pub fn plan(
    present: &BTreeMap<Zone, Present>,
    scaling: &Scaling,
    demand: &Demand,
    risk: Risk,
) -> BTreeMap<Zone, Wanted> {
    let zones = by_price(present, scaling);
    let mut wanted: BTreeMap<Zone, Wanted> = zones.iter().map(|zone| (zone.clone(), Wanted::default())).collect();
    if zones.is_empty() {
        return wanted;
    }
    let lateness = Lateness::new(demand, WORTH);
    let dry = present.values().any(|there| there.dry);
    let most = scaling.max * zones.len() as u32;
    if scaling.spot_price < 1.0 {
        let each = |price| reclaimable_each(&lateness, scaling, zones.len() as u32, risk.out, price);
        let (order, keep) = (each(scaling.spot_price), each(scaling.spot_price * KEPT));
        for (zone, there) in &mut wanted {
            let held = present.get(zone).map_or(0, |held| held.reclaimable);
            there.reclaimable = held.clamp(order, keep.max(order));
        }
    }
    if dry {
        keep_reclaimable(&mut wanted, present);
    }
    // Those that are there and are not about to be given up.
    let stay = |zone: &Zone| {
        let there = present.get(zone).map_or(0, |there| there.reclaimable);
        there.min(wanted.get(zone).map_or(0, |wanted| wanted.reclaimable))
    };
    let there: Vec<u32> = zones.iter().map(stay).collect();
    let states = cost::losses(&there, risk.soon);
    let on_demand = |price: f64| {
        cheapest(most, |count| {
            price * f64::from(count) + lateness.expected(&states, count)
        })
    };
    let held: u32 = present.values().map(|there| there.on_demand).sum();
    let (order, keep) = (on_demand(1.0), on_demand(KEPT).min(held));
    // What is there already is kept first: an upstream that is drained and ordered anew elsewhere loses its cache.
    place(&mut wanted, keep, &zones, scaling, |zone, there| {
        there.on_demand < present.get(zone).map_or(0, |held| held.on_demand)
    });
    // Where reclaimable ones can be had, they start as soon as on-demand ones do.
    let starting = !dry && scaling.spot_price < 1.0 && there.iter().sum::<u32>() + held > 0;
    let sure = if starting {
        let ordered: Vec<u32> = zones
            .iter()
            .map(|zone| wanted.get(zone).map_or(0, |one| one.reclaimable))
            .collect();
        let states = cost::losses(&ordered, risk.soon);
        cheapest(most, |count| f64::from(count) + lateness.expected(&states, count))
    } else {
        order
    };
    place(&mut wanted, sure.saturating_sub(keep), &zones, scaling, |_, there| {
        there.on_demand + if dry { there.reclaimable } else { 0 } < scaling.max
    });
    for there in wanted.values_mut() {
        there.reclaimable = there.reclaimable.min(scaling.max.saturating_sub(there.on_demand));
        if there.reclaimable + there.on_demand < scaling.min {
            there.on_demand = scaling.min - there.reclaimable;
        }
    }
    wanted
}

/// Gives the reclaimable upstreams of each data centre that cost least over all numbers of data centres that may be out of
/// them at a time, where on-demand ones take their places as far as that is cheaper than late answers.
fn reclaimable_each(lateness: &Lateness, scaling: &Scaling, zones: u32, out: f64, price: f64) -> u32 {
    let fewest = scaling.min.min(scaling.max);
    let range = scaling.max - fewest;
    let states = cost::outages(zones, out);
    let count = |at: u32| fewest + at;
    let total = |at: u32| {
        let each = count(at);
        let held = price * f64::from(each * zones);
        let expected = states.iter().map(|(weight, lost)| {
            let left = each * (zones - lost);
            let filled = |more: u32| f64::from(more) + lateness.cost(f64::from(left + more));
            weight * filled(cheapest(scaling.max * zones, filled))
        });
        held + expected.sum::<f64>()
    };
    count(cheapest(range, total))
}

fn by_price(present: &BTreeMap<Zone, Present>, scaling: &Scaling) -> Vec<Zone> {
    let known = present.keys().chain(scaling.prices.keys());
    let mut zones: Vec<Zone> = known.cloned().collect();
    zones.sort();
    zones.dedup();
    zones.sort_by(|a, b| price(scaling, a).total_cmp(&price(scaling, b)));
    zones
}

fn price(scaling: &Scaling, zone: &Zone) -> f64 {
    scaling.prices.get(zone).copied().unwrap_or(1.0)
}

/// Gives up no reclaimable upstream while others can't be had: a lower load for a moment would cost what can't be replaced.
/// Where they can't be had, their places are left for on-demand ones.
fn keep_reclaimable(wanted: &mut BTreeMap<Zone, Wanted>, present: &BTreeMap<Zone, Present>) {
    for (zone, there) in wanted {
        let Some(held) = present.get(zone) else {
            continue;
        };
        there.reclaimable = if held.closed {
            held.reclaimable
        } else {
            there.reclaimable.max(held.reclaimable)
        };
    }
}

/// Adds on-demand upstreams one after the other where there is room, more of them where they cost less: a data centre that is
/// cut off has those that stand in it.
fn place(
    wanted: &mut BTreeMap<Zone, Wanted>,
    count: u32,
    zones: &[Zone],
    scaling: &Scaling,
    room: impl Fn(&Zone, &Wanted) -> bool,
) {
    for _ in 0..count {
        let open = zones
            .iter()
            .filter(|zone| wanted.get(*zone).is_some_and(|there| room(zone, there)));
        let next = |zone: &&Zone| {
            let there = wanted.get(*zone).map_or(0, |there| there.on_demand);
            f64::from(there + 1) * price(scaling, zone)
        };
        let best = open.min_by(|a, b| next(a).total_cmp(&next(b)));
        let Some(there) = best.cloned().and_then(|zone| wanted.get_mut(&zone)) else {
            return;
        };
        there.on_demand += 1;
    }
}
