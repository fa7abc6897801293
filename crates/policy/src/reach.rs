//! Reachability of a data centre, judged by the traffic received from it.
//!
//! When data centres are cut off from each other, connections fall silent and new ones time out. Judging each upstream
//! on its own would lose three requests at every one of them. If nothing arrives from any upstream of a data centre
//! while requests wait there, a few requests are enough.

use std::cell::Cell;
use std::time::Duration;

use crate::Tick;

/// Wait of a request, with nothing received from its data centre, that counts as silence. The round trip between data
/// centres takes a few milliseconds, and streams send an event every 30.
pub const SILENCE: Duration = Duration::from_millis(300);
/// Time for which repeatable requests avoid a silent data centre; the first one after it is the probe.
const AVOID_TIME: Duration = Duration::from_secs(1);
/// The same for requests that may run only once: whatever of them is lost cannot be repeated.
const AVOID_TIME_ONCE: Duration = Duration::from_secs(4);

/// Reachability of one data centre.
#[derive(Debug, Default)]
pub struct Reachability {
    last_received: Cell<Tick>,
    /// When the data centre was last found silent.
    last_silence: Cell<Option<Tick>>,
}

impl Reachability {
    /// Records that anything was received from the data centre.
    pub fn record_received(&self, now: Tick) {
        self.last_received.set(now);
    }

    /// Records that a request sent at `sent` has had no response so far.
    pub fn record_wait(&self, sent: Tick, now: Tick) {
        if sent > self.last_received.get() && now.since(sent) >= SILENCE {
            self.last_silence.set(Some(now));
        }
    }

    /// Records that a connection attempt timed out.
    pub fn record_connect_timeout(&self, now: Tick) {
        if now.since(self.last_received.get()) >= SILENCE {
            self.last_silence.set(Some(now));
        }
    }

    /// Returns whether requests should avoid the data centre; `once` stands for requests that may run only once.
    #[must_use]
    pub fn is_silent(&self, once: bool, now: Tick) -> bool {
        let avoid_time = if once { AVOID_TIME_ONCE } else { AVOID_TIME };
        let last_silence = self
            .last_silence
            .get()
            .filter(|last_silence| *last_silence > self.last_received.get());
        last_silence.is_some_and(|last_silence| now.since(last_silence) < avoid_time)
    }
}
