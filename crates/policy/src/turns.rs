//! Whether an event loop has stood still lately, so that what it reads now may have arrived long ago.
//!
//! A process that is frozen, or gets no processor time, finds out by the time between two turns of its loop.

use std::time::Duration;

use crate::Tick;

/// Longest time between two turns of a loop that runs, which turns every tenth of a second. What waited for longer before
/// it is read may have arrived long ago.
pub const MAX_TURN: Duration = Duration::from_millis(300);

/// The turns of an event loop.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoopTurns {
    newest: Option<Tick>,
    /// When the loop went on after it had stood still.
    resumed: Option<Tick>,
}

impl LoopTurns {
    /// Records a turn. The clock has to count the time in which the process is frozen.
    pub fn record(&mut self, now: Tick) {
        if self.newest.is_some_and(|newest| now.since(newest) > MAX_TURN) {
            self.resumed = Some(now);
        }
        self.newest = Some(now);
    }

    /// Returns whether what is read now may have arrived long ago. What waited while the loop stood still is read in the
    /// first turns after it.
    #[must_use]
    pub fn may_be_late(&self, now: Tick) -> bool {
        let lately = |at: Tick| now.since(at) <= MAX_TURN;
        !self.newest.is_some_and(lately) || self.resumed.is_some_and(lately)
    }
}
