//! The batch: who runs, who waits and how long each step takes.

use std::collections::BTreeSet;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use parking_lot::{Condvar, Mutex};
use serde::Serialize;

use super::cache::{CacheEvent, PrefixCache};
use crate::cli::EngineOptions;
use crate::record::Record;

/// One engine.
#[derive(Debug)]
pub(crate) struct Engine {
    pub(crate) options: EngineOptions,
    pub(crate) record: Record,
    inner: Mutex<Inner>,
    changed: Condvar,
}

#[derive(Debug)]
struct Inner {
    running: u32,
    arrivals: u64,
    waiting: BTreeSet<(i32, u64)>,
    cache: PrefixCache,
    seen: Vec<Seen>,
    report: Report,
    reported: Instant,
}

/// A request that ran, as the engine saw it.
#[derive(Clone, Debug, Serialize)]
pub struct Seen {
    /// The request id that it came with.
    pub request: String,
    /// Tokens that were prefilled or found in the cache.
    pub prompt_tokens: u64,
    /// Tokens of these that were found in the cache.
    pub cached_tokens: u64,
    /// Tokens of a begun answer among them.
    pub begun_tokens: u64,
    /// Tokens that were made.
    pub made_tokens: u64,
    /// Whether the caller got the answer to its end.
    pub whole: bool,
}

/// A load report.
#[derive(Clone, Copy, Debug, Default, Serialize)]
pub(crate) struct Report {
    at_ms: u64,
    age_ms: u64,
    running: u32,
    waiting: u32,
    kv_used: f32,
}

impl Engine {
    pub(crate) fn new(options: EngineOptions, record: Record) -> Self {
        let inner = Inner {
            running: 0,
            arrivals: 0,
            waiting: BTreeSet::new(),
            cache: PrefixCache::new(options.cache_tokens),
            seen: Vec::new(),
            report: Report {
                at_ms: wall_ms(),
                ..Report::default()
            },
            reported: Instant::now(),
        };
        Self {
            options,
            record,
            inner: Mutex::new(inner),
            changed: Condvar::new(),
        }
    }

    /// Waits for a place in the batch; lower priorities go first.
    pub(crate) fn enter(&self, priority: i32) {
        let mut inner = self.inner.lock();
        inner.arrivals += 1;
        let place = (priority, inner.arrivals);
        inner.waiting.insert(place);
        while inner.running >= self.options.slots || inner.waiting.first() != Some(&place) {
            self.changed.wait(&mut inner);
        }
        inner.waiting.remove(&place);
        inner.running += 1;
        self.changed.notify_all();
    }

    /// Gives the place up and notes what was done.
    pub(crate) fn leave(&self, seen: Seen) {
        let mut inner = self.inner.lock();
        inner.running -= 1;
        inner.seen.push(seen);
        self.changed.notify_all();
    }

    /// Prefills a prompt and returns the number of its tokens that were cached.
    pub(crate) fn prefill(&self, words: &[&str]) -> u64 {
        let prefixes = PrefixCache::prefixes(words);
        let cached = self.inner.lock().cache.cached(&prefixes);
        let fresh = words.len().saturating_sub(cached) as u64;
        std::thread::sleep(Duration::from_micros(fresh * self.options.prefill_us));
        self.inner.lock().cache.store(&prefixes);
        cached as u64
    }

    /// Keeps the blocks of a prompt together with its answer.
    pub(crate) fn keep(&self, words: &[&str]) {
        let prefixes = PrefixCache::prefixes(words);
        self.inner.lock().cache.store(&prefixes);
    }

    /// Takes the time of one decoding step.
    pub(crate) fn decode(&self) {
        let others = u64::from(self.inner.lock().running.saturating_sub(1));
        std::thread::sleep(Duration::from_micros(
            self.options.decode_us + others * self.options.batch_us,
        ));
    }

    /// Gives the load report, which lags.
    pub(crate) fn report(&self) -> Report {
        let mut inner = self.inner.lock();
        let age = inner.reported.elapsed();
        if age >= Duration::from_millis(self.options.lag_ms) {
            inner.report = Report {
                at_ms: wall_ms(),
                age_ms: 0,
                running: inner.running,
                waiting: inner.waiting.len() as u32,
                kv_used: inner.cache.fill(),
            };
            inner.reported = Instant::now();
        }
        Report {
            age_ms: inner.reported.elapsed().as_millis() as u64,
            ..inner.report
        }
    }

    /// Gives the cache events after a position.
    pub(crate) fn events(&self, after: u64) -> Vec<CacheEvent> {
        self.inner.lock().cache.events(after)
    }

    /// Gives what ran.
    pub(crate) fn seen(&self) -> Vec<Seen> {
        self.inner.lock().seen.clone()
    }
}

fn wall_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}
