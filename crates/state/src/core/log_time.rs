//! Log time: it runs with the leader's monotonic clock and never faster.

use policy::Tick;

/// The newest log time that is known, and when it was.
///
/// With wall clocks, a leader whose clock is wrong by a day would end every lease and forget every claim at once. So each
/// leader goes on from the newest entry by its own monotonic clock. Time in which nobody led is not counted, which makes
/// leases last longer, never shorter.
#[derive(Clone, Copy, Debug)]
pub(super) struct LogTime {
    at_ms: u64,
    since: Tick,
}

impl LogTime {
    pub(super) const fn new(at_ms: u64, since: Tick) -> Self {
        Self { at_ms, since }
    }

    pub(super) fn now_ms(&self, now: Tick) -> u64 {
        self.at_ms + now.since(self.since).as_millis() as u64
    }

    /// Notes the time of an applied entry.
    ///
    /// A follower starts anew from each, since its clock may be faster than the leader's. A leader doesn't: between
    /// writing and applying an entry time goes on.
    pub(super) fn heard(&mut self, at_ms: u64, leads: bool, now: Tick) {
        if !leads || at_ms > self.now_ms(now) {
            *self = Self::new(at_ms, now);
        }
    }
}
