//! How many upstreams are ordered: cheap ones in plenty, and on-demand ones as far as reclaims and prices make them worth it.

use std::collections::BTreeMap;

use contract::{Scaling, Zone};
use policy::fleet::{Demand, Present, Risk, Wanted, plan};
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

fn present(counts: [(u32, u32, bool); 4]) -> BTreeMap<Zone, Present> {
    let zones = ["a", "b", "c", "d"].into_iter().map(Zone::from);
    let there = counts.into_iter().map(|(on_demand, reclaimable, dry)| Present {
        on_demand,
        reclaimable,
        dry,
        closed: dry,
    });
    zones.zip(there).collect()
}

fn sum(wanted: &BTreeMap<Zone, Wanted>, of: impl Fn(&Wanted) -> u32) -> u32 {
    wanted.values().map(of).sum()
}

fn demand(busy: f64) -> Demand {
    Demand {
        busy: vec![busy],
        filled: busy / 4.0,
        slots: 64,
        patience: 5.0,
    }
}

/// One reclaim in a minute, and one in five seconds.
const CALM: Risk = Risk { soon: 0.08, out: 0.25 };
const WAVE: Risk = Risk { soon: 1.0, out: 0.4 };

const START: [(u32, u32, bool); 4] = [(3, 0, false), (2, 0, false), (2, 0, false), (2, 0, false)];
const SERVED: [(u32, u32, bool); 4] = [(0, 5, false), (0, 5, false), (0, 5, false), (0, 5, false)];

/// Two data centres are gone and nothing is to be had; on-demand upstreams have taken their places. Some were given up as soon
/// as the load of the moment allowed it, and ordered anew when it grew: a fifth of all answers was late until they served.
#[test]
fn wave_keeps() {
    let wave = [(3, 0, true), (3, 4, true), (3, 0, true), (3, 3, true)];
    let wanted = plan(&present(wave), &scaling(0.16), &demand(4.5), WAVE);
    assert!(sum(&wanted, |one| one.on_demand) >= 9, "{wanted:?}");
}

/// All upstreams are on-demand at the start. They stay until reclaimable ones serve, and go then.
#[test]
fn moves_to_cheap() {
    let first = plan(&present(START), &scaling(0.16), &demand(2.25), CALM);
    assert!(sum(&first, |one| one.on_demand) >= 5, "{first:?}");
    assert!(sum(&first, |one| one.reclaimable) >= 10, "{first:?}");
    let later = [(3, 3, false), (2, 3, false), (2, 3, false), (2, 3, false)];
    let later = plan(&present(later), &scaling(0.16), &demand(2.25), CALM);
    assert!(sum(&later, |one| one.on_demand) <= 2, "{later:?}");
}

/// A data centre's reclaimable upstreams are taken away, and none are to be had anywhere. On-demand ones take their places
/// as far as the load needs it; without that the rest would be overrun for as long as the dry spell lasts.
#[test]
fn dry_spell() {
    let dry = [(0, 2, true), (1, 0, true), (0, 2, true), (0, 0, true)];
    let wanted = plan(&present(dry), &scaling(0.16), &demand(3.1), CALM);
    assert!(sum(&wanted, |one| one.on_demand) >= 3, "{wanted:?}");
    let kept = ["a", "c"].map(|zone| wanted[&Zone::from(zone)].reclaimable);
    assert_eq!(kept, [2, 2], "what is there is not given up");
}

/// Two of four data centres are reclaimed within seconds, and the other two may follow. What the load needs must be there
/// after the next one too, since an on-demand upstream takes four seconds to start.
#[test]
fn wave_goes_on() {
    let wave = [(0, 2, true), (1, 2, true), (0, 0, true), (0, 0, true)];
    let wanted = plan(&present(wave), &scaling(0.16), &demand(1.8), WAVE);
    assert!(sum(&wanted, |one| one.on_demand) >= 2, "{wanted:?}");
}

/// Three data centres are called back within nine seconds. An on-demand upstream that is ordered at the second starts when the
/// third and the fourth are gone, so that the load has to be carried without both of them. One reclaim by itself does not ask
/// for so many: they cost as much as the whole fleet.
#[test]
fn quick_wave() {
    let wave = present([(0, 0, true), (1, 0, true), (0, 3, true), (0, 3, true)]);
    let at_pace = |soon| plan(&wave, &scaling(0.16), &demand(1.8), Risk { soon, out: 0.4 });
    let (slow, quick) = (at_pace(0.1), at_pace(1.3));
    assert!(sum(&slow, |one| one.on_demand) <= 2, "{slow:?}");
    assert!(sum(&quick, |one| one.on_demand) >= 4, "{quick:?}");
}

/// Engines differ in how many requests they run at once. Where it is twelve, and sixty run, as many upstreams as fit all of them
/// leave callers waiting for a slot whenever a few more come.
#[test]
fn few_slots() {
    let ordered = |slots: u32| {
        let demand = Demand {
            filled: 60.0 / f64::from(slots),
            slots,
            ..demand(1.5)
        };
        let wanted = plan(&present(SERVED), &scaling(1.0), &demand, CALM);
        sum(&wanted, |one| one.on_demand)
    };
    assert!(ordered(12) >= 8, "{}", ordered(12));
    assert!(ordered(64) < 8, "{}", ordered(64));
}

/// The next look at the list comes while the on-demand upstreams of the last one start. They are counted, so that no order
/// takes back what the one before asked for: the dry spell would end before the first of them served.
#[test]
fn keeps_starting() {
    let starting = [(2, 2, false), (1, 0, false), (2, 2, false), (1, 0, false)];
    let wanted = plan(&present(starting), &scaling(0.16), &demand(3.1), WAVE);
    assert!(sum(&wanted, |one| one.on_demand) >= 3, "{wanted:?}");
}

/// Where reclaimable upstreams cost as much as others, there is no reason to risk them.
#[test]
fn no_discount() {
    let wanted = plan(&present(START), &scaling(1.0), &demand(1.35), CALM);
    assert_eq!(sum(&wanted, |one| one.reclaimable), 0);
    assert!((3..=6).contains(&sum(&wanted, |one| one.on_demand)), "{wanted:?}");
}

/// A discount makes spare upstreams worth it that are for nothing most of the time; without much of one, the fleet shrinks to what
/// the load needs, and operators don't pay for idle engines.
#[test]
fn price_decides() {
    let ordered = |price| {
        let wanted = plan(&present(SERVED), &scaling(price), &demand(2.0), CALM);
        sum(&wanted, |one| one.reclaimable)
    };
    assert!(ordered(0.05) >= ordered(0.2));
    assert!(ordered(0.05) > ordered(0.9), "{} {}", ordered(0.05), ordered(0.9));
}

/// Far more is asked for than may be ordered. Everything that is allowed serves some of it; a plan that found no number good
/// enough and ordered none would serve nobody.
#[test]
fn hopeless_load() {
    let none = [(0, 0, true); 4];
    let wanted = plan(&present(none), &scaling(0.16), &demand(100.0), WAVE);
    assert!(sum(&wanted, |one| one.on_demand) >= 20, "{wanted:?}");
}

/// Data centres differ in price by a half. On-demand upstreams that all cost alike would go to the dearest as often as to the
/// cheapest.
#[test]
fn cheap_places() {
    let wanted = plan(&present([(0, 0, true); 4]), &scaling(0.16), &demand(4.0), WAVE);
    let [cheap, dear] = ["b", "c"].map(|zone| wanted[&Zone::from(zone)].on_demand);
    assert!(cheap > dear, "{wanted:?}");
    assert!(
        dear > 0,
        "a data centre that is cut off has only what stands in it: {wanted:?}"
    );
}

quickcheck! {
    /// No plan leaves the bounds of a data centre.
    fn within_bounds(counts: Vec<(u8, u8, bool)>, busy: u16, soon: u8, out: u8) -> bool {
        let mut all = [(0, 0, false); 4];
        for (at, (a, b, dry)) in counts.into_iter().take(4).enumerate() {
            all[at] = (u32::from(a % 4), u32::from(b % 4), dry);
        }
        let risk = Risk { soon: f64::from(soon % 30) / 10.0, out: f64::from(out % 10) / 10.0 };
        let wanted = plan(&present(all), &scaling(0.16), &demand(f64::from(busy % 60) / 2.0), risk);
        wanted.values().all(|one| (1..=6).contains(&(one.on_demand + one.reclaimable)))
    }
}
