//! The clock of the runtime; tests replace it by one that they advance.

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
    /// The machine's clock, as it stood at the start.
    Machine(Duration),
    /// A clock that tests advance.
    Mock { clock: quanta::Clock, start: Instant },
}

impl Clock {
    /// Starts a clock that follows the machine.
    ///
    /// Time in which the machine is suspended counts. A clock that stood still meanwhile would let a leader that wakes up
    /// trust a lease that has long ended, and two leaders would answer at once.
    #[must_use]
    pub fn start() -> Self {
        Self(Source::Machine(since_boot()))
    }

    /// Starts a clock that only moves when the returned handle is told to.
    #[must_use]
    pub fn mock() -> (Self, Arc<Mock>) {
        let (clock, mock) = quanta::Clock::mock();
        let start = clock.now();
        (Self(Source::Mock { clock, start }), mock)
    }

    /// Gives the time since the start.
    #[must_use]
    pub fn now(&self) -> Tick {
        Tick(match &self.0 {
            Source::Machine(start) => since_boot().saturating_sub(*start),
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

/// Gives the wall clock in milliseconds since 1970; only for what people read, never for decisions.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
