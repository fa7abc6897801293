//! Room at an upstream: guards against slots that stand empty while reports travel, and against queues at upstreams in
//! which hosts can no longer order requests.

use std::time::Duration;

use policy::place::has_room;

/// Returns the load up to which an upstream with 12 slots takes requests.
fn bound(report_age: Option<u64>, run_ms: f64, pace: f64) -> u32 {
    let age = report_age.map(Duration::from_millis);
    let takes = |load: &u32| has_room(f64::from(*load), 12.0, age, run_ms, pace);
    (0..100).take_while(takes).count() as u32
}

#[test]
fn ends_meanwhile() {
    assert_eq!(
        bound(Some(0), 2_000.0, 1.0),
        13,
        "one more than the slots, as it travels too"
    );
    assert_eq!(bound(Some(500), 2_000.0, 1.0), 15, "a quarter of twelve has ended");
    assert_eq!(
        bound(Some(500), 2_000.0, 2.5),
        14,
        "fewer where everything takes longer"
    );
    assert_eq!(bound(Some(2_400), 100.0, 1.0), 24, "never more than twice the slots");
    assert_eq!(bound(None, 2_000.0, 1.0), 24, "nothing is known of its load");
}

/// Guards against rates that are no usable numbers and make an upstream refuse everything, or take endlessly many.
#[test]
fn bad_rates() {
    for run_ms in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        for pace in [0.0, -1.0, f64::NAN, f64::INFINITY] {
            for age in [0, 1_000] {
                let bound = bound(Some(age), run_ms, pace);
                assert!((13..=24).contains(&bound), "{bound} with {run_ms}, {pace}, {age}");
            }
        }
    }
    assert!(has_room(0.0, 0.0, None, 1.0, 1.0) && !has_room(9.0, f64::NAN, None, 1.0, 1.0));
}
