//! How much of a transfer is asked for at once, so that each answer arrives before it is given up.
//!
//! A page that is lost on a slow link is asked for again in smaller ones; what has arrived before stays.

use std::time::Duration;

/// Bytes that are asked for first.
const FIRST: u32 = 32 * 1024;
/// Fewest bytes that are asked for.
const LEAST: u32 = 1024;
/// Most bytes that are asked for.
const MOST: u32 = 256 * 1024;
/// Time within which a page is small enough for larger ones to follow.
const QUICK: Duration = Duration::from_millis(100);
/// Time from which a page is too large: a little more load on the link and it would be lost.
const SLOW: Duration = Duration::from_millis(400);

/// The size of the next page.
#[derive(Clone, Copy, Debug)]
pub struct PageSize {
    bytes: u32,
}

impl Default for PageSize {
    fn default() -> Self {
        Self { bytes: FIRST }
    }
}

impl PageSize {
    /// Gives the bytes to ask for.
    #[must_use]
    pub const fn bytes(&self) -> u32 {
        self.bytes
    }

    /// Notes that a full page arrived after a time.
    pub fn record_arrival(&mut self, took: Duration) {
        if took <= QUICK {
            self.bytes = MOST.min(self.bytes * 2);
        } else if took >= SLOW {
            self.shrink();
        }
    }

    /// Notes that a page did not arrive in time.
    pub fn record_loss(&mut self) {
        self.shrink();
    }

    fn shrink(&mut self) {
        self.bytes = LEAST.max(self.bytes / 2);
    }
}
