//! Retries of all entry hosts together stay within the service's budget.

use std::time::Duration;

use policy::Tick;
use policy::retries::{RetryBounds, RetryWindow};
use quickcheck::quickcheck;

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    extra: 56.0,
    window: Duration::from_secs(10),
};
const HOSTS: usize = 8;

/// All upstreams of a service fail, and every entry host wants to retry every request. In no window may the retries
/// exceed their share of the requests plus the fixed number.
#[test]
fn all_fail() {
    let mut hosts = vec![RetryWindow::default(); HOSTS];
    let mut retries: Vec<u64> = Vec::new();
    for ms in (0..40_000).step_by(10) {
        let host = &mut hosts[ms as usize / 10 % HOSTS];
        let _first = host.record_request(Tick::from_millis(ms), &BOUNDS);
        if host.take(Tick::from_millis(ms), &BOUNDS, HOSTS as u32).is_some() {
            retries.push(ms);
        }
    }
    for begin in (0..30_000).step_by(500) {
        let inside = retries
            .iter()
            .filter(|at| (begin..begin + 10_000).contains(*at))
            .count() as f64;
        assert!(inside <= 0.2 * 1_000.0 + 56.0, "{inside} from {begin} ms on");
    }
    assert!(retries.len() > 100, "the budget granted few retries: {}", retries.len());
}

quickcheck! {
    fn one_host(pauses: Vec<u8>) -> bool {
        let mut host = RetryWindow::default();
        let (mut now, mut granted) = (0, 0_u32);
        for pause in pauses {
            now += u64::from(pause);
            granted += u32::from(host.take(Tick::from_millis(now), &BOUNDS, HOSTS as u32).is_some());
        }
        f64::from(granted) <= 56.0 / 8.0 * (1.0 + now as f64 / 10_000.0)
    }
}
