//! The announced end of an upstream, for the streams that it runs.

use std::cell::Cell;
use std::time::Duration;

use policy::Tick;
use tokio::sync::Notify;

/// When an upstream is taken away, if that was announced.
#[derive(Debug, Default)]
pub struct Notice {
    ends: Cell<Option<Tick>>,
    told: Notify,
}

impl Notice {
    /// Notes that the upstream is gone at a time, and wakes the streams that it runs.
    pub fn tell(&self, ends: Tick) {
        if self.ends.replace(Some(ends)).is_none() {
            self.told.notify_waiters();
        }
    }

    /// Waits for the announcement.
    pub async fn told(&self) {
        // Registered before the look, so that an announcement in between is not missed.
        let told = self.told.notified();
        if self.ends.get().is_none() {
            told.await;
        }
    }

    /// Gives the time that is left, if an end was announced.
    #[must_use]
    pub fn left(&self, now: Tick) -> Option<Duration> {
        self.ends.get().map(|ends| ends.since(now))
    }
}
