//! A budget for retries: a share of recent successes, so that retries cannot amplify an outage.

/// Retries that are saved up at most; older successes than those that pay for them no longer count.
pub const MOST: f64 = 10.0;
/// Parts of one retry; whole numbers, so that ten tenths pay for one retry and not for a little less.
const PARTS: u32 = 1_000;

/// Counts how many retries may still be made.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: u32,
    saved: u32,
}

impl RetryBudget {
    /// Makes a budget in which each success pays for a share of a retry, counted in thousandths.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share: (share * f64::from(PARTS)).round() as u32,
            saved: MOST as u32 * PARTS,
        }
    }

    /// Notes a first attempt that succeeded.
    pub fn succeeded(&mut self) {
        self.saved = self.saved.saturating_add(self.share).min(MOST as u32 * PARTS);
    }

    /// Takes a retry from the budget, if one is left.
    pub fn take(&mut self) -> bool {
        let left = self.saved >= PARTS;
        if left {
            self.saved -= PARTS;
        }
        left
    }
}
