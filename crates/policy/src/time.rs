//! The time that decisions are made at.

use std::ops::{Add, Sub};
use std::time::Duration;

use derive_more::Display;

/// Converts seconds to a duration: zero for a negative number and for none, the longest one for more than it can hold.
#[must_use]
pub fn duration_from_secs(seconds: f64) -> Duration {
    if seconds > 0.0 {
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    } else {
        Duration::ZERO
    }
}

/// Time since the start of the process.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{:.3} s", _0.as_secs_f64())]
pub struct Tick(pub Duration);

impl Tick {
    /// Creates a tick from milliseconds since the start of the process.
    #[must_use]
    pub const fn from_millis(ms: u64) -> Self {
        Self(Duration::from_millis(ms))
    }

    /// Returns the time since an earlier tick; zero if `earlier` is later.
    #[must_use]
    pub const fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }
}

impl Add<Duration> for Tick {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        Self(self.0.saturating_add(rhs))
    }
}

impl Sub<Duration> for Tick {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        Self(self.0.saturating_sub(rhs))
    }
}
