//! Counts started requests by window of wall-clock time and client account.

use std::collections::BTreeMap;
use std::time::Duration;

use telemetry::clock::wall_ms;

/// Number of windows that every heartbeat repeats, so that a new leader learns of them too.
const MAX_WINDOWS: usize = 6;

/// Counts of the newest windows.
#[derive(Debug)]
pub struct UsageCounter {
    window: Duration,
    counts: BTreeMap<u64, BTreeMap<String, u64>>,
}

impl UsageCounter {
    /// Creates a counter with windows of a length, numbered from the Unix epoch.
    #[must_use]
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            counts: BTreeMap::new(),
        }
    }

    /// Counts a request of an account that starts now.
    pub fn add(&mut self, account: &str) {
        let window = wall_ms() / (self.window.as_millis() as u64).max(1);
        let counts = self.counts.entry(window).or_default();
        match counts.get_mut(account) {
            Some(count) => *count += 1,
            None => drop(counts.insert(account.to_owned(), 1)),
        }
        while self.counts.len() > MAX_WINDOWS {
            self.counts.pop_first();
        }
    }

    /// Returns the counts by window number and account.
    #[must_use]
    pub const fn counts(&self) -> &BTreeMap<u64, BTreeMap<String, u64>> {
        &self.counts
    }
}
