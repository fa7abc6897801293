//! Page size of a transfer, chosen so that each page arrives before its timeout.
//!
//! A page that is lost on a slow link is requested again in smaller pages; what has arrived already is kept.

use std::time::Duration;

/// Bytes of the first page.
const INITIAL_BYTES: u32 = 32 * 1024;
/// Fewest bytes of a page.
const MIN_BYTES: u32 = 1024;
/// Most bytes of a page.
const MAX_BYTES: u32 = 256 * 1024;
/// Longest transfer time of a page after which the next one is larger.
const GROW_TIME: Duration = Duration::from_millis(100);
/// Shortest transfer time of a page after which the next one is smaller: with slightly more load on the link it would
/// miss its timeout.
const SHRINK_TIME: Duration = Duration::from_millis(400);

/// The size of the next page of a transfer.
#[derive(Clone, Copy, Debug)]
pub struct PageSize {
    bytes: u32,
}

impl Default for PageSize {
    fn default() -> Self {
        Self { bytes: INITIAL_BYTES }
    }
}

impl PageSize {
    /// Returns the number of bytes to request.
    #[must_use]
    pub const fn bytes(&self) -> u32 {
        self.bytes
    }

    /// Records that a full page arrived after `took`.
    pub fn record_arrival(&mut self, took: Duration) {
        if took <= GROW_TIME {
            self.bytes = MAX_BYTES.min(self.bytes * 2);
        } else if took >= SHRINK_TIME {
            self.shrink();
        }
    }

    /// Records that a page did not arrive before its timeout.
    pub fn record_loss(&mut self) {
        self.shrink();
    }

    fn shrink(&mut self) {
        self.bytes = MIN_BYTES.max(self.bytes / 2);
    }
}
