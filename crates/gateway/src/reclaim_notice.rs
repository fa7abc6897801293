//! The announced end of an upstream, for the streams that run on it.

use std::cell::Cell;
use std::time::Duration;

use policy::Tick;
use tokio::sync::Notify;

/// When an upstream will be reclaimed; empty until that is announced.
#[derive(Debug, Default)]
pub struct ReclaimNotice {
    ends_at: Cell<Option<Tick>>,
    announced: Notify,
}

impl ReclaimNotice {
    /// Announces the end of the upstream, and wakes the streams that run on it.
    pub fn announce(&self, ends_at: Tick) {
        if self.ends_at.replace(Some(ends_at)).is_none() {
            self.announced.notify_waiters();
        }
    }

    /// Waits for the announcement.
    pub async fn announced(&self) {
        // Registered before the check, so that an announcement in between is not missed.
        let announced = self.announced.notified();
        if self.ends_at.get().is_none() {
            announced.await;
        }
    }

    /// Returns the time left until the end; `None` if none was announced.
    #[must_use]
    pub fn time_left(&self, now: Tick) -> Option<Duration> {
        self.ends_at.get().map(|ends_at| ends_at.since(now))
    }
}
