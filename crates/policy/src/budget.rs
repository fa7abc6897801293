//! A budget for retries: a share of recent successes, so that retries cannot amplify an outage.

/// Retries that are saved up at most.
const MOST: f64 = 10.0;

/// Counts how many retries may still be made.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    share: f64,
    saved: f64,
}

impl RetryBudget {
    /// Makes a budget in which each success pays for a share of a retry.
    #[must_use]
    pub const fn new(share: f64) -> Self {
        Self { share, saved: MOST }
    }

    /// Notes a first attempt that succeeded.
    pub fn succeeded(&mut self) {
        self.saved = (self.saved + self.share).min(MOST);
    }

    /// Takes a retry from the budget, if one is left.
    pub fn take(&mut self) -> bool {
        let left = self.saved >= 1.0;
        if left {
            self.saved -= 1.0;
        }
        left
    }
}
