//! Counters that bound concurrent connections and requests; each increment returns a guard that undoes it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use metrics::gauge;

/// Concurrency counters of the HTTP server for callers.
#[derive(Debug, Default)]
pub struct RequestCounts {
    connections: Arc<AtomicUsize>,
    readers: Arc<AtomicUsize>,
    lookups: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
}

/// An increment of a counter; dropping it decrements the counter.
#[derive(Debug)]
pub struct CountGuard(Arc<AtomicUsize>);

impl RequestCounts {
    /// Counts a connection.
    pub(super) fn count_connection(&self) -> CountGuard {
        self.connections.fetch_add(1, Ordering::SeqCst);
        let guard = CountGuard(Arc::clone(&self.connections));
        gauge!("gentian_connections").set(self.connections.load(Ordering::Relaxed) as f64);
        guard
    }

    /// Counts a request whose body is being read; returns `None` if `limit` are.
    pub(super) fn count_reader(&self, limit: usize) -> Option<CountGuard> {
        increment(&self.readers, limit.max(1))
    }

    /// Counts a lookup at the peers; returns `None` if `limit` are running.
    pub(super) fn count_lookup(&self, limit: usize) -> Option<CountGuard> {
        increment(&self.lookups, limit)
    }

    /// Counts a request that is being served.
    pub(super) fn count_request(&self) -> CountGuard {
        self.requests.fetch_add(1, Ordering::SeqCst);
        CountGuard(Arc::clone(&self.requests))
    }

    /// Counts a request taken over from a peer; returns `None` if `limit` requests are being served.
    pub(super) fn count_adopted(&self, limit: usize) -> Option<CountGuard> {
        increment(&self.requests, limit)
    }

    /// Returns the number of requests whose bodies are being read.
    #[must_use]
    pub fn reading_bodies(&self) -> usize {
        self.readers.load(Ordering::SeqCst)
    }

    /// Returns the number of requests that are being served.
    #[must_use]
    pub fn open_requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

impl Drop for CountGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn increment(counter: &Arc<AtomicUsize>, limit: usize) -> Option<CountGuard> {
    let below_limit = |now: usize| (now < limit).then_some(now + 1);
    counter
        .fetch_update(Ordering::SeqCst, Ordering::SeqCst, below_limit)
        .ok()?;
    Some(CountGuard(Arc::clone(counter)))
}
