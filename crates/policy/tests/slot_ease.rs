//! The usable share of the slots follows the outcome of requests, and prefill is told apart from waits.

use policy::route::ServiceRates;
use quickcheck::{Gen, QuickCheck};

/// An engine prefills one prompt after the other. Admitted by the number of slots alone, requests wait in the engine
/// for their first token until all are late. The usable share must fall, and rise again once first tokens are on time.
#[test]
fn falls_and_recovers() {
    let mut rates = ServiceRates::default();
    for _ in 0..200 {
        rates.record_first_token(400, 5_000.0);
        rates.record_first_token(400, 4_000.0);
        rates.record_first_token(400, 600.0);
    }
    assert!(rates.usable_share < 0.3, "{}", rates.usable_share);
    for _ in 0..200 {
        rates.record_first_token(400, 600.0);
    }
    assert!(rates.usable_share > 0.99, "{}", rates.usable_share);
}

/// Each additional request in a batch lengthens the pauses of all others. If more than one pause in twenty exceeds the
/// target, the answer is late even when complete.
#[test]
fn long_pauses_count() {
    let mut rates = ServiceRates::default();
    rates.record_pauses(0, 0);
    assert!((rates.usable_share - 1.0).abs() < f64::EPSILON);
    for _ in 0..100 {
        rates.record_pauses(40, 3);
    }
    assert!(rates.usable_share < 0.3, "{}", rates.usable_share);
    rates.record_pauses(40, 2);
    assert!(rates.usable_share > 0.25);
}

/// Most first tokens arrive after a wait in the engine. If the wait counted as prefill, a cached prefix would seem to
/// be worth many times its value, and conversations would stay at full engines.
#[test]
fn prefill_estimated() {
    fn holds(waits: Vec<u16>) -> bool {
        let mut rates = ServiceRates::default();
        let waits: Vec<f64> = waits.iter().map(|wait| f64::from(wait % 4_000)).chain([0.0]).collect();
        for round in 0..2_000 {
            // Three in ten requests find an empty engine.
            let wait = if round % 10 < 3 {
                0.0
            } else {
                waits[round % waits.len()]
            };
            rates.record_first_token(400, 400.0 * 1.5 + wait);
        }
        (1.2..=2.0).contains(&rates.prefill_token_ms)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, 91))
        .tests(200)
        .quickcheck(holds as fn(Vec<u16>) -> bool);
}
