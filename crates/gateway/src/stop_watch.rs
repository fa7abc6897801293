//! Notices that the process was asked to stop.

use std::cell::Cell;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use policy::Tick;
use policy::stop::PlannedStop;
use tokio::time::sleep;

use crate::gate::Gateway;
use crate::server::SYNC_INTERVAL;

/// Watches the flag that a signal sets.
#[derive(Debug, Default)]
pub struct StopWatch {
    asked: Arc<AtomicBool>,
    /// Time from the signal until the process is killed from outside.
    grace: Duration,
    /// The last moment at which the process had not been asked to stop.
    unasked_at: Cell<Tick>,
    stop: Cell<Option<PlannedStop>>,
}

impl StopWatch {
    /// Creates a watch of a flag at `now`.
    #[must_use]
    pub fn new(asked: Arc<AtomicBool>, grace: Duration, now: Tick) -> Self {
        Self {
            asked,
            grace,
            unasked_at: Cell::new(now),
            stop: Cell::default(),
        }
    }

    /// Returns the stop if the process was asked for it; `now` was read before the call.
    pub fn look(&self, now: Tick) -> Option<PlannedStop> {
        if self.stop.get().is_none() {
            if self.asked.load(Ordering::Relaxed) {
                let stop = PlannedStop::new(self.unasked_at.get(), now, self.grace);
                self.stop.set(Some(stop));
            } else {
                self.unasked_at.set(now);
            }
        }
        self.stop.get()
    }
}

impl Gateway {
    /// Returns the stop if the process was asked for it. From the first such call on, nothing waits any more.
    pub(crate) fn planned_stop(&self) -> Option<PlannedStop> {
        let stop = self.stop.look(self.clock.now())?;
        self.waiting.close();
        Some(stop)
    }

    /// Returns whether a request that lasts `longest` from now on ends before the process does.
    pub(crate) fn takes(&self, longest: Duration) -> bool {
        let stop = self.planned_stop();
        stop.is_none_or(|stop| stop.takes(longest, self.clock.now()))
    }

    /// Waits until a request that lasts `longest` is no longer taken.
    pub(crate) async fn wait_untaken(&self, longest: Duration) {
        while self.takes(longest) {
            sleep(SYNC_INTERVAL).await;
        }
    }
}
