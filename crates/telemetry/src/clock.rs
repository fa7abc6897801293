//! The clock of the runtime; tests replace it by one that they advance.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use policy::Tick;
use quanta::{Instant, Mock};

/// A monotonic clock that counts from its own start.
#[derive(Clone, Debug)]
pub struct Clock {
    clock: quanta::Clock,
    start: Instant,
}

impl Clock {
    /// Starts a clock that follows the machine.
    #[must_use]
    pub fn start() -> Self {
        Self::from(quanta::Clock::new())
    }

    /// Starts a clock that only moves when the returned handle is told to.
    #[must_use]
    pub fn mock() -> (Self, Arc<Mock>) {
        let (clock, mock) = quanta::Clock::mock();
        (Self::from(clock), mock)
    }

    /// Gives the time since the start.
    #[must_use]
    pub fn now(&self) -> Tick {
        Tick(self.clock.now().duration_since(self.start))
    }
}

impl From<quanta::Clock> for Clock {
    fn from(clock: quanta::Clock) -> Self {
        let start = clock.now();
        Self { clock, start }
    }
}

/// Gives the wall clock in milliseconds since 1970; only for what people read, never for decisions.
#[must_use]
pub fn wall_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
