//! What the connections of all callers share: counts, each with a guard that takes it back.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use metrics::gauge;

/// Counts over all callers.
#[derive(Debug, Default)]
pub struct Shared {
    connections: Arc<AtomicUsize>,
    readers: Arc<AtomicUsize>,
    askers: Arc<AtomicUsize>,
    work: Arc<AtomicUsize>,
}

/// One counted thing; it ends when dropped.
#[derive(Debug)]
pub struct Counted(Arc<AtomicUsize>);

impl Shared {
    /// Counts a connection, unless there are as many as allowed.
    pub(super) fn connect(&self, most: usize) -> Option<Counted> {
        let place = count(&self.connections, most);
        gauge!("gentian_connections").set(self.connections.load(Ordering::Relaxed) as f64);
        place
    }

    /// Counts a caller whose body is being read, unless there are as many as allowed.
    pub(super) fn reader(&self, most: usize) -> Option<Counted> {
        count(&self.readers, most.max(1))
    }

    /// Counts a question to all peers, unless there are as many as allowed.
    pub(super) fn ask(&self, most: usize) -> Option<Counted> {
        count(&self.askers, most)
    }

    /// Counts a request that is being answered.
    pub(super) fn begin(&self) -> Counted {
        self.work.fetch_add(1, Ordering::SeqCst);
        Counted(Arc::clone(&self.work))
    }

    /// Counts an adopted request, unless there are as many as allowed.
    pub(super) fn adopt(&self, most: usize) -> Option<Counted> {
        count(&self.work, most)
    }

    /// Gives the number of requests that are being answered.
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
