//! An open breaker lets single probes through, and late failures do not lengthen its pause.

use std::time::Duration;

use policy::Tick;
use policy::breaker::{Breaker, FAILURE_THRESHOLD, OPEN_TIME};
use quickcheck::{Gen, QuickCheck};

fn open_breaker(now: Tick) -> Breaker {
    let mut breaker = Breaker::default();
    for _ in 0..FAILURE_THRESHOLD {
        assert!(breaker.claim(now));
        breaker.failed(now);
    }
    breaker
}

/// An engine dies with many requests in flight. Once the breaker is open, at most one request per interval may be sent
/// to it, however many threads ask and however many requests fail late. Otherwise callers' requests would be lost as
/// probes.
#[test]
fn single_probe() {
    fn holds(steps: Vec<(u8, u8)>) -> bool {
        let mut now = Tick::from_millis(1_000);
        let mut breaker = open_breaker(now);
        let mut last: Option<Tick> = None;
        for (wait, late) in steps {
            now = now + Duration::from_millis(u64::from(wait) * 4);
            let passed = (0..5).filter(|_| breaker.claim(now)).count();
            if passed > 1 || (passed == 1 && last.is_some_and(|at| now.since(at) < OPEN_TIME.0)) {
                return false;
            }
            if passed == 1 {
                last = Some(now);
            }
            if late % 4 == 0 {
                breaker.failed(now);
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, 41))
        .tests(500)
        .quickcheck(holds as fn(Vec<(u8, u8)>) -> bool);
}

/// A hundred requests in flight fail after the breaker has opened. The pause must stay that of one failure; otherwise
/// an engine that is back after a second would be unused for half a minute.
#[test]
fn late_failures() {
    let now = Tick::from_millis(1_000);
    let mut breaker = open_breaker(now);
    for _ in 0..100 {
        breaker.failed(now + Duration::from_millis(10));
    }
    assert_eq!(breaker.probe_at(), Some(now + OPEN_TIME.0));
    assert!(breaker.claim(now + OPEN_TIME.0));
    breaker.succeeded();
    assert_eq!(breaker.probe_at(), None);
}

/// An upstream is down for a long time. If the pause grew without bound, it would stay unused long after its return.
#[test]
fn pause_bounded() {
    let mut now = Tick::default();
    let mut breaker = open_breaker(now);
    for _ in 0..40 {
        let next = breaker.probe_at().unwrap();
        assert!(next.since(now) <= OPEN_TIME.1);
        now = next;
        assert!(breaker.claim(now));
        breaker.failed(now);
    }
}
