//! What a process that was asked to stop still takes, and when it ends.
//!
//! A request is taken if it is certain to have its answer before the process ends, whatever its kind. All others are
//! refused as not run from the first moment on, since only then another host can serve them. What has begun goes on until
//! the end.

use std::time::Duration;

use crate::Tick;

/// Time before the process is killed from outside at which it ends itself.
const STOP_MARGIN: Duration = Duration::from_millis(400);
/// Time in which the last answers are written before the process ends.
const ANSWER_TIME: Duration = Duration::from_millis(200);
/// Shortest time between the notice and the end. The balancer probes once a second and takes a host out after two failed
/// probes; until then it sends connections here, which are answered.
const LEAVE_TIME: Duration = Duration::from_millis(2_900);

/// A stop that was asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStop {
    noticed_at: Tick,
    ends_at: Tick,
}

impl PlannedStop {
    /// Plans a stop that is noticed at `now`, for a process that is killed `grace` after it was asked to stop.
    ///
    /// `unasked_at` is the last moment at which it had not been asked. The grace is counted from there, because a process
    /// that stood still doesn't know when in that time it was asked.
    #[must_use]
    pub fn new(unasked_at: Tick, now: Tick, grace: Duration) -> Self {
        Self {
            noticed_at: now,
            ends_at: unasked_at + grace.saturating_sub(STOP_MARGIN),
        }
    }

    /// Returns whether a request that lasts `longest` from now on has its answer before the process ends.
    #[must_use]
    pub fn takes(&self, longest: Duration, now: Tick) -> bool {
        longest.saturating_add(ANSWER_TIME) <= self.left(now)
    }

    /// Returns the time until the process ends.
    #[must_use]
    pub const fn left(&self, now: Tick) -> Duration {
        self.ends_at.since(now)
    }

    /// Returns whether the process ends now, given how many requests are `open`.
    #[must_use]
    pub fn is_over(&self, open: usize, now: Tick) -> bool {
        now >= self.ends_at || (open == 0 && now.since(self.noticed_at) >= LEAVE_TIME)
    }
}
