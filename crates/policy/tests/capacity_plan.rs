//! The capacity plan: enough hosts after the loss of a zone, cheap hosts first, no flapping.

use std::collections::BTreeMap;
use std::time::Duration;

use contract::{HostClass, HostRule, Zone};
use policy::Tick;
use policy::plan::{
    Backoff, HeldHost, HostPool, ModelNeed, ScalingRules, Step, StepReason, WeightLoad, next_loads, plan,
};
use quickcheck::{Gen, QuickCheck};

const RULES: ScalingRules = ScalingRules {
    slots: 10,
    grow: 1.3,
    shrink: 1.8,
};

fn pools(zones: u8) -> Vec<HostPool> {
    let pool = |zone: u8, class, price| HostPool {
        zone: Zone::from(format!("zone-{zone}")),
        class,
        price: price + u64::from(zone),
        open: true,
    };
    (0..zones)
        .flat_map(|zone| {
            [
                pool(zone, HostClass::Reclaimable, 100),
                pool(zone, HostClass::OnDemand, 300),
            ]
        })
        .collect()
}

fn need(busy: f64, guaranteed: u32) -> Vec<ModelNeed> {
    vec![ModelNeed {
        model: "m".into(),
        busy,
        guaranteed,
    }]
}

/// Applies the steps of a plan to the hosts.
fn apply(held: &mut Vec<HeldHost>, steps: &[Step], pools: &[HostPool]) {
    for step in steps {
        match step {
            Step::Start { model, zone, class, .. } => {
                let host = format!("h{}", held.len() + steps.len() * 1_000).as_str().into();
                let price = pools.iter().find(|pool| pool.zone == *zone && pool.class == *class);
                held.push(HeldHost {
                    host,
                    model: model.clone(),
                    zone: zone.clone(),
                    class: *class,
                    price: price.unwrap().price,
                    busy: 0.0,
                });
            }
            Step::Drain { host, .. } => held.retain(|one| one.host != *host),
        }
    }
}

fn apply_until_stable(
    held: &mut Vec<HeldHost>,
    needs: &[ModelNeed],
    pools: &[HostPool],
    operator_rules: &BTreeMap<String, HostRule>,
) -> usize {
    let mut rounds = 0;
    loop {
        let steps = plan(needs, held, pools, operator_rules, &RULES, true);
        if steps.is_empty() {
            return rounds;
        }
        apply(held, &steps, pools);
        rounds += 1;
        assert!(rounds < 1_000, "the plan does not become stable");
    }
}

fn after_loss(held: &[HeldHost], zones: u8) -> usize {
    let in_zone = |zone: u8| {
        held.iter()
            .filter(|one| one.zone.as_str() == format!("zone-{zone}"))
            .count()
    };
    held.len() - (0..zones).map(in_zone).max().unwrap_or_default()
}

fn check(property: fn(u16, u8, u8) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 31))
        .tests(150)
        .quickcheck(property);
}

/// A whole zone is reclaimed with seconds of notice. The remaining hosts must carry the current load and the guarantees
/// of the contracts, since new hosts take far longer to start.
#[test]
fn zone_lost() {
    fn enough(busy: u16, guaranteed: u8, zones: u8) -> bool {
        let zones = zones % 4 + 2;
        let (busy, guaranteed) = (f64::from(busy % 150), u32::from(guaranteed));
        let mut held = Vec::new();
        apply_until_stable(&mut held, &need(busy, guaranteed), &pools(zones), &BTreeMap::new());
        let on_demand = held.iter().filter(|one| one.class == HostClass::OnDemand).count();
        let slots = |hosts: usize| (hosts * 10) as f64;
        slots(after_loss(&held, zones)) >= busy.max(f64::from(guaranteed)) && slots(on_demand) >= f64::from(guaranteed)
    }
    check(enough);
}

/// The load fluctuates all the time. Hosts that are started and drained with every fluctuation would be paid for while
/// they load their weights and serve nobody.
#[test]
fn no_flapping() {
    fn still(busy: u16, guaranteed: u8, wobble: u8) -> bool {
        let busy = f64::from(busy % 150) + 20.0;
        let mut held = Vec::new();
        apply_until_stable(
            &mut held,
            &need(busy, u32::from(guaranteed)),
            &pools(3),
            &BTreeMap::new(),
        );
        let moved = busy * (0.95 + f64::from(wobble) / 255.0 * 0.05);
        let needs = need(moved, u32::from(guaranteed));
        plan(&needs, &held, &pools(3), &BTreeMap::new(), &RULES, true).is_empty()
    }
    check(still);
}

/// Hosts are drained in steps. After each the model must be as safe against the loss of a zone as with a new plan.
#[test]
fn safe_shrink() {
    fn safe(busy: u16, guaranteed: u8, less: u8) -> bool {
        let busy = f64::from(busy % 150);
        let mut held = Vec::new();
        apply_until_stable(
            &mut held,
            &need(busy, u32::from(guaranteed)),
            &pools(3),
            &BTreeMap::new(),
        );
        let busy = busy * f64::from(less) / 255.0;
        apply_until_stable(
            &mut held,
            &need(busy, u32::from(guaranteed)),
            &pools(3),
            &BTreeMap::new(),
        );
        (after_loss(&held, 3) * 10) as f64 >= busy.max(f64::from(guaranteed))
    }
    check(safe);
}

/// Every start of a reclaimable host is refused after a wave of reclaims. On-demand hosts must replace them where
/// targets are at risk, and no more of them than that.
#[test]
fn refused_starts() {
    let mut few = pools(2);
    for pool in few.iter_mut().filter(|pool| pool.class == HostClass::Reclaimable) {
        pool.open = false;
    }
    let mut held = Vec::new();
    apply_until_stable(&mut held, &need(40.0, 0), &few, &BTreeMap::new());
    assert!(held.iter().all(|one| one.class == HostClass::OnDemand));
    assert_eq!((held.len(), after_loss(&held, 2)), (8, 4));
}

/// An operator asks for hosts that the load does not need, then for none. Both must be carried out, also while the
/// plan is not calm.
#[test]
fn operator_rules_first() {
    let rule = HostRule {
        model: "m".into(),
        zone: "zone-1".into(),
        class: HostClass::OnDemand,
        least: 3,
        most: 3,
    };
    let mut operator_rules = BTreeMap::from([(rule.key(), rule.clone())]);
    let mut held = Vec::new();
    apply_until_stable(&mut held, &need(0.0, 0), &pools(2), &operator_rules);
    assert_eq!(held.len(), 3);
    assert!(plan(&need(0.0, 0), &held, &pools(2), &operator_rules, &RULES, true).is_empty());
    let none = HostRule {
        least: 0,
        most: 0,
        ..rule
    };
    operator_rules.insert(none.key(), none);
    let steps = plan(&need(0.0, 0), &held, &pools(2), &operator_rules, &RULES, false);
    assert!(matches!(
        steps[0],
        Step::Drain {
            why: StepReason::Rule,
            ..
        }
    ));
    assert_eq!(steps.len(), 3);
}

/// Starts in one zone are refused again and again. Each refusal must double the pause, up to its limit, without
/// blocking other zones.
#[test]
fn backs_off() {
    let mut backoff = Backoff::default();
    let (zone, class) = (Zone::from("zone-0"), HostClass::Reclaimable);
    let mut now = Tick::default();
    let mut pauses = Vec::new();
    for _ in 0..8 {
        backoff.refused(&zone, class, now);
        let mut pause = Duration::ZERO;
        while !backoff.is_open(&zone, class, now + pause) {
            pause += Duration::from_secs(1);
        }
        now = now + pause;
        pauses.push(pause.as_secs());
    }
    assert_eq!(pauses, [5, 10, 20, 40, 80, 160, 300, 300]);
    assert!(backoff.is_open(&Zone::from("zone-1"), class, Tick::default()));
    backoff.refused(&zone, class, now);
    backoff.started(&zone, class);
    assert!(backoff.is_open(&zone, class, now));
}

/// All engines of a lost zone are replaced at once and the weight store is slow. The model without any engine must load
/// first, with no more parallel loads than allowed.
#[test]
fn urgent_loads() {
    let load = |shortfall, size| WeightLoad { shortfall, size };
    let waiting = [load(0.2, 1), load(1.0, 9), load(0.5, 3), load(1.0, 2)];
    assert_eq!(next_loads(&waiting, 0, 3), [3, 1, 2]);
    assert_eq!(next_loads(&waiting, 2, 3), [3]);
    assert!(next_loads(&waiting, 3, 3).is_empty());
}
