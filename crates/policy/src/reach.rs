//! Whether a data centre can be reached, from what is heard of it.
//!
//! When data centres are cut off from each other, connections fall silent and new ones hang. Judging each upstream by itself
//! would lose three requests at every one of them; nothing heard from any upstream of a data centre, while requests wait
//! there, tells the same after a few.

use std::cell::Cell;
use std::time::Duration;

use crate::Tick;

/// Time for which a request waits, while nothing at all is heard from its data centre, until that counts as silence. The
/// round trip between data centres takes a few milliseconds, and streams send an event every 30.
pub const SILENCE: Duration = Duration::from_millis(300);
/// How long requests that may be repeated keep away from a silent data centre; the first after that is the probe.
const AVOIDED: Duration = Duration::from_secs(1);
/// The same for requests that may run only once: whatever is lost of them is lost for good.
const AVOIDED_ONCE: Duration = Duration::from_secs(4);

/// What is heard of one data centre.
#[derive(Debug, Default)]
pub struct Reachability {
    heard: Cell<Tick>,
    silent: Cell<Option<Tick>>,
}

impl Reachability {
    /// Notes that anything has come from there.
    pub fn record_received(&self, now: Tick) {
        self.heard.set(now);
    }

    /// Judges by a request that was sent there and has got nothing yet.
    pub fn record_wait(&self, sent: Tick, now: Tick) {
        if sent > self.heard.get() && now.since(sent) >= SILENCE {
            self.silent.set(Some(now));
        }
    }

    /// Notes that a connection was not accepted in time.
    pub fn record_connect_timeout(&self, now: Tick) {
        if now.since(self.heard.get()) >= SILENCE {
            self.silent.set(Some(now));
        }
    }

    /// Tells whether requests should keep away.
    #[must_use]
    pub fn is_silent(&self, once: bool, now: Tick) -> bool {
        let avoided = if once { AVOIDED_ONCE } else { AVOIDED };
        let silent = self.silent.get().filter(|silent| *silent > self.heard.get());
        silent.is_some_and(|silent| now.since(silent) < avoided)
    }
}
