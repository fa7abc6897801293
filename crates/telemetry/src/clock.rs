//! Monotonic clock, which tests replace by a mock.

use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use policy::Tick;
use quanta::{Instant, Mock};
use rustix::time::{ClockId, clock_gettime};

/// A monotonic clock that counts from its own start.
#[derive(Clone, Debug)]
pub struct Clock(Source);

#[derive(Clone, Debug)]
enum Source {
    /// The clock of the host; holds its reading at the start.
    Host(Duration),
    /// A mock clock that tests advance.
    Mock { clock: quanta::Clock, start: Instant },
}

impl Clock {
    /// Starts a clock that follows the clock of the host.
    ///
    /// Time in which the host is suspended counts. Otherwise a leader that resumes would trust a lease that has long
    /// expired, and two leaders would respond at once.
    #[must_use]
    pub fn start() -> Self {
        Self(Source::Host(since_boot()))
    }

    /// Returns a mock clock with the handle that advances it.
    #[must_use]
    pub fn mock() -> (Self, Arc<Mock>) {
        let (clock, mock) = quanta::Clock::mock();
        let start = clock.now();
        (Self(Source::Mock { clock, start }), mock)
    }

    /// Returns the time since the clock was started.
    #[must_use]
    pub fn now(&self) -> Tick {
        Tick(match &self.0 {
            Source::Host(start) => since_boot().saturating_sub(*start),
            Source::Mock { clock, start } => clock.now().duration_since(*start),
        })
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}

/// Returns the wall clock time in milliseconds since 1970.
///
/// Only for timestamps in logs, reports and usage windows: the wall clock can jump, so timeouts and leases must use
/// [`Clock`].
#[must_use]
pub fn wall_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
