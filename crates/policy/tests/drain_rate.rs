//! Waits must be predicted from the present pace of the queue, not from a load that has ended.

use std::time::Duration;

use policy::Tick;
use policy::drain::DrainRate;

/// Records a start of 100 tokens every `every_ms` from `from_ms` until before `until_ms`.
fn start_every(rate: &mut DrainRate, every_ms: u64, from_ms: u64, until_ms: u64) {
    for ms in (from_ms..until_ms).step_by(every_ms as usize) {
        rate.record_started(100.0, Tick::from_millis(ms));
    }
}

fn wait_ms(rate: &DrainRate, work: f64, now_ms: u64) -> Option<f64> {
    let wait = rate.wait(work, Tick::from_millis(now_ms));
    wait.map(|wait| wait.as_secs_f64() * 1e3)
}

/// The pace falls to a quarter, and rises again. Predictions must follow within two seconds.
#[test]
fn pace_followed() {
    let mut rate = DrainRate::default();
    assert_eq!(wait_ms(&rate, 1_000.0, 0), None);
    start_every(&mut rate, 10, 0, 4_000);
    let fast = wait_ms(&rate, 10_000.0, 4_000).unwrap();
    assert!((900.0..1_100.0).contains(&fast), "{fast}");
    start_every(&mut rate, 40, 4_000, 6_000);
    let slow = wait_ms(&rate, 10_000.0, 6_000).unwrap();
    assert!((3_600.0..4_400.0).contains(&slow), "{slow}");
    start_every(&mut rate, 10, 6_000, 7_000);
    let fast = wait_ms(&rate, 10_000.0, 7_000).unwrap();
    assert!((900.0..1_100.0).contains(&fast), "{fast}");
}

/// The queue stands still. The old pace must be forgotten, and no prediction may become endless.
#[test]
fn standstill_forgotten() {
    let mut rate = DrainRate::default();
    start_every(&mut rate, 10, 0, 4_000);
    for ms in (4_000..6_500).step_by(50) {
        let wait = rate.wait(1e12, Tick::from_millis(ms));
        assert!(wait.is_none_or(|wait| wait <= Duration::from_mins(1)));
    }
    assert!(rate.is_known(Tick::from_millis(5_000)));
    assert!(!rate.is_known(Tick::from_millis(6_050)));
    // The first start after the pause is no pace yet.
    rate.record_started(100.0, Tick::from_millis(6_500));
    assert_eq!(wait_ms(&rate, 100.0, 6_500), None);
}

/// Figures that make no sense must not make a prediction that is one.
#[test]
fn absurd_work() {
    let mut rate = DrainRate::default();
    for tokens in [f64::NAN, f64::INFINITY, -5.0, 0.0, f64::MIN, f64::NEG_INFINITY] {
        rate.record_started(tokens, Tick::default());
    }
    assert_eq!(wait_ms(&rate, 100.0, 0), None);
    start_every(&mut rate, 10, 0, 1_000);
    assert_eq!(wait_ms(&rate, f64::NAN, 1_000), Some(0.0));
    assert_eq!(wait_ms(&rate, -1.0, 1_000), Some(0.0));
    assert_eq!(wait_ms(&rate, f64::INFINITY, 1_000), Some(60_000.0));
}
