//! Which journals are kept: all of open requests, and of ended ones as many as fit.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use contract::RequestId;
use metrics::gauge;
use parking_lot::Mutex;
use policy::Tick;
use upstream::engine::ChatRequest;

use super::Journal;

/// Ended requests that are kept at most.
pub const KEPT: usize = 4_096;
/// Memory of ended requests that are kept at most, in bytes.
pub const KEPT_BYTES: usize = 16 * 1024 * 1024;
/// Longest time for which an ended request is kept.
pub const KEPT_TIME: Duration = Duration::from_mins(10);

/// The journals of an entry host.
#[derive(Debug, Default)]
pub struct Journals {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    all: HashMap<RequestId, Arc<Journal>>,
    ended: VecDeque<Ended>,
    bytes: usize,
}

#[derive(Debug)]
struct Ended {
    request: RequestId,
    at: Tick,
    bytes: usize,
}

impl Journals {
    /// Opens the journal of a request.
    pub fn open(&self, request: &RequestId, owner: String, ask: &ChatRequest) -> Arc<Journal> {
        let journal = Arc::new(Journal::new(owner, ask));
        self.inner.lock().all.insert(request.clone(), Arc::clone(&journal));
        journal
    }

    /// Opens the journal of a request unless there is one.
    pub fn open_new(&self, request: &RequestId, owner: String, ask: &ChatRequest) -> Option<Arc<Journal>> {
        let mut inner = self.inner.lock();
        if inner.all.contains_key(request) {
            return None;
        }
        let journal = Arc::new(Journal::new(owner, ask));
        inner.all.insert(request.clone(), Arc::clone(&journal));
        Some(journal)
    }

    /// Notes that a request ended; the oldest ended ones that don't fit are forgotten.
    pub fn end(&self, request: &RequestId, now: Tick) {
        let mut inner = self.inner.lock();
        let Some(bytes) = inner.all.get(request).map(|journal| journal.size()) else {
            return;
        };
        inner.bytes += bytes;
        inner.ended.push_back(Ended {
            request: request.clone(),
            at: now,
            bytes,
        });
        inner.trim(now);
        gauge!("gentian_journal_bytes").set(inner.bytes as f64);
    }

    /// Finds the journal of a request.
    #[must_use]
    pub fn find(&self, request: &RequestId) -> Option<Arc<Journal>> {
        self.inner.lock().all.get(request).cloned()
    }

    /// Gives every request that is still being answered.
    #[must_use]
    pub fn open_ones(&self) -> Vec<(RequestId, Arc<Journal>)> {
        let inner = self.inner.lock();
        let open = inner.all.iter().filter(|(_, journal)| journal.is_open());
        open.map(|(id, journal)| (id.clone(), Arc::clone(journal))).collect()
    }
}

impl Inner {
    fn trim(&mut self, now: Tick) {
        while let Some(oldest) = self.ended.front()
            && (self.ended.len() > KEPT || self.bytes > KEPT_BYTES || now.since(oldest.at) > KEPT_TIME)
            && let Some(oldest) = self.ended.pop_front()
        {
            self.bytes -= oldest.bytes;
            self.all.remove(&oldest.request);
        }
    }
}
