//! When a host may send a request to an upstream.

use std::time::Duration;

use policy::Tick;
use policy::backoff::{Backoff, MAX_PAUSE};
use policy::breaker::FAILURE_THRESHOLD;
use policy::rate_limit::NamedLimit;
use policy::send_gate::{Heard, Hold, SendGate};
use quickcheck::quickcheck;

const PAUSE: Duration = Duration::from_secs(3);

fn at_ms(ms: u64) -> Tick {
    Tick::from_millis(ms)
}

/// Guards against requests within a pause, and against more than one before the upstream has taken one after it.
#[test]
fn one_probe_first() {
    let mut gate = SendGate::default();
    assert_eq!(gate.claim(at_ms(0)), Ok(()));
    gate.backoff.record_pause(PAUSE, 0.0, at_ms(100));
    let left = Duration::from_secs(2);
    assert_eq!(gate.claim(at_ms(1_100)), Err(Hold::Pausing { left }));
    assert_eq!(gate.check(at_ms(3_100)), Ok(()));
    assert_eq!(gate.claim(at_ms(3_100)), Ok(()));
    assert!(matches!(gate.claim(at_ms(3_101)), Err(Hold::Pausing { .. })));
    // The response to a request from before the pause opens nothing.
    gate.backoff.record_taken(at_ms(50));
    assert!(gate.claim(at_ms(3_102)).is_err());
    gate.backoff.record_taken(at_ms(3_100));
    assert_eq!((0..9).filter(|_| gate.claim(at_ms(3_103)).is_ok()).count(), 9);
}

/// Guards against an upstream that is never asked again because its probe had no outcome.
#[test]
fn lost_probe() {
    let mut gate = SendGate::default();
    gate.backoff.record_pause(PAUSE, 1.0, at_ms(0));
    assert!(gate.claim(at_ms(3_000)).is_err(), "hosts return at different times");
    assert_eq!(gate.claim(at_ms(4_000)), Ok(()));
    assert_eq!(gate.claim(at_ms(5_000)), Ok(()));
}

/// Guards against an upstream that is lost for as long as it may wrongly ask for.
#[test]
fn absurd_pause() {
    let mut backoff = Backoff::default();
    backoff.record_pause(Duration::from_hours(24 * 365), 0.5, at_ms(0));
    assert!(backoff.wait(at_ms(0)) <= MAX_PAUSE + Duration::from_secs(1));
}

/// Guards against a reason for which callers are told a wrong time, where several hold.
#[test]
fn several_holds() {
    let mut gate = SendGate::default();
    let named = NamedLimit {
        per_s: Some(1.0),
        at: at_ms(1),
    };
    gate.limit.record_part(named, 0.0, at_ms(0), at_ms(0));
    assert_eq!(gate.check(at_ms(1)), Err(Hold::Limited { left: None }));
    gate.backoff.record_pause(PAUSE, 0.0, at_ms(0));
    assert!(matches!(gate.check(at_ms(1)), Err(Hold::Pausing { .. })));
    gate.record_replaced(Heard {
        at: at_ms(0),
        own: true,
    });
    assert_eq!(gate.check(at_ms(1)), Err(Hold::Replaced));
    for _ in 0..FAILURE_THRESHOLD {
        gate.breaker.failed(at_ms(1));
    }
    assert_eq!(gate.check(at_ms(2)), Err(Hold::Failing));
    assert_eq!(gate.check(at_ms(2)).unwrap_err().left(), None);
}

/// Guards against an upstream that is used again although it leaves, and against news of others that hide what the host has
/// heard itself.
#[test]
fn leaving_stays() {
    let mut gate = SendGate::default();
    let heard = |ms, own| Heard { at: at_ms(ms), own };
    assert!(gate.record_leaving(heard(1_000, true)));
    assert!(!gate.record_leaving(heard(1_500, false)));
    assert_eq!(gate.own_leaving_age(at_ms(2_000)), Some(Duration::from_secs(1)));
    assert_eq!(gate.claim(at_ms(1_000_000_000)), Err(Hold::Leaving));
    // Copies of what it still runs are made away from it.
    assert_eq!(gate.claim_call(at_ms(2_000)), Ok(()));
}

quickcheck! {
    /// Guards against any order of pauses in which a request is sent before the last of them has ended.
    fn longest_counts(pauses: Vec<(u16, u16)>, probe: u16) -> bool {
        let mut gate = SendGate::default();
        let mut now_ms = 0;
        let mut ends_ms = 0;
        for (gap, length) in pauses {
            now_ms += u64::from(gap);
            gate.backoff.record_pause(Duration::from_millis(u64::from(length)), 0.5, at_ms(now_ms));
            ends_ms = ends_ms.max(now_ms + u64::from(length));
        }
        let ms = now_ms + u64::from(probe);
        gate.claim(at_ms(ms)).is_err() || ms >= ends_ms
    }
}
