//! A circuit breaker for one upstream.

use std::time::Duration;

use crate::Tick;

/// Consecutive failures that open the breaker.
pub const FAILURE_THRESHOLD: u32 = 3;
/// Shortest and longest time that the breaker stays open.
pub const OPEN_TIME: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(30));

/// Blocks requests to a failing upstream and lets single probes through.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    state: State,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Requests pass; `failures` is the number of consecutive failures.
    Closed { failures: u32 },
    /// No request passes before `until`; `reopenings` counts how often it has reopened in a row.
    Open { until: Tick, reopenings: u32 },
    /// One probe is in flight; another may follow at `until` if the first has no outcome by then.
    Probing { until: Tick, reopenings: u32 },
}

impl Default for State {
    fn default() -> Self {
        Self::Closed { failures: 0 }
    }
}

impl Breaker {
    /// Returns whether a request may be sent now.
    #[must_use]
    pub fn allows(&self, now: Tick) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, .. } | State::Probing { until, .. } => until <= now,
        }
    }

    /// Returns the time of the next probe; `None` while the breaker is closed.
    #[must_use]
    pub const fn probe_at(&self) -> Option<Tick> {
        match self.state {
            State::Closed { .. } => None,
            State::Open { until, .. } | State::Probing { until, .. } => Some(until),
        }
    }

    /// Claims the right to send one request; returns whether it was granted.
    ///
    /// Check and claim are a single step: with two, every thread that checks while a probe is due would send one, and a
    /// recovering upstream would get as many requests as there are threads.
    pub fn claim(&mut self, now: Tick) -> bool {
        let allowed = self.allows(now);
        if allowed && let State::Open { reopenings, .. } | State::Probing { reopenings, .. } = self.state {
            let until = now + pause(reopenings);
            self.state = State::Probing { until, reopenings };
        }
        allowed
    }

    /// Records a successful answer, which closes the breaker.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Records a failure.
    ///
    /// Requests in flight when the breaker opens fail as well. They are ignored, so that a hundred such failures do not
    /// lengthen the pause a hundred times.
    pub fn failed(&mut self, now: Tick) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < FAILURE_THRESHOLD => State::Closed { failures: failures + 1 },
            State::Closed { .. } => State::Open {
                until: now + pause(0),
                reopenings: 0,
            },
            State::Probing { reopenings, .. } => State::Open {
                until: now + pause(reopenings + 1),
                reopenings: reopenings + 1,
            },
            open @ State::Open { .. } => open,
        };
    }
}

fn pause(reopenings: u32) -> Duration {
    (OPEN_TIME.0 * 2_u32.pow(reopenings.min(6))).min(OPEN_TIME.1)
}
