//! Counters that bound concurrent connections and requests; each increment returns a guard that undoes it.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use metrics::gauge;

/// Concurrency counters of the HTTP server for callers.
#[derive(Debug, Default)]
pub struct Shared {
    connections: Arc<AtomicUsize>,
    readers: Arc<AtomicUsize>,
    askers: Arc<AtomicUsize>,
    work: Arc<AtomicUsize>,
}

/// An increment of a counter; dropping it decrements the counter.
#[derive(Debug)]
pub struct Counted(Arc<AtomicUsize>);

impl Shared {
    /// Counts a connection; returns `None` if `most` are open.
    pub(super) fn connect(&self, most: usize) -> Option<Counted> {
        let place = count(&self.connections, most);
        gauge!("gentian_connections").set(self.connections.load(Ordering::Relaxed) as f64);
        place
    }

    /// Counts a request whose body is being read; returns `None` if `most` are.
    pub(super) fn reader(&self, most: usize) -> Option<Counted> {
        count(&self.readers, most.max(1))
    }

    /// Counts a lookup at the peers; returns `None` if `most` are running.
    pub(super) fn ask(&self, most: usize) -> Option<Counted> {
        count(&self.askers, most)
    }

    /// Counts a request that is being served.
    pub(super) fn begin(&self) -> Counted {
        self.work.fetch_add(1, Ordering::SeqCst);
        Counted(Arc::clone(&self.work))
    }

    /// Counts a request taken over from a peer; returns `None` if `most` requests are being served.
    pub(super) fn adopt(&self, most: usize) -> Option<Counted> {
        count(&self.work, most)
    }

    /// Returns the number of requests that are being served.
    #[must_use]
    pub fn working(&self) -> usize {
        self.work.load(Ordering::SeqCst)
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

fn count(counter: &Arc<AtomicUsize>, most: usize) -> Option<Counted> {
    let raise = |now: usize| (now < most).then_some(now + 1);
    counter.fetch_update(Ordering::SeqCst, Ordering::SeqCst, raise).ok()?;
    Some(Counted(Arc::clone(counter)))
}
