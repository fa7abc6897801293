//! Retries cannot amplify an outage.

use policy::budget::{MAX_SAVED, RetryBudget};
use quickcheck::{Gen, QuickCheck};

/// Every engine fails and every request is retried. Without a bound on the retries, recovering engines would get a
/// multiple of the load and fail again.
#[test]
fn retries_bounded() {
    fn holds(outcomes: Vec<bool>) -> bool {
        let mut budget = RetryBudget::new(0.1);
        let mut succeeded = 0.0;
        let mut retries = 0.0;
        for succeeds in outcomes {
            if succeeds {
                budget.succeeded();
                succeeded += 1.0;
            } else if budget.take() {
                retries += 1.0;
            }
            if retries > MAX_SAVED + 0.1 * succeeded + 1e-6 {
                return false;
            }
        }
        true
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(2_000, 51))
        .tests(300)
        .quickcheck(holds as fn(Vec<bool>) -> bool);
}

/// In a complete outage nothing succeeds, so after the first few retries each request must be sent only once.
#[test]
fn outage_amplification() {
    let mut budget = RetryBudget::new(0.1);
    let sent: u32 = (0..1_000).map(|_| 1 + u32::from(budget.take())).sum();
    assert!(f64::from(sent) <= 1_000.0 + MAX_SAVED);
    for _ in 0..10 {
        budget.succeeded();
    }
    assert!(budget.take(), "ten successes pay for a retry");
}
