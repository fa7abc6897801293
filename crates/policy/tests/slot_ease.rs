//! The share of the slots that is used follows how answers fare, and prefill is told from waits.

use policy::route::ServiceRates;
use quickcheck::{Gen, QuickCheck};

/// An engine prefills one prompt after the other. Let in by slots alone, requests wait in it for their first token until
/// all of them are late. The share of the slots that is used must fall, and come back once answers are on time.
#[test]
fn falls_and_returns() {
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

/// Each further request in a batch lengthens the pauses of all. With more than one in twenty longer than promised,
/// the answer is late however whole it is.
#[test]
fn pauses_count() {
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

/// Most first tokens come after a wait in the engine. Were the wait taken for prefill, a cached prefix would seem to be
/// worth many times what it is, and conversations would stay at engines that are full.
#[test]
fn prefill_found() {
    fn holds(waits: Vec<u16>) -> bool {
        let mut rates = ServiceRates::default();
        let waits: Vec<f64> = waits.iter().map(|wait| f64::from(wait % 4_000)).chain([0.0]).collect();
        for round in 0..2_000 {
            // Three in ten find nothing before them.
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
