//! What the fleet is sized by: the load of the last seconds, and the reclaims that were seen.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{Listed, Scaling, ServiceName, Zone};
use policy::Tick;
use policy::fleet::{Load, Loads, Present, Reclaims, Wanted, plan};

const START: Duration = Duration::from_secs(5);

fn at(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

fn load(busy: f64) -> Load {
    Load {
        running: busy * 8.0,
        busy,
        squares: busy * 0.2,
        targets: busy,
    }
}

/// The first second of load brings few prompts. A fleet that was cut to them would be missing four seconds later, when the load is
/// there in full and all answers wait.
#[test]
fn first_seconds() {
    let mut loads = Loads::default();
    assert!(!loads.note(Load::default(), 8, at(0)), "the list may still grow");
    assert!(loads.note(Load::default(), 8, at(1_000)));
    let before = loads.demand(64, at(1_000));
    loads.note(load(0.2), 8, at(2_000));
    let first = loads.demand(64, at(2_000));
    assert!(first.busy.iter().all(|busy| *busy >= before.busy[0]), "{first:?}");
    for second in 3..=8 {
        loads.note(load(0.2), 8, at(second * 1_000));
    }
    let known = loads.demand(64, at(8_000));
    assert!(known.busy.iter().all(|busy| *busy < 0.3), "{known:?}");
}

/// Requests pile up behind an overload of some seconds. The fleet must not be ordered for the pile: it would be there when the pile
/// is gone, and cost as much as all the rest of the day.
#[test]
fn pile_passes() {
    let mut loads = Loads::default();
    for second in 0..12 {
        let pile = if (6..10).contains(&second) { 500.0 } else { 30.0 };
        loads.note(
            Load {
                running: pile,
                ..load(2.0)
            },
            4,
            at(second * 1_000),
        );
    }
    assert!(loads.demand(64, at(11_000)).filled < 1.0);
}

/// For ten seconds no prompt is long. Sized by these, the fleet would have no room for one that takes a second, and all that is
/// sent behind it would be late.
#[test]
fn no_long_prompt() {
    let mut loads = Loads::default();
    for second in 0..10 {
        let short = Load {
            squares: 0.01,
            ..load(1.0)
        };
        loads.note(short, 4, at(second * 1_000));
    }
    let patience = loads.demand(64, at(9_000)).patience;
    assert!(patience < 10.0, "{patience}");
}

fn listed(id: usize, zone: &str, left: Option<Duration>) -> Listed {
    Listed {
        id: format!("u{id}"),
        start: 1,
        service: ServiceName::from("m"),
        address: ([127, 0, 0, 1], 1).into(),
        zone: Zone::from(zone),
        slots: 64,
        leaving: left.is_some(),
        reclaimable: true,
        cold: Duration::ZERO,
        left,
    }
}

/// All reclaimable upstreams of a data centre are one reclaim, however often the list names them; a second one soon after tells
/// that more are coming.
#[test]
fn pace_shows() {
    let mut reclaims = Reclaims::default();
    let list = |zone: &str| [listed(1, zone, Some(START)), listed(2, zone, Some(START))];
    reclaims.note([].iter(), 0, at(0));
    let calm = reclaims.risk(4, START, at(0)).soon;
    reclaims.note(list("a").iter(), 1, at(30_000));
    reclaims.note(list("a").iter(), 1, at(31_000));
    let first = reclaims.risk(4, START, at(31_000)).soon;
    reclaims.note(list("b").iter(), 2, at(34_000));
    let second = reclaims.risk(4, START, at(34_000)).soon;
    assert!(calm < first && first < second, "{calm} {first} {second}");
    let later = reclaims.risk(4, START, at(120_000)).soon;
    assert!(later < first, "{later}");
}

/// Data centres, each with its on-demand upstreams, those of them that start (and when they serve), and its reclaimable ones.
#[derive(Default)]
struct Stood {
    on_demand: u32,
    starting: Vec<(u64, u32)>,
    reclaimable: u32,
    gone: bool,
}

/// Four data centres are called back one after the other, three seconds apart, and nothing reclaimable is to be had for half a
/// minute. On-demand upstreams serve five seconds after they were ordered. Whoever orders only what the last reclaim took has
/// half of what reading needs when all four are gone, and callers wait for seconds.
#[test]
fn four_reclaims() {
    let scaling = Scaling {
        min: 1,
        max: 6,
        boot_ms: 4_000,
        spot_price: 0.15,
        prices: ["a", "b", "c", "d"]
            .into_iter()
            .map(|zone| (Zone::from(zone), 1.0))
            .collect(),
    };
    let mut stood: BTreeMap<Zone, Stood> = scaling
        .prices
        .keys()
        .map(|zone| (zone.clone(), Stood::default()))
        .collect();
    for there in stood.values_mut() {
        there.reclaimable = 3;
    }
    let (mut loads, mut reclaims) = (Loads::default(), Reclaims::default());
    let taken = [12, 15, 18, 21];
    for second in 0..40_u64 {
        let now = at(second * 1_000);
        let mut list = Vec::new();
        for (zone, there) in stood
            .iter_mut()
            .enumerate()
            .map(|(at, (zone, there))| ((at, zone), there))
        {
            let called = taken[zone.0] == second;
            list.extend(called.then(|| listed(zone.0, zone.1.as_ref(), Some(Duration::from_secs(2)))));
            there.gone |= called;
            there.reclaimable = if there.gone { 0 } else { there.reclaimable };
            there.on_demand += there
                .starting
                .iter()
                .filter(|(at, _)| *at == second)
                .map(|(_, count)| count)
                .sum::<u32>();
            there.starting.retain(|(at, _)| *at > second);
        }
        let serving: u32 = stood.values().map(|there| there.on_demand + there.reclaimable).sum();
        assert!(serving >= 3, "only {serving} serve in second {second}");
        loads.note(load(2.2), 0, now);
        let wave = stood.values().any(|there| there.gone);
        reclaims.note(list.iter(), stood.values().filter(|there| there.gone).count(), now);
        let present = stood.iter().map(|(zone, there)| {
            let starting: u32 = there.starting.iter().map(|(_, count)| count).sum();
            let present = Present {
                on_demand: there.on_demand + starting,
                reclaimable: there.reclaimable,
                dry: wave,
                closed: wave,
            };
            (zone.clone(), present)
        });
        let present: BTreeMap<Zone, Present> = present.collect();
        let wanted = plan(&present, &scaling, &loads.demand(64, now), reclaims.risk(4, START, now));
        for (zone, there) in &mut stood {
            follow(there, wanted[zone], second);
        }
    }
}

fn follow(there: &mut Stood, wanted: Wanted, second: u64) {
    let starting: u32 = there.starting.iter().map(|(_, count)| count).sum();
    let held = there.on_demand + starting;
    if wanted.on_demand > held {
        there.starting.push((second + 5, wanted.on_demand - held));
    } else {
        there.on_demand -= (held - wanted.on_demand).min(there.on_demand);
    }
    if !there.gone {
        there.reclaimable = wanted.reclaimable;
    }
}
