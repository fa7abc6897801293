//! A circuit breaker for one upstream.

use std::time::Duration;

use crate::Tick;

/// Failures in a row after which the breaker opens.
const FAILURES: u32 = 3;
/// Shortest and longest time for which it stays open.
const PAUSE: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(30));

/// Keeps requests away from an upstream that fails, and lets single probes through.
#[derive(Clone, Copy, Debug, Default)]
pub struct Breaker {
    failures: u32,
    probe_at: Option<Tick>,
}

impl Breaker {
    /// Tells whether a request may go there; while the breaker is open, one probe passes for each pause.
    #[must_use]
    pub fn allows(&self, now: Tick) -> bool {
        self.probe_at.is_none_or(|at| at <= now)
    }

    /// Notes that a request was sent there, so that a probe stays single.
    pub fn sent(&mut self, now: Tick) {
        if self.probe_at.is_some() {
            self.probe_at = Some(now + self.pause());
        }
    }

    /// Notes an answer.
    pub fn succeeded(&mut self) {
        *self = Self::default();
    }

    /// Notes a failure.
    pub fn failed(&mut self, now: Tick) {
        self.failures = self.failures.saturating_add(1);
        if self.failures >= FAILURES {
            self.probe_at = Some(now + self.pause());
        }
    }

    fn pause(&self) -> Duration {
        let doublings = self.failures.saturating_sub(FAILURES).min(6);
        (PAUSE.0 * 2_u32.pow(doublings)).min(PAUSE.1)
    }
}
