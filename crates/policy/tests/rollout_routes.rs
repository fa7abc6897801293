//! Guards against rare failures of a new version that the ordinary failures of another route hide.

use std::time::Duration;

use contract::{RolloutTrial, Zone};
use policy::rollout::{Capacity, Exposure, Situation, Step, is_failing, judge, next_step};

/// Failed and all outcomes.
type Count = (u64, u64);

fn record(trial: &mut RolloutTrial, route: &str, old: Count, new: Count) {
    let counts = trial.routes.entry(route.to_owned()).or_default();
    (counts.old.sent, counts.old.failed, counts.old.succeeded) = (old.1, old.0, old.1 - old.0);
    // Half of the new version's outcomes are of another data centre, so that none is to blame.
    for (zone, failed) in [("a", new.0 / 2), ("b", new.0 - new.0 / 2)] {
        let counts = counts.new.entry(Zone::from(zone)).or_default();
        let all = new.1 / 2;
        (counts.sent, counts.failed, counts.succeeded) = (all, failed, all - failed);
    }
}

/// Lookups fail at 14 in 100 with both versions; streams of two routes fail at 1 in 200 with the old one.
fn mixed(new_failures: u64) -> RolloutTrial {
    let mut trial = RolloutTrial::default();
    record(&mut trial, "chat", (20, 4_000), (new_failures, 100));
    record(&mut trial, "consult", (20, 4_000), (new_failures, 100));
    record(&mut trial, "lookup", (140, 1_000), (4, 40));
    trial
}

#[test]
fn noisy_route() {
    let finding = judge(&mixed(6)).expect("12 of 200 streams fail, 40 of 8,000 before");
    assert_eq!((finding.route, finding.bad), (None, 16));
    assert!(judge(&mixed(0)).is_none() && !is_failing(&mixed(0)));
}

/// Forty routes with few requests each, no failure of the old version, and one in twenty of the new
/// one.
#[test]
fn rare_routes() {
    let mut trial = RolloutTrial::default();
    for route in 0..40 {
        record(
            &mut trial,
            &format!("route-{route}"),
            (0, 30),
            (if route % 4 == 0 { 2 } else { 0 }, 10),
        );
    }
    let finding = judge(&trial).expect("20 of 400 fail, none of 1,200 before");
    assert_eq!((finding.route, finding.bad, finding.count), (None, 20, 400));
}

fn shift(trial: &RolloutTrial) -> Step {
    next_step(&Situation {
        elapsed: Duration::from_secs(9),
        duration: Duration::from_secs(12),
        trial,
        capacity: Capacity { old: 100.0, new: 100.0 },
        shifted_at: Some(Duration::from_millis(7_500)),
        exposure: Exposure {
            share: 0.1,
            extra: 50.0,
        },
    })
}

/// Failures that don't convict a version yet keep its share from growing during the shift.
#[test]
fn shift_held() {
    let mut trial = mixed(3);
    trial.old_running = 1;
    assert!(judge(&trial).is_none() && is_failing(&trial));
    assert_eq!(shift(&trial), Step::Shift(0.1));
    let mut good = mixed(0);
    good.old_running = 1;
    assert_eq!(shift(&good), Step::Shift(1.0));
}
