//! Pause that an overloaded upstream asks of one host.
//!
//! The upstream turns a request away and says for how long it wants no others from this host. Many hosts are turned away
//! within the same moment. If all came back when their pauses end, the upstream would turn them away again, so each adds a
//! random delay, and sends a single request before all others.

use std::time::Duration;

use crate::Tick;

/// Longest pause that is kept. An upstream that asks for more is asked again after this time.
pub const MAX_PAUSE: Duration = Duration::from_mins(5);
/// Largest random delay after a pause, relative to the pause, and the largest at all.
const SPREAD_SHARE: f64 = 0.25;
const MAX_SPREAD: Duration = Duration::from_secs(1);
/// Time after which another probe may follow one that has no outcome, or was rejected without a further pause.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// The pause of an upstream as one host keeps it.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    /// When the pause ends.
    until: Tick,
    /// When the next probe may be sent; `None` without a pause, and once the upstream has taken a probe.
    probe_at: Option<Tick>,
}

impl Backoff {
    /// Records that the upstream asks for a pause from `now` on. `draw`, uniform in 0 to 1, spreads the return of hosts.
    ///
    /// A pause never ends earlier because a shorter one follows. One without length says nothing.
    pub fn record_pause(&mut self, length: Duration, draw: f64, now: Tick) {
        let length = length.min(MAX_PAUSE);
        if length.is_zero() {
            return;
        }
        self.until = self.until.max(now + length);
        let spread = length.mul_f64(SPREAD_SHARE).min(MAX_SPREAD).mul_f64(draw);
        self.probe_at = self.probe_at.max(Some(self.until + spread));
    }

    /// Records that the upstream took a request that was sent at `sent_at`.
    pub fn record_taken(&mut self, sent_at: Tick) {
        // Requests from before the end of the pause say nothing about the time after it.
        if sent_at >= self.until {
            self.probe_at = None;
        }
    }

    /// Returns how long a request has to wait; zero if it may be sent now.
    #[must_use]
    pub fn wait(&self, now: Tick) -> Duration {
        self.probe_at.map_or(Duration::ZERO, |probe_at| probe_at.since(now))
    }

    /// Takes the right to send one request now; returns whether it was granted.
    pub fn claim(&mut self, now: Tick) -> bool {
        let granted = self.wait(now).is_zero();
        if granted && self.probe_at.is_some() {
            self.probe_at = Some(now + PROBE_INTERVAL);
        }
        granted
    }
}
