//! The table of journals: all of open requests, and those of ended requests within bounds.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use contract::RequestId;
use metrics::gauge;
use parking_lot::Mutex;
use policy::Tick;
use upstream::engine::ChatRequest;

use super::Journal;

/// Most ended requests whose journals are kept.
pub const MAX_ENDED: usize = 4_096;
/// Most memory of ended requests' journals, in bytes.
pub const MAX_ENDED_BYTES: usize = 16 * 1024 * 1024;
/// Longest time for which the journal of an ended request is kept.
pub const MAX_ENDED_AGE: Duration = Duration::from_mins(10);

/// The journals of an entry host.
#[derive(Debug, Default)]
pub struct Journals {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    journals: HashMap<RequestId, Arc<Journal>>,
    ended: VecDeque<EndedJournal>,
    bytes: usize,
}

#[derive(Debug)]
struct EndedJournal {
    request: RequestId,
    at: Tick,
    bytes: usize,
}

impl Journals {
    /// Opens the journal of a request.
    pub fn open(&self, request: &RequestId, owner: String, body: &ChatRequest) -> Arc<Journal> {
        let journal = Arc::new(Journal::new(owner, body));
        self.inner.lock().journals.insert(request.clone(), Arc::clone(&journal));
        journal
    }

    /// Opens the journal of a request; returns `None` if there is one already.
    pub fn open_new(&self, request: &RequestId, owner: String, body: &ChatRequest) -> Option<Arc<Journal>> {
        let mut inner = self.inner.lock();
        if inner.journals.contains_key(request) {
            return None;
        }
        let journal = Arc::new(Journal::new(owner, body));
        inner.journals.insert(request.clone(), Arc::clone(&journal));
        Some(journal)
    }

    /// Records that a request ended, and drops the oldest ended journals that exceed the bounds.
    pub fn end(&self, request: &RequestId, now: Tick) {
        let mut inner = self.inner.lock();
        let Some(bytes) = inner.journals.get(request).map(|journal| journal.memory_bytes()) else {
            return;
        };
        inner.bytes += bytes;
        inner.ended.push_back(EndedJournal {
            request: request.clone(),
            at: now,
            bytes,
        });
        inner.drop_oldest(now);
        gauge!("gentian_journal_bytes").set(inner.bytes as f64);
    }

    /// Finds the journal of a request.
    #[must_use]
    pub fn find(&self, request: &RequestId) -> Option<Arc<Journal>> {
        self.inner.lock().journals.get(request).cloned()
    }

    /// Returns every request whose answer has not ended yet.
    #[must_use]
    pub fn open_journals(&self) -> Vec<(RequestId, Arc<Journal>)> {
        let inner = self.inner.lock();
        let open = inner.journals.iter().filter(|(_, journal)| journal.is_open());
        open.map(|(id, journal)| (id.clone(), Arc::clone(journal))).collect()
    }
}

impl Inner {
    fn drop_oldest(&mut self, now: Tick) {
        while let Some(oldest) = self.ended.front()
            && (self.ended.len() > MAX_ENDED || self.bytes > MAX_ENDED_BYTES || now.since(oldest.at) > MAX_ENDED_AGE)
            && let Some(oldest) = self.ended.pop_front()
        {
            self.bytes -= oldest.bytes;
            self.journals.remove(&oldest.request);
        }
    }
}
