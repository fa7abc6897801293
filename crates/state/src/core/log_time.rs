//! Log time: the clock of leases and claims, advanced by the leader's monotonic clock and never faster.

use policy::Tick;

/// The newest known log time and the local time at which it was observed.
///
/// With wall clocks, a leader whose clock is a day fast would end all leases and drop all claims at once. Each leader
/// therefore continues from the newest entry by its own monotonic clock. Time without a leader is not counted, so that
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

    /// Returns the current log time in milliseconds.
    pub(super) fn now_ms(&self, now: Tick) -> u64 {
        self.at_ms + now.since(self.since).as_millis() as u64
    }

    /// Takes over the time of an applied entry.
    ///
    /// A follower continues from each entry, since its clock may be faster than the leader's. A leader does not: its
    /// time went on between writing and applying the entry.
    pub(super) fn observe(&mut self, at_ms: u64, leads: bool, now: Tick) {
        if !leads || at_ms > self.now_ms(now) {
            *self = Self::new(at_ms, now);
        }
    }
}
