//! A circuit breaker for one upstream.

use std::time::Duration;

use crate::Tick;

/// Failures in a row after which the breaker opens.
pub const FAILURES: u32 = 3;
/// Shortest and longest time for which it stays open.
pub const PAUSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(30));

/// Keeps requests away from an upstream that fails, and lets single probes through.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    state: State,
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Requests pass; so many failed in a row.
    Closed { failures: u32 },
    /// No request passes until the time; it has opened so many times in a row.
    Open { until: Tick, times: u32 },
    /// One probe is under way; if nothing is heard of it until the time, another may go.
    Probing { until: Tick, times: u32 },
}

impl Default for State {
    fn default() -> Self {
        Self::Closed { failures: 0 }
    }
}

impl Breaker {
    /// Tells whether a request may go there now.
    #[must_use]
    pub fn allows(&self, now: Tick) -> bool {
        match self.state {
            State::Closed { .. } => true,
            State::Open { until, .. } | State::Probing { until, .. } => until <= now,
        }
    }

    /// Gives the time at which the next probe may go; absent while the breaker is closed.
    #[must_use]
    pub const fn probe_at(&self) -> Option<Tick> {
        match self.state {
            State::Closed { .. } => None,
            State::Open { until, .. } | State::Probing { until, .. } => Some(until),
        }
    }

    /// Takes the right to send one request, if there is one.
    ///
    /// Asking and taking are one step. If they were two, every thread that asks while the probe is due would send one,
    /// and an upstream that struggles to its feet would be hit by as many requests as there are threads.
    pub fn claim(&mut self, now: Tick) -> bool {
        let allowed = self.allows(now);
        if allowed && let State::Open { times, .. } | State::Probing { times, .. } = self.state {
            let until = now + pause(times);
            self.state = State::Probing { until, times };
        }
        allowed
    }

    /// Notes an answer.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure.
    ///
    /// Requests that were under way when the breaker opened fail too; they change nothing, so that a hundred of them
    /// don't lengthen the pause a hundred times.
    pub fn failed(&mut self, now: Tick) {
        self.state = match self.state {
            State::Closed { failures } if failures + 1 < FAILURES => State::Closed { failures: failures + 1 },
            State::Closed { .. } => State::Open {
                until: now + pause(0),
                times: 0,
            },
            State::Probing { times, .. } => State::Open {
                until: now + pause(times + 1),
                times: times + 1,
            },
            open @ State::Open { .. } => open,
        };
    }
}

fn pause(times: u32) -> Duration {
    (PAUSE.0 * 2_u32.pow(times.min(6))).min(PAUSE.1)
}
