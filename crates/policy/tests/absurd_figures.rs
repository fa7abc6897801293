//! Figures of other processes that no clock can count with.

use std::time::Duration;

use policy::backlog::{Backlog, SentRequest};
use policy::rate_limit::{HostLimit, NamedLimit};
use policy::{Tick, duration_from_secs};
use quickcheck::quickcheck;

const EXTREMES: [f64; 9] = [
    0.0,
    -1.0,
    f64::MIN_POSITIVE,
    1e-300,
    1e-19,
    1e300,
    f64::INFINITY,
    f64::NEG_INFINITY,
    f64::NAN,
];

/// Returns whether a part of a limit can be kept, whatever its figure.
fn keeps_part(per_s: f64) -> bool {
    let now = Tick::from_millis(1_000);
    let named = NamedLimit {
        per_s: Some(per_s),
        at: now,
    };
    let mut limit = HostLimit::default();
    limit.record_part(named, per_s, now, now);
    let later = now + Duration::from_millis(500);
    let sent = (0..1_000).filter(|_| limit.take(later)).count();
    // What is no positive number is no part.
    per_s > 0.0 || sent == 0
}

/// Guards against a tiny limit of an upstream that ends the loop of the entry host when it gets its part of it.
#[test]
fn extreme_limits() {
    for per_s in EXTREMES {
        assert!(keeps_part(per_s), "{per_s}");
    }
}

/// Guards against a prediction of endless work that ends the task of a request.
#[test]
fn extreme_work() {
    for prefill_ms in EXTREMES {
        let mut backlog = Backlog::default();
        let sent = SentRequest {
            prefill_ms,
            ..SentRequest::default()
        };
        backlog.sent(sent, Tick::default());
        assert!(!backlog.pending_ms(Tick::default()).is_nan(), "{prefill_ms}");
    }
}

quickcheck! {
    /// Guards against a figure that panics on its way to a duration.
    fn any_seconds(seconds: f64) -> bool {
        let duration = duration_from_secs(seconds);
        keeps_part(seconds) && (seconds > 0.0 || duration.is_zero())
    }
}
