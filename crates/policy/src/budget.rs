//! A retry budget: a share of recent successes, so that retries cannot amplify an outage.

/// Most retries that can be saved up; successes older than those that pay for them no longer count.
pub const MAX_SAVED: f64 = 10.0;
/// Units of one retry. Integers avoid rounding: ten successes at a tenth each pay for exactly one retry.
const UNITS_PER_RETRY: u32 = 1_000;

/// The retries that may still be made.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: u32,
    saved: u32,
}

impl RetryBudget {
    /// Creates a full budget in which each success pays for `share` of a retry, rounded to thousandths.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share: (share * f64::from(UNITS_PER_RETRY)).round() as u32,
            saved: MAX_SAVED as u32 * UNITS_PER_RETRY,
        }
    }

    /// Records a first attempt that succeeded.
    pub fn succeeded(&mut self) {
        self.saved = self
            .saved
            .saturating_add(self.share)
            .min(MAX_SAVED as u32 * UNITS_PER_RETRY);
    }

    /// Takes one retry from the budget; returns whether one was left.
    pub fn take(&mut self) -> bool {
        let left = self.saved >= UNITS_PER_RETRY;
        if left {
            self.saved -= UNITS_PER_RETRY;
        }
        left
    }
}
