//! Pauses between failed reads while nothing was read yet.
//!
//! After a loss of power all entry hosts read the list of upstreams at once, which is more than it allows. A host that is
//! refused serves no callers until its next read.

use std::time::Duration;

/// Mean pause after the first failure; it doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(150);
/// Failures after which the pause no longer grows.
const MAX_DOUBLINGS: u32 = 8;

/// Returns the pause after `failures` failed reads in a row, `most` at the longest.
///
/// `draw`, a random number from 0 to 1, spreads the hosts that were refused together.
#[must_use]
pub fn first_read_pause(failures: u32, most: Duration, draw: f64) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    (FIRST_PAUSE * 2_u32.pow(doublings))
        .mul_f64(0.5 + draw.clamp(0.0, 1.0))
        .min(most)
}
