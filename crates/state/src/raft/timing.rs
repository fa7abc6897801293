//! Time limits of the agreement.

use std::time::Duration;

/// Share of the election time, in percent, for which a leader trusts the last answers of a majority.
///
/// The rest covers clocks whose rates differ by up to a fifth: a leader has stopped on its own clock before the
/// followers, on theirs, may elect another.
const LEASE_PERCENT: u32 = 80;

/// Time limits of the agreement; the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Pause between two heartbeats.
    pub beat: Duration,
    /// Pause before followers are told of a newer commit index, so that their watchers hear of it soon.
    pub tell: Duration,
    /// Shortest time without a leader after which a node may help to elect another; the longest is twice that.
    pub election: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            beat: Duration::from_millis(80),
            tell: Duration::from_millis(20),
            election: Duration::from_millis(400),
        }
    }
}

impl Timing {
    /// Gives how long a leader may go on after it sent what a majority has answered.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.election * LEASE_PERCENT / 100
    }
}
