//! How many upstreams are ordered: many reclaimable ones, a floor of on-demand ones, and more of those while
//! reclaimable ones are unavailable.

use std::collections::BTreeMap;

use contract::{Scaling, Zone};
use policy::fleet::{ZoneSupply, ZoneTarget, plan, upstreams_needed};
use quickcheck::quickcheck;

fn scaling(spot_price: f64) -> Scaling {
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    Scaling {
        min: 1,
        max: 6,
        boot_ms: 4_000,
        spot_price,
        prices: prices
            .into_iter()
            .map(|(zone, price)| (Zone::from(zone), price))
            .collect(),
    }
}

fn supplies(counts: [(u32, u32, bool); 4]) -> BTreeMap<Zone, ZoneSupply> {
    let zones = ["a", "b", "c", "d"].into_iter().map(Zone::from);
    let counted = counts.into_iter().map(|(on_demand, reclaimable, scarce)| ZoneSupply {
        on_demand,
        reclaimable,
        scarce,
        reclaimed: false,
        backing_off: scarce,
    });
    zones.zip(counted).collect()
}

fn sum(targets: &BTreeMap<Zone, ZoneTarget>, of: impl Fn(&ZoneTarget) -> u32) -> u32 {
    targets.values().map(of).sum()
}

const START: [(u32, u32, bool); 4] = [(3, 0, false), (2, 0, false), (2, 0, false), (2, 0, false)];

/// Guards against a service without prices and without upstreams that ends the thread of the leader's duties: no usage is
/// reported and no capacity ordered any more.
#[test]
fn no_zones() {
    for spot_price in [0.16, 1.0] {
        let unpriced = Scaling {
            prices: BTreeMap::new(),
            ..scaling(spot_price)
        };
        for needed in [0.0, 10.0, f64::NAN] {
            assert!(plan(&BTreeMap::new(), &unpriced, needed).is_empty());
        }
    }
}

/// Two data centres are lost, no reclaimable upstreams are available, and on-demand ones have replaced them. If some of
/// those are given up as soon as the load allows it, they must be ordered again when it grows, and a fifth of all
/// answers is late until they serve.
#[test]
fn wave_keeps_hosts() {
    let wave = [(3, 0, true), (3, 4, true), (3, 0, true), (3, 3, true)];
    let targets = plan(&supplies(wave), &scaling(0.16), 10.0);
    assert!(sum(&targets, |one| one.on_demand) >= 9, "{targets:?}");
}

/// All upstreams are on-demand at the start. They must stay until reclaimable ones serve, and then shrink to the floor.
#[test]
fn moves_to_reclaimable() {
    let busy = 5.0;
    let first = plan(&supplies(START), &scaling(0.16), busy);
    assert!(sum(&first, |one| one.on_demand) >= 5, "{first:?}");
    assert!(sum(&first, |one| one.reclaimable) >= 10, "{first:?}");
    let later = [(3, 3, false), (2, 3, false), (2, 2, false), (2, 2, false)];
    let later = plan(&supplies(later), &scaling(0.16), busy);
    assert_eq!(sum(&later, |one| one.on_demand), 2, "{later:?}");
}

/// The reclaimable upstreams of a data centre are lost, and none are available anywhere. On-demand ones must replace
/// them as far as the load needs it; otherwise the others stay overloaded for as long as the shortage lasts.
#[test]
fn scarce_supply() {
    let busy = 7.0;
    let scarce = [(0, 2, true), (1, 0, true), (0, 2, true), (0, 0, true)];
    let targets = plan(&supplies(scarce), &scaling(0.16), busy);
    assert!(sum(&targets, |one| one.on_demand) >= 3, "{targets:?}");
    let kept = ["a", "c"].map(|zone| targets[&Zone::from(zone)].reclaimable);
    assert_eq!(kept, [2, 2], "existing upstreams are kept");
}

/// Two of four data centres are reclaimed within seconds, and the other two may follow. What the load needs must remain
/// after the next loss too, since an on-demand upstream takes four seconds to start.
#[test]
fn wave_continues() {
    let wave = [(0, 2, true), (1, 2, true), (0, 0, true), (0, 0, true)];
    let targets = plan(&supplies(wave), &scaling(0.16), 4.0);
    assert!(sum(&targets, |one| one.on_demand) >= 2, "{targets:?}");
}

/// Three data centres are reclaimed within nine seconds. An on-demand upstream ordered at the second loss starts after
/// the third and the fourth, so the load must be carried without both of these. A single reclaim must not order as
/// many, since they cost as much as the whole fleet.
#[test]
fn quick_wave() {
    let mut wave = supplies([(0, 0, true), (1, 0, true), (0, 3, true), (0, 3, true)]);
    let slow = plan(&wave, &scaling(0.16), 4.0);
    assert_eq!(sum(&slow, |one| one.on_demand), 1, "{slow:?}");
    for zone in ["a", "b"] {
        wave.get_mut(&Zone::from(zone)).unwrap().reclaimed = true;
    }
    let quick = plan(&wave, &scaling(0.16), 4.0);
    assert_eq!(sum(&quick, |one| one.on_demand), 4, "{quick:?}");
}

/// Engines differ in the number of requests they run at once. If an engine has twelve slots, planning sixteen requests
/// for each would make callers wait for a slot all day.
#[test]
fn few_slots() {
    assert!(upstreams_needed(60.0, 3.1, 12) >= 10.0);
    assert!(upstreams_needed(60.0, 3.1, 64) < 8.0);
}

/// Requests queue up behind an overload. Upstreams must not be ordered for that queue: they would start after it has
/// drained, and cost as much as the rest of the day.
#[test]
fn queue_bounded() {
    assert!(upstreams_needed(500.0, 1.4, 64) < 9.0);
}

/// The next plan is made while the on-demand upstreams of the last one start. They must be counted, or each plan would
/// take back the order before it, and the shortage would end before the first of them served.
#[test]
fn keeps_starting() {
    let starting = [(2, 2, false), (1, 0, false), (2, 2, false), (1, 0, false)];
    let targets = plan(&supplies(starting), &scaling(0.16), 7.0);
    assert!(sum(&targets, |one| one.on_demand) >= 3, "{targets:?}");
}

/// Ten requests with long prompts need more upstreams than their number suggests. A hundred with short ones raise the
/// need too, but only within the bound for queued requests.
#[test]
fn long_prompts_count() {
    assert!(upstreams_needed(100.0, 0.16, 64) > 3.0);
    assert!(upstreams_needed(10.0, 2.8, 64) > 6.0);
}

/// If reclaimable upstreams are no cheaper, none are ordered.
#[test]
fn no_discount() {
    let targets = plan(&supplies(START), &scaling(1.0), 3.0);
    assert_eq!(sum(&targets, |one| one.reclaimable), 0);
    assert_eq!(sum(&targets, |one| one.on_demand), 4);
}

quickcheck! {
    /// No plan exceeds the bounds of a data centre, and every data centre has at least one upstream unless supply is
    /// scarce.
    fn within_bounds(counts: Vec<(u8, u8, bool)>, busy: u16) -> bool {
        let mut all = [(0, 0, false); 4];
        for (at, (a, b, scarce)) in counts.into_iter().take(4).enumerate() {
            all[at] = (u32::from(a % 4), u32::from(b % 4), scarce);
        }
        let targets = plan(&supplies(all), &scaling(0.16), f64::from(busy % 60));
        targets.values().all(|one| (1..=6).contains(&(one.on_demand + one.reclaimable)) || all.iter().any(|one| one.2))
            && targets.values().all(|one| one.on_demand + one.reclaimable <= 6)
    }
}
