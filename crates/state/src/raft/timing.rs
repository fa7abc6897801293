//! Timeouts of the Raft protocol.

use std::time::Duration;

/// Leader lease as a percentage of the election timeout.
///
/// The rest tolerates clock rates that differ by up to a fifth: a leader stops by its own clock before the followers,
/// by theirs, may elect another.
const LEASE_PERCENT: u32 = 80;

/// Timeouts of the Raft protocol; they must be the same on all nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// Interval between two heartbeats.
    pub heartbeat: Duration,
    /// Shortest interval between two heartbeats when there is a newer commit index to announce, so that clients
    /// watching a follower hear of it soon.
    pub commit_notice: Duration,
    /// Shortest election timeout; each node waits a random time between this and twice this without a leader.
    pub election: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_millis(80),
            commit_notice: Duration::from_millis(20),
            election: Duration::from_millis(400),
        }
    }
}

impl Timing {
    /// Returns how long a leader may go on leading after it sent the messages that a majority has answered.
    #[must_use]
    pub fn lease(&self) -> Duration {
        self.election * LEASE_PERCENT / 100
    }
}
